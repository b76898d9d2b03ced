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

// takeOver takes the shard and builds the event loop from its durable state.
// Workers are met by the loop: what runs there is adopted as they answer.
func (o *Owner) takeOver(ctx, work context.Context, wg *sync.WaitGroup) (*loop, error) {
	began := time.Now()
	h, err := take(ctx, o.opts.Table, o.opts.Shard, o.opts.Self)
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
	l.spawn(func(ctx context.Context) { l.writeJournal(ctx, writer, l.queue.out) })
	l.spawn(l.signAlive)
	if o.opts.Grants != nil {
		l.spawn(l.runGrants)
	}
	counters.Add("takeovers", 1)
	return l, nil
}

func (o *Owner) newLoop(work context.Context, wg *sync.WaitGroup, h held, took time.Time) *loop {
	return &loop{
		Owner:     o,
		held:      h,
		work:      work,
		wg:        wg,
		core:      sched.New(o.opts.Shard, o.opts.Seed),
		queue:     writeQueue{out: make(chan []journal.Entry, 1)},
		attempts:  map[worker.Attempt]*attempt{},
		on:        map[string]map[worker.Attempt]*attempt{},
		current:   map[model.TaskID]*attempt{},
		active:    map[model.JobID]int{},
		direct:    map[model.JobID]*reservation{},
		workers:   map[string]*link{},
		watchers:  map[model.JobID][]watcher{},
		claims:    map[string][]*submitMessage{},
		inherited: map[model.JobID]bool{},
		takenAt:   took,
		lastSign:  took,
	}
}

// owned names this owner's version of the owner row, for guarded writes.
func (l *loop) owned() journal.OwnerRow {
	return journal.OwnerRow{Shard: l.opts.Shard, Fence: l.held.Fence, Version: l.held.version}
}

// awaitConfig waits until the view holds a configuration that was read after
// the takeover was written.
func (o *Owner) awaitConfig(ctx context.Context) error {
	for o.opts.View.Refresh(ctx) != nil {
		if err := wait.For(ctx, ownerRowRetry); err != nil {
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

// signAlive writes the sign of life until the ownership ends.
func (l *loop) signAlive(ctx context.Context) {
	ticker := time.NewTicker(aliveEvery)
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
	value, err := json.Marshal(Alive{Host: l.held.Host, Fence: l.held.Fence, UnixNS: now.UnixNano()})
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

// handOver ends the ownership: no new work, then everything pending is written
// and the owner row is released, so that a successor takes the shard at once.
// What runs goes on.
func (l *loop) handOver() error {
	l.draining = true
	l.endReservations()
	deadline := time.NewTimer(handOverTimeout)
	defer deadline.Stop()
	for l.lost == nil && (!l.queue.empty() || l.sends > 0) {
		l.flush()
		timer := time.NewTimer(l.queue.sleep())
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
	if l.lost != nil {
		return l.taken(l.lost)
	}
	ctx, cancel := context.WithTimeout(l.work, handOverTimeout)
	defer cancel()
	if err := release(ctx, l.opts.Table, l.opts.Shard, l.held); err != nil {
		return l.taken(err)
	}
	l.record(timeline.Event{Kind: timeline.KindShardReleased, Target: l.opts.Shard})
	return nil
}

// endReservations refuses the direct requests that wait for room.
func (l *loop) endReservations() {
	for id, r := range l.direct {
		if r.reply != nil {
			r.answer(nil, notReady())
		}
		delete(l.direct, id)
	}
}

// publish makes the digest visible to other goroutines.
func (l *loop) publish() {
	now := time.Now()
	if now.Sub(l.digestAt) < digestEvery {
		return
	}
	l.digestAt = now
	l.publishWorkers(now)
	direct, jobs := l.core.Pending()
	d := &rpc.ShardDigest{
		Shard:          l.opts.Shard,
		Az:             l.opts.AZ,
		Owner:          l.held.Host,
		Fence:          int64(l.held.Fence),
		Ready:          l.isReady(now),
		TableReachable: l.tableUsable(),
		Capacity:       rpc.FromResources(l.core.Capacity()),
		Used:           rpc.FromResources(l.core.Used()),
		DirectPending:  int64(direct),
		JobsPending:    int64(jobs),
		TakenNs:        now.UnixNano(),
		Confirmed:      l.confirmed,
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

// isReady reports whether the former owner can start nothing any more: each
// worker obeys this fence, or what the former owner sent it is void.
func (l *loop) isReady(now time.Time) bool {
	if now.Sub(l.takenAt) > l.startWindow()+leaseMargin {
		return true
	}
	for _, k := range l.workers {
		if !k.everMet {
			return false
		}
	}
	return true
}
