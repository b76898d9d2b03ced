package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// This file has a load pattern of tasks that crash the workers that start them.

const (
	replayCrashAway   = 3200 * time.Millisecond
	replayCrashLeases = 7 * time.Second
)

// after calls f after some time.
func (r *replay) after(d time.Duration, f func(*replay)) {
	at := (r.now.Sub(r.begin) + d).Truncate(replayStep)
	earlier := r.at[at]
	r.at[at] = func(r *replay) {
		if earlier != nil {
			earlier(r)
		}
		f(r)
	}
}

// crashWorker ends a worker with all of its runs, under a task of the step. Another worker
// takes its place.
func (r *replay) crashWorker(w *replayWorker, under workload.StepID) {
	r.crashes++
	r.after(replayStep, func(r *replay) { r.breakGang(under) }) // when all members have started
	w.unreachable = true
	for id := range w.runs {
		r.breakGang(id.StepID)
	}
	clear(w.runs)
	r.core.HandleLostContact(w.info.ID, r.now)
	r.core.ExtendLease(w.info.ID, r.now.Add(replayCrashLeases))
	r.after(replayCrashAway, func(r *replay) {
		delete(r.workers, w.info.ID)
		r.core.HandleReplaced(w.info.ID, w.info.Address, r.now)
		r.core.SetWorker(workload.WorkerChange{ID: w.info.ID})
		next := &replayWorker{info: w.info, runs: map[workload.TaskID]*replayRun{}, speed: w.speed}
		next.info.ID = fmt.Sprintf("%s-%d", w.info.ID[:4], r.crashes)
		r.workers[next.info.ID] = next
		info := next.info
		r.core.SetWorker(workload.WorkerChange{ID: info.ID, Worker: &info})
		r.core.HandleInventory(info.ID, workload.Inventory{Incarnation: 1}, r.now, r.now)
	})
}

// narrowCrashes has one urgent job of a hundred whose first task crashes its worker.
func narrowCrashes() pattern {
	p := narrowGangsPattern(20*time.Second, map[time.Duration]func(*replay){})
	p.crashing = func(r *replay, id workload.TaskID) bool {
		return id.Index == 0 && id.Step == 0 && r.jobs[id.Job].kind == 2 && hashShare(id.Job) < 0.01
	}
	return p
}

// Guards against tasks that crash workers at the cost of all others, and against a decision
// that blames the others.
func TestReplayOfCrashingTasks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReplay(narrowCrashes(), 0)
	r.play()
	var others []*replayJob
	crashing, blamed := 0, 0
	for id, j := range r.jobs {
		first := workload.TaskID{StepID: workload.StepID{Job: id}}
		state, _ := r.core.JobState(id)
		if r.crashing(r, first) {
			crashing++
			is.Equal(state, workload.Failed)
			continue
		}
		others = append(others, j)
		if state == workload.Failed && !r.failedByItself(id) {
			blamed++
		}
	}
	g := r.gainOf(others)
	t.Logf("%d tasks crashed %d workers; the others' gain %.3f, two worst windows %.3f; %d of them blamed", crashing, r.crashes, g.total, g.windows, blamed)
	is.Equal(blamed, 0)
	is.True(r.crashes <= unprovenCrashLimit*crashing)
	is.True(g.total >= wantGain && g.windows >= wantWindows)
}

// failedByItself reports whether a task of a job has failed as often as its queue allows.
func (r *replay) failedByItself(id string) bool {
	for _, o := range r.core.jobs[id].occurrences {
		for _, s := range o.steps {
			limit := r.kinds[r.jobs[id].kind].queue.MaxAttempts
			for i := range s.tasks {
				if s.tasks[i].failures >= limit || s.gangFailures >= limit {
					return true
				}
			}
		}
	}
	return false
}
