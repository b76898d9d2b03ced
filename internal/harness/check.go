package harness

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
)

// Grace is how long after a change is accepted the old state may still be in use.
const Grace = 4 * time.Second

// History is the records that the checks compare.
type History struct {
	Config *config.Config // teams' limits and workers, which do not change in a run
	Log    *Log
	Runs   []standin.AttemptRecord
	Table  []standin.TableLogEntry
	End    time.Time
}

// Violation is one violation of a promise.
type Violation struct {
	Promise string
	Detail  string
}

// String returns the promise and the detail.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// Check returns every violation in a history.
func Check(h History) []Violation {
	var found []Violation
	for _, check := range []func(History) []Violation{
		checkSinglePlacement, checkCapacity, checkLimits, checkAtMostOnce, checkNotRun,
		checkDoneAnswers, checkAcceptedJobs, checkOutOfServiceAZs, checkWithdrawnKeys, checkConfigVersions, checkConcurrentApplies,
	} {
		found = append(found, check(h)...)
	}
	return found
}

// endOf returns when an attempt ended, or the end of the history.
func (h History) endOf(r standin.AttemptRecord) time.Time {
	if r.End.IsZero() {
		return h.End
	}
	return r.End
}

// checkSinglePlacement checks that no task runs on two workers at once.
func checkSinglePlacement(h History) []Violation {
	byTask := map[model.TaskID][]standin.AttemptRecord{}
	for _, r := range h.Runs {
		byTask[r.Attempt.Task] = append(byTask[r.Attempt.Task], r)
	}
	var found []Violation
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b standin.AttemptRecord) int { return a.Start.Compare(b.Start) })
		for i := 1; i < len(runs); i++ {
			if runs[i].Start.Before(h.endOf(runs[i-1])) {
				found = append(found, Violation{"single placement", fmt.Sprintf("%s on %s until %s and on %s from %s",
					task, runs[i-1].Worker, clockTime(h.endOf(runs[i-1])), runs[i].Worker, clockTime(runs[i].Start))})
			}
		}
	}
	return found
}

// change is one step of a sum over time.
type change struct {
	at    time.Time
	delta model.Resources
}

// peak returns the component-wise maximum of the sum. At equal times, ends count before
// starts.
func peak(changes []change) model.Resources {
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta.Slots, b.delta.Slots))
	})
	var sum, maxSum model.Resources
	for _, c := range changes {
		sum = sum.Add(c.delta)
		maxSum = maxSum.Max(sum)
	}
	return maxSum
}

// peaks groups the attempts by the result of the function name, and returns the peak of
// the sizes of each group.
func (h History) peaks(name func(standin.AttemptRecord) string, size func(standin.AttemptRecord) model.Resources) map[string]model.Resources {
	changes := map[string][]change{}
	for _, r := range h.Runs {
		n := name(r)
		changes[n] = append(changes[n], change{r.Start, size(r)}, change{h.endOf(r), size(r).Scale(-1)})
	}
	most := map[string]model.Resources{}
	for n, c := range changes {
		most[n] = peak(c)
	}
	return most
}

func declaredSize(r standin.AttemptRecord) model.Resources { return r.Size }

// checkCapacity checks that no worker runs more than its capacity, connections
// included.
func checkCapacity(h History) []Violation {
	worker := func(r standin.AttemptRecord) string { return r.Worker }
	sizes := h.peaks(worker, declaredSize)
	connections := h.peaks(worker, func(r standin.AttemptRecord) model.Resources {
		if r.Direct {
			return model.Resources{Slots: 1}
		}
		return model.Resources{}
	})
	var found []Violation
	for _, w := range h.Config.Workers {
		if !sizes[w.ID].Fits(w.Capacity) {
			found = append(found, Violation{"capacity", fmt.Sprintf("%s ran %s, its capacity is %s", w.ID, sizes[w.ID], w.Capacity)})
		}
		if n := connections[w.ID].Slots; w.Connections > 0 && n > int64(w.Connections) {
			found = append(found, Violation{"capacity", fmt.Sprintf("%s held %d connections, its capacity is %d", w.ID, n, w.Connections)})
		}
	}
	return found
}

