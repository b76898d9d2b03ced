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

// confirm answers all starts of ds.
func (s *script) confirm(ds []Decision) []StartTask {
	list := starts(ds)
	for _, st := range list {
		s.handle(StartConfirmed{st.Task, st.Attempt})
	}
	return list
}

func (s *script) end(st StartTask, end End) []Decision {
	return s.handle(TaskEnded{Task: st.Task, Attempt: st.Attempt, End: end})
}

func TestWorkThatCanNeverRunIsRefusedAtOnce(t *testing.T) {
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
			s := newScript(t, cfg, 2)
			ended := only[JobEnded](s.handle(JobAdded{Job: tt.job}))
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

// A gang of half the cell starts although small work never stops coming, and
// all its tasks start in one list of decisions.
func TestGangIsNotStarvedBySmallWork(t *testing.T) {
	is := is.New(t)
	s := newScript(t, testConfig(), 4)
	running := s.confirm(s.handle(JobAdded{Job: testJob("small", "a", model.PolicyBatch, 1000)}))
	is.Equal(len(running), 32)
	s.handle(JobAdded{Job: testJob("gang", "c", model.PolicyGang, 16)})
	for range 100 {
		is.True(len(running) > 0)
		first := running[0]
		running = running[1:]
		s.now = s.now.Add(500 * time.Millisecond)
		st := s.confirm(s.end(first, EndDone))
		if i := slices.IndexFunc(st, func(x StartTask) bool { return x.Task.Job == "gang" }); i >= 0 {
			is.Equal(len(st), 16)
			return
		}
		running = append(running, st...)
	}
	t.Fatal("the gang never started")
}

// Work in held room whose run time was estimated far too short is recalled
// when the reservation is complete, so that the gang starts.
func TestLentRoomIsRecalled(t *testing.T) {
	is := is.New(t)
	s := newScript(t, testConfig(), 2)
	quick := testJob("quick", "a", model.PolicyBatch, 1)
	quick.Kind = "label"
	s.now = s.now.Add(time.Minute)
	st := s.confirm(s.handle(JobAdded{Job: quick}))
	s.now = s.now.Add(time.Second)
	s.end(st[0], EndDone) // labels take a second, it seems
	long := s.confirm(s.handle(JobAdded{Job: testJob("long", "b", model.PolicyBatch, 16)}))
	s.handle(JobAdded{Job: testJob("gang", "c", model.PolicyGang, 8)})
	s.after(helpPause)
	for i := range 4 {
		s.now = s.now.Add(500 * time.Millisecond)
		s.end(long[i], EndDone)
	}
	quick.ID = "overrun"
	s.handle(JobAdded{Job: quick})
	lent := s.confirm(s.after(helpPause))
	is.Equal(len(lent), 1)
	is.Equal(lent[0].Task.Job, model.JobID("overrun"))
	var ds []Decision
	for i := 4; i < 8; i++ {
		ds = append(ds, s.end(long[i], EndDone)...)
	}
	recalled := only[PreemptTask](ds)
	is.Equal(len(recalled), 1)
	is.Equal(recalled[0].Task, lent[0].Task)
	is.Equal(len(starts(s.end(lent[0], EndStopped))), 8)
}

func TestUrgentRequestStartsWithinItsBoundWhenFull(t *testing.T) {
	is := is.New(t)
	s := newScript(t, testConfig(), 1)
	s.confirm(s.handle(JobAdded{Job: testJob("fill", "a", model.PolicyBatch, 8)}))
	j := testJob("urgent", "b", model.PolicyDirect, 1)
	j.Urgent = true
	arrived := s.now
	step := only[PreemptTask](s.handle(JobAdded{Job: j}))[0]
	var steps []PreemptStep
	for step.Step != PreemptStop { // the task neither saves its progress nor slows down
		steps = append(steps, step.Step)
		wake, ok := s.core.NextWake()
		is.True(ok)
		s.now = wake
		if next := only[PreemptTask](s.handle(Tick{})); len(next) > 0 {
			step = next[0]
		}
	}
	is.True(s.now.Sub(arrived) < 1400*time.Millisecond)
	is.Equal(steps[0], PreemptCheckpoint)
	is.True(slices.Contains(steps, PreemptThrottle))
	is.Equal(len(starts(s.handle(TaskEnded{Task: step.Task, Attempt: 1, End: EndStopped}))), 1)
}

func TestWorkThatIsNotIdempotentIsNeverPreempted(t *testing.T) {
	is := is.New(t)
	s := newScript(t, testConfig(), 1)
	fill := testJob("fill", "a", model.PolicyBatch, 8)
	fill.Task.Idempotent = false
	running := s.confirm(s.handle(JobAdded{Job: fill}))
	j := testJob("urgent", "b", model.PolicyDirect, 1)
	j.Urgent = true
	is.Equal(len(s.handle(JobAdded{Job: j})), 0)
	is.Equal(len(starts(s.handle(WorkerChanged{testWorker(0), WorkerGone}))), 0)
	is.Equal(len(running), 8)
}

func TestServiceIsSpreadAndReplaced(t *testing.T) {
	is := is.New(t)
	s := newScript(t, testConfig(), 8) // four racks of two
	st := s.confirm(s.handle(JobAdded{Job: testJob("web", "a", model.PolicyService, 4)}))
	racks := map[string]bool{}
	for _, x := range st {
		racks[s.core.workers[x.Worker].spec.Rack] = true
	}
	is.Equal(len(racks), 4)
	spec := s.core.workers[st[0].Worker].spec
	is.Equal(len(starts(s.handle(WorkerChanged{spec, WorkerLost}))), 0) // may still run there
	again := starts(s.handle(WorkerChanged{spec, WorkerGone}))
	is.Equal(len(again), 1)
	is.Equal(again[0].Task, st[0].Task)
	is.True(again[0].Attempt > st[0].Attempt)
}

// Two organisations with weights one to three divide a full worker, also when
// one had it all before.
func TestSharesAreReclaimed(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Organisations[1].Share = 3
	s := newScript(t, cfg, 2)
	s.confirm(s.handle(JobAdded{Job: testJob("a", "a", model.PolicyBatch, 100)}))
	ds := s.handle(JobAdded{Job: testJob("c", "c", model.PolicyBatch, 100)})
	for range 300 {
		for _, p := range only[PreemptTask](ds) {
			s.confirm(s.handle(TaskEnded{Task: p.Task, Attempt: p.Attempt, End: EndStopped}))
		}
		ds = s.after(helpPause)
	}
	usage := s.core.TeamUsage()
	is.Equal(usage[0].Used.Slots, int64(4))
	is.Equal(usage[2].Used.Slots, int64(12))
}

func TestWorkerThatFailsEverythingIsTakenOut(t *testing.T) {
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
			s := newScript(t, testConfig(), 4)
			var running []StartTask
			for i := range 30 {
				running = append(running, s.confirm(s.handle(JobAdded{Job: testJob(fmt.Sprint(i), "a", model.PolicyBatch, 4)}))...)
			}
			var suspects []WorkerHealthChanged
			for range 60 {
				st := running[0]
				end := EndDone
				if tt.bad(st.Worker) {
					end = EndFailed
				}
				ds := s.end(st, end)
				suspects = append(suspects, only[WorkerHealthChanged](ds)...)
				running = append(running[1:], s.confirm(ds)...)
			}
			is.Equal(len(suspects) > 0, tt.out)
			if tt.out {
				is.Equal(suspects[0].Worker, "w00")
			}
		})
	}
}

