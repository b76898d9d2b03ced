package sched

import (
	"math/rand/v2"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// Core decides for one shard. It is not safe for concurrent use: the owner of
// the shard is its only caller.
//
// After a takeover the owner passes, in this order, ConfigChanged, JobAdded
// for each journaled job, TaskRestored, TaskAdopted, and last WorkerChanged.
// Nothing starts before a worker is ready.
type Core struct {
	shard string
	rng   *rand.Rand
	now   time.Time
	out   []Decision

	cfg          *config.Config
	queues       map[string]*config.Queue
	outOfService map[string]bool // AZs
	configured   map[string]bool // workers

	workers  map[string]*worker
	byPos    []*worker
	index    roomIndex
	racks    racks
	capacity vec // of the usable workers
	used     vec // by all attempts
	free     vec // in the index, added up
	largest  vec // component-wise maximum over the workers

	teams      map[string]*team
	teamList   []*team // by name
	noOrg      *organisation
	grantKnown map[string]bool
	elsewhere  vec // capacity of the other shards
	total      vec // capacity of the fleet

	jobs      map[model.JobID]*job
	recent    recent
	timers    timers
	estimates estimates
	direct    direct
	preempts  preempts
	reserved  *reservation
	suspects  int       // workers that are out or on probe
	helpAt    time.Time // no help for blocked work before
	helpArmed bool
	helpDue   bool
	plan      []hold
	victims   []*attempt

	// What the next pass has to look at.
	active        [tiers][]*team // teams with ready tasks, per tier
	dirtyTeams    []*team
	grewWorkers   []*worker
	roomGrew      bool
	roomMax       vec // component-wise maximum of the room of the workers that grew
	passAll       bool
	pass          uint64
	sharesChanged bool
}

// New returns an empty core. Equal seeds and equal events give equal decisions.
func New(shard string, seed uint64) *Core {
	return &Core{
		shard:        shard,
		rng:          rand.New(rand.NewPCG(seed, 0)),
		cfg:          &config.Config{},
		outOfService: make(map[string]bool),
		workers:      make(map[string]*worker),
		index:        newRoomIndex(0),
		teams:        make(map[string]*team),
		noOrg:        &organisation{weight: 1},
		grantKnown:   make(map[string]bool),
		jobs:         make(map[model.JobID]*job),
		estimates:    newEstimates(),
	}
}

// Handle takes one event and returns what follows from it. The returned slice
// is valid until the next call. Times never go back; an earlier now counts as
// the latest one seen.
func (c *Core) Handle(now time.Time, ev Event) []Decision {
	if now.After(c.now) {
		c.now = now
	}
	clear(c.out)
	c.out = c.out[:0]
	c.fireTimers()
	c.apply(ev)
	c.place()
	return c.out
}

// NextWake returns when the next Tick is due, if nothing else happens before.
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

func (c *Core) decide(d Decision) { c.out = append(c.out, d) }

// Used returns the room taken by everything that runs or may run.
func (c *Core) Used() model.Resources { return c.used.resources() }

// Capacity returns the capacity of the workers on which work may start.
func (c *Core) Capacity() model.Resources { return c.capacity.resources() }

// Usage is what one team runs and waits for on this shard.
type Usage struct {
	Team    string
	Used    model.Resources
	Pending model.Resources // sizes of the tasks that may start, added up
}

// TeamUsage returns the usage of every known team, by name.
func (c *Core) TeamUsage() []Usage {
	list := make([]Usage, 0, len(c.teamList))
	for _, t := range c.teamList {
		list = append(list, Usage{t.name, t.used.resources(), t.waiting.resources()})
	}
	return list
}

// Pending returns the number of direct requests that wait to be started, and
// the number of waiting tasks of jobs.
func (c *Core) Pending() (direct, jobs int) {
	for _, t := range c.teamList {
		direct += t.pending[laneUrgent] + t.pending[laneDirect]
		jobs += t.pending[laneService] + t.pending[laneUrgentWork] + t.pending[laneWork]
	}
	return direct, jobs
}

// WorkerUsage is the room that one worker's attempts take.
type WorkerUsage struct {
	Worker      string
	Used        model.Resources
	Connections int
	Attempts    int
	Usable      bool // new work may start there now
}

// Workers returns the usage of every worker that the configuration names, in
// the order of the room index.
func (c *Core) Workers() []WorkerUsage {
	list := make([]WorkerUsage, 0, len(c.byPos))
	for _, w := range c.byPos {
		list = append(list, WorkerUsage{w.spec.ID, w.used.resources(), int(w.used[dimConnections]), len(w.attempts), c.usable(w)})
	}
	return list
}
