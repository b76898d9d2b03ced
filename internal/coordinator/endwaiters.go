package coordinator

import (
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/workload"
)

// endWaiters holds the callers that wait for the end of a job, by job ID.
type endWaiters map[string][]endWaiter

// endWaiter is one waiting caller.
type endWaiter struct {
	result   chan<- workload.State
	deadline time.Time
}

// add returns a channel that receives the job's final state if the job ends before the
// deadline.
func (e endWaiters) add(id string, deadline time.Time) <-chan workload.State {
	result := make(chan workload.State, 1)
	e[id] = append(e[id], endWaiter{result, deadline})
	return result
}

// notify sends the final state to the waiters of ended jobs and drops waiters whose
// deadline has passed.
func (e endWaiters) notify(core *dispatch.Core, now time.Time) {
	for id, waiting := range e {
		state, found := core.JobState(id)
		ended := found && state.Final()
		remaining := waiting[:0]
		for _, w := range waiting {
			switch {
			case ended:
				w.result <- state
			case now.Before(w.deadline):
				remaining = append(remaining, w)
			}
		}
		if e[id] = remaining; len(remaining) == 0 {
			delete(e, id)
		}
	}
}
