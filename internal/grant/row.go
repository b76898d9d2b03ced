package grant

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/gravitational/trace"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// rowPrefix begins the key of every grant row; the team's name follows.
const rowPrefix = "grant/"

// ErrCorrupt is returned if a grant row cannot be decoded.
var ErrCorrupt = errors.New("grant row is corrupt")

// Row is the value of grant/<team>: how much of the team's upper limit each shard has.
// Components that the limit leaves unlimited are zero.
type Row struct {
	// Version is the accepted configuration of the last writer. Holders that know only
	// an older version do not raise their amounts.
	Version config.Version  `json:"version"`
	Limit   model.Resources `json:"limit"` // the limit that the last writer enforced
	Nonce   string          `json:"nonce"` // random, identifies the last write
	Shards  []Entry         `json:"shards"`
}

// Entry is the amount of one shard.
type Entry struct {
	Shard  string          `json:"shard"`
	Amount model.Resources `json:"amount"`
}

func decodeRow(key string, value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, trace.Wrap(ErrCorrupt, "row %s: %v", key, err)
	}
	return r, nil
}

// Amount returns the shard's amount.
func (r Row) Amount(shard string) model.Resources {
	for _, e := range r.Shards {
		if e.Shard == shard {
			return e.Amount
		}
	}
	return model.Resources{}
}

// Sum returns the sum of all shards' amounts.
func (r Row) Sum() model.Resources {
	var sum model.Resources
	for _, e := range r.Shards {
		sum = sum.Add(e.Amount)
	}
	return sum
}

// with returns a copy of the row with the given amount for the shard.
func (r Row) with(shard string, amount model.Resources) Row {
	r.Shards = slices.DeleteFunc(slices.Clone(r.Shards), func(e Entry) bool { return e.Shard == shard })
	if !amount.IsZero() {
		r.Shards = append(r.Shards, Entry{Shard: shard, Amount: amount})
	}
	slices.SortFunc(r.Shards, func(a, b Entry) int {
		if a.Shard < b.Shard {
			return -1
		}
		return 1
	})
	return r
}

// change is a requested change of a shard's amount.
type change struct {
	target model.Resources // target amount
	limit  model.Resources // zero components are unlimited
	grow   bool            // components may be raised as far as the limit allows
	usage  model.Resources // current usage, which the amount always covers
	// onlyIfOver leaves the amount unchanged if the sum is within the limit.
	onlyIfOver bool
}

// apply returns the shard's new amount. A component is raised only as far as the sum
// stays within the limit, and lowered to the target. Current usage is recorded even
// over the limit, so that no other shard uses the same capacity.
func (c change) apply(r Row, shard string) model.Resources {
	old := r.Amount(shard)
	available := c.limit.Sub(r.Sum().Sub(old))
	amount := c.target
	switch {
	case c.onlyIfOver && !exceeds(r.Sum(), c.limit):
		amount = old
	case !c.grow:
		amount = amount.Min(old)
	}
	amount = amount.Min(available.Max(old))
	return limitedOnly(amount.Max(c.usage).Max(model.Resources{}), c.limit)
}

// exceeds reports whether a is over the limit in any component.
func exceeds(a, limit model.Resources) bool {
	return !limitedOnly(a, limit).Fits(limit)
}

// limitedOnly returns a with the components that the limit leaves unlimited set to
// zero.
func limitedOnly(a, limit model.Resources) model.Resources {
	return combine(a, limit, func(x, bound int64) int64 {
		if bound == 0 {
			return 0
		}
		return x
	})
}

// lowered reports whether a component of the limit became lower or newly limited.
func lowered(before, after model.Resources) bool {
	drop := combine(before, after, func(x, y int64) int64 {
		if y != 0 && (x == 0 || y < x) {
			return 1
		}
		return 0
	})
	return !drop.IsZero()
}

// equalShare returns the limit divided by the number of shards, rounded up.
func equalShare(limit model.Resources, shards int) model.Resources {
	n := int64(max(shards, 1))
	return combine(limit, limit, func(x, _ int64) int64 { return (x + n - 1) / n })
}

// inForce returns the amount in the form of sched.GrantChanged: a limited component of
// which the shard has nothing is negative.
func inForce(amount, limit model.Resources) model.Resources {
	return combine(amount, limit, func(x, bound int64) int64 {
		if bound != 0 && x == 0 {
			return -1
		}
		return x
	})
}

// combine applies f to each component of a and b.
func combine(a, b model.Resources, f func(x, y int64) int64) model.Resources {
	return model.Resources{
		MilliCores:   f(a.MilliCores, b.MilliCores),
		MemoryMB:     f(a.MemoryMB, b.MemoryMB),
		Accelerators: f(a.Accelerators, b.Accelerators),
		Slots:        f(a.Slots, b.Slots),
	}
}
