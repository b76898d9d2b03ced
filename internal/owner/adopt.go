package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/internal/journal"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/sched"
	"cuminloft/internal/timeline"
	"cuminloft/internal/wait"
)

// Errors of adoption.
var (
	// ErrAlive: the shard's owner gave a sign of life.
	ErrAlive = errors.New("shard has a living owner")
	// ErrNotReleased: the shard was not handed over, or is taken again.
	ErrNotReleased = errors.New("shard is not handed over")
)

// Adopt moves the waiting jobs of another shard to this one, with their ids, and
// returns how many. The caller has found that no host of the other shard's AZ is
// alive. Adopt first watches the table for as long as the absent owner might
// still start, or keep running, work without a record, on this host's clock
// alone; it returns ErrAlive if the owner signs meanwhile. Jobs of which
// anything is recorded as started stay: their tasks may run in the lost AZ.
func (o *Owner) Adopt(ctx context.Context, from string) (int, error) {
	cfg, _ := o.opts.View.Effective()
	if !o.serving.Load() || cfg == nil {
		return 0, notReady()
	}
	knobs := cfg.Policy
	wait := knobs.SoloWindow() + 2*knobs.Lease() + knobs.StartWindow() + leaseMargin
	if err := o.watchSilence(ctx, from, wait); err != nil {
		return 0, trace.Wrap(err)
	}
	h, err := take(ctx, o.opts.Table, from, o.opts.Self)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return o.moveAndRelease(ctx, from, h)
}

// AdoptReleased moves the waiting jobs of a shard that its owner has handed over
// because its AZ is out of service, and returns how many. Nothing has to be
// waited for: the former owner has recorded all that it started, and what runs
// is left to the owner that takes the shard next. It returns ErrNotReleased, and
// moves nothing, if the shard is not handed over.
func (o *Owner) AdoptReleased(ctx context.Context, from string) (int, error) {
	if !o.serving.Load() {
		return 0, notReady()
	}
	h, err := takeReleased(ctx, o.opts.Table, from, o.opts.Self)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return o.moveAndRelease(ctx, from, h)
}

// moveAndRelease moves the waiting jobs of a shard that was taken for this, and
// gives it up again.
func (o *Owner) moveAndRelease(ctx context.Context, from string, h held) (int, error) {
	moved, err := o.moveJobs(ctx, from, h)
	if errors.Is(err, ErrLost) {
		return moved, trace.Wrap(err)
	}
	// What an owner that did not hand over has recorded may still run there.
	h.Adopted = !h.clean
	return moved, trace.NewAggregate(err, release(ctx, o.opts.Table, from, h))
}

// watchSilence returns nil once the shard's owner has not signed for the given time.
func (o *Owner) watchSilence(ctx context.Context, shard string, silence time.Duration) error {
	first, err := o.signs(ctx, shard)
	if err != nil {
		return trace.Wrap(err)
	}
	for began := time.Now(); time.Since(began) < silence; {
		if err := wait.For(ctx, aliveEvery); err != nil {
			return trace.Wrap(err)
		}
		now, err := o.signs(ctx, shard)
		if err != nil {
			return trace.Wrap(err)
		}
		if now != first {
			return trace.Wrap(ErrAlive)
		}
	}
	return nil
}

// shardSigns are the versions of the rows that a living owner writes.
type shardSigns struct{ owner, alive int64 }

func (o *Owner) signs(ctx context.Context, shard string) (shardSigns, error) {
	owner, err := rowVersion(ctx, o.opts.Table, journal.OwnerKey(shard))
	if err != nil {
		return shardSigns{}, trace.Wrap(err)
	}
	alive, err := rowVersion(ctx, o.opts.Table, journal.AliveKey(shard))
	return shardSigns{owner, alive}, trace.Wrap(err)
}

func rowVersion(ctx context.Context, table platform.Table, key string) (int64, error) {
	row, err := table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.MustBeAbsent, nil
	}
	return row.Version, trace.Wrap(err)
}

// moveJobs moves the movable jobs of a shard in batches; each job is in exactly
// one journal at any time.
func (o *Owner) moveJobs(ctx context.Context, from string, h held) (int, error) {
	loaded, err := journal.Load(ctx, o.opts.Table, o.opts.Objects, from)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	jobs := slices.DeleteFunc(inOrder(loaded.State), func(j *journal.Job) bool { return !j.Movable() })
	source := journal.NewWriter(o.opts.Table, journal.OwnerRow{Shard: from, Fence: h.Fence, Version: h.version}, loaded)
	moved := 0
	for batch := range slices.Chunk(jobs, adoptBatch) {
		t, err := source.Transfer(batch, o.opts.Shard)
		if err != nil {
			return moved, trace.Wrap(err)
		}
		m := &adoptMessage{jobs: batch, transfer: t, reply: newReply[int]()}
		n, err := ask(ctx, o, m, m.reply)
		if err != nil {
			return moved, trace.Wrap(err)
		}
		if err := t.Moved(); err != nil {
			return moved, trace.Wrap(err)
		}
		moved += n
	}
	return moved, nil
}

// adoptMessage asks to accept jobs out of another shard.
type adoptMessage struct {
	jobs     []*journal.Job
	transfer *journal.Transfer
	reply    chan answer[int]
}

func (m *adoptMessage) refuse(r *rpc.Refusal) { m.reply <- answer[int]{0, r} }

func (m *adoptMessage) handle(l *loop) {
	if l.draining || !l.tableUsable() {
		m.refuse(notReady())
		return
	}
	var records []*journal.Record
	for _, j := range m.jobs {
		records = append(records, &journal.Record{Kind: &journal.Record_JobAccepted{JobAccepted: &journal.JobAccepted{
			Job: rpc.FromJob(j.Spec), IdempotencyRow: j.IdempotencyRow,
		}}})
	}
	l.queue.add(&queued{
		entry:   journal.Entry{Records: records, Transfer: m.transfer},
		urgent:  true,
		durable: func() { l.adopted(m, records) },
		refused: m.refuse,
	})
}

// adopted runs once the jobs are in this shard's journal and in no other.
func (l *loop) adopted(m *adoptMessage, records []*journal.Record) {
	for _, r := range records {
		if err := l.state.Apply(r); err != nil {
			l.lose(err)
			return
		}
	}
	m.reply <- answer[int]{len(m.jobs), nil}
	for _, j := range m.jobs {
		l.record(timeline.Event{Kind: timeline.KindJobMoved, Job: string(j.Spec.ID), Team: j.Spec.Team, Target: l.opts.Shard})
		if !l.draining {
			l.feed(sched.JobAdded{Job: l.state.Jobs[j.Spec.ID].Spec, Restored: true})
		}
	}
}
