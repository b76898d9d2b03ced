package sched

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// TestMain fixes the seed so that every run tests the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	if f := flag.Lookup("rapid.steps"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.steps", "200"); err != nil {
			panic(err)
		}
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// chooser returns a number from 0 to n-1.
type chooser func(n int) int

// randomRun feeds a core with events that a chooser selects, and a checker with the
// events and the decisions.
type randomRun struct {
	core    *Core
	checker *checker
	now     time.Time
	choose  chooser
	cfg     *config.Config
	jobs    []model.JobID
	mayRun  []StartTask // attempts that may run
	events  int
}

const (
	randomRunWorkers = 6
	randomRunTeams   = 3
)

func newRandomRun(pick chooser) *randomRun {
	m := &randomRun{core: New("keller-0", 7), checker: newChecker(), now: start, choose: pick}
	return m
}

func (m *randomRun) handle(ev Event) error {
	m.events++
	m.checker.observeEvent(m.now, ev)
	ds := m.core.Handle(m.now, ev)
	for _, d := range ds {
		if s, ok := d.(StartTask); ok {
			m.mayRun = append(m.mayRun, s)
		}
	}
	if err := m.checker.checkDecisions(ds); err != nil {
		return fmt.Errorf("event %d, %T %+v: %w", m.events, ev, ev, err)
	}
	return m.compareUsed()
}

// compareUsed compares the used capacity that the core counts with the checker's.
func (m *randomRun) compareUsed() error {
	used := model.Resources{}
	for _, a := range m.checker.running {
		used = used.Add(a.size)
	}
	if got := m.core.Used(); got != used {
		return fmt.Errorf("used capacity: core counts %v, checker %v", got, used)
	}
	return nil
}

// begin configures the core and its workers.
func (m *randomRun) begin() error {
	if err := m.configure(); err != nil {
		return err
	}
	for i := range randomRunWorkers {
		if err := m.handle(WorkerChanged{m.worker(i), WorkerReady}); err != nil {
			return err
		}
	}
	return nil
}

func (m *randomRun) configure() error {
	m.cfg = testConfig()
	m.cfg.AZs = []config.AZ{{Name: "keller", InService: m.choose(6) > 0}, {Name: "lager", InService: true}}
	m.cfg.Policy = config.Knobs{PreemptionsPerMinute: 8, MaxRestarts: 2, GangTimeoutSeconds: 5}
	if m.choose(3) == 0 {
		m.cfg.Organisations[0].Teams[0].Limit = model.Resources{Slots: 10, MilliCores: 60_000}
	}
	return m.handle(ConfigChanged{m.cfg})
}

func (m *randomRun) worker(i int) model.WorkerSpec {
	w := testWorker(i)
	if i%3 == 2 {
		w.AZ, w.Capacity.Accelerators = "lager", 2
	}
	return w
}

func (m *randomRun) team() string { return string(rune('a' + m.choose(randomRunTeams))) }

// step feeds one randomly selected event.
func (m *randomRun) step() error {
	steps := []func() error{
		m.addJob, m.addJob, m.addJob, m.endTask, m.endTask, m.endTask, m.confirmStart, m.confirmStart,
		m.refuseStart, m.advanceClock, m.advanceClock, m.cancelJob, m.reportUsage, m.changeWorker, m.changeGrant, m.reportFleetUsage, m.configure, m.adoptTask,
	}
	return steps[m.choose(len(steps))]()
}

func (m *randomRun) addJob() error {
	policies := []model.Policy{model.PolicyDirect, model.PolicyDirect, model.PolicyService, model.PolicyBatch, model.PolicyBatch, model.PolicyGang}
	j := m.newJob(policies[m.choose(len(policies))])
	return m.handle(JobAdded{Job: j})
}

func (m *randomRun) newJob(p model.Policy) model.Job {
	j := model.Job{ID: model.JobID(fmt.Sprintf("j%d", len(m.jobs))), Team: m.team(), Policy: p, Submitted: m.now}
	j.Kind = string(rune('k' + m.choose(3)))
	j.Urgent = m.choose(3) == 0
	j.Tasks = 1
	if p != model.PolicyDirect {
		j.Tasks += m.choose(12)
	}
	j.Task.Idempotent = m.choose(4) > 0
	j.Task.Resources = model.Resources{
		MilliCores: int64(1+m.choose(9)) * 2000, MemoryMB: int64(1+m.choose(4)) * 8000, Slots: int64(m.choose(3)),
	}
	if m.choose(8) == 0 {
		j.Task.Resources.Accelerators = 1
	}
	if m.choose(3) == 0 {
		j.MaxWait = time.Duration(1+m.choose(5)) * time.Second
	}
	m.jobs = append(m.jobs, j.ID)
	return j
}