// Workers that fail all they start, placed first, must not draw every request of
// a kind that runs well elsewhere.
func TestFailingWorkersDoNotDrawAllRequests(t *testing.T) {
	const workers, requests = 16, 200
	for _, failing := range []int{1, 3, 5} {
		t.Run(fmt.Sprintf("%d of %d fail", failing, workers), func(t *testing.T) {
			is := is.New(t)
			s := newScript(t, testConfig(), workers)
			done := 0
			for i := range requests {
				st := s.confirm(s.handle(JobAdded{Job: testJob(fmt.Sprint(i), "a", model.PolicyDirect, 1)}))[0]
				var n int
				_, err := fmt.Sscanf(st.Worker, "w%d", &n)
				is.NoErr(err)
				end := EndDone
				if n < failing {
					end = EndFailed
				} else {
					done++
				}
				s.end(st, end)
			}
			is.True(done >= requests*9/10) // the workers that run well have room for all
		})
	}
}

func TestGrantBlocksAndIsAskedFor(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Organisations[0].Teams[0].Limit = model.Resources{Slots: 6}
	s := newScript(t, cfg, 2)
	ds := s.handle(JobAdded{Job: testJob("j", "a", model.PolicyBatch, 10)})
	is.Equal(len(starts(ds)), 0)
	is.Equal(only[RequestGrant](ds)[0].Total.Slots, int64(6))
	is.Equal(len(only[RequestGrant](s.after(grantRetry/2))), 0) // not too often
	is.Equal(len(starts(s.handle(GrantChanged{Team: "a", Grant: model.Resources{Slots: 4}}))), 4)
	is.True(strings.Contains(fmt.Sprint(s.core.Explain("j")), "part of the team's upper limit"))
	is.Equal(len(starts(s.handle(GrantChanged{Team: "a", Grant: model.Resources{Slots: 6}}))), 2)
}

