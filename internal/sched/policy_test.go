package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// confirmStarts confirms all starts in ds and returns them.
func (s *testCore) confirmStarts(ds []Decision) []StartTask {
	list := startsIn(ds)
	for _, st := range list {
		s.handle(StartConfirmed{st.Task, st.Attempt})
	}
	return list
}

func (s *testCore) endTask(st StartTask, end End) []Decision {
	return s.handle(TaskEnded{Task: st.Task, Attempt: st.Attempt, End: end})
}

func TestInfeasibleJobIsRefused(t *testing.T) {
	cfg := testConfig()
	cfg.Organisations[1].Teams[0].Limit = model.Resources{Slots: 4}
	cfg.Queues = []config.Queue{{Name: "small", Policy: model.PolicyBatch, MaxPending: 3}}
	larger := func(j model.Job) model.Job { j.Task.Resources.MilliCores = 33_000; return j }
	in := func(j model.Job, queue string) model.Job { j.Queue = queue; return j }
	tests := []struct {
		job  model.Job
		code RefusalCode
	}{
		{larger(testJob("large", "a", model.PolicyBatch, 1)), RefusedTooLarge},
		{testJob("gang over limit", "c", model.PolicyGang, 5), RefusedOverLimit},
		{testJob("gang over cell", "a", model.PolicyGang, 17), RefusedGangTooBig},
		{testJob("stranger", "z", model.PolicyBatch, 1), RefusedUnknownTeam},
		{in(testJob("many", "a", model.PolicyBatch, 4), "small"), RefusedQueueFull},
		{testJob("fits", "a", model.PolicyGang, 16), ""},
	}
	for _, tt := range tests {
		t.Run(string(tt.job.ID), func(t *testing.T) {
			is := is.New(t)
			s := newTestCore(t, cfg, 2)
			ended := decisionsOf[JobEnded](s.handle(JobAdded{Job: tt.job}))
			if tt.code == "" {
				is.Equal(len(ended), 0)
				return
			}
			is.Equal(len(ended), 1)
			is.Equal(ended[0].Code, tt.code)
			is.Equal(ended[0].Outcome, model.OutcomeNotRun)
			is.True(slices.Contains(s.core.Explain(tt.job.ID), "code: "+string(tt.code)))
		})
	}
}

// Guards against starvation: without a reservation, a continuous supply of small tasks
// takes each freed slot before a gang of half the cell fits. All tasks of the gang
// must start in one list of decisions.
func TestGangIsNotStarvedBySmallWork(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 4)
	running := s.confirmStarts(s.handle(JobAdded{Job: testJob("small", "a", model.PolicyBatch, 1000)}))
	is.Equal(len(running), 32)
	s.handle(JobAdded{Job: testJob("gang", "c", model.PolicyGang, 16)})
	for range 100 {
		is.True(len(running) > 0)
		first := running[0]
		running = running[1:]
		s.now = s.now.Add(500 * time.Millisecond)
		st := s.confirmStarts(s.endTask(first, EndDone))
		if i := slices.IndexFunc(st, func(x StartTask) bool { return x.Task.Job == "gang" }); i >= 0 {
			is.Equal(len(st), 16)
			return
		}
		running = append(running, st...)
	}
	t.Fatal("the gang never started")
}

// Guards against a gang that is delayed by lent capacity: the run time of the borrower
// was estimated far too short, so it still runs when the reservation is filled and
// must be preempted.
func TestLentCapacityIsRecalled(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 2)
	quick := testJob("quick", "a", model.PolicyBatch, 1)
	quick.Kind = "label"
	s.now = s.now.Add(time.Minute)
	st := s.confirmStarts(s.handle(JobAdded{Job: quick}))
	s.now = s.now.Add(time.Second)
	s.endTask(st[0], EndDone) // the learned run time of the kind is one second
	long := s.confirmStarts(s.handle(JobAdded{Job: testJob("long", "b", model.PolicyBatch, 16)}))
	s.handle(JobAdded{Job: testJob("gang", "c", model.PolicyGang, 8)})
	s.advance(helpInterval)
	for i := range 4 {
		s.now = s.now.Add(500 * time.Millisecond)
		s.endTask(long[i], EndDone)
	}
	quick.ID = "overrun"
	s.handle(JobAdded{Job: quick})
	lent := s.confirmStarts(s.advance(helpInterval))
	is.Equal(len(lent), 1)
	is.Equal(lent[0].Task.Job, model.JobID("overrun"))
	var ds []Decision
	for i := 4; i < 8; i++ {
		ds = append(ds, s.endTask(long[i], EndDone)...)
	}
	recalled := decisionsOf[PreemptTask](ds)
	is.Equal(len(recalled), 1)
	is.Equal(recalled[0].Task, lent[0].Task)
	is.Equal(len(startsIn(s.endTask(lent[0], EndStopped))), 8)
}

