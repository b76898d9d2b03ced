package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// After a takeover, no job is refused that was accepted before, although the queue is
// full. A later attempt that a worker reports replaces the journaled one.
func TestRestoredJobIsNotRefusedAgain(t *testing.T) {
	is := is.New(t)
	c := New("keller-0", 1)
	now := time.Unix(1000, 0)
	c.Handle(now, ConfigChanged{Config: &config.Config{
		Organisations: []config.Organisation{{Name: "cellar", Share: 1, Teams: []config.Team{{Name: "planner", Share: 1}}}},
		Queues:        []config.Queue{{Name: "blends", Policy: model.PolicyBatch, MaxPending: 1}},
	}})
	job := model.Job{ID: "j", Team: "planner", Queue: "blends", Policy: model.PolicyBatch, Tasks: 2}
	is.Equal(len(c.Handle(now, JobAdded{Job: job, Restored: true})), 0)
	for attempt := 1; attempt <= 2; attempt++ {
		worker := []string{"", "w0", "w1"}[attempt]
		c.Handle(now, TaskAdopted{Job: job, Attempt: attempt, Worker: worker, Started: now})
	}
	is.Equal(c.Used().Slots, int64(1)) // counted only once, on w1
	c.Handle(now, TaskEnded{Task: model.TaskID{Job: "j"}, Attempt: 2, End: EndDone})
	is.Equal(c.Used().Slots, int64(0))
}
