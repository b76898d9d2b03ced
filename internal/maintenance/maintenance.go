// Package maintenance decides which hosts of a maintenance campaign are emptied
// and when their maintenance starts. It does no I/O. Load pattern: hosts full of
// tasks that end by themselves within seconds, and of services that may not all be
// away at once.
package maintenance

import (
	"cmp"
	"slices"
	"time"

	"cuminloft/internal/workload"
)

// patienceShare of the time that a campaign leaves for each host is how long its
// tasks may take to end by themselves; then they are stopped.
const patienceShare = 0.5

// settling is how long a host may still be shown as it was before its maintenance
// started.
const settling = 10 * time.Second

// start is the start of a host's maintenance.
type start struct {
	worker string // before it; "" if an earlier coordinator started it
	at     time.Time
	down   bool // the host was shown as down since
}

// Host is what the planner knows of a host of the campaign.
type Host struct {
	Up     bool
	Worker string
	Tasks  int // that may be running on its worker
}

// Campaign is the state of one campaign. Not safe for concurrent use.
type Campaign struct {
	workload.Maintenance
	begun   map[string]*start    // hosts whose maintenance has started
	emptied map[string]time.Time // hosts being emptied, since when
}

// New returns a campaign of which the maintenance of some hosts has started.
func New(m workload.Maintenance, begun []string, now time.Time) *Campaign {
	c := &Campaign{Maintenance: m, begun: map[string]*start{}, emptied: map[string]time.Time{}}
	for _, host := range begun {
		c.begun[host] = &start{at: now}
	}
	return c
}

// Plan is what to do next.
type Plan struct {
	Cordon []string // workers on which nothing may start
	Vacate []string // workers whose tasks are to be stopped
	Order  []string // hosts whose maintenance is to start now
	// Completed tells that every host has had its maintenance and is up again.
	Completed bool
}

// Next decides what follows from the present state of all hosts.
func (c *Campaign) Next(hosts map[string]Host, now time.Time) Plan {
	var p Plan
	waiting := c.waiting(hosts)
	down := c.down(hosts, now)
	for host := range c.emptied {
		if !slices.Contains(waiting, host) {
			delete(c.emptied, host)
		}
	}
	for _, host := range waiting {
		if _, chosen := c.emptied[host]; !chosen && hosts[host].Up && len(c.emptied)+down < max(1, c.MaxConcurrent) {
			c.emptied[host] = now
		}
	}
	for _, host := range waiting {
		since, chosen := c.emptied[host]
		if !chosen {
			continue
		}
		h := hosts[host]
		p.Cordon = append(p.Cordon, h.Worker)
		switch {
		case !h.Up:
		case h.Tasks == 0:
			p.Order = append(p.Order, host)
		case now.Sub(since) > c.patience():
			p.Vacate = append(p.Vacate, h.Worker)
		}
	}
	p.Completed = len(waiting) == 0 && down == 0
	return p
}

// waiting returns the hosts that have yet to start their maintenance, the emptiest
// first. Hosts that are gone need none.
func (c *Campaign) waiting(hosts map[string]Host) []string {
	var out []string
	for _, host := range c.Hosts {
		if _, begun := c.begun[host]; begun {
			continue
		}
		if _, exists := hosts[host]; exists {
			out = append(out, host)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(hosts[a].Tasks, hosts[b].Tasks) })
	return out
}

// down counts the hosts that are down for this campaign: not up, or shown as
// before though their maintenance has started.
func (c *Campaign) down(hosts map[string]Host, now time.Time) int {
	n := 0
	for host, s := range c.begun {
		h, exists := hosts[host]
		if !exists {
			continue
		}
		s.down = s.down || !h.Up
		stale := !s.down && s.worker != "" && h.Worker == s.worker && now.Sub(s.at) < settling
		if !h.Up || stale {
			n++
		}
	}
	return n
}

// patience is how long a host's tasks may take to end by themselves.
func (c *Campaign) patience() time.Duration {
	rounds := (len(c.Hosts) + max(1, c.MaxConcurrent) - 1) / max(1, c.MaxConcurrent)
	return time.Duration(patienceShare * float64(c.Window) / float64(max(1, rounds)))
}

// Began takes note that a host's maintenance has started.
func (c *Campaign) Began(host, worker string, now time.Time) {
	c.begun[host] = &start{worker: worker, at: now}
	delete(c.emptied, host)
}

// Begun returns the hosts whose maintenance has started, in order.
func (c *Campaign) Begun() []string {
	out := make([]string, 0, len(c.begun))
	for host := range c.begun {
		out = append(out, host)
	}
	slices.Sort(out)
	return out
}
