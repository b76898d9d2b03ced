package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// testConfig has two organisations, three teams and no limits.
func testConfig() *config.Config {
	return &config.Config{
		AZs: []config.AZ{{Name: "keller", InService: true}},
		Organisations: []config.Organisation{
			{Name: "north", Share: 1, Teams: []config.Team{{Name: "a", Share: 1}, {Name: "b", Share: 1}}},
			{Name: "south", Share: 1, Teams: []config.Team{{Name: "c", Share: 1}}},
		},
	}
}

func testWorker(i int) model.WorkerSpec {
	return model.WorkerSpec{
		ID: fmt.Sprintf("w%02d", i), AZ: "keller", Rack: fmt.Sprintf("r%d", i/2), Connections: 64,
		Capacity: model.Resources{MilliCores: 32_000, MemoryMB: 128_000, Slots: 8},
	}
}

// testCore drives a core through scripted events on a virtual clock.
type testCore struct {
	t    *testing.T
	core *Core
	now  time.Time
}

func newTestCore(t *testing.T, cfg *config.Config, workers int) *testCore {
	s := &testCore{t: t, core: New("keller-0", 1), now: start}
	s.handle(ConfigChanged{cfg})
	for i := range workers {
		s.handle(WorkerChanged{testWorker(i), WorkerReady})
	}
	return s
}

func (s *testCore) handle(ev Event) []Decision { return s.core.Handle(s.now, ev) }

func (s *testCore) advance(d time.Duration) []Decision {
	s.now = s.now.Add(d)
	return s.handle(Tick{})
}

func testJob(id, team string, p model.Policy, tasks int) model.Job {
	return model.Job{
		ID: model.JobID(id), Team: team, Policy: p, Tasks: tasks,
		Task: model.TaskSpec{Resources: model.Resources{MilliCores: 4000, MemoryMB: 16_000, Slots: 1}, Idempotent: p != model.PolicyDirect},
	}
}

func startsIn(ds []Decision) []StartTask { return decisionsOf[StartTask](ds) }

func decisionsOf[T Decision](ds []Decision) []T {
	var list []T
	for _, d := range ds {
		if x, ok := d.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

func TestDirectRequestStartsImmediatelyAndEnds(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 2)
	st := startsIn(s.handle(JobAdded{Job: testJob("d", "a", model.PolicyDirect, 1)}))
	is.Equal(len(st), 1)
	is.Equal(st[0].Attempt, 1)
	s.handle(StartConfirmed{st[0].Task, 1})
	ended := decisionsOf[JobEnded](s.handle(TaskEnded{Task: st[0].Task, Attempt: 1, End: EndDone}))
	is.Equal(ended, []JobEnded{{Job: "d", Outcome: model.OutcomeDone}})
	is.Equal(s.core.Used(), model.Resources{})
}

func TestDirectRequestExpiresAfterMaxWait(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 1)
	is.Equal(len(startsIn(s.handle(JobAdded{Job: testJob("fill", "a", model.PolicyBatch, 8)}))), 8)
	j := testJob("d", "b", model.PolicyDirect, 1)
	j.MaxWait = time.Second
	is.Equal(len(s.handle(JobAdded{Job: j})), 0)
	ended := decisionsOf[JobEnded](s.advance(time.Second))
	is.Equal(len(ended), 1)
	is.Equal(ended[0].Code, RefusedDeadline)
	is.Equal(ended[0].Outcome, model.OutcomeNotRun)
}

func TestRetriedDirectRequestAvoidsRefusingWorker(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 2)
	st := startsIn(s.handle(JobAdded{Job: testJob("d", "a", model.PolicyDirect, 1)}))
	ended := decisionsOf[JobEnded](s.handle(StartRefused{Task: st[0].Task, Attempt: 1, Reason: "full"}))
	is.Equal(ended[0].Code, RefusedByWorker)
	again := startsIn(s.handle(JobAdded{Job: testJob("d", "a", model.PolicyDirect, 1), Avoid: []string{st[0].Worker}, LastAttempt: 1}))
	is.Equal(len(again), 1)
	is.True(again[0].Worker != st[0].Worker)
	is.Equal(again[0].Attempt, 2)
}
