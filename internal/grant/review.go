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

// team returns the state of the named team, which it creates if needed.
func (h *Holder) team(name string) *team {
	t, ok := h.teams[name]
	if !ok {
		t = &team{name: name}
		h.teams[name] = t
	}
	return t
}

// updateLimits applies changed limits. A lowered limit freezes the team's amount at
// once, without a table call. The amount is frozen again when the lower limit is
// accepted: only from then on does no other shard raise its amount above the lower
// limit.
func (h *Holder) updateLimits(ctx context.Context) {
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
			acceptedLimit := t.acceptedLimit
			if a, ok := accepted.Team(spec.Name); ok {
				acceptedLimit = a.Limit
			}
			t.setLimit(spec.Limit, acceptedLimit, shards)
			if t.frozen {
				h.reconcile(ctx, t)
			}
		}
	}
}

func (t *team) setLimit(limit, acceptedLimit model.Resources, shards int) {
	if t.limitKnown && (lowered(t.limit, limit) || lowered(t.acceptedLimit, acceptedLimit)) {
		t.frozen = true
		t.freezes++
		t.retryAt = time.Time{}
	}
	if newlyLimited(acceptedLimit, limit) || t.limitKnown && newlyLimited(t.acceptedLimit, acceptedLimit) {
		t.noGrowthBefore = time.Now().Add(GrowthDelay)
	}
	t.limitKnown = true
	t.limit = limit
	t.acceptedLimit = acceptedLimit
	t.equalShare = equalShare(limit, shards)
}

// newlyLimited reports whether next limits a component that previous left unlimited.
func newlyLimited(previous, next model.Resources) bool {
	return !combine(previous, next, func(x, y int64) int64 {
		if x == 0 {
			return y
		}
		return 0
	}).IsZero()
}

func (h *Holder) takeDemands(ctx context.Context) {
	h.mu.Lock()
	demands := h.demands
	h.demands = map[string]model.Resources{}
	h.mu.Unlock()
	for name, demand := range demands {
		t := h.team(name)
		t.recordDemand(demand)
		h.grow(ctx, t)
	}
}

// recordDemand records the team's current demand.
func (t *team) recordDemand(demand model.Resources) {
	now := time.Now()
	t.demand = limitedOnly(demand, t.limit).Min(t.limit)
	if n := len(t.peaks); n > 0 && now.Sub(t.peaks[n-1].at) < reviewInterval/2 {
		t.peaks[n-1].demand = t.peaks[n-1].demand.Max(t.demand)
		return
	}
	t.peaks = slices.DeleteFunc(t.peaks, func(p peak) bool { return now.Sub(p.at) > IdleTimeout })
	t.peaks = append(t.peaks, peak{at: now, demand: t.demand})
}

// peakDemand returns the largest demand within the window, which is at most
// IdleTimeout.
func (t *team) peakDemand(window time.Duration) model.Resources {
	now := time.Now()
	var largest model.Resources
	for _, p := range t.peaks {
		if now.Sub(p.at) <= window {
			largest = largest.Max(p.demand)
		}
	}
	return largest
}

// grow raises the amount in the table if the team needs more: to at least the equal
// share, so that the first use needs only one write, and to some slack beyond the
// demand, so that not every further task needs one.
func (h *Holder) grow(ctx context.Context, t *team) {
	now := time.Now()
	if t.mustWait(now) || t.frozen || t.demand.Fits(t.allowed()) || now.Before(t.noGrowthBefore) {
		return
	}
	target := t.demand.Add(t.slack()).Min(t.limit).Max(t.equalShare)
	if now.Before(t.yieldUntil) {
		target = t.equalShare
		if target.Fits(t.recorded) {
			return
		}
	}
	h.startChange(ctx, t, change{target: target.Max(t.recorded), limit: t.limit, grow: true})
}

// mustWait reports whether the row may not be changed now.
func (t *team) mustWait(now time.Time) bool {
	return t.changing || !t.limitKnown || now.Before(t.retryAt)
}

// review requests the usage from the core; usageReported goes to the inbox.
func (h *Holder) review(ctx context.Context) {
	h.group.Go(func() error {
		usage, err := h.core.ApplyGrants(ctx)
		if err != nil {
			return nil // not ready, or ending: without usage nothing is given back
		}
		h.send(ctx, usageReported{usage: usage})
		return nil
	})
}

func (h *Holder) send(ctx context.Context, message any) {
	select {
	case h.inbox <- message:
	case <-ctx.Done():
	}
}

func (h *Holder) handleUsage(ctx context.Context, usage []TeamUsage) {
	for _, t := range h.teams {
		var demand model.Resources
		i := slices.IndexFunc(usage, func(u TeamUsage) bool { return u.Team == t.name })
		if i >= 0 {
			demand = usage[i].Used.Add(usage[i].Pending)
		}
		t.recordDemand(demand)
		h.reconcile(ctx, t)
	}
}

// reconcile brings the team's amount closer to its target, with one change at a time.
func (h *Holder) reconcile(ctx context.Context, t *team) {
	now := time.Now()
	switch {
	case t.changing || !t.limitKnown:
	case now.Before(t.yieldUntil) && !t.recorded.Fits(t.equalShare) && !t.frozen:
		h.shrink(ctx, t, t.recorded.Min(t.equalShare))
	case now.Before(t.retryAt):
	case t.frozen:
		h.startChange(ctx, t, change{limit: t.limit, onlyIfOver: true})
	case !t.demand.Fits(t.allowed()):
		h.grow(ctx, t)
	case t.idle(now):
		h.shrink(ctx, t, t.recorded.Min(t.keep()))
	case t.loweredTo != nil:
		h.startChange(ctx, t, change{target: t.recorded, limit: t.limit, grow: true})
	}
}