// Cancelling thousands of waiting jobs starts, stops and leaves nothing.
func TestCancellationWave(t *testing.T) {
	is := is.New(t)
	s := newScript(t, testConfig(), 1)
	s.confirm(s.handle(JobAdded{Job: testJob("first", "a", model.PolicyBatch, 8)}))
	for i := range 3000 {
		s.handle(JobAdded{Job: testJob(fmt.Sprint(i), "b", model.PolicyBatch, 3)})
	}
	for i := range 3000 {
		ended := only[JobEnded](s.handle(JobCancelled{model.JobID(fmt.Sprint(i))}))
		is.Equal(len(ended), 1)
		is.Equal(ended[0].Outcome, model.OutcomeNotRun)
	}
	_, jobs := s.core.Pending()
	is.Equal(jobs, 0)
}

// What the other shards run counts: the team that has much elsewhere waits.
func TestSharesAreOverTheFleet(t *testing.T) {
	is := is.New(t)
	s := newScript(t, testConfig(), 1)
	fill := s.confirm(s.handle(JobAdded{Job: testJob("fill", "a", model.PolicyBatch, 8)}))
	s.handle(JobAdded{Job: testJob("b", "b", model.PolicyBatch, 8)})
	s.handle(JobAdded{Job: testJob("c", "c", model.PolicyBatch, 8)})
	s.handle(FleetUsage{
		Capacity: model.Resources{MilliCores: 64_000, MemoryMB: 256_000, Slots: 16},
		Used:     map[string]model.Resources{"c": {MilliCores: 64_000, Slots: 16}},
	})
	for _, st := range fill[:3] {
		is.Equal(starts(s.end(st, EndDone))[0].Task.Job, model.JobID("b"))
	}
}

func TestFlappingWorkerIsPausedForLongerEachTime(t *testing.T) {
	is := is.New(t)
	s := newScript(t, testConfig(), 1)
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
		s.after(pause)
		is.True(s.core.Workers()[0].Usable)
	}
}

// A gang too large for what is left while an AZ is away waits for its return;
// workers that are gone for good do not count.
func TestGangWaitsForWorkersThatMayReturn(t *testing.T) {
	for _, listed := range []bool{true, false} {
		is := is.New(t)
		cfg := testConfig()
		if listed {
			cfg.Workers = []model.WorkerSpec{testWorker(0), testWorker(1)}
		}
		s := newScript(t, cfg, 2)
		s.handle(WorkerChanged{testWorker(1), WorkerGone})
		ended := only[JobEnded](s.handle(JobAdded{Job: testJob("gang", "a", model.PolicyGang, 16)}))
		is.Equal(len(ended) == 0, listed)
		if listed {
			is.Equal(len(starts(s.handle(WorkerChanged{testWorker(1), WorkerReady}))), 16)
		}
	}
}

// A failing task is started again after a growing delay, up to its limit.
func TestRestartsBackOffUpToTheLimit(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Policy = config.Knobs{MaxRestarts: 2, RestartBackoffSeconds: 2}
	s := newScript(t, cfg, 2)
	st := s.confirm(s.handle(JobAdded{Job: testJob("j", "a", model.PolicyBatch, 1)}))[0]
	for _, delay := range []time.Duration{2 * time.Second, 4 * time.Second} {
		is.Equal(len(s.end(st, EndFailed)), 0)
		is.Equal(len(starts(s.after(delay-time.Millisecond))), 0)
		st = s.confirm(s.after(delay / 2))[0] // the random part is at most a quarter
	}
	is.Equal(only[JobEnded](s.end(st, EndFailed)), []JobEnded{{Job: "j", Outcome: model.OutcomeFailed}})
}

func TestDirectRequestsThatCannotStartInTimeAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newScript(t, testConfig(), 1)
	s.confirm(s.handle(JobAdded{Job: testJob("fill", "a", model.PolicyBatch, 8)}))
	refused := 0
	for i := range 2 * minQueue {
		j := testJob(fmt.Sprint(i), "b", model.PolicyDirect, 1)
		j.MaxWait = time.Second
		for _, e := range only[JobEnded](s.handle(JobAdded{Job: j})) {
			is.Equal(e.Code, RefusedDeadline)
			is.True(e.RetryAfter > 0)
			refused++
		}
	}
	is.Equal(refused, minQueue) // nothing ends, so no more than a trusted queue waits
}

// A worker whose tasks turn out to use more than it has gets relief.
func TestOverusedWorkerIsRelieved(t *testing.T) {
	is := is.New(t)
	s := newScript(t, testConfig(), 1)
	st := s.confirm(s.handle(JobAdded{Job: testJob("j", "a", model.PolicyBatch, 8)}))
	ds := s.handle(UsageReported{st[0].Task, 1, model.Resources{MilliCores: 7000, MemoryMB: 16_000}})
	is.Equal(len(only[PreemptTask](ds)), 1) // 3,000 too many: one task of 4,000 is enough
	is.Equal(len(starts(s.end(st[7], EndStopped))), 0)
}