// checkLimits checks that no team runs more than its upper limit.
func checkLimits(h History) []Violation {
	most := h.peaks(func(r standin.AttemptRecord) string { return r.Team }, declaredSize)
	var found []Violation
	for _, o := range h.Config.Organisations {
		for _, t := range o.Teams {
			if !most[t.Name].Fits(unlimitedIfZero(t.Limit)) {
				found = append(found, Violation{"limit", fmt.Sprintf("%s ran %s, its limit is %s", t.Name, most[t.Name], t.Limit)})
			}
		}
	}
	return found
}

func unlimitedIfZero(r model.Resources) model.Resources {
	const unlimited = int64(1) << 60
	for _, c := range []*int64{&r.MilliCores, &r.MemoryMB, &r.Accelerators, &r.Slots} {
		if *c == 0 {
			*c = unlimited
		}
	}
	return r
}

// checkAtMostOnce checks that a task that is not idempotent starts at most once.
func checkAtMostOnce(h History) []Violation {
	var found []Violation
	byTag := h.runsByTag()
	for _, op := range h.Log.Ops {
		if op.Idempotent {
			continue
		}
		starts := map[int]int{}
		for _, r := range byTag[op.Tag] {
			starts[r.Attempt.Task.Index]++
		}
		for index, n := range starts {
			if n > 1 {
				found = append(found, Violation{"at most once", fmt.Sprintf("%s task %d started %d times", op.Tag, index, n)})
			}
		}
	}
	return found
}

// checkNotRun checks that a request answered as not run has never run.
func checkNotRun(h History) []Violation {
	var found []Violation
	byTag := h.runsByTag()
	for _, op := range h.Log.Ops {
		if op.Outcome == model.OutcomeNotRun && len(byTag[op.Tag]) > 0 {
			r := byTag[op.Tag][0]
			found = append(found, Violation{"not run", fmt.Sprintf("%s answered not_run (%s) at %s, ran on %s from %s",
				op.Tag, op.Code, clockTime(op.Answered), r.Worker, clockTime(r.Start))})
		}
	}
	return found
}

// checkDoneAnswers checks that an answer "done" is complete, belongs to its request and
// comes from an attempt that is done.
func checkDoneAnswers(h History) []Violation {
	var found []Violation
	byTag := h.runsByTag()
	for _, op := range h.Log.Ops {
		if !op.Direct || op.Outcome != model.OutcomeDone {
			continue
		}
		done := slices.ContainsFunc(byTag[op.Tag], func(r standin.AttemptRecord) bool { return r.State == worker.TaskDone })
		if !op.Whole || !done {
			found = append(found, Violation{"answer", fmt.Sprintf("%s answered done: own complete answer %t, done on a worker %t", op.Tag, op.Whole, done)})
		}
	}
	return found
}

// checkAcceptedJobs checks that every accepted job is known and has ended with the
// outcome that its attempts show.
func checkAcceptedJobs(h History) []Violation {
	var found []Violation
	byTag := h.runsByTag()
	for _, op := range h.Log.Ops {
		if op.Job == "" {
			continue
		}
		f := h.Log.Finals[op.Job]
		switch {
		case !f.Known:
			found = append(found, Violation{"job lost", fmt.Sprintf("%s (%s) is not known", op.Job, op.Tag)})
		case !f.Ended:
			found = append(found, Violation{"job stuck", fmt.Sprintf("%s (%s) has not ended", op.Job, op.Tag)})
		case f.Outcome == model.OutcomeDone && doneTasks(byTag[op.Tag]) != op.Tasks:
			found = append(found, Violation{"job done", fmt.Sprintf("%s (%s) is done, but %d of %d tasks are", op.Job, op.Tag, doneTasks(byTag[op.Tag]), op.Tasks)})
		case f.Outcome == model.OutcomeNotRun && len(byTag[op.Tag]) > 0:
			found = append(found, Violation{"not run", fmt.Sprintf("%s (%s) ended not_run (%s) but ran", op.Job, op.Tag, f.Code)})
		}
	}
	return found
}

