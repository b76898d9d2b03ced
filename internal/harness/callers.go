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

// Settings of the background callers.
const (
	callTimeout    = 15 * time.Second
	maxKeyedCalls  = 3 // calls at most for a request with an idempotency key
	maxThinkMillis = 150
)

// Callers are background callers that send requests and submit jobs.
type Callers struct {
	cluster *Cluster
	log     *Log
	wg      sync.WaitGroup
	stop    chan struct{}
}

// StartCallers starts n callers whose choices derive from seed.
func StartCallers(c *Cluster, log *Log, n int, seed uint64) *Callers {
	s := &Callers{cluster: c, log: log, stop: make(chan struct{})}
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		s.wg.Go(func() { s.run(r, fmt.Sprintf("%d-%d", seed, i)) })
	}
	return s
}

// Stop lets the calls in progress end and then stops the callers.
func (s *Callers) Stop() {
	close(s.stop)
	s.wg.Wait()
}

func (s *Callers) run(r *rand.Rand, name string) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(r.IntN(maxThinkMillis)) * time.Millisecond):
		}
		tag := fmt.Sprintf("%s-%d", name, n)
		switch k := r.IntN(10); {
		case k < 4:
			s.sendDirect(r, tag, TeamProofs, true)
		case k < 8:
			s.sendDirect(r, tag, TeamSlips, false)
		default:
			s.submitJob(r, tag)
		}
	}
}

// sendDirect sends one direct request. Half of the requests that are not idempotent,
// chosen at random, carry an idempotency key and are repeated until they are answered.
func (s *Callers) sendDirect(r *rand.Rand, tag, team string, idempotent bool) {
	op := Op{Tag: tag, Direct: true, Idempotent: idempotent, Tasks: 1, Key: KeyID(team, r.IntN(keysPerTeam))}
	body := taskScript(tag, 5+r.IntN(60))
	hasKey := !idempotent && r.IntN(2) == 0
	s.callHosts(r, hasKey, func(h *Host) bool {
		req := s.newRequest(h, "/v1/run/proofs", op.Key, body)
		req.Header.Set(api.HeaderIdempotent, fmt.Sprint(idempotent))
		req.Header.Set(api.HeaderResources, "slots=1,milli_cores=500,memory_mb=128")
		req.Header.Set(api.HeaderTimeout, "10s")
		if hasKey {
			req.Header.Set(api.HeaderIdempotencyKey, tag)
		}
		return s.send(op, h, req, func(op *Op, answer []byte) { op.Whole = bytes.Equal(answer, body) })
	})
}

// submitJob submits one job under an idempotency key.
func (s *Callers) submitJob(r *rand.Rand, tag string) {
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
		Payload:        taskScript(tag, 200+r.IntN(1500)),
		IdempotencyKey: tag,
	})
	if err != nil {
		panic(err) // a submission can always be encoded
	}
	s.callHosts(r, true, func(h *Host) bool {
		req := s.newRequest(h, "/v1/jobs", op.Key, body)
		return s.send(op, h, req, func(op *Op, answer []byte) {
			var accepted api.Accepted
			if json.Unmarshal(answer, &accepted) == nil {
				op.Job = accepted.ID
			}
		})
	})
}

// callHosts makes a call at randomly chosen hosts: once, or with an idempotency key up
// to maxKeyedCalls times until a host answers.
func (s *Callers) callHosts(r *rand.Rand, hasKey bool, send func(*Host) bool) {
	tries := 1
	if hasKey {
		tries = maxKeyedCalls
	}
	for range tries {
		if send(s.cluster.Hosts[r.IntN(len(s.cluster.Hosts))]) {
			return
		}
	}
}

// taskScript is the body that makes a stand-in worker run a task for a time.
func taskScript(tag string, millis int) []byte {
	data, err := json.Marshal(standin.TaskScript{Tag: tag, RunMillis: int64(millis)})
	if err != nil {
		panic(err) // a script can always be encoded
	}
	return data
}

func (s *Callers) newRequest(h *Host, path, key string, body []byte) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.Addr+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the harness made the address
	}
	req.Header.Set("Authorization", "Bearer "+Secret(key))
	return req
}

// send sends a request, logs its result, and reports whether it was answered. It calls
// handleBody with the body of a successful answer.
func (s *Callers) send(op Op, h *Host, req *http.Request, handleBody func(*Op, []byte)) bool {
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
		handleBody(&op, body)
	case outcome == model.OutcomeFailed:
		// The body is the task's own answer and does not tell the outcome.
	default:
		var e api.Error
		if json.Unmarshal(body, &e) == nil {
			op.Code = string(e.Code)
			op.Error = e.Message
			op.Outcome = e.Outcome
		}
	}
	s.log.AddOp(op)
	return err == nil
}

// exchange sends a request and reads the complete answer. If no complete answer arrives,
// the status is zero.
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

// CollectFinals queries every accepted job until all have ended or ctx ends.
func CollectFinals(ctx context.Context, c *Cluster, log *Log) {
	log.Finals = map[string]FinalState{}
	client := c.clientWithKey(Secret(KeyID(TeamSeason, 0)))
	for {
		unfinished := 0
		for _, op := range log.Snapshot() {
			if op.Job == "" || log.Finals[op.Job].Ended {
				continue
			}
			log.Finals[op.Job] = queryJob(ctx, c, client, op.Job)
			if !log.Finals[op.Job].Ended {
				unfinished++
			}
		}
		if unfinished == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// queryJob queries the hosts in turn for one job.
func queryJob(ctx context.Context, c *Cluster, client *http.Client, id string) FinalState {
	for _, h := range c.Hosts {
		var job api.Job
		if getJSON(ctx, client, "http://"+h.Addr+"/v1/jobs/"+id, &job) == nil {
			return FinalState{Known: true, Ended: job.State == api.JobEnded, Outcome: job.Outcome, Code: string(job.Code)}
		}
	}
	return FinalState{}
}

// getJSON makes a GET request and decodes the JSON answer.
func getJSON(ctx context.Context, client *http.Client, url string, out any) error {
	return httpjson.Call(ctx, client, http.MethodGet, url, nil, out)
}
