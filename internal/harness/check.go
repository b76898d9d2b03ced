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

// Grace is how long after a change's acceptance the old state may still show.
const Grace = 4 * time.Second

// History is everything that a check looks at.
type History struct {
	Config *config.Config // teams' limits and workers; these do not change in a run
	Log    *Log
	Runs   []standin.AttemptRecord
	Table  []standin.TableLogEntry
	End    time.Time
}

// Violation is one broken promise.
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
		checkOnePlace, checkRoom, checkLimits, checkAtMostOnce, checkNotRun,
		checkAnswers, checkJobs, checkOut, checkWithdrawn, checkConfig, checkRaces,
	} {
		found = append(found, check(h)...)
	}
	return found
}

// end returns when a run ended, or the end of the history.
func (h History) end(r standin.AttemptRecord) time.Time {
	if r.End.IsZero() {
		return h.End
	}
	return r.End
}

// checkOnePlace: no task runs in two places at once.
func checkOnePlace(h History) []Violation {
	byTask := map[model.TaskID][]standin.AttemptRecord{}
	for _, r := range h.Runs {
		byTask[r.Attempt.Task] = append(byTask[r.Attempt.Task], r)
	}
	var found []Violation
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b standin.AttemptRecord) int { return a.Start.Compare(b.Start) })
		for i := 1; i < len(runs); i++ {
			if runs[i].Start.Before(h.end(runs[i-1])) {
				found = append(found, Violation{"one place", fmt.Sprintf("%s on %s until %s and on %s from %s",
					task, runs[i-1].Worker, stamp(h.end(runs[i-1])), runs[i].Worker, stamp(runs[i].Start))})
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

// peak returns the component-wise largest sum. Ends count before starts of the
// same moment.
func peak(changes []change) model.Resources {
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta.Slots, b.delta.Slots))
	})
	var sum, most model.Resources
	for _, c := range changes {
		sum = sum.Add(c.delta)
		most = most.Max(sum)
	}
	return most
}

// peaks returns the peak per name over the runs that count.
func (h History) peaks(name func(standin.AttemptRecord) string, size func(standin.AttemptRecord) model.Resources) map[string]model.Resources {
	changes := map[string][]change{}
	for _, r := range h.Runs {
		n := name(r)
		changes[n] = append(changes[n], change{r.Start, size(r)}, change{h.end(r), size(r).Scale(-1)})
	}
	most := map[string]model.Resources{}
	for n, c := range changes {
		most[n] = peak(c)
	}
	return most
}

func declaredSize(r standin.AttemptRecord) model.Resources { return r.Size }

// checkRoom: no worker runs more than it has, connections included.
func checkRoom(h History) []Violation {
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
			found = append(found, Violation{"room", fmt.Sprintf("%s ran %s, has %s", w.ID, sizes[w.ID], w.Capacity)})
		}
		if n := connections[w.ID].Slots; w.Connections > 0 && n > int64(w.Connections) {
			found = append(found, Violation{"room", fmt.Sprintf("%s held %d connections, has %d", w.ID, n, w.Connections)})
		}
	}
	return found
}

// checkLimits: no team has more running than its upper limit.
func checkLimits(h History) []Violation {
	most := h.peaks(func(r standin.AttemptRecord) string { return r.Team }, declaredSize)
	var found []Violation
	for _, o := range h.Config.Organisations {
		for _, t := range o.Teams {
			if !most[t.Name].Fits(unlimitedIfZero(t.Limit)) {
				found = append(found, Violation{"limit", fmt.Sprintf("%s ran %s, may run %s", t.Name, most[t.Name], t.Limit)})
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

// checkAtMostOnce: what is not idempotent starts at most once.
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

// checkNotRun: a refusal that says not run is true, and stays so.
func checkNotRun(h History) []Violation {
	var found []Violation
	byTag := h.runsByTag()
	for _, op := range h.Log.Ops {
		if op.Outcome == model.OutcomeNotRun && len(byTag[op.Tag]) > 0 {
			r := byTag[op.Tag][0]
			found = append(found, Violation{"not run", fmt.Sprintf("%s answered not_run (%s) at %s, ran on %s from %s",
				op.Tag, op.Code, stamp(op.Answered), r.Worker, stamp(r.Start))})
		}
	}
	return found
}

// checkAnswers: who is answered done gets the whole answer to its own request.
func checkAnswers(h History) []Violation {
	var found []Violation
	byTag := h.runsByTag()
	for _, op := range h.Log.Ops {
		if !op.Direct || op.Outcome != model.OutcomeDone {
			continue
		}
		done := slices.ContainsFunc(byTag[op.Tag], func(r standin.AttemptRecord) bool { return r.State == worker.TaskDone })
		if !op.Whole || !done {
			found = append(found, Violation{"answer", fmt.Sprintf("%s answered done: whole %t, done on a worker %t", op.Tag, op.Whole, done)})
		}
	}
	return found
}

// checkJobs: every accepted job is still known and has ended as it should.
func checkJobs(h History) []Violation {
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
			found = append(found, Violation{"job done", fmt.Sprintf("%s (%s) is done, %d of %d tasks are", op.Job, op.Tag, doneTasks(byTag[op.Tag]), op.Tasks)})
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

// checkOut: no task starts in an AZ that has been out of service for Grace.
func checkOut(h History) []Violation {
	var found []Violation
	for _, s := range spans(h.Log.Applied, func(a Applied) []string { return a.Out }) {
		for _, r := range h.Runs {
			if r.AZ == s.What && s.covers(r.Start, Grace) {
				found = append(found, Violation{"AZ out", fmt.Sprintf("%s started on %s %s after %s was out",
					r.Attempt.Task, r.Worker, r.Start.Sub(s.From), s.What)})
			}
		}
	}
	return found
}

// checkWithdrawn: a withdrawn key is refused after Grace.
func checkWithdrawn(h History) []Violation {
	var found []Violation
	for _, s := range spans(h.Log.Applied, func(a Applied) []string { return a.Withdrawn }) {
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

// configKey is the row of the accepted configuration.
const configKey = "config/accepted"

// checkConfig: the accepted version only grows.
func checkConfig(h History) []Violation {
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

// checkRaces: of operators who race, one wins each version.
func checkRaces(h History) []Violation {
	winners := map[int64]Applied{}
	var found []Violation
	for _, a := range h.Log.Applied {
		if a.State != api.ApplyAccepted && a.State != api.ApplyStaged {
			continue
		}
		first, taken := winners[a.Version]
		unlike := !slices.Equal(first.Out, a.Out) || !slices.Equal(first.Withdrawn, a.Withdrawn)
		if taken && unlike {
			found = append(found, Violation{"operator race", fmt.Sprintf("version %d was won twice", a.Version)})
		}
		winners[a.Version] = a
	}
	return found
}

// versionIn returns the version number in the value of configKey: the number
// alone or the field "version" of an object.
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

func stamp(t time.Time) string { return t.Format("15:04:05.000") }
