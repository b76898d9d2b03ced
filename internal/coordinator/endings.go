package coordinator

import (
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/workload"
)

// endings are the callers that wait for jobs to end, by job.
type endings map[string][]awaited

// awaited is one caller.
type awaited struct {
	told  chan<- workload.State
	until time.Time
}

// await returns where the job's final state will be told, if it is by then.
func (e endings) await(id string, until time.Time) <-chan workload.State {
	told := make(chan workload.State, 1)
	e[id] = append(e[id], awaited{told, until})
	return told
}

// tell answers those whose jobs have ended, and forgets those that wait no more.
func (e endings) tell(core *dispatch.Core, now time.Time) {
	for id, waiting := range e {
		state, found := core.JobState(id)
		ended := found && state.Final()
		left := waiting[:0]
		for _, w := range waiting {
			switch {
			case ended:
				w.told <- state
			case now.Before(w.until):
				left = append(left, w)
			}
		}
		if e[id] = left; len(left) == 0 {
			delete(e, id)
		}
	}
}
