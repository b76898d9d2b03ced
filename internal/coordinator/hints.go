package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/platform"
)

// Hints are what the core has learned and would learn again: losing them reduces quality,
// never correctness. Load pattern: a takeover under load, after which the new coordinator
// would place hundreds of tasks before it has observed any worker.
const (
	// hintTable and hintPartition hold one row for each kind of hint, under its name. Older
	// builds do not read the table.
	hintTable     = "hints"
	hintPartition = "hints"
	// hintVersion is the version of the rows' format. Rows of other versions are ignored.
	hintVersion = 1
)

// Timing and limits of hints.
const (
	// hintInterval is the time between two writes of a row, so a takeover loses at most 3 s
	// of learning. A row may have 48 KiB, which is a tenth of a thin link at this interval;
	// thinHintInterval applies there.
	hintInterval     = 3 * time.Second
	thinHintInterval = 12 * time.Second
	// hintRefresh is the time after which a row is written although it has not changed. It
	// keeps the row of a quiet cell younger than maxHintAge and replaces the row of a former
	// coordinator that wrote late.
	hintRefresh = 2 * time.Minute
	// hintWriteTimeout is twice the duration of a transaction at a store that is a hundred
	// times slower than usual.
	hintWriteTimeout = time.Second
	// hintReadTimeout is shorter than hintInterval, so that a row is never written before
	// the attempt to read it has ended.
	hintReadTimeout = 2 * time.Second
	// maxHintBytes is the size of the longest row; the store accepts 64 KiB.
	maxHintBytes = 48 << 10
	// maxHintAge is the age from which hints count as stale, by the store's clock: workers
	// and load have changed in the meantime.
	maxHintAge = 10 * time.Minute
	// staleHintWeight is the share of their observations with which stale hints are
	// restored, so that four times less evidence overrides them.
	staleHintWeight = 0.25
)

// Outcomes of storing or restoring a row of hints, as counted by the Observer.
const (
	HintsWritten  = "written"
	HintsSkipped  = "skipped"  // a write was due and was not made, or its success is not known
	HintsRestored = "restored" // a row was passed to the core
	HintsIgnored  = "ignored"  // a row was not read in time or cannot be used
)

// hintEntry is one entry of a row of hints, in its stored form.
type hintEntry[T any] interface {
	// information orders entries: those with more of it are kept if a row has no space for
	// all.
	information() float64
	// usable reports whether the values of a stored entry are possible.
	usable() bool
	// aged returns the entry as it is restored after a time, with its observations
	// multiplied by weight.
	aged(age time.Duration, weight float64) T
}

// hintKind is a kind of hint: how its entries are encoded and restored.
type hintKind struct {
	name string
	// enabled reports whether the policy switches on the part of scheduling that learns
	// these hints. Otherwise they are neither read nor written.
	enabled func(dispatch.Policy) bool
	// collect copies the entries from the core. The function that it returns encodes them
	// and needs not run in the event loop.
	collect func(*dispatch.Core) (encode func() []json.RawMessage)
	// decode decodes stored entries. restore passes them to the core.
	decode func(entries []json.RawMessage, age time.Duration, weight float64) (restore func(*dispatch.Core), err error)
}

// hintRow is a stored row of hints.
type hintRow struct {
	Version int   `json:"v"`
	Epoch   int64 `json:"epoch"` // of the writer
	// ClockMS is the store's clock when the row was written, in milliseconds; 0 if it was
	// not known.
	ClockMS int64             `json:"clock_ms,omitempty"`
	Entries []json.RawMessage `json:"entries"`
}

// hintStorage is the state of the hints during a term. It belongs to the event loop.
type hintStorage struct {
	dueAt   time.Time // when the next round of writes is due
	writing bool      // a round of writes is in progress
	stored  map[string]storedHints
}

// storedHints is what is known of the stored row of a kind.
type storedHints struct {
	entries   string    // as stored; empty if the row is absent or cannot be used
	at        time.Time // when this term wrote the row
	uncertain bool      // the latest write failed and may have been applied
}

// Events of the event loop.
type (
	// hintsRead reports the row of a kind; restore is nil if there is none to use.
	hintsRead struct {
		kind    string
		entries string
		restore func(*dispatch.Core)
	}
	// hintsStored ends a round of writes, with the new state by kind.
	hintsStored map[string]storedHints
)

// readHints reads the rows of the enabled kinds concurrently and posts what they hold. The
// load does not wait for it; after hintReadTimeout the hints are learned again.
func (t *termLoop) readHints(ctx context.Context) {
	policy := t.Policy()
	for _, kind := range t.hintKinds {
		if kind.enabled(policy) {
			go t.readHint(ctx, kind)
		}
	}
}

func (t *termLoop) readHint(ctx context.Context, kind hintKind) {
	reading, cancel := context.WithTimeout(ctx, hintReadTimeout)
	defer cancel()
	page, err := t.Store.Scan(reading, hintTable, hintPartition, kind.name, kind.name+"\x00")
	if err == nil && len(page.Rows) == 0 {
		return
	}
	var result hintsRead
	if err == nil {
		result, err = t.decodeHints(kind, page)
	}
	if err != nil {
		t.Observer.CountHints(kind.name, HintsIgnored)
		t.Log.Info("hints not restored", "kind", kind.name, "epoch", t.term.Epoch, "cause", err.Error())
		return
	}
	t.post(ctx, result)
}

