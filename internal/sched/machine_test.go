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

// TestMain fixes the seed so that every run gives the same verdict.
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

// chooser picks a number from 0 to n-1.
type chooser func(n int) int

// machine feeds a core with events that a chooser picks, and a checker with
// events and decisions.
type machine struct {
	core   *Core
	check  *checker
	now    time.Time
	pick   chooser
	cfg    *config.Config
	jobs   []model.JobID
	open   []StartTask // attempts that may run
	events int
}

const (
	machineWorkers = 6
	machineTeams   = 3
)

func newMachine(pick chooser) *machine {
	m := &machine{core: New("keller-0", 7), check: newChecker(), now: start, pick: pick}
	return m
}

func (m *machine) handle(ev Event) error {
	m.events++
	m.check.before(m.now, ev)
	ds := m.core.Handle(m.now, ev)
	for _, d := range ds {
		if s, ok := d.(StartTask); ok {
			m.open = append(m.open, s)
		}
	}
	if err := m.check.after(ds); err != nil {
		return fmt.Errorf("event %d, %T %+v: %w", m.events, ev, ev, err)
	}
	return m.compare()
}

// compare checks the core's own account of used room against the checker's.
func (m *machine) compare() error {
	used := model.Resources{}
	for _, a := range m.check.running {
		used = used.Add(a.size)
	}
	if got := m.core.Used(); got != used {
		return fmt.Errorf("core counts %v as used, the checker %v", got, used)
	}
	return nil
}

