package workload

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"

	"cuminloft/internal/model"
)

// Queue accepts jobs of one kind.
type Queue struct {
	Name       string
	Host       string // host name in the URLs of requests
	PathPrefix string
	Pool       string // worker pool that runs its tasks
	Priority   int    // 0 comes first
	// MaxAttempts is the number of failed runs after which a task fails.
	MaxAttempts int
	// A job's objective is Slack times the duration of its longest chain of steps, plus
	// Allowance.
	Slack     float64
	Allowance time.Duration
	Public    bool // callers need no key
	// Advice is set if the external advice service decides which workers are eligible.
	Advice *AdviceCost
}

// AdviceCost is the duration of a call to the advice service.
type AdviceCost struct {
	PerCall   time.Duration
	PerWorker time.Duration
	Validity  time.Duration // of a ticket
}

// Duration returns the duration of a call that names n workers.
func (a *AdviceCost) Duration(n int) time.Duration {
	return a.PerCall + time.Duration(n)*a.PerWorker
}

// Team is a customer of the cell.
type Team struct {
	Name   string
	Weight float64
	// Limit bounds the resources of the team's running tasks; a zero component is
	// unlimited.
	Limit model.Resources
}

// Cell is one version of the operators' configuration.
type Cell struct {
	Version int64
	queues  []Queue // longest prefix first
	byName  map[string]*Queue
	teams   map[string]*Team
	keys    map[[sha256.Size]byte]string // digest of an API key to the name of its team
}

// NewCell indexes a configuration. keys maps each API key to the name of its team.
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

// Match returns the queue of the host with the longest matching path prefix, or nil.
func (c *Cell) Match(host, path string) *Queue {
	for i := range c.queues {
		q := &c.queues[i]
		if q.Host == host && strings.HasPrefix(path, q.PathPrefix) {
			return q
		}
	}
	return nil
}

// Queue returns the queue with a name, or nil.
func (c *Cell) Queue(name string) *Queue { return c.byName[name] }

// Team returns the team with a name, or nil.
func (c *Cell) Team(name string) *Team { return c.teams[name] }

// TeamOfKey returns the name of the team that owns an API key. Keys are looked up by
// digest, so that the lookup time reveals nothing about other keys.
func (c *Cell) TeamOfKey(key string) (string, bool) {
	team, ok := c.keys[sha256.Sum256([]byte(key))]
	return team, ok
}

// OperatorChange is one change that operators requested.
type OperatorChange struct {
	Cell *Cell // set for a new configuration
	// EvacuatedAZ is set if an evacuation of that AZ begins, or ends if Withdrawn is
	// set.
	EvacuatedAZ string
	// Maintenance is set if a campaign begins, or ends if Withdrawn is set.
	Maintenance *Maintenance
	Withdrawn   bool
}
