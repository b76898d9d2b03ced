package grant

import (
	"context"
	"errors"
	"slices"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/timeline"
)

// team returns the state of the named team.
func (h *Holder) team(name string) *team {
	t, ok := h.teams[name]
	if !ok {
		t = &team{name: name}
		h.teams[name] = t
	}
	return t
}

// takeLimits notices changed limits. A lowered one freezes the team's amount at
// once, without the table. It does so again when the lower limit is accepted:
// only then does no other shard raise its amount beyond it.
func (h *Holder) takeLimits(ctx context.Context) {
	effective, _ := h.opts.Limits.Effective()
	accepted, _ := h.opts.Limits.Accepted()
	if effective == nil || accepted == nil || effective == h.effective && accepted == h.accepted {
		return
	}
	h.effective, h.accepted = effective, accepted
	shards := len(effective.Shards())
	for _, org := range effective.Organisations {
		for _, spec := range org.Teams {
			t := h.team(spec.Name)
			final := t.final
			if a, ok := accepted.Team(spec.Name); ok {
				final = a.Limit
			}
			t.setLimit(spec.Limit, final, shards)
			if t.frozen {
				h.settle(ctx, t)
			}
		}
	}
}

func (t *team) setLimit(limit, final model.Resources, shards int) {
	if t.known && (lowered(t.limit, limit) || lowered(t.final, final)) {
		t.frozen = true
		t.freezes++
		t.retryAt = time.Time{}
	}
	if newlyLimited(final, limit) || t.known && newlyLimited(t.final, final) {
		t.growFrom = time.Now().Add(DeclareDelay)
	}
	t.known = true
	t.limit = limit
	t.final = final
	t.even = evenPart(limit, shards)
}

// newlyLimited reports whether next limits a component that last left out.
func newlyLimited(last, next model.Resources) bool {
	return !combine(last, next, func(x, y int64) int64 {
		if x == 0 {
			return y
		}
		return 0
	}).IsZero()
}

func (h *Holder) takeWants(ctx context.Context) {
	h.mu.Lock()
	wants := h.wants
	h.wants = map[string]model.Resources{}
	h.mu.Unlock()
	for name, want := range wants {
		t := h.team(name)
		t.need(want)
		h.grow(ctx, t)
	}
}

// need remembers what the team needed now.
func (t *team) need(n model.Resources) {
	now := time.Now()
	t.want = limitedOnly(n, t.limit).Min(t.limit)
	if n := len(t.peaks); n > 0 && now.Sub(t.peaks[n-1].at) < reviewInterval/2 {
		t.peaks[n-1].need = t.peaks[n-1].need.Max(t.want)
		return
	}
	t.peaks = slices.DeleteFunc(t.peaks, func(p peak) bool { return now.Sub(p.at) > IdleAfter })
	t.peaks = append(t.peaks, peak{at: now, need: t.want})
}

// needed returns the most that was needed within the window, which is at most
// IdleAfter.
func (t *team) needed(window time.Duration) model.Resources {
	now := time.Now()
	var most model.Resources
	for _, p := range t.peaks {
		if now.Sub(p.at) <= window {
			most = most.Max(p.need)
		}
	}
	return most
}

// grow asks the table for more if the team needs it: at least an even part, so
// that a first use needs one write only, and some slack beyond the need, so that
// not each further task needs one.
func (h *Holder) grow(ctx context.Context, t *team) {
	now := time.Now()
	if t.waits(now) || t.frozen || t.want.Fits(t.allowed()) || now.Before(t.growFrom) {
		return
	}
	goal := t.want.Add(t.slack()).Min(t.limit).Max(t.even)
	if now.Before(t.yield) {
		goal = t.even
		if goal.Fits(t.entry) {
			return
		}
	}
	h.move(ctx, t, change{goal: goal.Max(t.entry), limit: t.limit, grow: true})
}

// waits reports whether the row may not be changed now.
func (t *team) waits(now time.Time) bool {
	return t.busy || !t.known || now.Before(t.retryAt)
}

// review asks the core for its use; the answer comes to the inbox.
func (h *Holder) review(ctx context.Context) {
	h.group.Go(func() error {
		uses, err := h.core.ApplyGrants(ctx)
		if err != nil {
			return nil // not ready, or ending: nothing is given back unseen
		}
		h.send(ctx, reviewed{uses: uses})
		return nil
	})
}

func (h *Holder) send(ctx context.Context, message any) {
	select {
	case h.inbox <- message:
	case <-ctx.Done():
	}
}

func (h *Holder) takeUses(ctx context.Context, uses []TeamUsage) {
	for _, t := range h.teams {
		var need model.Resources
		i := slices.IndexFunc(uses, func(u TeamUsage) bool { return u.Team == t.name })
		if i >= 0 {
			need = uses[i].Used.Add(uses[i].Pending)
		}
		t.need(need)
		h.settle(ctx, t)
	}
}

