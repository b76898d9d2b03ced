package sched

import (
	"math/rand/v2"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// Core takes the scheduling decisions of one shard. It is not safe for concurrent use:
// the owner of the shard is its only caller.
//
// After a takeover the owner passes, in this order, ConfigChanged, JobAdded for each
// journaled job, TaskRestored, TaskAdopted, and last WorkerChanged. No task starts
// before a worker is ready.
type Core struct {
	shard     string
	rng       *rand.Rand
	now       time.Time
	decisions []Decision

	cfg          *config.Config
	queues       map[string]*config.Queue
	outOfService map[string]bool // names of AZs
	configured   map[string]bool // ids of workers

	workers        map[string]*worker
	indexedWorkers []*worker
	capacityIndex  capacityIndex
	racks          racks
	capacity       vec // sum over the usable workers
	used           vec // by all attempts that run or may run
	free           vec // sum of the free capacity in capacityIndex
	largest        vec // component-wise maximum capacity of any worker

	teams               map[string]*team
	teamList            []*team // sorted by name
	noOrg               *organisation
	grantKnown          map[string]bool
	otherShardsCapacity vec // usable capacity of the other shards
	fleetCapacity       vec // usable capacity of all shards

	jobs             map[model.JobID]*job
	endedJobs        endedJobs
	timers           timers
	estimates        estimates
	direct           directStats
	preemptions      preemptionState
	reservation      *reservation
	unhealthyWorkers int       // workers that are quarantined or probing
	nextHelpAt       time.Time // blocked jobs get no help before this time
	helpTimerSet     bool
	helpDue          bool
	gangPlan         []allocation
	victims          []*attempt

	// State of the next scheduling pass.
	activeTeams      [tiers][]*team // teams with ready tasks, per tier
	dirtyTeams       []*team
	grownWorkers     []*worker
	capacityGrew     bool
	maxGrownCapacity vec // component-wise maximum of the free capacity of grownWorkers
	fullPass         bool
	passNumber       uint64
	sharesChanged    bool
}

// New returns an empty core. Equal seeds and equal events give equal decisions.
func New(shard string, seed uint64) *Core {
	return &Core{
		shard:         shard,
		rng:           rand.New(rand.NewPCG(seed, 0)),
		cfg:           &config.Config{},
		outOfService:  make(map[string]bool),
		workers:       make(map[string]*worker),
		capacityIndex: newCapacityIndex(0),
		teams:         make(map[string]*team),
		noOrg:         &organisation{weight: 1},
		grantKnown:    make(map[string]bool),
		jobs:          make(map[model.JobID]*job),
		estimates:     newEstimates(),
	}
}

// Handle processes one event and returns the resulting decisions. The returned slice
// is valid until the next call. Time never goes back: an earlier now is replaced by
// the latest one seen.
func (c *Core) Handle(now time.Time, ev Event) []Decision {
	if now.After(c.now) {
		c.now = now
	}
	clear(c.decisions)
	c.decisions = c.decisions[:0]
	c.fireTimers()
	c.apply(ev)
	c.runPass()
	return c.decisions
}

// NextWake returns when the next Tick is due, unless another event arrives before.
func (c *Core) NextWake() (time.Time, bool) {
	if len(c.timers.list) == 0 {
		return time.Time{}, false
	}
	return c.timers.list[0].at, true
}

func (c *Core) apply(ev Event) {
	switch ev := ev.(type) {
	case ConfigChanged:
		c.configChanged(ev.Config)
	case WorkerChanged:
		c.workerChanged(ev)
	case JobAdded:
		c.jobAdded(ev)
	case TaskRestored:
		c.taskRestored(ev)
	case JobCancelled:
		c.jobCancelled(ev.Job)
	case TaskAdopted:
		c.taskAdopted(ev)
	case StartConfirmed:
		c.startConfirmed(ev)
	case StartRefused:
		c.startRefused(ev)
	case TaskEnded:
		c.taskEnded(ev)
	case UsageReported:
		c.usageReported(ev)
	case GrantChanged:
		c.grantChanged(ev)
	case FleetUsage:
		c.fleetUsage(ev)
	case Tick:
	}
}

func (c *Core) emit(d Decision) { c.decisions = append(c.decisions, d) }

// Used returns the capacity taken by all attempts that run or may run.
func (c *Core) Used() model.Resources { return c.used.resources() }

// Capacity returns the capacity of the workers on which tasks may start.
func (c *Core) Capacity() model.Resources { return c.capacity.resources() }

// Usage is what one team uses and has pending on this shard.
type Usage struct {
	Team    string
	Used    model.Resources
	Pending model.Resources // sum of the sizes of the tasks that may start
}

// TeamUsage returns the usage of every known team, by name.
func (c *Core) TeamUsage() []Usage {
	list := make([]Usage, 0, len(c.teamList))
	for _, t := range c.teamList {
		list = append(list, Usage{t.name, t.used.resources(), t.pendingSize.resources()})
	}
	return list
}

// Pending returns the number of pending direct requests and the number of pending
// tasks of other jobs.
func (c *Core) Pending() (direct, jobs int) {
	for _, t := range c.teamList {
		direct += t.pending[laneUrgent] + t.pending[laneDirect]
		jobs += t.pending[laneService] + t.pending[laneUrgentBatch] + t.pending[laneBatch]
	}
	return direct, jobs
}

// WorkerUsage is the capacity that the attempts on one worker take.
type WorkerUsage struct {
	Worker      string
	Used        model.Resources
	Connections int
	Attempts    int
	Usable      bool // tasks may start on the worker now
}

// Workers returns the usage of every indexed worker, in the order of the capacity
// index.
func (c *Core) Workers() []WorkerUsage {
	list := make([]WorkerUsage, 0, len(c.indexedWorkers))
	for _, w := range c.indexedWorkers {
		list = append(list, WorkerUsage{w.spec.ID, w.used.resources(), int(w.used[dimConnections]), len(w.attempts), c.usable(w)})
	}
	return list
}