func doneTasks(runs []standin.AttemptRecord) int {
	done := map[int]bool{}
	for _, r := range runs {
		if r.State == worker.TaskDone {
			done[r.Attempt.Task.Index] = true
		}
	}
	return len(done)
}

// checkOutOfServiceAZs checks that no task starts in an AZ that has been out of service
// for Grace.
func checkOutOfServiceAZs(h History) []Violation {
	var found []Violation
	for _, s := range spans(h.Log.Applied, func(a ApplyRecord) []string { return a.Out }) {
		for _, r := range h.Runs {
			if r.AZ == s.What && s.covers(r.Start, Grace) {
				found = append(found, Violation{"AZ out of service", fmt.Sprintf("%s started on %s %s after %s was taken out of service",
					r.Attempt.Task, r.Worker, r.Start.Sub(s.From), s.What)})
			}
		}
	}
	return found
}

// checkWithdrawnKeys checks that a withdrawn key is refused after Grace.
func checkWithdrawnKeys(h History) []Violation {
	var found []Violation
	for _, s := range spans(h.Log.Applied, func(a ApplyRecord) []string { return a.Withdrawn }) {
		for _, op := range h.Log.Ops {
			accepted := op.Job != "" || op.Outcome == model.OutcomeDone || op.Outcome == model.OutcomeFailed
			if op.Key == s.What && accepted && s.covers(op.Sent, Grace) {
				found = append(found, Violation{"withdrawn key", fmt.Sprintf("%s accepted at %s %s after %s was withdrawn",
					op.Tag, op.Host, op.Sent.Sub(s.From), s.What)})
			}
		}
	}
	return found
}

// configKey is the key of the row that holds the accepted configuration.
const configKey = "config/accepted"

// checkConfigVersions checks that the accepted version only grows.
func checkConfigVersions(h History) []Violation {
	var found []Violation
	last := int64(0)
	for _, e := range h.Table {
		if e.Key != configKey {
			continue
		}
		v, ok := versionIn(e.Value)
		if !ok || v < last {
			found = append(found, Violation{"config", fmt.Sprintf("accepted %q after version %d", e.Value, last)})
		}
		last = max(last, v)
	}
	return found
}

// checkConcurrentApplies checks that each version has only one winner when operators
// apply different changes at once.
func checkConcurrentApplies(h History) []Violation {
	winners := map[int64]ApplyRecord{}
	var found []Violation
	for _, a := range h.Log.Applied {
		if a.State != api.ApplyAccepted && a.State != api.ApplyStaged {
			continue
		}
		winner, taken := winners[a.Version]
		differs := !slices.Equal(winner.Out, a.Out) || !slices.Equal(winner.Withdrawn, a.Withdrawn)
		if taken && differs {
			found = append(found, Violation{"concurrent applies", fmt.Sprintf("version %d was won by two different changes", a.Version)})
		}
		winners[a.Version] = a
	}
	return found
}

// versionIn returns the version number in the value of configKey, which is the number
// itself or an object with a field "version".
func versionIn(value []byte) (int64, bool) {
	var n int64
	if json.Unmarshal(value, &n) == nil {
		return n, true
	}
	var o struct {
		Version int64 `json:"version"`
	}
	return o.Version, json.Unmarshal(value, &o) == nil && o.Version > 0
}

func (h History) runsByTag() map[string][]standin.AttemptRecord {
	byTag := map[string][]standin.AttemptRecord{}
	for _, r := range h.Runs {
		byTag[r.Tag] = append(byTag[r.Tag], r)
	}
	return byTag
}

func clockTime(t time.Time) string { return t.Format("15:04:05.000") }
