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

// queuedEntry is an entry that waits to be written to the journal.
type queuedEntry struct {
	entry  journal.Entry
	urgent bool // a caller waits for it
	// durable is called after the write; may be nil.
	durable func()
	// refused is called if the table cannot be written. If it is nil, the entry is
	// kept until it is written.
	refused func(*rpc.Refusal)
	// duplicate is called if the idempotency key belongs to an earlier job.
	duplicate func(*journal.IdempotencyRow)
	queuedAt  time.Time
	size      int // bytes
}

// writeQueue groups entries into batches and writes one batch at a time.
type writeQueue struct {
	waiting     []*queuedEntry
	writing     []*queuedEntry // nil: no write is in flight
	nextWriteAt time.Time      // earliest time of the next write
	records     int            // number of records in waiting
	urgentSince time.Time      // time at which the oldest urgent entry was queued; zero if there is none
	batches     chan []journal.Entry
}

func (q *writeQueue) add(e *queuedEntry) {
	e.queuedAt = time.Now()
	for _, r := range e.entry.Records {
		e.size += proto.Size(r)
	}
	q.records += len(e.entry.Records)
	q.waiting = append(q.waiting, e)
	q.noteUrgent(e)
}

func (q *writeQueue) noteUrgent(e *queuedEntry) {
	if e.urgent && q.urgentSince.IsZero() {
		q.urgentSince = e.queuedAt
	}
}

// updateUrgent recomputes urgentSince after entries were removed or put back.
func (q *writeQueue) updateUrgent() {
	q.urgentSince = time.Time{}
	for _, e := range q.waiting {
		q.noteUrgent(e)
	}
}

// nextWrite returns when the next write may start, and false if none is needed.
func (q *writeQueue) nextWrite() (time.Time, bool) {
	if q.writing != nil || len(q.waiting) == 0 {
		return time.Time{}, false
	}
	at := q.waiting[0].queuedAt.Add(lazyDelay)
	if !q.urgentSince.IsZero() {
		at = q.urgentSince
	}
	if at.Before(q.nextWriteAt) {
		at = q.nextWriteAt
	}
	return at, true
}

// maxSleep returns the time until the next write, at most housekeepingInterval.
func (q *writeQueue) maxSleep() time.Duration {
	at, ok := q.nextWrite()
	if !ok {
		return housekeepingInterval
	}
	return max(min(housekeepingInterval, time.Until(at)), minSleep)
}

// takeBatch moves the oldest entries that fit into one row to writing.
func (q *writeQueue) takeBatch() []journal.Entry {
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
	q.updateUrgent()
	return batch
}

// putBack puts the entries of a write that had no effect back to the front of the
// queue.
func (q *writeQueue) putBack(entries []*queuedEntry) {
	q.writing = nil
	for _, e := range entries {
		q.records += len(e.entry.Records)
	}
	q.waiting = append(entries, q.waiting...)
	q.updateUrgent()
}

func (q *writeQueue) empty() bool { return q.writing == nil && len(q.waiting) == 0 }

func (q *writeQueue) full() bool { return q.records >= maxQueuedRecords }

// flush starts a write if one is due.
func (l *loop) flush() {
	at, ok := l.queue.nextWrite()
	now := time.Now()
	if !ok || at.After(now) {
		return
	}
	l.queue.nextWriteAt = now.Add(writeSpacing)
	l.queue.batches <- l.queue.takeBatch() // never blocks: one write at a time
}

// append queues records that are kept until they are written, and applies them to the
// loop's state immediately.
func (l *loop) append(durable func(), urgent bool, records ...*journal.Record) {
	for _, r := range records {
		if err := l.state.Apply(r); err != nil {
			l.loseShard(err)
			return
		}
	}
	l.queue.add(&queuedEntry{entry: journal.Entry{Records: records}, urgent: urgent, durable: durable})
}