func TestUrgentRequestPreemptsWithinBound(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 1)
	s.confirmStarts(s.handle(JobAdded{Job: testJob("fill", "a", model.PolicyBatch, 8)}))
	j := testJob("urgent", "b", model.PolicyDirect, 1)
	j.Urgent = true
	arrived := s.now
	step := decisionsOf[PreemptTask](s.handle(JobAdded{Job: j}))[0]
	var steps []PreemptStep
	for step.Step != PreemptStop { // the task reacts to neither checkpoint nor throttle
		steps = append(steps, step.Step)
		wake, ok := s.core.NextWake()
		is.True(ok)
		s.now = wake
		if next := decisionsOf[PreemptTask](s.handle(Tick{})); len(next) > 0 {
			step = next[0]
		}
	}
	is.True(s.now.Sub(arrived) < 1400*time.Millisecond)
	is.Equal(steps[0], PreemptCheckpoint)
	is.True(slices.Contains(steps, PreemptThrottle))
	is.Equal(len(startsIn(s.handle(TaskEnded{Task: step.Task, Attempt: 1, End: EndStopped}))), 1)
}

func TestNonIdempotentTaskIsNeverPreempted(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 1)
	fill := testJob("fill", "a", model.PolicyBatch, 8)
	fill.Task.Idempotent = false
	running := s.confirmStarts(s.handle(JobAdded{Job: fill}))
	j := testJob("urgent", "b", model.PolicyDirect, 1)
	j.Urgent = true
	is.Equal(len(s.handle(JobAdded{Job: j})), 0)
	is.Equal(len(startsIn(s.handle(WorkerChanged{testWorker(0), WorkerGone}))), 0)
	is.Equal(len(running), 8)
}

func TestServiceIsSpreadAndReplaced(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 8) // four racks of two workers
	st := s.confirmStarts(s.handle(JobAdded{Job: testJob("web", "a", model.PolicyService, 4)}))
	racks := map[string]bool{}
	for _, x := range st {
		racks[s.core.workers[x.Worker].spec.Rack] = true
	}
	is.Equal(len(racks), 4)
	spec := s.core.workers[st[0].Worker].spec
	is.Equal(len(startsIn(s.handle(WorkerChanged{spec, WorkerLost}))), 0) // the task may still run on the lost worker
	again := startsIn(s.handle(WorkerChanged{spec, WorkerGone}))
	is.Equal(len(again), 1)
	is.Equal(again[0].Task, st[0].Task)
	is.True(again[0].Attempt > st[0].Attempt)
}

// Two organisations with weights one and three share the workers in this proportion,
// although one of them used all capacity before the other submitted.
func TestSharesAreReclaimed(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Organisations[1].Share = 3
	s := newTestCore(t, cfg, 2)
	s.confirmStarts(s.handle(JobAdded{Job: testJob("a", "a", model.PolicyBatch, 100)}))
	ds := s.handle(JobAdded{Job: testJob("c", "c", model.PolicyBatch, 100)})
	for range 300 {
		for _, p := range decisionsOf[PreemptTask](ds) {
			s.confirmStarts(s.handle(TaskEnded{Task: p.Task, Attempt: p.Attempt, End: EndStopped}))
		}
		ds = s.advance(helpInterval)
	}
	usage := s.core.TeamUsage()
	is.Equal(usage[0].Used.Slots, int64(4))
	is.Equal(usage[2].Used.Slots, int64(12))
}

