package workload

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"

	"cuminloft/internal/model"
)

// Queue is where callers submit jobs of one kind.
type Queue struct {
	Name       string
	Host       string // host name of the callers' requests
	PathPrefix string
	Pool       string // worker pool that runs its tasks
	Priority   int    // 0 comes first
	// MaxAttempts is the number of failed runs after which a task is given up.
	MaxAttempts int
	// A job's objective is Slack times its longest chain of work, plus Allowance.
	Slack     float64
	Allowance time.Duration
	Public    bool // callers need no key
	// Advice is set where an external service decides which workers are eligible.
	Advice *AdviceCost
}

// AdviceCost tells how long the advice service takes for one call.
type AdviceCost struct {
	PerCall   time.Duration
	PerWorker time.Duration
	Validity  time.Duration // of a ticket
}

// Duration returns how long a call that names n workers takes.
func (a *AdviceCost) Duration(n int) time.Duration {
	return a.PerCall + time.Duration(n)*a.PerWorker
}

// Team is a customer within the cell.
type Team struct {
	Name   string
	Weight float64
	// Limit is what the team may have running; a zero component is unlimited.
	Limit model.Resources
}

// Cell is one version of what operators declared.
type Cell struct {
	Version int64
	queues  []Queue // longest prefix first
	byName  map[string]*Queue
	teams   map[string]*Team
	keys    map[[sha256.Size]byte]string // digest of a key to its team
}

// NewCell indexes a configuration. Keys maps each key to the name of its team.
func NewCell(version int64, queues []Queue, teams []Team, keys map[string]string) *Cell {
	c := &Cell{
		Version: version,
		queues:  append([]Queue(nil), queues...),
		byName:  make(map[string]*Queue, len(queues)),
		teams:   make(map[string]*Team, len(teams)),
		keys:    make(map[[sha256.Size]byte]string, len(keys)),
	}
	sort.SliceStable(c.queues, func(a, b int) bool {
		return len(c.queues[a].PathPrefix) > len(c.queues[b].PathPrefix)
	})
	for i := range c.queues {
		c.byName[c.queues[i].Name] = &c.queues[i]
	}
	for i := range teams {
		team := teams[i]
		c.teams[team.Name] = &team
	}
	for key, team := range keys {
		c.keys[sha256.Sum256([]byte(key))] = team
	}
	return c
}

// Match returns the queue with the longest prefix of path on host, or nil.
func (c *Cell) Match(host, path string) *Queue {
	for i := range c.queues {
		q := &c.queues[i]
		if q.Host == host && strings.HasPrefix(path, q.PathPrefix) {
			return q
		}
	}
	return nil
}

// Queue returns the queue of that name, or nil.
func (c *Cell) Queue(name string) *Queue { return c.byName[name] }

// Team returns the team of that name, or nil.
func (c *Cell) Team(name string) *Team { return c.teams[name] }

// TeamOfKey returns the name of the team that holds key. Keys are looked up by
// digest, so the time taken says nothing about other keys.
func (c *Cell) TeamOfKey(key string) (string, bool) {
	team, ok := c.keys[sha256.Sum256([]byte(key))]
	return team, ok
}

// OperatorChange is one change of what operators ask for.
type OperatorChange struct {
	Cell *Cell // set for a new configuration
	// EvacuatedAZ is set when an evacuation of that zone begins, or ends if
	// Withdrawn.
	EvacuatedAZ string
	// Maintenance is set when a campaign begins, or ends if Withdrawn.
	Maintenance *Maintenance
	Withdrawn   bool
}
