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

// inheritPage is the most rows that one read returns.
const inheritPage = 1000

// retryInterval separates the repeats of a table call.
const retryInterval = 100 * time.Millisecond

// inherit reads what the shard holds already. Run is called after the takeover
// is written, so no earlier owner can change the shard's entries any more.
func (h *Holder) inherit(ctx context.Context) error {
	after := ""
	for {
		rows, err := h.inheritPage(ctx, after)
		if err != nil {
			if wait.For(ctx, retryInterval) != nil {
				return trace.Wrap(err)
			}
			continue
		}
		for _, row := range rows {
			after = row.Key
			if err := h.inheritRow(row); err != nil {
				return trace.Wrap(err)
			}
		}
		if len(rows) < inheritPage {
			return nil
		}
	}
}

func (h *Holder) inheritPage(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return h.opts.Table.Range(ctx, rowPrefix, after, inheritPage)
}

// inheritRow freezes a team whose amounts exceed the limit: an earlier owner
// may have been about to lower the shard's.
func (h *Holder) inheritRow(row platform.Row) error {
	r, err := decodeRow(row.Key, row.Value)
	if err != nil {
		return err
	}
	t := h.team(row.Key[len(rowPrefix):])
	t.entry = r.Amount(h.opts.Shard)
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

// move changes the team's row in a goroutine of its own; the end comes to the
// inbox.
func (h *Holder) move(ctx context.Context, t *team, c change) {
	t.busy = true
	_, version := h.opts.Limits.Accepted()
	freezes := t.freezes
	m := mover{holder: h, team: t.name, change: c, accepted: version, force: t.unsettled}
	h.group.Go(func() error {
		row, err := m.run(ctx)
		if err != nil {
			counters.Add("failed_moves", 1)
		}
		h.send(ctx, moved{team: m.team, row: row, err: err, freezes: freezes})
		return nil
	})
}

// mover changes one row.
type mover struct {
	holder   *Holder
	team     string
	change   change
	accepted config.Version
	force    bool // write even if nothing changes, to settle an earlier write
}

// run repeats read and conditional write until the row's state is certain. The
// row that it returns was written by this process or needed no write.
func (m *mover) run(ctx context.Context) (Row, error) {
	if !m.change.grow {
		if err := m.readUse(ctx); err != nil {
			return Row{}, err
		}
	}
	if err := m.holder.changes.Wait(ctx); err != nil {
		return Row{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	for {
		row, err := m.try(ctx)
		if err == nil || errors.Is(err, ErrNotOwner) || errors.Is(err, ErrCorrupt) {
			return row, err
		}
		if wait.For(ctx, retryInterval) != nil || m.holder.changes.Wait(ctx) != nil {
			return Row{}, trace.Wrap(err)
		}
	}
}

// readUse puts the lowered amount in force at the core and learns what runs.
func (m *mover) readUse(ctx context.Context) error {
	uses, err := m.holder.core.ApplyGrants(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	i := slices.IndexFunc(uses, func(u TeamUsage) bool { return u.Team == m.team })
	if i >= 0 {
		m.change.used = uses[i].Used
	}
	return nil
}

// try makes one attempt. After a lost answer the next attempt writes in any
// case: a write on the same row version settles the lost one, which can no
// longer apply then.
func (m *mover) try(ctx context.Context) (Row, error) {
	h := m.holder
	key := rowPrefix + m.team
	row, version, err := h.read(ctx, key)
	if err != nil {
		return Row{}, err
	}
	amount := m.change.apply(row, h.opts.Shard)
	if m.change.grow && row.newerThan(m.accepted) {
		amount = row.Amount(h.opts.Shard)
	}
	if amount == row.Amount(h.opts.Shard) && !m.force {
		return row, nil
	}
	next := row.with(h.opts.Shard, amount)
	if !row.newerThan(m.accepted) {
		next.Version = m.accepted
		next.Limit = m.change.limit
	}
	next.Nonce = rand.Text()
	return next, h.write(ctx, m, key, next, version)
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

func (h *Holder) write(ctx context.Context, m *mover, key string, next Row, version int64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	counters.Add("writes", 1)
	_, err = h.opts.Table.Apply(ctx, []platform.Write{h.ownerAt, {Key: key, Value: value, IfVersion: version}})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		m.force = false
		return nil
	case errors.As(err, &conflict) && conflict.Key == h.ownerAt.Key:
		return trace.Wrap(ErrNotOwner, "shard %s", h.opts.Shard)
	case errors.Is(err, platform.ErrAmbiguous):
		m.force = true
	}
	return trace.Wrap(err)
}

// ask asks the other shards one after the other until enough was given back,
// and then wants again.
func (h *Holder) ask(ctx context.Context, team string, lacks model.Resources, others []Entry) {
	for _, other := range others {
		given, err := h.askOne(ctx, &rpc.GiveBackRequest{Shard: other.Shard, Team: team, Want: rpc.FromResources(lacks)})
		if err != nil {
			counters.Add("failed_asks", 1)
			continue
		}
		lacks = lacks.Sub(given).Max(model.Resources{})
		if lacks.IsZero() {
			break
		}
	}
	h.send(ctx, asked{team: team})
}

func (h *Holder) askOne(ctx context.Context, r *rpc.GiveBackRequest) (model.Resources, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	counters.Add("asks", 1)
	reply, err := h.opts.RequestGiveBack(ctx, r)
	if err != nil {
		return model.Resources{}, trace.Wrap(err)
	}
	return reply.GetGiven().Model(), nil
}