func TestFailingWorkerIsQuarantined(t *testing.T) {
	tests := []struct {
		name string
		bad  func(worker string) bool
		out  bool
	}{
		{"one worker fails", func(w string) bool { return w == "w00" }, true},
		{"the job fails everywhere", func(string) bool { return true }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestCore(t, testConfig(), 4)
			var running []StartTask
			for i := range 30 {
				running = append(running, s.confirmStarts(s.handle(JobAdded{Job: testJob(fmt.Sprint(i), "a", model.PolicyBatch, 4)}))...)
			}
			var suspects []WorkerHealthChanged
			for range 60 {
				st := running[0]
				end := EndDone
				if tt.bad(st.Worker) {
					end = EndFailed
				}
				ds := s.endTask(st, end)
				suspects = append(suspects, decisionsOf[WorkerHealthChanged](ds)...)
				running = append(running[1:], s.confirmStarts(ds)...)
			}
			is.Equal(len(suspects) > 0, tt.out)
			if tt.out {
				is.Equal(suspects[0].Worker, "w00")
			}
		})
	}
}

// Guards against failing workers that attract all requests: they come first in the
// index, so every request of a kind that succeeds on other workers would be placed on
// them.
func TestFailingWorkersDoNotAttractAllRequests(t *testing.T) {
	const workers, requests = 16, 200
	for _, failing := range []int{1, 3, 5} {
		t.Run(fmt.Sprintf("%d of %d fail", failing, workers), func(t *testing.T) {
			is := is.New(t)
			s := newTestCore(t, testConfig(), workers)
			done := 0
			for i := range requests {
				st := s.confirmStarts(s.handle(JobAdded{Job: testJob(fmt.Sprint(i), "a", model.PolicyDirect, 1)}))[0]
				var n int
				_, err := fmt.Sscanf(st.Worker, "w%d", &n)
				is.NoErr(err)
				end := EndDone
				if n < failing {
					end = EndFailed
				} else {
					done++
				}
				s.endTask(st, end)
			}
			is.True(done >= requests*9/10) // all requests fit on the other workers
		})
	}
}

func TestMissingGrantBlocksAndIsRequested(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Organisations[0].Teams[0].Limit = model.Resources{Slots: 6}
	s := newTestCore(t, cfg, 2)
	ds := s.handle(JobAdded{Job: testJob("j", "a", model.PolicyBatch, 10)})
	is.Equal(len(startsIn(ds)), 0)
	is.Equal(decisionsOf[RequestGrant](ds)[0].Total.Slots, int64(6))
	is.Equal(len(decisionsOf[RequestGrant](s.advance(grantRequestInterval/2))), 0) // at most once per grantRequestInterval
	is.Equal(len(startsIn(s.handle(GrantChanged{Team: "a", Grant: model.Resources{Slots: 4}}))), 4)
	is.True(strings.Contains(fmt.Sprint(s.core.Explain("j")), "part of the team's upper limit"))
	is.Equal(len(startsIn(s.handle(GrantChanged{Team: "a", Grant: model.Resources{Slots: 6}}))), 2)
}

// Cancelling thousands of pending jobs starts and stops no task and leaves nothing
// pending.
func TestCancellationWave(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 1)
	s.confirmStarts(s.handle(JobAdded{Job: testJob("first", "a", model.PolicyBatch, 8)}))
	for i := range 3000 {
		s.handle(JobAdded{Job: testJob(fmt.Sprint(i), "b", model.PolicyBatch, 3)})
	}
	for i := range 3000 {
		ended := decisionsOf[JobEnded](s.handle(JobCancelled{model.JobID(fmt.Sprint(i))}))
		is.Equal(len(ended), 1)
		is.Equal(ended[0].Outcome, model.OutcomeNotRun)
	}
	_, jobs := s.core.Pending()
	is.Equal(jobs, 0)
}

// Shares count the usage on other shards: the team that uses much elsewhere has to
// wait.
func TestSharesCountUsageOfWholeFleet(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 1)
	fill := s.confirmStarts(s.handle(JobAdded{Job: testJob("fill", "a", model.PolicyBatch, 8)}))
	s.handle(JobAdded{Job: testJob("b", "b", model.PolicyBatch, 8)})
	s.handle(JobAdded{Job: testJob("c", "c", model.PolicyBatch, 8)})
	s.handle(FleetUsage{
		Capacity: model.Resources{MilliCores: 64_000, MemoryMB: 256_000, Slots: 16},
		Used:     map[string]model.Resources{"c": {MilliCores: 64_000, Slots: 16}},
	})
	for _, st := range fill[:3] {
		is.Equal(startsIn(s.endTask(st, EndDone))[0].Task.Job, model.JobID("b"))
	}
}

