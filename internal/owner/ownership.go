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
	// Released is true after a clean hand-over. A successor then need not wait.
	Released bool `json:"released,omitempty"`
	// Adopted is true if a host of another AZ released the shard after moving its
	// pending jobs. Tasks of an earlier owner may still run.
	Adopted bool `json:"adopted,omitempty"`
}

// Alive is the value of the row shard/<shard>/alive, the owner's latest sign of life
// in the table.
type Alive struct {
	Host   string       `json:"host"`
	Fence  worker.Fence `json:"fence"`
	UnixNS int64        `json:"unix_ns"` // owner's clock
}

// ReadOwnership returns the owner of the shard. It returns the zero value and no error
// if the shard never had an owner.
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

// ownerRow is a shard's owner row as written by this process.
type ownerRow struct {
	Ownership
	version int64
	// cleanHandover is true if the former owner handed the shard over, or there was
	// none.
	cleanHandover bool
}

// takeShard makes self the owner and increments the fence. It returns ErrLost if
// another host was faster. If the reply to the write is lost, the same write is
// repeated and the nonce is read back, so that a write that is applied late does no
// harm.
func takeShard(ctx context.Context, table platform.Table, shard string, self *rpc.Member) (ownerRow, error) {
	last, version, err := readOwnership(ctx, table, shard)
	if err != nil {
		return ownerRow{}, trace.Wrap(err)
	}
	return becomeOwner(ctx, table, shard, self, last, version)
}

// takeReleasedShard is like takeShard, but only takes a shard that was handed over
// cleanly and has not been taken since. It returns ErrNotReleased otherwise.
func takeReleasedShard(ctx context.Context, table platform.Table, shard string, self *rpc.Member) (ownerRow, error) {
	last, version, err := readOwnership(ctx, table, shard)
	if err != nil {
		return ownerRow{}, trace.Wrap(err)
	}
	if !last.Released || last.Adopted {
		return ownerRow{}, trace.Wrap(ErrNotReleased)
	}
	return becomeOwner(ctx, table, shard, self, last, version)
}

// becomeOwner makes self the owner after last, whose row has the given version.
func becomeOwner(ctx context.Context, table platform.Table, shard string, self *rpc.Member, last Ownership, version int64) (ownerRow, error) {
	next := Ownership{
		Host:        self.GetHost(),
		Addr:        self.GetAddr(),
		Incarnation: self.GetIncarnation(),
		Fence:       last.Fence + 1,
		Nonce:       rand.Text(),
	}
	h, err := replaceOwnership(ctx, table, shard, next, version)
	h.cleanHandover = (last.Released && !last.Adopted) || version == platform.MustBeAbsent
	return h, err
}

// releaseShard marks the row as released, so that a successor can take the shard
// immediately. The fence is kept, so that commands still in flight from this owner are
// recognised as older.
func releaseShard(ctx context.Context, table platform.Table, shard string, h ownerRow) error {
	next := h.Ownership
	next.Released = true
	next.Nonce = rand.Text()
	_, err := replaceOwnership(ctx, table, shard, next, h.version)
	return trace.Wrap(err)
}

func replaceOwnership(ctx context.Context, table platform.Table, shard string, next Ownership, version int64) (ownerRow, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return ownerRow{}, trace.Wrap(err)
	}
	write := platform.Write{Key: journal.OwnerKey(shard), Value: value, IfVersion: version}
	for {
		versions, err := table.Apply(ctx, []platform.Write{write})
		if err == nil {
			return ownerRow{Ownership: next, version: versions[0]}, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return resolveOwnershipConflict(ctx, table, shard, next)
		}
		if err := wait.For(ctx, ownerRowRetryDelay); err != nil {
			return ownerRow{}, trace.Wrap(err)
		}
	}
}

// resolveOwnershipConflict determines after a conflict whether the row contains this
// write.
func resolveOwnershipConflict(ctx context.Context, table platform.Table, shard string, want Ownership) (ownerRow, error) {
	for {
		now, version, err := readOwnership(ctx, table, shard)
		if err == nil && now.Nonce == want.Nonce {
			return ownerRow{Ownership: now, version: version}, nil
		}
		if err == nil {
			return ownerRow{}, trace.Wrap(ErrLost, "%s took shard %s with fence %d", now.Host, shard, now.Fence)
		}
		if errors.Is(err, journal.ErrCorrupt) {
			return ownerRow{}, trace.Wrap(err)
		}
		if err := wait.For(ctx, ownerRowRetryDelay); err != nil {
			return ownerRow{}, trace.Wrap(err)
		}
	}
}
