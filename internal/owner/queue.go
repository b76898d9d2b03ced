package owner

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminloft/internal/journal"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
)

// queued is an entry that waits to be written to the journal.
type queued struct {
	entry  journal.Entry
	urgent bool // somebody waits for it
	// durable runs after the write; may be nil.
	durable func()
	// refused runs if the table takes nothing. Nil: the entry is kept until it
	// is written.
	refused func(*rpc.Refusal)
	// claimed runs if the idempotency key names an earlier job.
	claimed func(*journal.IdempotencyRow)
	since   time.Time
	size    int // bytes
}

// writeQueue orders entries into batches, one of which is written at a time.
type writeQueue struct {
	waiting []*queued
	writing []*queued // nil: no write is under way
	next    time.Time // no write before
	records int       // in waiting
	urgent  time.Time // since when the oldest urgent entry waits; zero: none
	out     chan []journal.Entry
}

func (q *writeQueue) add(e *queued) {
	e.since = time.Now()
	for _, r := range e.entry.Records {
		e.size += proto.Size(r)
	}
	q.records += len(e.entry.Records)
	q.waiting = append(q.waiting, e)
	q.noteUrgent(e)
}

func (q *writeQueue) noteUrgent(e *queued) {
	if e.urgent && q.urgent.IsZero() {
		q.urgent = e.since
	}
}

// recount finds the oldest urgent entry after entries were moved.
func (q *writeQueue) recount() {
	q.urgent = time.Time{}
	for _, e := range q.waiting {
		q.noteUrgent(e)
	}
}

// due returns when the next write may begin, and false if none has to.
func (q *writeQueue) due() (time.Time, bool) {
	if q.writing != nil || len(q.waiting) == 0 {
		return time.Time{}, false
	}
	at := q.waiting[0].since.Add(lazyDelay)
	if !q.urgent.IsZero() {
		at = q.urgent
	}
	if at.Before(q.next) {
		at = q.next
	}
	return at, true
}

// sleep returns how long no write has to begin, at most housekeeping.
func (q *writeQueue) sleep() time.Duration {
	at, ok := q.due()
	if !ok {
		return housekeeping
	}
	return max(min(housekeeping, time.Until(at)), shortestSleep)
}

// cut moves the oldest entries that fit one row to writing.
func (q *writeQueue) cut() []journal.Entry {
	n, records, size := 0, 0, 0
	var batch []journal.Entry
	for _, e := range q.waiting {
		if n > 0 && (records+len(e.entry.Records) > maxBatchRecords || size+e.size > maxBatchBytes) {
			break
		}
		n++
		records += len(e.entry.Records)
		size += e.size
		batch = append(batch, e.entry)
	}
	q.writing = q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	q.records -= records
	q.recount()
	return batch
}

// putBack returns the entries of a write that had no effect to the front.
func (q *writeQueue) putBack(entries []*queued) {
	q.writing = nil
	for _, e := range entries {
		q.records += len(e.entry.Records)
	}
	q.waiting = append(entries, q.waiting...)
	q.recount()
}

func (q *writeQueue) empty() bool { return q.writing == nil && len(q.waiting) == 0 }

func (q *writeQueue) full() bool { return q.records >= maxBuffered }

// flush begins a write if one is due.
func (l *loop) flush() {
	at, ok := l.queue.due()
	now := time.Now()
	if !ok || at.After(now) {
		return
	}
	l.queue.next = now.Add(writeSpacing)
	l.queue.out <- l.queue.cut() // never blocks: one write at a time
}

// append queues records that are kept until they are written, and applies them
// to the loop's state at once.
func (l *loop) append(durable func(), urgent bool, records ...*journal.Record) {
	for _, r := range records {
		if err := l.state.Apply(r); err != nil {
			l.lose(err)
			return
		}
	}
	l.queue.add(&queued{entry: journal.Entry{Records: records}, urgent: urgent, durable: durable})
}

// writtenMessage tells how a write ended.
type writtenMessage struct {
	sent time.Time
	err  error
}

func (m writtenMessage) handle(l *loop) {
	batch := l.queue.writing
	var claimed *journal.ClaimedError
	var transfer *journal.TransferLostError
	switch {
	case m.err == nil:
		l.wrote(batch, m.sent)
	case errors.As(m.err, &claimed):
		l.queue.putBack(without(batch, claimed.Entry))
		l.queue.next = time.Time{}
		batch[claimed.Entry].claimed(claimed.First)
	case errors.As(m.err, &transfer):
		l.queue.putBack(without(batch, transfer.Entry))
		batch[transfer.Entry].refused(notReady())
	case errors.Is(m.err, platform.ErrUnavailable):
		l.queue.next = time.Now().Add(writeBackoff)
		l.refuse(batch)
	case l.work.Err() != nil:
	default:
		l.lose(m.err)
	}
}

