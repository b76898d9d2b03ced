package platform

import (
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Limits of the log of rows that cannot be used.
const (
	// rejectedLogInterval is the minimum time between two lines about one row, and
	// maxRejectedLines the number of lines within that time; further rows are logged at
	// debug level. Load pattern: other writers rewrite hundreds of such rows every second.
	rejectedLogInterval = 10 * time.Minute
	maxRejectedLines    = 50
	maxRejectedCause    = 200 // bytes of a cause, which may quote the row
)

// RejectedRows logs and counts rows that cannot be used. It is safe for concurrent use; a
// nil *RejectedRows does nothing.
type RejectedRows struct {
	log logr.Logger

	mu       sync.Mutex
	loggedAt map[rowName]time.Time
	counts   map[string]int64 // by table
}

type rowName struct{ table, key string }

// NewRejectedRows returns a log of rejected rows.
func NewRejectedRows(log logr.Logger) *RejectedRows {
	return &RejectedRows{log: log, loggedAt: map[rowName]time.Time{}, counts: map[string]int64{}}
}

// Add records that a row cannot be used.
func (r *RejectedRows) Add(row PartitionRow, cause error) {
	if r == nil {
		return
	}
	text := cause.Error()
	if len(text) > maxRejectedCause {
		text = text[:maxRejectedCause] + "..."
	}
	log := r.log.V(1)
	if r.count(rowName{row.Table, row.Key}, time.Now()) {
		log = r.log
	}
	log.Info("row cannot be used", "table", row.Table, "key", row.Key, "version", row.Version, "cause", text)
}

// count counts a row and reports whether a line about it is due.
func (r *RejectedRows) count(name rowName, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name.table]++
	for logged, at := range r.loggedAt {
		if now.Sub(at) >= rejectedLogInterval {
			delete(r.loggedAt, logged)
		}
	}
	if _, logged := r.loggedAt[name]; logged || len(r.loggedAt) >= maxRejectedLines {
		return false
	}
	r.loggedAt[name] = now
	return true
}

// Counts returns the number of rejected rows by table. A row that is read again counts
// again.
func (r *RejectedRows) Counts() map[string]int64 {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}