// writtenMessage carries the result of a write.
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
		l.batchWritten(batch, m.sent)
	case errors.As(m.err, &claimed):
		l.queue.putBack(without(batch, claimed.Entry))
		l.queue.nextWriteAt = time.Time{}
		batch[claimed.Entry].duplicate(claimed.First)
	case errors.As(m.err, &transfer):
		l.queue.putBack(without(batch, transfer.Entry))
		batch[transfer.Entry].refused(notReady())
	case errors.Is(m.err, platform.ErrUnavailable):
		l.queue.nextWriteAt = time.Now().Add(writeBackoff)
		l.refuseBatch(batch)
	case l.ownershipCtx.Err() != nil:
	default:
		l.loseShard(m.err)
	}
}

func (l *loop) batchWritten(batch []*queuedEntry, sent time.Time) {
	l.queue.writing = nil
	counters.Add("journal_rows", 1)
	l.tableWriteSucceeded(sent)
	for _, e := range batch {
		counters.Add("journal_records", int64(len(e.entry.Records)))
		if e.durable != nil {
			e.durable()
		}
	}
}

// refuseBatch refuses the entries that can be refused, because nothing was written,
// and keeps the others.
func (l *loop) refuseBatch(batch []*queuedEntry) {
	l.tableWriteFailed()
	var kept []*queuedEntry
	for _, e := range batch {
		if e.refused == nil {
			kept = append(kept, e)
			continue
		}
		e.refused(tableUnreachable())
	}
	l.queue.putBack(kept)
}

// refuseOverdue refuses entries that have waited too long for their write to start.
// Nothing of them was sent to the table.
func (l *loop) refuseOverdue() {
	var kept []*queuedEntry
	overdue := time.Now().Add(-maxSubmitQueueTime)
	for _, e := range l.queue.waiting {
		if e.refused == nil || e.queuedAt.After(overdue) {
			kept = append(kept, e)
			continue
		}
		l.queue.records -= len(e.entry.Records)
		e.refused(tableUnreachable())
	}
	l.queue.waiting = kept
	l.queue.updateUrgent()
}

func without(batch []*queuedEntry, i int) []*queuedEntry {
	kept := append([]*queuedEntry(nil), batch[:i]...)
	return append(kept, batch[i+1:]...)
}

// tableWriteSucceeded records that a guarded write that started at sent succeeded:
// this host owned the shard at that time.
func (l *loop) tableWriteSucceeded(sent time.Time) {
	if sent.After(l.lastTableWrite) {
		l.lastTableWrite = sent
	}
	if l.tableDown {
		l.tableDown = false
		l.record(timeline.Event{Kind: timeline.KindPlatformState, Target: l.opts.Shard, Detail: "table reachable"})
	}
}

func (l *loop) tableWriteFailed() {
	if !l.tableDown {
		l.tableDown = true
		l.record(timeline.Event{Kind: timeline.KindPlatformState, Target: l.opts.Shard, Detail: "table unreachable"})
	}
}

// tableUsable reports whether new work may be accepted: the last write did not fail
// and a write has succeeded within tableUnreachableAfter.
func (l *loop) tableUsable() bool {
	return !l.tableDown && time.Since(l.lastTableWrite) < tableUnreachableAfter
}

// writeJournal writes one batch after the other, and snapshots concurrently.
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

// beginSnapshot encodes the state and stores it concurrently with further writes. A
// nil on saved means that storing failed; it is retried with the next row.
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

// aliveMessage carries the result of writing a sign of life.
type aliveMessage struct {
	sent time.Time
	err  error
}

func (m aliveMessage) handle(l *loop) {
	switch {
	case m.err == nil:
		l.tableWriteSucceeded(m.sent)
	case errors.Is(m.err, platform.ErrConflict):
		l.loseShard(errReplacedInJournal)
	case errors.Is(m.err, platform.ErrUnavailable):
		l.tableWriteFailed()
	}
}
