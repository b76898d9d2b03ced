package owner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
	"cuminloft/internal/timeline"
	"cuminloft/internal/wait"
	"cuminloft/internal/worker"
)

// takeOver takes the shard and builds the event loop from its durable state. The loop
// contacts the workers and adopts their running tasks as they respond.
func (o *Owner) takeOver(ctx, work context.Context, wg *sync.WaitGroup) (*loop, error) {
	began := time.Now()
	h, err := takeShard(ctx, o.opts.Table, o.opts.Shard, o.opts.Self)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	o.opts.Recorder.Record(timeline.Event{Kind: timeline.KindShardTaken, Target: o.opts.Shard, Duration: time.Since(began)})
	loaded, err := journal.Load(ctx, o.opts.Table, o.opts.Objects, o.opts.Shard)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := o.awaitConfig(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	l := o.newLoop(work, wg, h, began)
	l.state = loaded.State.Clone()
	writer := journal.NewWriter(o.opts.Table, l.owned(), loaded)
	l.applyConfig()
	l.restore()
	l.spawn(func(ctx context.Context) { l.writeJournal(ctx, writer, l.queue.batches) })
	l.spawn(l.signAlive)
	if o.opts.Grants != nil {
		l.spawn(l.runGrants)
	}
	counters.Add("takeovers", 1)
	return l, nil
}

func (o *Owner) newLoop(work context.Context, wg *sync.WaitGroup, h ownerRow, took time.Time) *loop {
	return &loop{
		Owner:             o,
		ownerRow:          h,
		ownershipCtx:      work,
		wg:                wg,
		core:              sched.New(o.opts.Shard, o.opts.Seed),
		queue:             writeQueue{batches: make(chan []journal.Entry, 1)},
		attempts:          map[worker.Attempt]*attempt{},
		attemptsOn:        map[string]map[worker.Attempt]*attempt{},
		newestAttempt:     map[model.TaskID]*attempt{},
		attemptCount:      map[model.JobID]int{},
		reservations:      map[model.JobID]*reservation{},
		workers:           map[string]*workerLink{},
		watchers:          map[model.JobID][]watcher{},
		duplicateSubmits:  map[string][]*submitMessage{},
		awaitingInventory: map[model.JobID]bool{},
		takenAt:           took,
		lastTableWrite:    took,
	}
}

// owned returns this owner's version of the owner row, for guarded writes.
func (l *loop) owned() journal.OwnerRow {
	return journal.OwnerRow{Shard: l.opts.Shard, Fence: l.ownerRow.Fence, Version: l.ownerRow.version}
}

// awaitConfig waits until the view has a configuration that was read after the owner
// row was written.
func (o *Owner) awaitConfig(ctx context.Context) error {
	for o.opts.View.Refresh(ctx) != nil {
		if err := wait.For(ctx, ownerRowRetryDelay); err != nil {
			return trace.Wrap(err)
		}
	}
	for {
		changed := o.opts.View.Changed()
		if cfg, _ := o.opts.View.Effective(); cfg != nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// signAlive writes signs of life until the ownership ends.
func (l *loop) signAlive(ctx context.Context) {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		sent := time.Now()
		l.post(ctx, aliveMessage{sent, l.writeAlive(ctx, sent)})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *loop) writeAlive(ctx context.Context, now time.Time) error {
	value, err := json.Marshal(Alive{Host: l.ownerRow.Host, Fence: l.ownerRow.Fence, UnixNS: now.UnixNano()})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	_, err = l.opts.Table.Apply(ctx, []platform.Write{
		l.owned().Guard(),
		{Key: journal.AliveKey(l.opts.Shard), Value: value, IfVersion: platform.AnyVersion},
	})
	return trace.Wrap(err)
}

// handOver ends the ownership. It accepts no new work, writes all pending entries and
// releases the owner row, so that a successor can take the shard immediately. Running
// tasks continue.
func (l *loop) handOver() error {
	l.draining = true
	l.endReservations()
	deadline := time.NewTimer(handOverTimeout)
	defer deadline.Stop()
	for l.lostErr == nil && (!l.queue.empty() || l.startsInFlight > 0) {
		l.flush()
		timer := time.NewTimer(l.queue.maxSleep())
		select {
		case m := <-l.inbox:
			m.handle(l)
		case <-timer.C:
		case <-deadline.C:
			return trace.LimitExceeded("shard %s: %d entries are not written; the successor waits for the leases",
				l.opts.Shard, len(l.queue.waiting)+len(l.queue.writing))
		}
		timer.Stop()
	}
	if l.lostErr != nil {
		return l.shardLostError(l.lostErr)
	}
	ctx, cancel := context.WithTimeout(l.ownershipCtx, handOverTimeout)
	defer cancel()
	if err := releaseShard(ctx, l.opts.Table, l.opts.Shard, l.ownerRow); err != nil {
		return l.shardLostError(err)
	}
	l.record(timeline.Event{Kind: timeline.KindShardReleased, Target: l.opts.Shard})
	return nil
}

// endReservations refuses the direct requests that wait for capacity.
func (l *loop) endReservations() {
	for id, r := range l.reservations {
		if r.reply != nil {
			r.answer(nil, notReady())
		}
		delete(l.reservations, id)
	}
}

// publish publishes the digest to other goroutines.
func (l *loop) publish() {
	now := time.Now()
	if now.Sub(l.digestPublishedAt) < digestInterval {
		return
	}
	l.digestPublishedAt = now
	l.publishWorkers(now)
	direct, jobs := l.core.Pending()
	d := &rpc.ShardDigest{
		Shard:          l.opts.Shard,
		Az:             l.opts.AZ,
		Owner:          l.ownerRow.Host,
		Fence:          int64(l.ownerRow.Fence),
		Ready:          l.isReady(now),
		TableReachable: l.tableUsable(),
		Capacity:       rpc.FromResources(l.core.Capacity()),
		Used:           rpc.FromResources(l.core.Used()),
		DirectPending:  int64(direct),
		JobsPending:    int64(jobs),
		TakenNs:        now.UnixNano(),
		Confirmed:      l.confirmedVersion,
	}
	for _, u := range l.core.TeamUsage() {
		if u.Used.IsZero() && u.Pending.IsZero() {
			continue
		}
		d.Teams = append(d.Teams, &rpc.TeamUsage{
			Team: u.Team, Used: rpc.FromResources(u.Used), Pending: rpc.FromResources(u.Pending),
		})
	}
	if d.GetReady() && !l.digest.Load().GetReady() {
		l.record(timeline.Event{Kind: timeline.KindShardReady, Target: l.opts.Shard, Duration: now.Sub(l.takenAt)})
	}
	l.digest.Store(d)
}

// isReady reports whether the former owner can no longer start anything: each worker
// has accepted this fence, or the former owner's start commands are void.
func (l *loop) isReady(now time.Time) bool {
	if now.Sub(l.takenAt) > l.startWindow()+leaseMargin {
		return true
	}
	for _, k := range l.workers {
		if !k.contacted {
			return false
		}
	}
	return true
}
