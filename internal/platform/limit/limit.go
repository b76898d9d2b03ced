// Package limit limits the rate at which this process calls the platform's table and
// object store, and counts the calls. After an outage the rate stays within the budget,
// however many calls are pending.
package limit

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"cuminloft/internal/platform"
)

// Budget is this process's share of the platform's call rate.
type Budget struct {
	Writes float64 // a second
	Reads  float64 // a second
	Burst  int     // calls that need not wait after an idle time
}

// Names of the counters in the expvar map "platform".
const (
	countReads       = "reads"
	countWrites      = "writes"
	countRowsWritten = "rows_written"
	countWaits       = "waits"       // calls that the budget delayed
	countWaitMicros  = "wait_micros" // sum of the delays in microseconds
	countOverBudget  = "over_budget" // calls not sent because of the budget
	countConflicts   = "conflicts"
	countUnavailable = "unavailable"
	countAmbiguous   = "ambiguous"
)

var counters = expvar.NewMap("platform")

// Limiter enforces one budget, which a table and an object store share.
type Limiter struct {
	writes, reads *rate.Limiter
}

// NewLimiter returns a limiter with the full burst available.
func NewLimiter(b Budget) *Limiter {
	return &Limiter{
		writes: rate.NewLimiter(rate.Limit(b.Writes), b.Burst),
		reads:  rate.NewLimiter(rate.Limit(b.Reads), b.Burst),
	}
}

// wait delays a call until the budget permits it. It fails if the context would end
// first; the call must not be sent then.
func wait(ctx context.Context, l *rate.Limiter) error {
	began := time.Now()
	if err := l.Wait(ctx); err != nil {
		counters.Add(countOverBudget, 1)
		return fmt.Errorf("call budget: %w: %w", platform.ErrUnavailable, err)
	}
	if waited := time.Since(began); waited > time.Millisecond {
		counters.Add(countWaits, 1)
		counters.Add(countWaitMicros, waited.Microseconds())
	}
	return nil
}

func (l *Limiter) read(ctx context.Context) error {
	if err := wait(ctx, l.reads); err != nil {
		return err
	}
	counters.Add(countReads, 1)
	return nil
}

func (l *Limiter) write(ctx context.Context, rows int) error {
	if err := wait(ctx, l.writes); err != nil {
		return err
	}
	counters.Add(countWrites, 1)
	counters.Add(countRowsWritten, int64(rows))
	return nil
}

// count counts the errors of calls by kind.
func count(err error) {
	switch {
	case errors.Is(err, platform.ErrConflict):
		counters.Add(countConflicts, 1)
	case errors.Is(err, platform.ErrUnavailable):
		counters.Add(countUnavailable, 1)
	case errors.Is(err, platform.ErrAmbiguous):
		counters.Add(countAmbiguous, 1)
	}
}

type table struct {
	limiter *Limiter
	next    platform.Table
}

// Table returns t limited by the budget.
func (l *Limiter) Table(t platform.Table) platform.Table { return &table{l, t} }

// Get implements platform.Table.
func (t *table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.limiter.read(ctx); err != nil {
		return platform.Row{}, err
	}
	row, err := t.next.Get(ctx, key)
	count(err)
	return row, err
}

// Range implements platform.Table.
func (t *table) Range(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.limiter.read(ctx); err != nil {
		return nil, err
	}
	rows, err := t.next.Range(ctx, prefix, after, limit)
	count(err)
	return rows, err
}

// Apply implements platform.Table.
func (t *table) Apply(ctx context.Context, writes []platform.Write) ([]int64, error) {
	if err := t.limiter.write(ctx, len(writes)); err != nil {
		return nil, err
	}
	versions, err := t.next.Apply(ctx, writes)
	count(err)
	return versions, err
}

type objects struct {
	limiter *Limiter
	next    platform.ObjectStore
}

// Objects returns o limited by the budget.
func (l *Limiter) Objects(o platform.ObjectStore) platform.ObjectStore { return &objects{l, o} }

// Put implements platform.ObjectStore.
func (o *objects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.limiter.write(ctx, 1); err != nil {
		return err
	}
	err := o.next.Put(ctx, name, data)
	count(err)
	return err
}

// Get implements platform.ObjectStore.
func (o *objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.limiter.read(ctx); err != nil {
		return nil, err
	}
	data, err := o.next.Get(ctx, name)
	count(err)
	return data, err
}

// Delete implements platform.ObjectStore.
func (o *objects) Delete(ctx context.Context, name string) error {
	if err := o.limiter.write(ctx, 1); err != nil {
		return err
	}
	err := o.next.Delete(ctx, name)
	count(err)
	return err
}

// List implements platform.ObjectStore.
func (o *objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.limiter.read(ctx); err != nil {
		return nil, err
	}
	names, err := o.next.List(ctx, prefix)
	count(err)
	return names, err
}
