// Package cellwatch keeps a process's view of the operators' changes: the newest
// configuration, the evacuated availability zones and the maintenance campaigns.
package cellwatch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/platform"
	"cuminloft/internal/workload"
)

// pollWait is how long one read waits for a change. It bounds the time after which a
// store that stopped answering is noticed.
const pollWait = 900 * time.Millisecond

// staleAfter is the age of the last successful read from which the view may be out of
// date; a configuration change must be in force within 2 s.
const staleAfter = 1500 * time.Millisecond

// Watch is the view of the operators' changes. Its configuration never returns to an
// older version.
type Watch struct {
	feed           platform.Feed[workload.OperatorChange]
	log            logr.Logger
	status         *platform.ReadStatus
	recentlyServed func(now time.Time) bool

	mu        sync.Mutex
	cell      *workload.Cell
	evacuated map[string]bool
	campaigns map[int64]workload.Maintenance
}

// New returns a view that has read no changes yet. recentlyServed reports whether the
// store has recently served other calls of this process.
func New(feed platform.Feed[workload.OperatorChange], recentlyServed func(now time.Time) bool, log logr.Logger) *Watch {
	return &Watch{
		feed: feed, log: log, status: platform.NewReadStatus(log, "operators' changes"), recentlyServed: recentlyServed,
		evacuated: map[string]bool{}, campaigns: map[int64]workload.Maintenance{},
	}
}

// Run follows the operators' changes until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	return platform.Follow(ctx, w.feed, 0, platform.Follower[workload.OperatorChange]{
		Wait:     pollWait,
		OnList:   w.applyAll,
		OnChange: w.apply,
		OnRead:   w.status.Record,
	})
}

// Cell returns the configuration in force on this host; nil before the first read.
func (w *Watch) Cell() *workload.Cell {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cell
}

// Evacuated returns the AZs in which no task may start.
func (w *Watch) Evacuated() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]string, 0, len(w.evacuated))
	for az := range w.evacuated {
		out = append(out, az)
	}
	return out
}

// Campaigns returns the maintenance campaigns that operators requested, ordered by ID.
func (w *Watch) Campaigns() []workload.Maintenance {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]workload.Maintenance, 0, len(w.campaigns))
	for _, m := range w.campaigns {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b workload.Maintenance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Fresh reports whether the view is current. The view also counts as current while the
// store refuses reads of the operators' rows but serves other calls: the operators cannot
// change these rows either. Load pattern: a store of which some partitions are down.
func (w *Watch) Fresh(now time.Time) bool {
	return w.status.Fresh(now, staleAfter) || w.status.Refused() && w.recentlyServed(now)
}

func (w *Watch) applyAll(_ context.Context, all []workload.OperatorChange) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated = map[string]bool{}
	w.campaigns = map[int64]workload.Maintenance{}
	w.applyChanges(all)
	return nil
}

func (w *Watch) apply(_ context.Context, changes []workload.OperatorChange) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyChanges(changes)
	return nil
}

// applyChanges applies changes in turn. The caller holds mu, until all are applied.
func (w *Watch) applyChanges(changes []workload.OperatorChange) {
	for _, ch := range changes {
		switch {
		case ch.Cell != nil && (w.cell == nil || ch.Cell.Version > w.cell.Version):
			w.log.Info("configuration in force", "version", ch.Cell.Version)
			w.cell = ch.Cell
		case ch.Maintenance != nil && ch.Withdrawn:
			delete(w.campaigns, ch.Maintenance.ID)
			w.log.Info("maintenance campaign withdrawn", "campaign", ch.Maintenance.ID)
		case ch.Maintenance != nil:
			w.campaigns[ch.Maintenance.ID] = *ch.Maintenance
			w.log.Info("maintenance campaign", "campaign", ch.Maintenance.ID, "hosts", len(ch.Maintenance.Hosts),
				"at_once", ch.Maintenance.MaxConcurrent, "within", ch.Maintenance.Window)
		case ch.EvacuatedAZ != "" && ch.Withdrawn:
			delete(w.evacuated, ch.EvacuatedAZ)
			w.log.Info("evacuation ends", "az", ch.EvacuatedAZ)
		case ch.EvacuatedAZ != "":
			w.evacuated[ch.EvacuatedAZ] = true
			w.log.Info("evacuation begins", "az", ch.EvacuatedAZ)
		}
	}
}
