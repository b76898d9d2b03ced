package door

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cuminloft/api"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
)

func decodeError(resp *http.Response, data []byte) *api.Error {
	if resp.Header.Get("Content-Type") != "application/json" {
		return nil
	}
	e := &api.Error{}
	if json.Unmarshal(data, e) != nil {
		return nil
	}
	return e
}

// scenario holds the faults and callers of one run of TestOutcomesUnderFaults.
type scenario struct {
	workerFaults []fault // of the attempts, in order of arrival
	ownerFaults  []ownerFault
	table        standin.FaultSet
	callers      []scenarioCaller
	cutAt        int
	size         int // of answers
}

// scenarioCaller is one request. With a key it is repeated until it has a final answer or
// the repeats are used up.
type scenarioCaller struct {
	idempotent  bool
	keyed       bool
	duplicate   bool // another caller sends the same request with the same key
	timeout     time.Duration
	giveUpAfter time.Duration // the caller cancels the first send after this time; zero: never
	repeats     int
	pause       time.Duration // before a repeat
}

func drawScenario(t *rapid.T) scenario {
	return scenario{
		workerFaults: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
		}), 1, 8).Draw(t, "workerFaults"),
		ownerFaults: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ownerFault {
			return ownerFault(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3, 4}).Draw(t, "fault"))
		}), 1, 6).Draw(t, "ownerFaults"),
		table: standin.FaultSet{
			LoseReplyEvery: rapid.SampledFrom([]int{0, 0, 2, 3}).Draw(t, "lose"),
			DelayMillis:    rapid.SampledFrom([]int64{0, 3}).Draw(t, "slow"),
		},
		callers: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scenarioCaller {
			return scenarioCaller{
				idempotent:  rapid.Bool().Draw(t, "idempotent"),
				keyed:       rapid.Bool().Draw(t, "keyed"),
				duplicate:   rapid.Bool().Draw(t, "twin"),
				timeout:     rapid.SampledFrom([]time.Duration{20 * time.Millisecond, time.Second, 10 * time.Second}).Draw(t, "timeout"),
				giveUpAfter: rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond / 2, 8 * time.Millisecond}).Draw(t, "gone"),
				repeats:     rapid.IntRange(0, 3).Draw(t, "repeats"),
				pause:       rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second}).Draw(t, "pause"),
			}
		}), 1, 6).Draw(t, "callers"),
		cutAt: rapid.IntRange(0, 1<<20).Draw(t, "cutAt"),
		size:  rapid.SampledFrom([]int{0, 0, 100_000}).Draw(t, "size"),
	}
}

// callerHistory holds all responses of one caller, in order.
type callerHistory struct {
	body      string
	key       string
	plan      scenarioCaller
	responses []response
}

// runScenario runs a scenario and returns the rig and the histories of all callers.
func runScenario(s scenario) (*rig, []*callerHistory) {
	var attempts, reserves atomic.Int64
	r := newRig(rigOptions{
		frontends: 2,
		worker: func(worker.Attempt) fault {
			return s.workerFaults[int(attempts.Add(1)-1)%len(s.workerFaults)]
		},
		owner: func(*rpc.ReserveRequest) ownerFault {
			return s.ownerFaults[int(reserves.Add(1)-1)%len(s.ownerFaults)]
		},
	})
	r.table.Set(s.table)
	for _, w := range r.workers {
		w.cutAt, w.size = s.cutAt, s.size
	}
	var all []*callerHistory
	var callers sync.WaitGroup
	for i, c := range s.callers {
		h := &callerHistory{body: "request " + strconv.Itoa(i), plan: c, key: "key " + strconv.Itoa(i)}
		twin := *h
		all = append(all, h)
		callers.Go(func() { r.sendWithRepeats(h, 0) })
		if c.keyed && c.duplicate {
			all = append(all, &twin)
			callers.Go(func() { r.sendWithRepeats(&twin, 1) })
		}
	}
	callers.Wait()
	return r, all
}

// sendWithRepeats sends a caller's request and its repeats, alternating between the two entry
// hosts and starting with the given one.
func (r *rig) sendWithRepeats(h *callerHistory, first int) {
	s := callerRequest{body: h.body, idempotent: h.plan.idempotent, timeout: h.plan.timeout}
	if h.plan.keyed {
		s.key = h.key
	}
	for i := range h.plan.repeats + 1 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if i == 0 && h.plan.giveUpAfter > 0 {
			ctx, cancel = context.WithTimeout(context.Background(), h.plan.giveUpAfter)
		}
		s.host = "door" + strconv.Itoa((first+i)%2)
		v := r.send(ctx, s)
		cancel()
		h.responses = append(h.responses, v)
		final := v.outcome == api.OutcomeDone || v.outcome == api.OutcomeFailed
		if !h.plan.keyed || final && !v.brokenOff {
			return
		}
		time.Sleep(h.plan.pause) // virtual time: the test runs in a synctest bubble
	}
}

// violations compares the responses of every caller with the runs at the workers.
func violations(r *rig, all []*callerHistory) []string {
	var found []string
	for _, h := range all {
		runs := r.runsOf(h.body)
		if !h.plan.idempotent && len(runs) > 1 {
			found = append(found, fmt.Sprintf("%s is not idempotent and ran %d times", h.body, len(runs)))
		}
		if overlap(runs) {
			found = append(found, h.body+" ran in two places at once")
		}
		for _, v := range h.responses {
			if problem := v.falseClaim(runs, r.workers[0]); problem != "" {
				found = append(found, fmt.Sprintf("%s: %s: %+v", h.body, problem, v))
			}
		}
	}
	return found
}

func (r *rig) runsOf(body string) []*run {
	var out []*run
	for _, w := range r.workers {
		for _, one := range w.runs {
			if one.body == body {
				out = append(out, one)
			}
		}
	}
	return out
}

// overlap reports whether two runs of one request overlap in time.
func overlap(runs []*run) bool {
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.attempt.Task == b.attempt.Task && a.began.Before(b.end) && b.began.Before(a.end) {
				return true
			}
		}
	}
	return false
}

// falseClaim returns how a response contradicts the runs of the request; empty: not at all.
func (v *response) falseClaim(runs []*run, w *fakeWorker) string {
	switch {
	case v.brokenOff && v.status == 0:
		return "" // the caller cancelled or the connection broke: nothing was claimed
	case v.outcome == api.OutcomeNotRun:
		for _, one := range runs {
			if string(one.attempt.Task.Job) == v.requestID {
				return "not_run, but it ran"
			}
		}
	case v.brokenOff || v.outcome == api.OutcomeUnknown:
	case v.outcome == api.OutcomeDone || v.outcome == api.OutcomeFailed:
		if v.code != "" {
			if len(runs) == 0 {
				return "ended without an answer, but never ran"
			}
			return ""
		}
		for _, one := range runs {
			if v.body == string(w.answerTo(one.attempt, one.body)) {
				return ""
			}
		}
		return "the answer is incomplete or belongs to another request"
	default:
		return "no outcome"
	}
	return ""
}

// TestOutcomesUnderFaults checks the guarantees of the request path under random faults of
// workers, owners and the table, with callers that cancel and repeat: a request reported
// as not_run did not run, every answer is complete and belongs to its request, a request
// that is not idempotent runs at most once, and no request runs twice concurrently.
func TestOutcomesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			r, all := runScenario(s)
			if err := r.close(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Minute) // virtual time: all runs have ended
			synctest.Wait()
			problems = violations(r, all)
		})
		if len(problems) > 0 {
			rt.Fatalf("%s\nscenario %+v", strings.Join(problems, "\n"), s)
		}
	})
}
