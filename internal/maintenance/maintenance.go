// Package maintenance plans maintenance campaigns: which hosts' workers are cordoned
// and evicted, and when the maintenance of a host starts. It does no I/O. Load pattern:
// hosts full of tasks that end by themselves within seconds, and of services that may
// not all be unavailable at once.
package maintenance

import (
	"cmp"
	"slices"
	"time"

	"cuminloft/internal/workload"
)

// drainShare is the share of the time per host during which tasks may end by
// themselves; then they are evicted.
const drainShare = 0.5

// maxListingDelay is how long a host may still be listed in its old state after its
// maintenance has started.
const maxListingDelay = 10 * time.Second

// start is the start of a host's maintenance.
type start struct {
	worker string // the worker before the maintenance; "" if an earlier coordinator started it
	at     time.Time
	down   bool // the host has been listed as down since
}

// Host is the current state of a host of the campaign.
type Host struct {
	Up            bool
	InMaintenance bool
	Worker        string
	Tasks         int // tasks that may be running on its worker
}

// Campaign is the state of one campaign. Not safe for concurrent use.
type Campaign struct {
	workload.Maintenance
	begun    time.Time            // when a coordinator first worked on the campaign
	started  map[string]*start    // hosts whose maintenance has started
	draining map[string]time.Time // hosts being drained, with the time since when
}

// New returns a campaign that began at the given time, and in which the maintenance of the
// given hosts has started already.
func New(m workload.Maintenance, started []string, begun, now time.Time) *Campaign {
	c := &Campaign{Maintenance: m, begun: begun, started: map[string]*start{}, draining: map[string]time.Time{}}
	for _, host := range started {
		c.started[host] = &start{at: now}
	}
	return c
}

// Plan lists the next actions of a campaign.
type Plan struct {
	Cordon []string // workers on which no task may start
	Evict  []string // workers whose tasks are to be stopped
	Start  []string // hosts whose maintenance is to start now
	// Completed is set when every host has had its maintenance and is up again.
	Completed bool
}

// Next returns the actions that follow from the current state of all hosts.
func (c *Campaign) Next(hosts map[string]Host, now time.Time) Plan {
	var p Plan
	waiting := c.waiting(hosts)
	down := c.down(hosts, now)
	for host := range c.draining {
		if !slices.Contains(waiting, host) {
			delete(c.draining, host)
		}
	}
	for _, host := range waiting {
		if _, chosen := c.draining[host]; !chosen && hosts[host].Up && len(c.draining)+down < max(1, c.MaxConcurrent) {
			c.draining[host] = now
		}
	}
	for _, host := range waiting {
		since, chosen := c.draining[host]
		if !chosen {
			continue
		}
		h := hosts[host]
		p.Cordon = append(p.Cordon, h.Worker)
		switch {
		case !h.Up:
		case h.Tasks == 0:
			p.Start = append(p.Start, host)
		case now.After(c.drainDeadline(since)):
			p.Evict = append(p.Evict, h.Worker)
		}
	}
	p.Completed = len(waiting) == 0 && down == 0
	return p
}

// waiting returns the hosts whose maintenance has not started, those with the fewest
// tasks first. Hosts that no longer exist need none.
func (c *Campaign) waiting(hosts map[string]Host) []string {
	var out []string
	for _, host := range c.Hosts {
		if _, hasStarted := c.started[host]; hasStarted {
			continue
		}
		if _, exists := hosts[host]; exists {
			out = append(out, host)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(hosts[a].Tasks, hosts[b].Tasks) })
	return out
}

// down counts the hosts that are down for this campaign: not up, or still listed in
// their old state although their maintenance has started. Those that are being drained are
// counted apart. An order of an earlier coordinator that is not stored, or that got no
// answer, shows only in the host's state.
func (c *Campaign) down(hosts map[string]Host, now time.Time) int {
	n := 0
	for host, s := range c.started {
		h, exists := hosts[host]
		if !exists {
			continue
		}
		s.down = s.down || !h.Up
		stale := !s.down && s.worker != "" && h.Worker == s.worker && now.Sub(s.at) < maxListingDelay
		if !h.Up || stale {
			n++
		}
	}
	for _, host := range c.Hosts {
		_, hasStarted := c.started[host]
		_, chosen := c.draining[host]
		if !hasStarted && !chosen && hosts[host].InMaintenance {
			n++
		}
	}
	return n
}

// drainDeadline returns the time until which the tasks may end by themselves on a host
// that has been drained since the given time: a share of the time for each host, but no
// later than the campaign's schedule allows, whichever coordinator began to drain it.
func (c *Campaign) drainDeadline(since time.Time) time.Time {
	concurrent := max(1, c.MaxConcurrent)
	rounds := max(1, (len(c.Hosts)+concurrent-1)/concurrent)
	perRound := c.Window / time.Duration(rounds)
	drain := time.Duration(drainShare * float64(perRound))
	round := len(c.started) / concurrent
	scheduled := c.begun.Add(time.Duration(round)*perRound + drain)
	if own := since.Add(drain); own.Before(scheduled) {
		return own
	}
	return scheduled
}

// MarkStarted records that a host's maintenance has started.
func (c *Campaign) MarkStarted(host, worker string, now time.Time) {
	c.started[host] = &start{worker: worker, at: now}
	delete(c.draining, host)
}

// Started returns the hosts whose maintenance has started, sorted.
func (c *Campaign) Started() []string {
	out := make([]string, 0, len(c.started))
	for host := range c.started {
		out = append(out, host)
	}
	slices.Sort(out)
	return out
}
