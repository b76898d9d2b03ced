// Package dispatch decides which task of which job runs on which worker. It is a pure
// state machine: its inputs are events, its outputs are orders and rows to store, and it
// does no I/O and reads no clock.
//
// A task that may still be running counts as running. It occupies capacity on its worker
// until the worker reports the end of its run, reports an inventory without the run, or
// can no longer hold a lease.
package dispatch

import (
	"maps"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// Core is the state of one dispatcher. It is not safe for concurrent use.
type Core struct {
	cell           *workload.Cell
	policy         Policy
	evacuated      map[string]bool
	cordoned       map[string]bool      // workers that accept no new tasks
	suspectAZ      map[string]time.Time // by AZ: the end of the period in which the AZ is suspected to be unreachable
	jobs           map[string]*job
	held           map[string][]byte    // by job ID: stored progress of jobs that must not run, see Hold
	suspended      map[string]time.Time // by job ID: when the store last rejected the job's progress, see Suspend
	heldAcks       map[string]int64     // by worker: ends after this sequence number are not acknowledged, see Suspend
	active         map[string]*job      // jobs without a final state, or with tasks that may be running
	toRank         map[string]*job      // the active jobs that each pass ranks, see Core.park
	workers        map[string]*worker
	unacked        map[string]*worker         // workers with reported ends that are applied but not yet stored
	changedWorkers map[string]bool            // workers whose WorkerView may have changed
	misdirected    map[string]misdirection    // by worker ID
	usage          map[string]model.Resources // by team: resources of all tasks that may be running
	rates          map[string]*rateMeter      // by team
	dirtyJobs      []*job
	stopOrders     []StopOrder
	throttleOrders []ThrottleOrder
	events         []Event
	ready          []rankedStep // steps with tasks to place, as of the latest scheduling pass
	// stopsDue is set when a task is waiting to be stopped; tasksCheckedAt is when all
	// tasks were last checked.
	stopsDue        bool
	tasksCheckedAt  time.Time
	storeAnswered   bool               // the store has answered a commit since then
	reservedWorkers map[string]*worker // workers with capacity reserved for gangs, as of the latest scheduling pass
	reservations    gangReservations
	levels          []capacityLevel        // scratch memory of appendAmountSlots
	isolatedWorkers map[string]int         // by pool: workers beside whose suspects nothing starts
	silent          map[string]silentTasks // by worker ID
	urgentHeadroom
	durationModels map[string]*durationModel // by queue
	slowdown       float64                   // like worker.slowdown, over all workers of the cell
	speeds         speeds
	// startDelay is how long a start waits until its record is stored.
	startDelay      time.Duration
	pass            *schedulingPass // the latest scheduling pass
	lookahead       *lookahead      // the latest lookahead, reused for lookaheadMaxAge
	needsScheduling bool            // an event may have made it possible to start a task
	pastUse         pastUseTurns
	adviceStats     AdviceStats

	interference      *interference // nil if Policy.SeparateImages is not set
	restoredPairs     []ImagePair   // not applied yet
	ignoredImagePairs [][2]string
}

// New returns a core without jobs or workers.
func New() *Core {
	return &Core{
		evacuated:       map[string]bool{},
		suspectAZ:       map[string]time.Time{},
		jobs:            map[string]*job{},
		held:            map[string][]byte{},
		suspended:       map[string]time.Time{},
		heldAcks:        map[string]int64{},
		active:          map[string]*job{},
		toRank:          map[string]*job{},
		workers:         map[string]*worker{},
		unacked:         map[string]*worker{},
		changedWorkers:  map[string]bool{},
		misdirected:     map[string]misdirection{},
		usage:           map[string]model.Resources{},
		rates:           map[string]*rateMeter{},
		adviceStats:     newAdviceStats(),
		durationModels:  map[string]*durationModel{},
		reservedWorkers: map[string]*worker{},
		reservations:    gangReservations{byStep: map[*step]*gangReservation{}, milliCores: map[string]int64{}},
		isolatedWorkers: map[string]int{},
		silent:          map[string]silentTasks{},
		speeds:          newSpeeds(),
		pastUse:         pastUseTurns{perPass: pastUsePerPass},
	}
}

// Start is a decision to start a run. It is sent once the row that records it is stored.
type Start struct {
	Worker workload.Worker
	Order  workload.StartOrder // without lease and fence, which are set when it is sent
	// DecidedAt is when the worker was chosen, by what was known of it then.
	DecidedAt time.Time
}

// StopOrder is a decision to stop a run.
type StopOrder struct {
	Worker workload.Worker
	Run    workload.Run
}

// Event is a decision, or a change in what the core assumes about workers, for the log.
type Event struct {
	Name   string
	Fields []any // alternating keys and values
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
	out := c.stopOrders
	c.stopOrders = nil
	return out
}

// SetCell installs a configuration. A version that is not newer than the current one is
// ignored.
func (c *Core) SetCell(cell *workload.Cell) {
	if c.cell != nil && cell.Version <= c.cell.Version {
		return
	}
	c.cell = cell
	c.needsScheduling = true
	c.emit("configuration in force", "version", cell.Version)
}

// SetEvacuated begins or ends the evacuation of an availability zone. No tasks start in
// an evacuated zone.
func (c *Core) SetEvacuated(az string, on bool) {
	if c.evacuated[az] == on {
		return
	}
	if on {
		c.evacuated[az] = true
	} else {
		delete(c.evacuated, az)
	}
	c.needsScheduling = true
	c.emit("evacuation", "az", az, "on", on)
}

// JobState returns the state of a job that callers may see. Found is false if the core
// does not know the job.
func (c *Core) JobState(id string) (state workload.State, found bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.reportedState(), true
}

// Pending counts the accepted jobs of a queue that have not started a task. Jobs on a
// schedule are not counted.
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
	ReservedWorkers                              int            // workers with capacity reserved for gangs
	ReservedMilliCores                           int64          // reserved for gangs by amount
	HeldJobs                                     int            // accepted jobs that do not run, since their progress cannot be read
	SlowWorkers                                  map[string]int // by pool, if speeds are learned
	ImagePairs                                   int            // pairs of images that are kept apart
	TightSteps                                   int            // steps that wait behind others since their jobs can hardly be on time
}