// pickAttempt returns one of the attempts that may run and removes it if remove is
// set. Attempts that no longer run are dropped.
func (m *randomRun) pickAttempt(remove bool) (StartTask, bool) {
	for len(m.mayRun) > 0 {
		i := m.choose(len(m.mayRun))
		s := m.mayRun[i]
		gone := m.checker.findAttempt(s.Task, s.Attempt) == nil
		if remove || gone {
			m.mayRun[i] = m.mayRun[len(m.mayRun)-1]
			m.mayRun = m.mayRun[:len(m.mayRun)-1]
		}
		if !gone {
			return s, true
		}
	}
	return StartTask{}, false
}

func (m *randomRun) endTask() error {
	s, ok := m.pickAttempt(true)
	if !ok {
		return nil
	}
	ends := []End{EndDone, EndDone, EndDone, EndFailed, EndStopped, EndLeaseExpired, EndAbandoned}
	end := ends[m.choose(len(ends))]
	if s.Worker == "w01" && m.choose(2) == 0 {
		end = EndFailed // w01 fails about half of its tasks
	}
	return m.handle(TaskEnded{Task: s.Task, Attempt: s.Attempt, End: end})
}

func (m *randomRun) confirmStart() error {
	s, ok := m.pickAttempt(false)
	if !ok {
		return nil
	}
	return m.handle(StartConfirmed{s.Task, s.Attempt})
}

func (m *randomRun) refuseStart() error {
	s, ok := m.pickAttempt(false)
	if !ok || m.checker.jobs[s.Task.Job].mayHaveRun[s.Task.Index] {
		return nil
	}
	return m.handle(StartRefused{Task: s.Task, Attempt: s.Attempt, WorkerFault: m.choose(2) == 0})
}

func (m *randomRun) advanceClock() error {
	m.now = m.now.Add(time.Duration(1+m.choose(40)) * 100 * time.Millisecond)
	return m.handle(Tick{})
}

func (m *randomRun) cancelJob() error {
	if len(m.jobs) == 0 {
		return nil
	}
	return m.handle(JobCancelled{m.jobs[m.choose(len(m.jobs))]})
}

func (m *randomRun) reportUsage() error {
	s, ok := m.pickAttempt(false)
	if !ok {
		return nil
	}
	u := model.Resources{MilliCores: int64(m.choose(12)) * 2000, MemoryMB: int64(m.choose(6)) * 8000}
	return m.handle(UsageReported{s.Task, s.Attempt, u})
}

func (m *randomRun) changeWorker() error {
	states := []WorkerState{WorkerReady, WorkerReady, WorkerReady, WorkerLeaving, WorkerLost, WorkerGone}
	return m.handle(WorkerChanged{m.worker(m.choose(randomRunWorkers)), states[m.choose(len(states))]})
}

func (m *randomRun) changeGrant() error {
	g := GrantChanged{Team: m.team(), None: m.choose(5) == 0}
	if m.choose(2) == 0 {
		g.Grant = model.Resources{Slots: int64(m.choose(20)), MilliCores: int64(m.choose(20)) * 4000}
	}
	return m.handle(g)
}

func (m *randomRun) reportFleetUsage() error {
	used := model.Resources{MilliCores: int64(m.choose(20)) * 4000, Slots: int64(m.choose(20))}
	return m.handle(FleetUsage{Capacity: model.Resources{MilliCores: 64_000, Slots: 16}, Used: map[string]model.Resources{m.team(): used}})
}

// adoptTask reports a running task of a job that the core does not know, and then the
// job.
func (m *randomRun) adoptTask() error {
	if m.choose(4) > 0 {
		return nil
	}
	j := m.newJob(model.PolicyBatch)
	ev := TaskAdopted{Job: j, Index: m.choose(j.Tasks), Attempt: 1 + m.choose(3), Worker: m.worker(m.choose(randomRunWorkers)).ID, Started: m.now}
	if err := m.handle(ev); err != nil {
		return err
	}
	m.mayRun = append(m.mayRun, StartTask{Task: model.TaskID{Job: j.ID, Index: ev.Index}, Attempt: ev.Attempt, Worker: ev.Worker})
	return m.handle(JobAdded{Job: j})
}

// TestInvariantsHoldAfterEveryDecision drives the core with random events.
func TestInvariantsHoldAfterEveryDecision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newRandomRun(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "") })
		if err := m.begin(); err != nil {
			rt.Fatal(err)
		}
		rt.Repeat(map[string]func(*rapid.T){"step": func(rt *rapid.T) {
			if err := m.step(); err != nil {
				rt.Fatal(err)
			}
		}})
	})
}

// FuzzEvents drives the core with events selected by the fuzzer's bytes.
func FuzzEvents(f *testing.F) {
	f.Fuzz(func(t *testing.T, choices []byte) {
		m := newRandomRun(func(n int) int {
			if len(choices) == 0 {
				return 0
			}
			b := choices[0]
			choices = choices[1:]
			return int(b) % n
		})
		if err := m.begin(); err != nil {
			t.Fatal(err)
		}
		for len(choices) > 0 {
			if err := m.step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
