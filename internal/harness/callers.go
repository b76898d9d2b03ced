package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cuminloft/api"
	"cuminloft/internal/httpjson"
	"cuminloft/internal/model"
	"cuminloft/internal/standin"
)

// Settings of the callers.
const (
	callTimeout  = 15 * time.Second
	callerRepeat = 3 // calls that a caller with an idempotency key makes
	thinkMillis  = 150
)

// Callers are background callers of a cluster.
type Callers struct {
	cluster *Cluster
	log     *Log
	wg      sync.WaitGroup
	stop    chan struct{}
}

// StartCallers starts n callers whose choices follow from seed.
func StartCallers(c *Cluster, log *Log, n int, seed uint64) *Callers {
	s := &Callers{cluster: c, log: log, stop: make(chan struct{})}
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		s.wg.Go(func() { s.run(r, fmt.Sprintf("%d-%d", seed, i)) })
	}
	return s
}

// Stop ends the callers after their open calls.
func (s *Callers) Stop() {
	close(s.stop)
	s.wg.Wait()
}

func (s *Callers) run(r *rand.Rand, name string) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(r.IntN(thinkMillis)) * time.Millisecond):
		}
		tag := fmt.Sprintf("%s-%d", name, n)
		switch k := r.IntN(10); {
		case k < 4:
			s.direct(r, tag, TeamProofs, true)
		case k < 8:
			s.direct(r, tag, TeamSlips, false)
		default:
			s.submit(r, tag)
		}
	}
}

// direct sends one direct request. Requests that are not idempotent carry an
// idempotency key every other time and are then repeated until answered.
func (s *Callers) direct(r *rand.Rand, tag, team string, idempotent bool) {
	op := Op{Tag: tag, Direct: true, Idempotent: idempotent, Tasks: 1, Key: KeyID(team, r.IntN(keysPerTeam))}
	body := orders(tag, 5+r.IntN(60))
	named := !idempotent && r.IntN(2) == 0
	s.repeat(r, named, func(h *Host) bool {
		req := s.request(h, "/v1/run/proofs", op.Key, body)
		req.Header.Set(api.HeaderIdempotent, fmt.Sprint(idempotent))
		req.Header.Set(api.HeaderResources, "slots=1,milli_cores=500,memory_mb=128")
		req.Header.Set(api.HeaderTimeout, "10s")
		if named {
			req.Header.Set(api.HeaderIdempotencyKey, tag)
		}
		return s.call(op, h, req, func(op *Op, answer []byte) { op.Whole = bytes.Equal(answer, body) })
	})
}

// submit submits one job under an idempotency key.
func (s *Callers) submit(r *rand.Rand, tag string) {
	op := Op{Tag: tag, Idempotent: r.IntN(2) == 0, Tasks: 1 + r.IntN(4), Key: KeyID(TeamSeason, r.IntN(keysPerTeam))}
	queue := "season"
	if r.IntN(4) == 0 {
		queue = "press"
	}
	body, err := json.Marshal(api.Submission{
		Queue:          queue,
		Tasks:          op.Tasks,
		Resources:      model.Resources{MilliCores: 1000, MemoryMB: 512, Slots: 1},
		RunTime:        api.Duration(time.Second),
		Idempotent:     op.Idempotent,
		Payload:        orders(tag, 200+r.IntN(1500)),
		IdempotencyKey: tag,
	})
	if err != nil {
		panic(err) // a submission is always JSON
	}
	s.repeat(r, true, func(h *Host) bool {
		req := s.request(h, "/v1/jobs", op.Key, body)
		return s.call(op, h, req, func(op *Op, answer []byte) {
			var accepted api.Accepted
			if json.Unmarshal(answer, &accepted) == nil {
				op.Job = accepted.ID
			}
		})
	})
}

// repeat makes a call at hosts chosen by chance until it is answered, once if
// the request is not named.
func (s *Callers) repeat(r *rand.Rand, named bool, call func(*Host) bool) {
	tries := 1
	if named {
		tries = callerRepeat
	}
	for range tries {
		if call(s.cluster.Hosts[r.IntN(len(s.cluster.Hosts))]) {
			return
		}
	}
}

// orders is the body that makes a stand-in worker run for a time.
func orders(tag string, millis int) []byte {
	data, err := json.Marshal(standin.TaskScript{Tag: tag, RunMillis: int64(millis)})
	if err != nil {
		panic(err) // orders are always JSON
	}
	return data
}

func (s *Callers) request(h *Host, path, key string, body []byte) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.Addr+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // addresses of the harness are valid
	}
	req.Header.Set("Authorization", "Bearer "+Secret(key))
	return req
}

// call sends a request, logs what came of it, and reports whether it was
// answered. read looks at the body of a success.
func (s *Callers) call(op Op, h *Host, req *http.Request, read func(*Op, []byte)) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	op.Host = h.ID
	op.Sent = time.Now()
	status, outcome, body, err := s.exchange(req.WithContext(ctx))
	op.Answered = time.Now()
	op.Status = status
	op.Outcome = outcome
	switch {
	case err != nil:
		op.Error = err.Error()
	case status == http.StatusOK:
		read(&op, body)
	case outcome == model.OutcomeFailed:
		// The task's own answer; its body says nothing about the outcome.
	default:
		var e api.Error
		if json.Unmarshal(body, &e) == nil {
			op.Code = string(e.Code)
			op.Error = e.Message
			op.Outcome = e.Outcome
		}
	}
	s.log.Add(op)
	return err == nil
}

// exchange returns a whole answer; its status is zero if there is none.
func (s *Callers) exchange(req *http.Request) (int, model.Outcome, []byte, error) {
	resp, err := s.cluster.Client.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", nil, err
	}
	return resp.StatusCode, model.Outcome(resp.Header.Get(api.HeaderOutcome)), body, nil
}

// Finals asks for every accepted job until all have ended or ctx ends.
func Finals(ctx context.Context, c *Cluster, log *Log) {
	log.Finals = map[string]Final{}
	client := c.keyed(Secret(KeyID(TeamSeason, 0)))
	for {
		waiting := 0
		for _, op := range log.Snapshot() {
			if op.Job == "" || log.Finals[op.Job].Ended {
				continue
			}
			log.Finals[op.Job] = final(ctx, c, client, op.Job)
			if !log.Finals[op.Job].Ended {
				waiting++
			}
		}
		if waiting == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// final asks the hosts in turn for one job.
func final(ctx context.Context, c *Cluster, client *http.Client, id string) Final {
	for _, h := range c.Hosts {
		var job api.Job
		if get(ctx, client, "http://"+h.Addr+"/v1/jobs/"+id, &job) == nil {
			return Final{Known: true, Ended: job.State == api.JobEnded, Outcome: job.Outcome, Code: string(job.Code)}
		}
	}
	return Final{}
}

// get reads a JSON answer.
func get(ctx context.Context, client *http.Client, url string, out any) error {
	return httpjson.Call(ctx, client, http.MethodGet, url, nil, out)
}