// idle reports whether enough stays unused that it should be given back.
func (t *team) idle(now time.Time) bool {
	if t.recorded.IsZero() || now.Sub(t.changedAt) < IdleTimeout {
		return false
	}
	unused := t.recorded.Sub(t.keep())
	return t.keep().IsZero() || !unused.Fits(t.slack())
}

// keep returns the amount to keep when the rest is given back.
func (t *team) keep() model.Resources {
	demand := t.peakDemand(IdleTimeout)
	if demand.IsZero() {
		return demand
	}
	return demand.Add(t.slack())
}

func (t *team) slack() model.Resources {
	return combine(t.equalShare, t.limit, func(x, bound int64) int64 {
		return min(max(x/slackDivisor, 1), bound)
	})
}

// shrink lowers the amount, in the core before the table; see rowChanger.run.
func (h *Holder) shrink(ctx context.Context, t *team, target model.Resources) {
	t.loweredTo = &target
	h.publish()
	h.startChange(ctx, t, change{target: target, limit: t.limit})
}

// handleGiveBack gives back what the team does not need. If that is less than
// requested, the shard uses no more than its equal share for yieldTime.
func (h *Holder) handleGiveBack(ctx context.Context, g giveBackRequest) {
	t := h.team(g.team)
	if t.changing || !t.limitKnown || t.frozen || t.recorded.IsZero() {
		g.reply <- model.Resources{}
		return
	}
	keep := t.recorded.Min(t.peakDemand(minIdleOnRequest))
	spare := t.recorded.Sub(keep).Min(g.want)
	if spare != limitedOnly(g.want, t.limit) {
		t.yieldUntil = time.Now().Add(yieldTime)
		spare = t.recorded.Sub(keep.Min(t.equalShare)).Min(g.want).Max(spare)
	}
	if spare.Max(model.Resources{}).IsZero() {
		g.reply <- model.Resources{}
		return
	}
	counters.Add("asked_to_give_back", 1)
	t.giveBacks = append(t.giveBacks, g)
	h.shrink(ctx, t, t.recorded.Sub(spare.Max(model.Resources{})))
}

// handleChangeDone applies the outcome of a change of the row.
func (h *Holder) handleChangeDone(ctx context.Context, m changeDone) error {
	if errors.Is(m.err, ErrNotOwner) || errors.Is(m.err, ErrCorrupt) {
		return m.err
	}
	t := h.team(m.team)
	before := t.recorded
	t.changing = false
	t.writePending = m.err != nil
	if m.err == nil {
		t.recorded = m.row.Amount(h.opts.Shard)
		t.loweredTo = nil
		// A change that began before the freeze may have read an older sum.
		t.frozen = t.frozen && (m.freezes != t.freezes || exceeds(m.row.Sum(), t.limit))
	}
	h.recordChange(t, before)
	t.setBackoff(m.err != nil || before == t.recorded)
	for _, g := range t.giveBacks {
		g.reply <- before.Sub(t.recorded).Max(model.Resources{})
	}
	t.giveBacks = nil
	if m.err == nil && !t.frozen && !t.demand.Fits(t.recorded) {
		h.requestMissing(ctx, t, m.row)
	}
	return nil
}

// setBackoff delays the next change after one without effect.
func (t *team) setBackoff(noEffect bool) {
	if !noEffect {
		t.backoff = 0
		t.retryAt = time.Time{}
		return
	}
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	if t.frozen {
		t.backoff = minBackoff
	}
	t.retryAt = time.Now().Add(t.backoff)
}

func (h *Holder) recordChange(t *team, before model.Resources) {
	if before == t.recorded {
		return
	}
	t.changedAt = time.Now()
	counters.Add("moves", 1)
	h.opts.Recorder.Record(timeline.Event{
		Kind:   timeline.KindGrantMoved,
		Team:   t.name,
		Target: h.opts.Shard,
		Detail: "holds " + t.recorded.String(),
	})
}

// requestMissing requests what the team lacks from the other shards, those with the
// largest amounts first.
func (h *Holder) requestMissing(ctx context.Context, t *team, row Row) {
	now := time.Now()
	if h.opts.RequestGiveBack == nil || now.Sub(t.requestedAt) < giveBackInterval || now.Before(t.noGrowthBefore) {
		return
	}
	t.requestedAt = now
	missing := t.demand.Sub(t.recorded).Max(model.Resources{})
	others := slices.DeleteFunc(slices.Clone(row.Shards), func(e Entry) bool { return e.Shard == h.opts.Shard })
	slices.SortFunc(others, func(a, b Entry) int {
		return int(b.Amount.DominantShare(t.limit)*1e6) - int(a.Amount.DominantShare(t.limit)*1e6)
	})
	h.group.Go(func() error {
		h.requestFromOthers(ctx, t.name, missing, others)
		return nil
	})
}

// newerThan reports whether the row's writer knew a newer accepted version.
func (r Row) newerThan(v config.Version) bool { return r.Version > v }
