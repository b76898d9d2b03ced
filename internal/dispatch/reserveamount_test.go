package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// amountsCell is a cell without advice that reserves amounts. Its jobs take exactly as long
// as estimated.
type amountsCell struct {
	*testCell
	seq       map[string]int64 // by worker: the latest reported end
	ends      map[workload.TaskID]amountsRun
	startedAt map[string]time.Time // by job
}

type amountsRun struct {
	start Start
	began time.Time
	takes time.Duration
}

func newAmountsCell(t *testing.T, workers int, workerCores int64) *amountsCell {
	c := &amountsCell{newCell(t), map[string]int64{}, map[workload.TaskID]amountsRun{}, map[string]time.Time{}}
	queue := func(name string, slack float64) workload.Queue {
		return workload.Queue{Name: name, Pool: "pool", MaxAttempts: 2, Priority: 1, Slack: slack, Allowance: time.Second}
	}
	c.core.SetCell(workload.NewCell(2, []workload.Queue{queue("gang", 4), queue("batch", 60)}, []workload.Team{{Name: "team", Weight: 1e6}}, nil))
	c.core.SetPolicy(Policy{ReserveAmounts: true})
	for i := range workers {
		c.addWorker(fmt.Sprintf("w%02d", i), workerCores)
	}
	return c
}

func (c *amountsCell) add(id, queue string, step workload.Step) {
	step.Gang = queue == "gang"
	c.core.AddJob(&workload.Job{ID: id, Queue: queue, Team: "team", Steps: []workload.Step{step}, AcceptedAt: c.now.UnixMilli()}, c.now)
}

// step reports progress and ends, runs a scheduling pass, checks that no worker is over its
// capacity, and advances the time by 10 ms.
func (c *amountsCell) step() {
	ended := map[string][]workload.RunEnd{}
	for id, run := range c.ends {
		w := run.start.Worker.ID
		if age := c.now.Sub(run.began); age < run.takes {
			c.running[w][id] = workload.RunStatus{Run: run.start.Order.Run, Percent: int(100 * age / run.takes)}
			continue
		}
		c.seq[w]++
		ended[w] = append(ended[w], workload.RunEnd{Seq: c.seq[w], Run: run.start.Order.Run, Outcome: workload.RunDone})
		delete(c.ends, id)
	}
	for id, w := range c.core.workers {
		if w.reachable {
			c.reportInventory(id, workload.Inventory{Ended: ended[id]})
		}
	}
	for _, st := range c.startTasks(nil) {
		s := c.core.findStep(st.Order.Run.Task.StepID)
		c.ends[st.Order.Run.Task] = amountsRun{st, c.now, s.spec.Estimate}
		c.startedAt[s.job.spec.ID] = c.now
	}
	for id, w := range c.core.workers {
		if !w.used.Fits(w.info.Capacity) {
			c.Errorf("%s uses %v of %v", id, w.used, w.info.Capacity)
		}
	}
}

// stepOf returns the only step of a job.
func (c *amountsCell) stepOf(job string) *step {
	return c.core.findStep(workload.StepID{Job: job})
}

// Guards against slots that are held idle for a gang whose last slot is far off, and against
// a gang that is delayed beyond its latest start to avoid that.
func TestGangTakesConsecutiveSlots(t *testing.T) {
	begin := time.UnixMilli(1_000_000)
	for name, test := range map[string]struct {
		slots       []int // seconds
		n           int
		latestStart int
		want        []int
	}{
		"too few":                             {[]int{0, 1}, 3, 10, nil},
		"all free now":                        {[]int{3, 0, 0}, 2, 10, []int{0, 0}},
		"last slot is far off":                {[]int{0, 9, 9, 9}, 3, 10, []int{9, 9, 9}},
		"a later start costs more":            {[]int{0, 1, 2, 4, 6}, 3, 10, []int{0, 1, 2}},
		"the same start saves idle cores":     {[]int{0, 6, 7, 7}, 3, 10, []int{6, 7, 7}},
		"a later start saves idle cores":      {[]int{0, 18, 18, 19}, 3, 20, []int{18, 18, 19}},
		"not beyond the latest start":         {[]int{0, 18, 18, 19}, 3, 18, []int{0, 18, 18}},
		"the latest start has already passed": {[]int{0, 6, 6, 7}, 3, 2, []int{0, 6, 6}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var slots []slot
			for i, at := range test.slots {
				slots = append(slots, slot{begin.Add(time.Duration(at) * time.Second), &worker{info: workload.Worker{ID: fmt.Sprint("w", i)}}})
			}
			var got []int
			chosen, _ := chooseSlots(slots, test.n, begin.Add(time.Duration(test.latestStart)*time.Second))
			for _, x := range chosen {
				got = append(got, int(x.freeAt.Sub(begin)/time.Second))
			}
			is.Equal(got, test.want)
		})
	}
}