// Stats returns the current gauges.
func (c *Core) Stats() Stats {
	s := Stats{ActiveJobs: len(c.active), ReservedWorkers: len(c.reservedWorkers), HeldJobs: len(c.held), TightSteps: c.tightSteps(), SlowWorkers: maps.Clone(c.speeds.slowByPool)}
	if c.interference != nil {
		s.ImagePairs = len(c.interference.pairs)
	}
	for _, n := range c.reservations.milliCores {
		s.ReservedMilliCores += n
	}
	for _, w := range c.workers {
		s.Workers++
		if w.reachable {
			s.Reachable++
			s.CapacityMilliCores += w.info.Capacity.MilliCores
		}
		s.RunningTasks += len(w.tasks)
		s.UsedMilliCores += w.used.MilliCores
	}
	return s
}

// queueOf returns the current policy of the job's queue, or the policy at the job's
// acceptance if the queue no longer exists.
func (c *Core) queueOf(j *job) *workload.Queue {
	if c.cell != nil {
		if q := c.cell.Queue(j.spec.Queue); q != nil {
			return q
		}
	}
	return &j.spec.Policy
}

// rateMeter is a token bucket that determines which jobs of a team exceed the team's
// rate.
type rateMeter struct {
	tokens    float64
	updatedMS int64
}

// rateBurstSeconds is the size of a team's burst, in seconds of its rate. Jobs beyond it
// rank behind the jobs of other teams.
const rateBurstSeconds = 2.0

// exceeds takes a token for a job accepted at ms (Unix milliseconds) and reports whether
// no token was left.
func (m *rateMeter) exceeds(weight float64, ms int64) bool {
	if m.updatedMS == 0 {
		m.tokens = weight * rateBurstSeconds
	} else if ms > m.updatedMS {
		m.tokens = min(weight*rateBurstSeconds, m.tokens+weight*float64(ms-m.updatedMS)/1000)
	}
	m.updatedMS = max(m.updatedMS, ms)
	if m.tokens < 1 {
		return true
	}
	m.tokens--
	return false
}

// timeOfMillis converts Unix milliseconds to a time.
func timeOfMillis(ms int64) time.Time { return time.UnixMilli(ms) }

// SetEvacuatedAZs replaces the set of evacuated zones.
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