// settle brings the team's amount to what it should be, one step at a time.
func (h *Holder) settle(ctx context.Context, t *team) {
	now := time.Now()
	switch {
	case t.busy || !t.known:
	case now.Before(t.yield) && !t.entry.Fits(t.even) && !t.frozen:
		h.shrink(ctx, t, t.entry.Min(t.even))
	case now.Before(t.retryAt):
	case t.frozen:
		h.move(ctx, t, change{limit: t.limit, onlyIfOver: true})
	case !t.want.Fits(t.allowed()):
		h.grow(ctx, t)
	case t.idle(now):
		h.shrink(ctx, t, t.entry.Min(t.keep()))
	case t.bound != nil:
		h.move(ctx, t, change{goal: t.entry, limit: t.limit, grow: true})
	}
}

// idle reports whether so much stays unused that it should be given back.
func (t *team) idle(now time.Time) bool {
	if t.entry.IsZero() || now.Sub(t.changed) < IdleAfter {
		return false
	}
	unused := t.entry.Sub(t.keep())
	return t.keep().IsZero() || !unused.Fits(t.slack())
}

// keep returns what stays when the rest is given back.
func (t *team) keep() model.Resources {
	needed := t.needed(IdleAfter)
	if needed.IsZero() {
		return needed
	}
	return needed.Add(t.slack())
}

func (t *team) slack() model.Resources {
	return combine(t.even, t.limit, func(x, bound int64) int64 {
		return min(max(x/slackPart, 1), bound)
	})
}

// shrink lowers the amount in the core first; see move.
func (h *Holder) shrink(ctx context.Context, t *team, goal model.Resources) {
	t.bound = &goal
	h.publish()
	h.move(ctx, t, change{goal: goal, limit: t.limit})
}

// takeGiveBack gives back what the team does not need. If that is less than
// was asked for, the shard holds no more than its even part for a while.
func (h *Holder) takeGiveBack(ctx context.Context, g giveBack) {
	t := h.team(g.team)
	if t.busy || !t.known || t.frozen || t.entry.IsZero() {
		g.reply <- model.Resources{}
		return
	}
	keep := t.entry.Min(t.needed(askedIdle))
	spare := t.entry.Sub(keep).Min(g.want)
	if spare != limitedOnly(g.want, t.limit) {
		t.yield = time.Now().Add(yieldFor)
		spare = t.entry.Sub(keep.Min(t.even)).Min(g.want).Max(spare)
	}
	if spare.Max(model.Resources{}).IsZero() {
		g.reply <- model.Resources{}
		return
	}
	counters.Add("asked_to_give_back", 1)
	t.giveBacks = append(t.giveBacks, g)
	h.shrink(ctx, t, t.entry.Sub(spare.Max(model.Resources{})))
}

// takeMoved takes in the row after a change.
func (h *Holder) takeMoved(ctx context.Context, m moved) error {
	if errors.Is(m.err, ErrNotOwner) || errors.Is(m.err, ErrCorrupt) {
		return m.err
	}
	t := h.team(m.team)
	before := t.entry
	t.busy = false
	t.unsettled = m.err != nil
	if m.err == nil {
		t.entry = m.row.Amount(h.opts.Shard)
		t.bound = nil
		// A change that began before the freeze may have seen an older sum.
		t.frozen = t.frozen && (m.freezes != t.freezes || exceeds(m.row.Sum(), t.limit))
	}
	h.noteMove(t, before)
	t.setBackoff(m.err != nil || before == t.entry)
	for _, g := range t.giveBacks {
		g.reply <- before.Sub(t.entry).Max(model.Resources{})
	}
	t.giveBacks = nil
	if m.err == nil && !t.frozen && !t.want.Fits(t.entry) {
		h.askOthers(ctx, t, m.row)
	}
	return nil
}

// setBackoff delays the next change after one that was fruitless.
func (t *team) setBackoff(fruitless bool) {
	if !fruitless {
		t.backoff = 0
		t.retryAt = time.Time{}
		return
	}
	t.backoff = min(max(2*t.backoff, firstBackoff), lastBackoff)
	if t.frozen {
		t.backoff = firstBackoff
	}
	t.retryAt = time.Now().Add(t.backoff)
}

func (h *Holder) noteMove(t *team, before model.Resources) {
	if before == t.entry {
		return
	}
	t.changed = time.Now()
	counters.Add("moves", 1)
	h.opts.Recorder.Record(timeline.Event{
		Kind:   timeline.KindGrantMoved,
		Team:   t.name,
		Target: h.opts.Shard,
		Detail: "holds " + t.entry.String(),
	})
}

// askOthers asks the shards that hold most for what the team lacks.
func (h *Holder) askOthers(ctx context.Context, t *team, row Row) {
	now := time.Now()
	if h.opts.RequestGiveBack == nil || now.Sub(t.asked) < askInterval || now.Before(t.growFrom) {
		return
	}
	t.asked = now
	lacks := t.want.Sub(t.entry).Max(model.Resources{})
	others := slices.DeleteFunc(slices.Clone(row.Shards), func(e Entry) bool { return e.Shard == h.opts.Shard })
	slices.SortFunc(others, func(a, b Entry) int {
		return int(b.Amount.DominantShare(t.limit)*1e6) - int(a.Amount.DominantShare(t.limit)*1e6)
	})
	h.group.Go(func() error {
		h.ask(ctx, t.name, lacks, others)
		return nil
	})
}

// newerThan reports whether the row's writer knew a newer accepted version.
func (r Row) newerThan(v config.Version) bool { return r.Version > v }
