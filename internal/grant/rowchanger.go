package grant

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/wait"
)

// loadPageSize is the largest number of rows that one read returns.
const loadPageSize = 1000

// retryInterval is the pause between two attempts of a table call.
const retryInterval = 100 * time.Millisecond

// load reads the shard's amounts. Run is called after the takeover is written, so no
// earlier owner can change the shard's entries any more.
func (h *Holder) load(ctx context.Context) error {
	after := ""
	for {
		rows, err := h.loadPage(ctx, after)
		if err != nil {
			if wait.For(ctx, retryInterval) != nil {
				return trace.Wrap(err)
			}
			continue
		}
		for _, row := range rows {
			after = row.Key
			if err := h.loadRow(row); err != nil {
				return trace.Wrap(err)
			}
		}
		if len(rows) < loadPageSize {
			return nil
		}
	}
}

func (h *Holder) loadPage(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return h.opts.Table.Range(ctx, rowPrefix, after, loadPageSize)
}

// loadRow records the shard's amount in a row. It freezes a team whose amounts exceed
// the limit: an earlier owner may have been about to lower the shard's amount.
func (h *Holder) loadRow(row platform.Row) error {
	r, err := decodeRow(row.Key, row.Value)
	if err != nil {
		return err
	}
	t := h.team(row.Key[len(rowPrefix):])
	t.recorded = r.Amount(h.opts.Shard)
	cfg, _ := h.opts.Limits.Effective()
	if cfg == nil {
		t.frozen = true
		return nil
	}
	if spec, ok := cfg.Team(t.name); ok {
		t.frozen = exceeds(r.Sum(), spec.Limit) || lowered(r.Limit, spec.Limit)
	}
	return nil
}

// startChange changes the team's row in a goroutine of its own, which sends changeDone
// to the inbox.
func (h *Holder) startChange(ctx context.Context, t *team, c change) {
	t.changing = true
	_, version := h.opts.Limits.Accepted()
	freezes := t.freezes
	rc := rowChanger{holder: h, team: t.name, change: c, accepted: version, forceWrite: t.writePending}
	h.group.Go(func() error {
		row, err := rc.run(ctx)
		if err != nil {
			counters.Add("failed_moves", 1)
		}
		h.send(ctx, changeDone{team: rc.team, row: row, err: err, freezes: freezes})
		return nil
	})
}

// rowChanger changes one row.
type rowChanger struct {
	holder     *Holder
	team       string
	change     change
	accepted   config.Version
	forceWrite bool // write even if the amount stays the same, to rule out a pending write
}

// run repeats read and conditional write until the row's state is known. The returned
// row was written by this process or needed no write.
func (rc *rowChanger) run(ctx context.Context) (Row, error) {
	if !rc.change.grow {
		if err := rc.applyAndReadUsage(ctx); err != nil {
			return Row{}, err
		}
	}
	if err := rc.holder.changes.Wait(ctx); err != nil {
		return Row{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		row, err := rc.try(ctx)
		if err == nil || errors.Is(err, ErrNotOwner) || errors.Is(err, ErrCorrupt) {
			return row, err
		}
		if wait.For(ctx, retryInterval) != nil || rc.holder.changes.Wait(ctx) != nil {
			return Row{}, trace.Wrap(err)
		}
	}
}

// applyAndReadUsage puts the lowered amount in force at the core and reads the usage.
func (rc *rowChanger) applyAndReadUsage(ctx context.Context) error {
	usage, err := rc.holder.core.ApplyGrants(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	i := slices.IndexFunc(usage, func(u TeamUsage) bool { return u.Team == rc.team })
	if i >= 0 {
		rc.change.usage = usage[i].Used
	}
	return nil
}

// try makes one attempt. After a lost answer the next attempt always writes: a write on
// the same row version makes the condition of the lost write fail, so the lost write
// can no longer be applied.
func (rc *rowChanger) try(ctx context.Context) (Row, error) {
	h := rc.holder
	key := rowPrefix + rc.team
	row, version, err := h.read(ctx, key)
	if err != nil {
		return Row{}, err
	}
	amount := rc.change.apply(row, h.opts.Shard)
	if rc.change.grow && row.newerThan(rc.accepted) {
		amount = row.Amount(h.opts.Shard)
	}
	if amount == row.Amount(h.opts.Shard) && !rc.forceWrite {
		return row, nil
	}
	next := row.with(h.opts.Shard, amount)
	if !row.newerThan(rc.accepted) {
		next.Version = rc.accepted
		next.Limit = rc.change.limit
	}
	next.Nonce = rand.Text()
	return next, h.write(ctx, rc, key, next, version)
}

func (h *Holder) read(ctx context.Context, key string) (Row, int64, error) {
	stored, err := h.opts.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return Row{}, platform.MustBeAbsent, nil
	}
	if err != nil {
		return Row{}, 0, trace.Wrap(err)
	}
	row, err := decodeRow(key, stored.Value)
	return row, stored.Version, err
}

func (h *Holder) write(ctx context.Context, rc *rowChanger, key string, next Row, version int64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	counters.Add("writes", 1)
	_, err = h.opts.Table.Apply(ctx, []platform.Write{h.ownerCheck, {Key: key, Value: value, IfVersion: version}})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		rc.forceWrite = false
		return nil
	case errors.As(err, &conflict) && conflict.Key == h.ownerCheck.Key:
		return trace.Wrap(ErrNotOwner, "shard %s", h.opts.Shard)
	case errors.Is(err, platform.ErrAmbiguous):
		rc.forceWrite = true
	}
	return trace.Wrap(err)
}

// requestFromOthers sends requests to the other shards one after the other until enough
// was given back, and then triggers growth of the team's amount.
func (h *Holder) requestFromOthers(ctx context.Context, team string, missing model.Resources, others []Entry) {
	for _, other := range others {
		given, err := h.requestFrom(ctx, &rpc.GiveBackRequest{Shard: other.Shard, Team: team, Want: rpc.FromResources(missing)})
		if err != nil {
			counters.Add("failed_asks", 1)
			continue
		}
		missing = missing.Sub(given).Max(model.Resources{})
		if missing.IsZero() {
			break
		}
	}
	h.send(ctx, sharesRequested{team: team})
}

func (h *Holder) requestFrom(ctx context.Context, r *rpc.GiveBackRequest) (model.Resources, error) {
	ctx, cancel := context.WithTimeout(ctx, giveBackTimeout)
	defer cancel()
	counters.Add("asks", 1)
	reply, err := h.opts.RequestGiveBack(ctx, r)
	if err != nil {
		return model.Resources{}, trace.Wrap(err)
	}
	return reply.GetGiven().Model(), nil
}