// begin configures the core and its workers.
func (m *machine) begin() error {
	if err := m.configure(); err != nil {
		return err
	}
	for i := range machineWorkers {
		if err := m.handle(WorkerChanged{m.worker(i), WorkerReady}); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) configure() error {
	m.cfg = testConfig()
	m.cfg.AZs = []config.AZ{{Name: "keller", InService: m.pick(6) > 0}, {Name: "lager", InService: true}}
	m.cfg.Policy = config.Knobs{PreemptionsPerMinute: 8, MaxRestarts: 2, GangTimeoutSeconds: 5}
	if m.pick(3) == 0 {
		m.cfg.Organisations[0].Teams[0].Limit = model.Resources{Slots: 10, MilliCores: 60_000}
	}
	return m.handle(ConfigChanged{m.cfg})
}

func (m *machine) worker(i int) model.WorkerSpec {
	w := testWorker(i)
	if i%3 == 2 {
		w.AZ, w.Capacity.Accelerators = "lager", 2
	}
	return w
}

func (m *machine) team() string { return string(rune('a' + m.pick(machineTeams))) }

// step feeds one event of any kind.
func (m *machine) step() error {
	steps := []func() error{
		m.addJob, m.addJob, m.addJob, m.endTask, m.endTask, m.endTask, m.confirm, m.confirm,
		m.refuse, m.pass, m.pass, m.cancel, m.usage, m.changeWorker, m.grant, m.fleet, m.configure, m.adopt,
	}
	return steps[m.pick(len(steps))]()
}

func (m *machine) addJob() error {
	policies := []model.Policy{model.PolicyDirect, model.PolicyDirect, model.PolicyService, model.PolicyBatch, model.PolicyBatch, model.PolicyGang}
	j := m.newJob(policies[m.pick(len(policies))])
	return m.handle(JobAdded{Job: j})
}

func (m *machine) newJob(p model.Policy) model.Job {
	j := model.Job{ID: model.JobID(fmt.Sprintf("j%d", len(m.jobs))), Team: m.team(), Policy: p, Submitted: m.now}
	j.Kind = string(rune('k' + m.pick(3)))
	j.Urgent = m.pick(3) == 0
	j.Tasks = 1
	if p != model.PolicyDirect {
		j.Tasks += m.pick(12)
	}
	j.Task.Idempotent = m.pick(4) > 0
	j.Task.Resources = model.Resources{
		MilliCores: int64(1+m.pick(9)) * 2000, MemoryMB: int64(1+m.pick(4)) * 8000, Slots: int64(m.pick(3)),
	}
	if m.pick(8) == 0 {
		j.Task.Resources.Accelerators = 1
	}
	if m.pick(3) == 0 {
		j.MaxWait = time.Duration(1+m.pick(5)) * time.Second
	}
	m.jobs = append(m.jobs, j.ID)
	return j
}

// takeOpen removes one of the attempts that may run.
func (m *machine) takeOpen(remove bool) (StartTask, bool) {
	for len(m.open) > 0 {
		i := m.pick(len(m.open))
		s := m.open[i]
		gone := m.check.find(s.Task, s.Attempt) == nil
		if remove || gone {
			m.open[i] = m.open[len(m.open)-1]
			m.open = m.open[:len(m.open)-1]
		}
		if !gone {
			return s, true
		}
	}
	return StartTask{}, false
}

func (m *machine) endTask() error {
	s, ok := m.takeOpen(true)
	if !ok {
		return nil
	}
	ends := []End{EndDone, EndDone, EndDone, EndFailed, EndStopped, EndLeaseExpired, EndAbandoned}
	end := ends[m.pick(len(ends))]
	if s.Worker == "w01" && m.pick(2) == 0 {
		end = EndFailed // a worker that fails much of what it starts
	}
	return m.handle(TaskEnded{Task: s.Task, Attempt: s.Attempt, End: end})
}

func (m *machine) confirm() error {
	s, ok := m.takeOpen(false)
	if !ok {
		return nil
	}
	return m.handle(StartConfirmed{s.Task, s.Attempt})
}

func (m *machine) refuse() error {
	s, ok := m.takeOpen(false)
	if !ok || m.check.jobs[s.Task.Job].mayRan[s.Task.Index] {
		return nil
	}
	return m.handle(StartRefused{Task: s.Task, Attempt: s.Attempt, WorkerFault: m.pick(2) == 0})
}

func (m *machine) pass() error {
	m.now = m.now.Add(time.Duration(1+m.pick(40)) * 100 * time.Millisecond)
	return m.handle(Tick{})
}

func (m *machine) cancel() error {
	if len(m.jobs) == 0 {
		return nil
	}
	return m.handle(JobCancelled{m.jobs[m.pick(len(m.jobs))]})
}

func (m *machine) usage() error {
	s, ok := m.takeOpen(false)
	if !ok {
		return nil
	}
	u := model.Resources{MilliCores: int64(m.pick(12)) * 2000, MemoryMB: int64(m.pick(6)) * 8000}
	return m.handle(UsageReported{s.Task, s.Attempt, u})
}

func (m *machine) changeWorker() error {
	states := []WorkerState{WorkerReady, WorkerReady, WorkerReady, WorkerLeaving, WorkerLost, WorkerGone}
	return m.handle(WorkerChanged{m.worker(m.pick(machineWorkers)), states[m.pick(len(states))]})
}

func (m *machine) grant() error {
	g := GrantChanged{Team: m.team(), None: m.pick(5) == 0}
	if m.pick(2) == 0 {
		g.Grant = model.Resources{Slots: int64(m.pick(20)), MilliCores: int64(m.pick(20)) * 4000}
	}
	return m.handle(g)
}

func (m *machine) fleet() error {
	used := model.Resources{MilliCores: int64(m.pick(20)) * 4000, Slots: int64(m.pick(20))}
	return m.handle(FleetUsage{Capacity: model.Resources{MilliCores: 64_000, Slots: 16}, Used: map[string]model.Resources{m.team(): used}})
}

// adopt tells of a task of an unknown job that runs already.
func (m *machine) adopt() error {
	if m.pick(4) > 0 {
		return nil
	}
	j := m.newJob(model.PolicyBatch)
	ev := TaskAdopted{Job: j, Index: m.pick(j.Tasks), Attempt: 1 + m.pick(3), Worker: m.worker(m.pick(machineWorkers)).ID, Started: m.now}
	if err := m.handle(ev); err != nil {
		return err
	}
	m.open = append(m.open, StartTask{Task: model.TaskID{Job: j.ID, Index: ev.Index}, Attempt: ev.Attempt, Worker: ev.Worker})
	return m.handle(JobAdded{Job: j})
}

// TestInvariantsHoldAtEachDecision drives the core with random events.
func TestInvariantsHoldAtEachDecision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "") })
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

// FuzzEvents drives the core with events that the fuzzer's bytes choose.
func FuzzEvents(f *testing.F) {
	f.Fuzz(func(t *testing.T, choices []byte) {
		m := newMachine(func(n int) int {
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
