// Package cellwatch keeps a process's view of what operators declared: the
// newest configuration and the evacuated availability zones.
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

// pollWait is how long one read waits for a change. It bounds how long a store
// that went silent stays unnoticed.
const pollWait = 900 * time.Millisecond

// staleAfter is the age of the last good read from which the view may be out of
// date; config changes must be in force within 2 s.
const staleAfter = 1500 * time.Millisecond

// Watch is the view. Its configuration never goes back to an older version.
type Watch struct {
	feed    platform.Feed[workload.OperatorChange]
	log     logr.Logger
	reading *platform.ReadStatus
	serves  func(now time.Time) bool

	mu        sync.Mutex
	cell      *workload.Cell
	evacuated map[string]bool
	campaigns map[int64]workload.Maintenance
}

// New returns a view that has seen nothing yet. Serves tells whether the store has
// served other calls of this process lately.
func New(feed platform.Feed[workload.OperatorChange], serves func(now time.Time) bool, log logr.Logger) *Watch {
	return &Watch{
		feed: feed, log: log, reading: platform.NewReadStatus(log, "operators' changes"), serves: serves,
		evacuated: map[string]bool{}, campaigns: map[int64]workload.Maintenance{},
	}
}

// Run follows the operators' changes until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	return platform.Follow(ctx, w.feed, 0, platform.Follower[workload.OperatorChange]{
		Wait:     pollWait,
		OnList:   w.listed,
		OnChange: w.changed,
		OnRead:   w.reading.Record,
	})
}

// Cell returns the configuration in force here, nil before the first one.
func (w *Watch) Cell() *workload.Cell {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cell
}

// Evacuated returns the zones in which nothing may start.
func (w *Watch) Evacuated() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]string, 0, len(w.evacuated))
	for az := range w.evacuated {
		out = append(out, az)
	}
	return out
}

// Campaigns returns the maintenance campaigns that operators ask for, in order.
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

// Fresh reports whether the view is current. It is, too, while the store refuses to
// read the operators' rows but serves other calls: then these rows are out of reach of
// the operators as well. Load pattern: a store of which some partitions are down.
func (w *Watch) Fresh(now time.Time) bool {
	return w.reading.Fresh(now, staleAfter) || w.reading.Refused() && w.serves(now)
}

func (w *Watch) listed(ctx context.Context, all []workload.OperatorChange) error {
	w.mu.Lock()
	w.evacuated = map[string]bool{}
	w.campaigns = map[int64]workload.Maintenance{}
	w.mu.Unlock()
	return w.changed(ctx, all)
}

func (w *Watch) changed(_ context.Context, changes []workload.OperatorChange) error {
	w.mu.Lock()
	defer w.mu.Unlock()
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
	return nil
}
