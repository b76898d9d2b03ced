// Package dispatch decides which task of which job runs on which worker. It is
// a pure state machine: events go in, orders and rows to store come out, and
// nothing in it does I/O or reads a clock.
//
// What may still be running always counts as running: a task keeps its place on
// its worker until the worker lists its end, is known to have lost it, or can no
// longer hold a lease.
package dispatch

import (
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// Core is the state of one dispatcher. It is not safe for concurrent use.
type Core struct {
	cell      *workload.Cell
	evacuated map[string]bool
	cordoned  map[string]bool      // workers on which nothing may start
	suspectAZ map[string]time.Time // until when an AZ may be cut off
	jobs      map[string]*job
	active    map[string]*job // jobs that are not final
	workers   map[string]*worker
	unacked   map[string]*worker         // with ends that are taken in and not yet stored
	touched   map[string]bool            // workers whose Link may have changed
	usage     map[string]model.Resources // by team, of all that may run
	rates     map[string]*rateMeter      // by team
	dirty     []*job
	stops     []StopOrder
	paces     []ThrottleOrder
	events    []Event
	order     []rankedStep // steps to place, as of the latest Schedule
	// stopsDue is set when a task is to be stopped; tasksTicked is when all tasks were
	// last looked at.
	stopsDue    bool
	tasksTicked time.Time
	holds       map[string]*worker // on which room is kept for gangs, as of the latest Schedule
	urgentRoom
	runTimes map[string]*runTimes // by queue
	stretch  float64              // as worker.stretch, over the cell
	// startDelay is how long a start waits for its record to be stored.
	startDelay time.Duration
	round      *round   // of the latest Schedule
	ahead      *outlook // the latest one
	changed    bool     // something happened that may let a task start
	account    AdviceStats
}

// New returns a core without jobs or workers.
func New() *Core {
	return &Core{
		evacuated: map[string]bool{},
		suspectAZ: map[string]time.Time{},
		jobs:      map[string]*job{},
		active:    map[string]*job{},
		workers:   map[string]*worker{},
		unacked:   map[string]*worker{},
		touched:   map[string]bool{},
		usage:     map[string]model.Resources{},
		rates:     map[string]*rateMeter{},
		account:   newAdviceAccount(),
		runTimes:  map[string]*runTimes{},
		holds:     map[string]*worker{},
	}
}

// Start is a decision to start a run. It is sent once the row that records it
// is stored.
type Start struct {
	Worker workload.Worker
	Order  workload.StartOrder // without lease and fence
}

// StopOrder is a decision to stop a run.
type StopOrder struct {
	Worker workload.Worker
	Run    workload.Run
}

// Event is a decision or a change of belief, for the log.
type Event struct {
	Name   string
	Fields []any // key and value by turns
}

// emit records an event for the log.
func (c *Core) emit(name string, fields ...any) {
	c.events = append(c.events, Event{Name: name, Fields: fields})
}

// TakeEvents returns the events since the last call.
func (c *Core) TakeEvents() []Event {
	out := c.events
	c.events = nil
	return out
}

// TakeStopOrders returns the stop orders decided since the last call.
func (c *Core) TakeStopOrders() []StopOrder {
	out := c.stops
	c.stops = nil
	return out
}

// SetCell installs a configuration. Older versions than the present one are
// ignored.
func (c *Core) SetCell(cell *workload.Cell) {
	if c.cell != nil && cell.Version <= c.cell.Version {
		return
	}
	c.cell = cell
	c.changed = true
	c.emit("configuration in force", "version", cell.Version)
}

// SetEvacuated tells whether nothing may start in an availability zone.
func (c *Core) SetEvacuated(az string, on bool) {
	if c.evacuated[az] == on {
		return
	}
	if on {
		c.evacuated[az] = true
	} else {
		delete(c.evacuated, az)
	}
	c.changed = true
	c.emit("evacuation", "az", az, "on", on)
}

// JobState is what callers ask of a job. Found is false for a job unknown here.
func (c *Core) JobState(id string) (state workload.State, found bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.visible(), true
}

// Pending counts the accepted jobs of a queue for which nothing has started.
func (c *Core) Pending(queue string) int {
	n := 0
	for _, j := range c.active {
		if j.spec.Queue == queue && j.spec.Repeats == 0 && !j.begun {
			n++
		}
	}
	return n
}

// Stats are gauges for the metrics.
type Stats struct {
	ActiveJobs, Workers, Reachable, RunningTasks int
	UsedMilliCores, CapacityMilliCores           int64
	ReservedWorkers                              int // whose room is kept for gangs
}

// Stats returns the present gauges.
func (c *Core) Stats() Stats {
	s := Stats{ActiveJobs: len(c.active), ReservedWorkers: len(c.holds)}
	for _, w := range c.workers {
		s.Workers++
		if w.contact {
			s.Reachable++
			s.CapacityMilliCores += w.info.Capacity.MilliCores
		}
		s.RunningTasks += len(w.tasks)
		s.UsedMilliCores += w.used.MilliCores
	}
	return s
}

// queueOf returns the policy of the job's queue: the one in force, else the one
// at acceptance.
func (c *Core) queueOf(j *job) *workload.Queue {
	if c.cell != nil {
		if q := c.cell.Queue(j.spec.Queue); q != nil {
			return q
		}
	}
	return &j.spec.Policy
}

// rateMeter is a token bucket that tells which jobs of a team exceed its rate.
type rateMeter struct {
	tokens float64
	atMS   int64
}

// rateBurst is how many seconds' worth of jobs a team may hand in at once before
// further ones rank behind those of other teams.
const rateBurst = 2.0

// exceeds takes a token for a job at time ms and reports whether there was none.
func (m *rateMeter) exceeds(weight float64, ms int64) bool {
	if m.atMS == 0 {
		m.tokens = weight * rateBurst
	} else if ms > m.atMS {
		m.tokens = min(weight*rateBurst, m.tokens+weight*float64(ms-m.atMS)/1000)
	}
	m.atMS = max(m.atMS, ms)
	if m.tokens < 1 {
		return true
	}
	m.tokens--
	return false
}

// millisOf converts Unix milliseconds to a time.
func millisOf(ms int64) time.Time { return time.UnixMilli(ms) }

// SetEvacuatedAZs installs the whole set of evacuated zones.
func (c *Core) SetEvacuatedAZs(azs []string) {
	on := make(map[string]bool, len(azs))
	for _, az := range azs {
		on[az] = true
		c.SetEvacuated(az, true)
	}
	for az := range c.evacuated {
		if !on[az] {
			c.SetEvacuated(az, false)
		}
	}
}
