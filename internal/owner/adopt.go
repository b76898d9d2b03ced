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

// Errors returned by Adopt and AdoptReleased.
var (
	// ErrAlive means that the shard's owner has written a sign of life.
	ErrAlive = errors.New("shard has a living owner")
	// ErrNotReleased means that the shard was not handed over, or was taken again.
	ErrNotReleased = errors.New("shard is not handed over")
)

// Adopt moves the pending jobs of another shard to this one, keeping their ids, and
// returns how many it moved. The caller has established that no host of the other
// shard's AZ is alive. Adopt first watches the table for as long as the absent owner
// could still start unrecorded work, or such work could still run, measured on this
// host's clock only. It returns ErrAlive if the owner writes a sign of life meanwhile.
// Jobs with a recorded start are not moved: their tasks may run in the lost AZ.
func (o *Owner) Adopt(ctx context.Context, from string) (int, error) {
	cfg, _ := o.opts.View.Effective()
	if !o.serving.Load() || cfg == nil {
		return 0, notReady()
	}
	knobs := cfg.Policy
	wait := knobs.SoloWindow() + 2*knobs.Lease() + knobs.StartWindow() + leaseMargin
	if err := o.waitForSilence(ctx, from, wait); err != nil {
		return 0, trace.Wrap(err)
	}
	h, err := takeShard(ctx, o.opts.Table, from, o.opts.Self)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return o.moveAndRelease(ctx, from, h)
}

// AdoptReleased moves the pending jobs of a shard that its owner has handed over
// because its AZ is out of service, and returns how many it moved. It does not wait:
// the former owner has recorded everything that it started, and running tasks are left
// to the next owner of the shard. It returns ErrNotReleased, and moves nothing, if the
// shard is not handed over.
func (o *Owner) AdoptReleased(ctx context.Context, from string) (int, error) {
	if !o.serving.Load() {
		return 0, notReady()
	}
	h, err := takeReleasedShard(ctx, o.opts.Table, from, o.opts.Self)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return o.moveAndRelease(ctx, from, h)
}

// moveAndRelease moves the pending jobs of a shard that was taken for this purpose,
// and releases the shard.
func (o *Owner) moveAndRelease(ctx context.Context, from string, h ownerRow) (int, error) {
	moved, err := o.moveJobs(ctx, from, h)
	if errors.Is(err, ErrLost) {
		return moved, trace.Wrap(err)
	}
	// Tasks started by an owner that did not hand over may still run on the shard's
	// workers.
	h.Adopted = !h.cleanHandover
	return moved, trace.NewAggregate(err, releaseShard(ctx, o.opts.Table, from, h))
}

// waitForSilence returns nil once the shard's owner has written no sign of life for
// the given time.
func (o *Owner) waitForSilence(ctx context.Context, shard string, silence time.Duration) error {
	first, err := o.readOwnerRowVersions(ctx, shard)
	if err != nil {
		return trace.Wrap(err)
	}
	for began := time.Now(); time.Since(began) < silence; {
		if err := wait.For(ctx, aliveInterval); err != nil {
			return trace.Wrap(err)
		}
		now, err := o.readOwnerRowVersions(ctx, shard)
		if err != nil {
			return trace.Wrap(err)
		}
		if now != first {
			return trace.Wrap(ErrAlive)
		}
	}
	return nil
}

// ownerRowVersions are the versions of the rows that a live owner writes.
type ownerRowVersions struct{ owner, alive int64 }

func (o *Owner) readOwnerRowVersions(ctx context.Context, shard string) (ownerRowVersions, error) {
	owner, err := rowVersion(ctx, o.opts.Table, journal.OwnerKey(shard))
	if err != nil {
		return ownerRowVersions{}, trace.Wrap(err)
	}
	alive, err := rowVersion(ctx, o.opts.Table, journal.AliveKey(shard))
	return ownerRowVersions{owner, alive}, trace.Wrap(err)
}

func rowVersion(ctx context.Context, table platform.Table, key string) (int64, error) {
	row, err := table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.MustBeAbsent, nil
	}
	return row.Version, trace.Wrap(err)
}

// moveJobs moves the movable jobs of a shard in batches. At any time each job is in
// exactly one journal.
func (o *Owner) moveJobs(ctx context.Context, from string, h ownerRow) (int, error) {
	loaded, err := journal.Load(ctx, o.opts.Table, o.opts.Objects, from)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	jobs := slices.DeleteFunc(bySubmission(loaded.State), func(j *journal.Job) bool { return !j.Movable() })
	source := journal.NewWriter(o.opts.Table, journal.OwnerRow{Shard: from, Fence: h.Fence, Version: h.version}, loaded)
	moved := 0
	for batch := range slices.Chunk(jobs, adoptBatchSize) {
		t, err := source.Transfer(batch, o.opts.Shard)
		if err != nil {
			return moved, trace.Wrap(err)
		}
		m := &adoptMessage{jobs: batch, transfer: t, reply: newReplyChan[int]()}
		n, err := call(ctx, o, m, m.reply)
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

// adoptMessage asks the event loop to accept jobs from another shard.
type adoptMessage struct {
	jobs     []*journal.Job
	transfer *journal.Transfer
	reply    chan response[int]
}

func (m *adoptMessage) refuse(r *rpc.Refusal) { m.reply <- response[int]{0, r} }

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
	l.queue.add(&queuedEntry{
		entry:   journal.Entry{Records: records, Transfer: m.transfer},
		urgent:  true,
		durable: func() { l.jobsAdopted(m, records) },
		refused: m.refuse,
	})
}

// jobsAdopted is called once the jobs are durable in this shard's journal and removed
// from the other one.
func (l *loop) jobsAdopted(m *adoptMessage, records []*journal.Record) {
	for _, r := range records {
		if err := l.state.Apply(r); err != nil {
			l.loseShard(err)
			return
		}
	}
	m.reply <- response[int]{len(m.jobs), nil}
	for _, j := range m.jobs {
		l.record(timeline.Event{Kind: timeline.KindJobMoved, Job: string(j.Spec.ID), Team: j.Spec.Team, Target: l.opts.Shard})
		if !l.draining {
			l.feed(sched.JobAdded{Job: l.state.Jobs[j.Spec.ID].Spec, Restored: true})
		}
	}
}