func TestFlappingWorkerIsPausedForLongerEachTime(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 1)
	last := time.Duration(0)
	for range 4 {
		s.handle(WorkerChanged{testWorker(0), WorkerLost})
		s.handle(WorkerChanged{testWorker(0), WorkerReady})
		is.True(!s.core.Workers()[0].Usable)
		wake, ok := s.core.NextWake()
		is.True(ok)
		pause := wake.Sub(s.now)
		is.True(pause > last)
		last = pause
		s.advance(pause)
		is.True(s.core.Workers()[0].Usable)
	}
}

// A gang that does not fit while an AZ is absent waits for configured workers to
// return; workers that are gone and not configured do not count.
func TestGangWaitsForConfiguredWorkers(t *testing.T) {
	for _, listed := range []bool{true, false} {
		is := is.New(t)
		cfg := testConfig()
		if listed {
			cfg.Workers = []model.WorkerSpec{testWorker(0), testWorker(1)}
		}
		s := newTestCore(t, cfg, 2)
		s.handle(WorkerChanged{testWorker(1), WorkerGone})
		ended := decisionsOf[JobEnded](s.handle(JobAdded{Job: testJob("gang", "a", model.PolicyGang, 16)}))
		is.Equal(len(ended) == 0, listed)
		if listed {
			is.Equal(len(startsIn(s.handle(WorkerChanged{testWorker(1), WorkerReady}))), 16)
		}
	}
}

// A failing task is restarted after a growing delay, up to its restart limit.
func TestRestartBackoffGrowsUpToRestartLimit(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Policy = config.Knobs{MaxRestarts: 2, RestartBackoffSeconds: 2}
	s := newTestCore(t, cfg, 2)
	st := s.confirmStarts(s.handle(JobAdded{Job: testJob("j", "a", model.PolicyBatch, 1)}))[0]
	for _, delay := range []time.Duration{2 * time.Second, 4 * time.Second} {
		is.Equal(len(s.endTask(st, EndFailed)), 0)
		is.Equal(len(startsIn(s.advance(delay-time.Millisecond))), 0)
		st = s.confirmStarts(s.advance(delay / 2))[0] // the random addition is at most a quarter
	}
	is.Equal(decisionsOf[JobEnded](s.endTask(st, EndFailed)), []JobEnded{{Job: "j", Outcome: model.OutcomeFailed}})
}

func TestDirectRequestThatCannotStartInTimeIsRefused(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 1)
	s.confirmStarts(s.handle(JobAdded{Job: testJob("fill", "a", model.PolicyBatch, 8)}))
	refused := 0
	for i := range 2 * minQueueForDrainRate {
		j := testJob(fmt.Sprint(i), "b", model.PolicyDirect, 1)
		j.MaxWait = time.Second
		for _, e := range decisionsOf[JobEnded](s.handle(JobAdded{Job: j})) {
			is.Equal(e.Code, RefusedDeadline)
			is.True(e.RetryAfter > 0)
			refused++
		}
	}
	is.Equal(refused, minQueueForDrainRate) // no attempt ends, so only minQueueForDrainRate requests are queued
}

// Attempts are preempted on a worker whose measured usage exceeds its capacity.
func TestOvercommittedWorkerIsRelieved(t *testing.T) {
	is := is.New(t)
	s := newTestCore(t, testConfig(), 1)
	st := s.confirmStarts(s.handle(JobAdded{Job: testJob("j", "a", model.PolicyBatch, 8)}))
	ds := s.handle(UsageReported{st[0].Task, 1, model.Resources{MilliCores: 7000, MemoryMB: 16_000}})
	is.Equal(len(decisionsOf[PreemptTask](ds)), 1) // 3,000 over capacity: preempting one task of 4,000 is enough
	is.Equal(len(startsIn(s.endTask(st[7], EndStopped))), 0)
}
