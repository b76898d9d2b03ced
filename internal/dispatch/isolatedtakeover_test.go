package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// Guards against more of a pool's workers lost to suspects after each takeover: jobs are
// restored before the registry is read, so the pool of a suspect's worker is not known yet.
func TestSuspectsOfAnEarlierTermCountInTheirPool(t *testing.T) {
	const suspect = `{"state":"running","begun":true,"next":1,"workers":[{"id":"w0","born":1000,"addr":"w0:1"}],"occ":[{"k":0,"steps":[{"tasks":[[3,%d,0,"",3,2]]}]}]}`
	for name, running := range map[string]int{"runs": 1, "does not run": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			for n, worker := range []int{running, 0} {
				spec := &workload.Job{ID: fmt.Sprint("j", n), Queue: "batch", Team: "team", Steps: []workload.Step{{Tasks: 1, Resources: cores(1)}}, AcceptedAt: c.now.UnixMilli()}
				is.NoErr(c.core.Restore(spec, fmt.Appendf(nil, suspect, worker), false, c.now))
			}
			c.core.SetLeaseBounds(c.now.Add(crashLease), nil, c.now)
			if running > 0 {
				run := workload.Run{Task: workload.TaskID{StepID: workload.StepID{Job: "j0"}}, Number: 3}
				c.running["w0"] = map[workload.TaskID]workload.RunStatus{run.Task: {Run: run}}
			}
			for n := range 10 { // one suspect at a time
				c.addWorker(fmt.Sprint("w", n), 8)
			}
			is.Equal(len(c.startTasks(nil)), 1-running)
		})
	}
}
