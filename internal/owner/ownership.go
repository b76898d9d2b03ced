package owner

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"cuminloft/internal/journal"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/wait"
	"cuminloft/internal/worker"
)

// Ownership is the value of the row shard/<shard>/owner.
type Ownership struct {
	Host        string       `json:"host"`
	Addr        string       `json:"addr"`
	Incarnation string       `json:"incarnation"`
	Fence       worker.Fence `json:"fence"`
	Nonce       string       `json:"nonce"`
	// Released is true after a clean hand-over: a successor need not wait.
	Released bool `json:"released,omitempty"`
	// Adopted is true if another AZ's host released the shard after it had moved
	// the waiting jobs: work of an earlier owner may still run.
	Adopted bool `json:"adopted,omitempty"`
}

// Alive is the value of the row shard/<shard>/alive, the owner's last sign of
// life in the table.
type Alive struct {
	Host   string       `json:"host"`
	Fence  worker.Fence `json:"fence"`
	UnixNS int64        `json:"unix_ns"` // owner's clock
}

// ReadOwnership returns who owns the shard. The zero value and no error if
// nobody ever did.
func ReadOwnership(ctx context.Context, table platform.Table, shard string) (Ownership, error) {
	o, _, err := readOwnership(ctx, table, shard)
	return o, err
}

func readOwnership(ctx context.Context, table platform.Table, shard string) (Ownership, int64, error) {
	row, err := table.Get(ctx, journal.OwnerKey(shard))
	if errors.Is(err, platform.ErrNotFound) {
		return Ownership{}, platform.MustBeAbsent, nil
	}
	if err != nil {
		return Ownership{}, 0, trace.Wrap(err)
	}
	var o Ownership
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return Ownership{}, 0, trace.Wrap(journal.ErrCorrupt, "owner row of %s: %v", shard, err)
	}
	return o, row.Version, nil
}

// held is a shard's owner row as written by this process.
type held struct {
	Ownership
	version int64
	// clean is true if the former owner handed over, or there was none.
	clean bool
}

// take makes self the owner with the fence raised by one. It returns ErrLost if
// another host was faster. A lost answer is settled by repeating the same write
// and reading back the nonce, so that a write that arrives late does no harm.
func take(ctx context.Context, table platform.Table, shard string, self *rpc.Member) (held, error) {
	last, version, err := readOwnership(ctx, table, shard)
	if err != nil {
		return held{}, trace.Wrap(err)
	}
	return succeed(ctx, table, shard, self, last, version)
}

// takeReleased does as take does, but only if the shard was handed over cleanly
// and nobody has taken it since. It returns ErrNotReleased otherwise.
func takeReleased(ctx context.Context, table platform.Table, shard string, self *rpc.Member) (held, error) {
	last, version, err := readOwnership(ctx, table, shard)
	if err != nil {
		return held{}, trace.Wrap(err)
	}
	if !last.Released || last.Adopted {
		return held{}, trace.Wrap(ErrNotReleased)
	}
	return succeed(ctx, table, shard, self, last, version)
}

// succeed makes self the owner after last, whose row has the given version.
func succeed(ctx context.Context, table platform.Table, shard string, self *rpc.Member, last Ownership, version int64) (held, error) {
	next := Ownership{
		Host:        self.GetHost(),
		Addr:        self.GetAddr(),
		Incarnation: self.GetIncarnation(),
		Fence:       last.Fence + 1,
		Nonce:       rand.Text(),
	}
	h, err := replaceOwnership(ctx, table, shard, next, version)
	h.clean = (last.Released && !last.Adopted) || version == platform.MustBeAbsent
	return h, err
}

// release marks the row so that a successor takes the shard at once. The fence
// stays, so that whatever this owner still has under way is told apart.
func release(ctx context.Context, table platform.Table, shard string, h held) error {
	next := h.Ownership
	next.Released = true
	next.Nonce = rand.Text()
	_, err := replaceOwnership(ctx, table, shard, next, h.version)
	return trace.Wrap(err)
}

func replaceOwnership(ctx context.Context, table platform.Table, shard string, next Ownership, version int64) (held, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return held{}, trace.Wrap(err)
	}
	write := platform.Write{Key: journal.OwnerKey(shard), Value: value, IfVersion: version}
	for {
		versions, err := table.Apply(ctx, []platform.Write{write})
		if err == nil {
			return held{Ownership: next, version: versions[0]}, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return settleOwnership(ctx, table, shard, next)
		}
		if err := wait.For(ctx, ownerRowRetry); err != nil {
			return held{}, trace.Wrap(err)
		}
	}
}

// settleOwnership finds out whether the row holds this write after a conflict.
func settleOwnership(ctx context.Context, table platform.Table, shard string, want Ownership) (held, error) {
	for {
		now, version, err := readOwnership(ctx, table, shard)
		if err == nil && now.Nonce == want.Nonce {
			return held{Ownership: now, version: version}, nil
		}
		if err == nil {
			return held{}, trace.Wrap(ErrLost, "%s took shard %s with fence %d", now.Host, shard, now.Fence)
		}
		if errors.Is(err, journal.ErrCorrupt) {
			return held{}, trace.Wrap(err)
		}
		if err := wait.For(ctx, ownerRowRetry); err != nil {
			return held{}, trace.Wrap(err)
		}
	}
}