// Guards against reservations of whole workers, which leave cores idle that another gang
// could reserve.
func TestTwoGangsReserveOnOneWorker(t *testing.T) {
	is := is.New(t)
	c := newAmountsCell(t, 1, 64)
	c.add("running", "batch", workload.Step{Tasks: 4, Resources: cores(16), Estimate: 4 * time.Second})
	c.step()
	c.add("a", "gang", workload.Step{Tasks: 1, Resources: cores(9), Estimate: 4 * time.Second})
	c.add("b", "gang", workload.Step{Tasks: 1, Resources: cores(9), Estimate: 5 * time.Second})
	c.add("c", "gang", workload.Step{Tasks: 1, Resources: cores(9), Estimate: 6 * time.Second})
	c.now = c.now.Add(reservationMaxAge)
	c.step()
	is.True(!c.stepOf("a").reservedFrom.IsZero())
	is.True(!c.stepOf("b").reservedFrom.IsZero())
	is.True(c.stepOf("c").reservedFrom.IsZero()) // more than maxReservedAmount
	is.Equal(len(c.core.workers["w00"].amounts), 2)
	is.Equal(c.core.Stats().ReservedMilliCores, int64(36_000)) // two slots for each
	for c.startedAt["b"].IsZero() {
		c.step()
	}
	is.Equal(c.startedAt["a"], c.startedAt["b"])
}

// Guards against small work beside a reservation that delays its gang, and so against
// starvation of a wide gang by a stream of small work: with tasks that take as long as
// expected, the gang starts when its first reservation said.
func TestReservedGangIsNotDelayed(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			c := newAmountsCell(t, 4, 16)
			submitted := 0
			small := func() {
				submitted++
				c.add(fmt.Sprintf("s%d", submitted), "batch", workload.Step{Tasks: 1 + random.IntN(4),
					Resources: model.Resources{MilliCores: 500 + random.Int64N(3500), MemoryMB: 100}, Estimate: time.Duration(200+random.IntN(2300)) * time.Millisecond})
			}
			for range 30 {
				small()
			}
			for range 50 {
				c.step()
			}
			size := 3 + random.Int64N(6)
			c.add("gang", "gang", workload.Step{Tasks: 4, Resources: cores(size), Estimate: 3 * time.Second})
			var promised time.Time
			for i := 0; c.startedAt["gang"].IsZero() && i < 1500; i++ {
				if i%5 == 0 {
					small()
				}
				c.step()
				if promised.IsZero() && c.startedAt["gang"].IsZero() {
					promised = c.stepOf("gang").reservedFrom
				}
			}
			is.True(!c.startedAt["gang"].IsZero()) // it starts at all
			if promised.IsZero() {
				return // it started before it needed a reservation
			}
			// A run reports whole percents and is assumed to take overrunAllowance more.
			if late := c.startedAt["gang"].Sub(promised); late > overrunAllowance+200*time.Millisecond {
				t.Errorf("the gang starts %v after its first reservation", late)
			}
		})
	}
}

// Guards against capacity that stays reserved for gangs that no longer wait, or on workers
// that take no tasks any more.
func TestReservationsAreDropped(t *testing.T) {
	for name, test := range map[string]struct {
		event       func(c *amountsCell)
		stillWaits  bool
		workersLeft int
	}{
		"cancelled":        {func(c *amountsCell) { c.core.Cancel("gang", c.now) }, false, 0},
		"worker lost":      {func(c *amountsCell) { c.core.HandleLostContact(c.reservedOn()[0], c.now) }, true, 2},
		"worker cordoned":  {func(c *amountsCell) { c.core.SetCordonedWorkers([]string{c.reservedOn()[0]}) }, true, 2},
		"policy withdrawn": {func(c *amountsCell) { c.core.SetPolicy(Policy{}) }, true, 2},
		"placed": {func(c *amountsCell) {
			c.core.Cancel("running", c.now)
			for c.startedAt["gang"].IsZero() {
				for id := range c.ends {
					run := c.ends[id]
					run.takes = 0
					c.ends[id] = run
				}
				c.step()
			}
		}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newAmountsCell(t, 3, 16)
			c.add("running", "batch", workload.Step{Tasks: 3, Resources: cores(16), Estimate: 5 * time.Second})
			c.step()
			c.now = c.now.Add(reservationMaxAge)
			c.add("gang", "gang", workload.Step{Tasks: 2, Resources: cores(9), Estimate: 5 * time.Second})
			c.step()
			before := c.reservedOn()
			is.Equal(len(before), 3)
			test.event(c)
			c.step()
			is.Equal(len(c.reservedOn()), test.workersLeft)
			is.Equal(!c.stepOf("gang").reservedFrom.IsZero(), test.stillWaits)
			for id := range c.core.reservedWorkers {
				is.True(c.core.workers[id].schedulableIn == c.core.pass) // no capacity is reserved on a lost worker
			}
			if test.workersLeft == 0 {
				is.Equal(c.core.Stats().ReservedMilliCores, int64(0))
				is.Equal(len(c.core.reservations.byStep), 0)
			}
		})
	}
}

// reservedOn returns the workers with reservations.
func (c *amountsCell) reservedOn() []string {
	var out []string
	for id := range c.core.reservedWorkers {
		out = append(out, id)
	}
	return out
}