func (l *loop) wrote(batch []*queued, sent time.Time) {
	l.queue.writing = nil
	counters.Add("journal_rows", 1)
	l.sawTable(sent)
	for _, e := range batch {
		counters.Add("journal_records", int64(len(e.entry.Records)))
		if e.durable != nil {
			e.durable()
		}
	}
}

// refuse answers what may be refused truthfully, because nothing was written,
// and keeps the rest.
func (l *loop) refuse(batch []*queued) {
	l.missedTable()
	var kept []*queued
	for _, e := range batch {
		if e.refused == nil {
			kept = append(kept, e)
			continue
		}
		e.refused(tableUnreachable())
	}
	l.queue.putBack(kept)
}

// refuseOverdue refuses what waits too long for a write to begin: nothing of it
// was sent to the table.
func (l *loop) refuseOverdue() {
	var kept []*queued
	overdue := time.Now().Add(-submitPatience)
	for _, e := range l.queue.waiting {
		if e.refused == nil || e.since.After(overdue) {
			kept = append(kept, e)
			continue
		}
		l.queue.records -= len(e.entry.Records)
		e.refused(tableUnreachable())
	}
	l.queue.waiting = kept
	l.queue.recount()
}

func without(batch []*queued, i int) []*queued {
	kept := append([]*queued(nil), batch[:i]...)
	return append(kept, batch[i+1:]...)
}

// sawTable notes that a guarded write that began at sent succeeded: at that
// time this host owned the shard.
func (l *loop) sawTable(sent time.Time) {
	if sent.After(l.lastSign) {
		l.lastSign = sent
	}
	if l.tableDown {
		l.tableDown = false
		l.record(timeline.Event{Kind: timeline.KindPlatformState, Target: l.opts.Shard, Detail: "table reachable"})
	}
}

func (l *loop) missedTable() {
	if !l.tableDown {
		l.tableDown = true
		l.record(timeline.Event{Kind: timeline.KindPlatformState, Target: l.opts.Shard, Detail: "table unreachable"})
	}
}

// tableUsable reports whether new work may be accepted: the table answered a
// short while ago.
func (l *loop) tableUsable() bool {
	return !l.tableDown && time.Since(l.lastSign) < tableSilence
}

// writeJournal writes batches one after the other, and snapshots beside them.
func (l *loop) writeJournal(ctx context.Context, w *journal.Writer, batches <-chan []journal.Entry) {
	saved := make(chan *journal.PreparedSnapshot, 1)
	saving := false
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-batches:
			sent := time.Now()
			err := w.Write(ctx, batch)
			l.post(ctx, writtenMessage{sent, err})
		case p := <-saved:
			saving = false
			if p != nil {
				w.SnapshotSaved(p)
			}
		}
		if w.SnapshotDue() && !saving {
			saving = l.beginSnapshot(w, saved)
		}
	}
}

// beginSnapshot encodes the state and stores it beside further writes. A nil on
// saved tells that storing failed; the next row tries again.
func (l *loop) beginSnapshot(w *journal.Writer, saved chan<- *journal.PreparedSnapshot) bool {
	p, err := w.PrepareSnapshot()
	if err != nil {
		l.opts.Log.Error(err, "snapshot cannot be encoded", "shard", l.opts.Shard)
		return false
	}
	l.spawn(func(ctx context.Context) {
		err := p.Save(ctx, l.opts.Table, l.opts.Objects)
		if err != nil {
			counters.Add("snapshot_failures", 1)
			saved <- nil
			return
		}
		counters.Add("snapshots", 1)
		saved <- p
	})
	return true
}

// aliveMessage tells how a sign of life was taken.
type aliveMessage struct {
	sent time.Time
	err  error
}

func (m aliveMessage) handle(l *loop) {
	switch {
	case m.err == nil:
		l.sawTable(m.sent)
	case errors.Is(m.err, platform.ErrConflict):
		l.lose(journalDeposed)
	case errors.Is(m.err, platform.ErrUnavailable):
		l.missedTable()
	}
}