// decodeHints decodes the row of a kind.
func (t *termLoop) decodeHints(kind hintKind, page platform.Page) (hintsRead, error) {
	value := page.Rows[0].Value
	var version struct {
		Version int `json:"v"`
	}
	if err := json.Unmarshal(value, &version); err != nil {
		return hintsRead{}, fmt.Errorf("row of hints cannot be decoded: %w", err)
	}
	if version.Version != hintVersion {
		return hintsRead{}, fmt.Errorf("row of hints has version %d, this build knows version %d", version.Version, hintVersion)
	}
	var row hintRow
	if err := json.Unmarshal(value, &row); err != nil {
		return hintsRead{}, fmt.Errorf("row of hints cannot be decoded: %w", err)
	}
	age, weight := row.judge(page.Clock, t.term.Epoch)
	restore, err := kind.decode(row.Entries, age, weight)
	if err != nil {
		return hintsRead{}, fmt.Errorf("entry of hints cannot be decoded: %w", err)
	}
	t.Log.Info("hints read", "kind", kind.name, "epoch", t.term.Epoch, "entries", len(row.Entries), "written in epoch", row.Epoch, "age", age, "weight", weight)
	return hintsRead{kind.name, joinEntries(row.Entries), restore}, nil
}

// judge returns the age of a row that was read when the store's clock showed the given
// time, and the weight of its entries. The clock and the epochs begin anew when the whole
// system is restarted; the age of a row from before cannot be known.
func (r *hintRow) judge(clock time.Duration, epoch int64) (age time.Duration, weight float64) {
	age = clock - time.Duration(r.ClockMS)*time.Millisecond
	switch {
	case clock == 0 || r.ClockMS <= 0 || age < 0 || r.Epoch >= epoch:
		return 0, staleHintWeight
	case age > maxHintAge:
		return age, staleHintWeight
	default:
		return age, 1
	}
}

// handleHintsRead passes stored hints to the core.
func (t *termLoop) handleHintsRead(e hintsRead) {
	e.restore(t.core)
	t.hints.stored[e.kind] = storedHints{entries: e.entries}
	t.Observer.CountHints(e.kind, HintsRestored)
}

// writeHints begins a round of writes every hintInterval. Nothing waits for it: while a
// round is in progress or the store serves no calls, writes are skipped.
func (t *termLoop) writeHints(ctx context.Context, now time.Time) {
	if now.Before(t.hints.dueAt) {
		return
	}
	t.hints.dueAt = now.Add(t.hintInterval())
	policy := t.Policy()
	skip := t.hints.writing || !platform.RecentlyServed(t.Store, now)
	var writes []hintWrite
	for _, kind := range t.hintKinds {
		switch {
		case !kind.enabled(policy):
		case skip:
			t.Observer.CountHints(kind.name, HintsSkipped)
		default:
			writes = append(writes, hintWrite{kind.name, kind.collect(t.core), t.hints.stored[kind.name]})
		}
	}
	if len(writes) == 0 {
		return
	}
	t.hints.writing = true
	go t.storeHints(ctx, writes)
}

func (t *termLoop) hintInterval() time.Duration {
	if t.ThinLink {
		return thinHintInterval
	}
	return hintInterval
}

// hintWrite is a row that may have to be written.
type hintWrite struct {
	kind   string
	encode func() []json.RawMessage
	stored storedHints
}

// storeHints makes the store calls of a round, each at most once. The writes are
// unconditional: a coordinator that has been replaced and does not know it yet may replace
// the row, until the current one writes it again.
func (t *termLoop) storeHints(ctx context.Context, writes []hintWrite) {
	result := hintsStored{}
	for _, w := range writes {
		entries := w.encode()
		joined, now := joinEntries(entries), time.Now()
		if unchanged := joined == w.stored.entries && !w.stored.uncertain; unchanged && (joined == "" || now.Sub(w.stored.at) < hintRefresh) {
			continue
		}
		if err := t.storeHint(ctx, w.kind, entries); err != nil {
			t.Observer.CountHints(w.kind, HintsSkipped)
			if !w.stored.uncertain { // one line for each series of failures
				t.Log.Info("hints not written", "kind", w.kind, "epoch", t.term.Epoch, "entries", len(entries), "cause", err.Error())
			}
			w.stored.uncertain = true
			result[w.kind] = w.stored
			continue
		}
		t.Observer.CountHints(w.kind, HintsWritten)
		result[w.kind] = storedHints{entries: joined, at: now}
	}
	t.post(ctx, result)
}

func (t *termLoop) storeHint(ctx context.Context, kind string, entries []json.RawMessage) error {
	ctx, cancel := context.WithTimeout(ctx, hintWriteTimeout)
	defer cancel()
	row := hintRow{Version: hintVersion, Epoch: t.term.Epoch, Entries: entries}
	if reading, ok := platform.StoreClock(t.Store); ok {
		row.ClockMS = ceilMillis(reading.Upper(time.Now()))
	}
	value, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("row of hints cannot be encoded: %w", err)
	}
	_, err = t.Store.Commit(ctx, platform.Tx{Puts: []platform.PartitionRow{{Table: hintTable, Partition: hintPartition, Key: kind, Value: value}}})
	return err
}

// handleHintsStored ends a round of writes.
func (t *termLoop) handleHintsStored(e hintsStored) {
	t.hints.writing = false
	for kind, stored := range e {
		t.hints.stored[kind] = stored
	}
}

// joinEntries returns encoded entries in a form that can be compared.
func joinEntries(entries []json.RawMessage) string {
	all := make([][]byte, len(entries))
	for i, e := range entries {
		all[i] = e
	}
	return string(bytes.Join(all, []byte(",")))
}
