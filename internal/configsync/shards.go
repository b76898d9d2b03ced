package configsync

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/gravitational/trace"

	"cuminloft/internal/platform"
)

// ShardState is the state of a shard's ownership according to the table.
type ShardState struct {
	Shard string
	// Owner is empty if the shard never had an owner or the last owner released it.
	Owner string
	Fence int64
	// AliveVersion is the row version of the owner's liveness row; each liveness update
	// of the owner changes it.
	AliveVersion int64
}

// ShardReader reads the current owner of each shard.
type ShardReader interface {
	// Shards returns the state of every shard that has or had an owner.
	Shards(ctx context.Context) ([]ShardState, error)
}

// TableShardReader reads the owner of each shard from the table.
type TableShardReader struct {
	table platform.Table
}

// NewTableShardReader returns a ShardReader on the table.
func NewTableShardReader(table platform.Table) *TableShardReader {
	return &TableShardReader{table: table}
}

// Keys of the shards' rows, which the owners write.
const (
	shardPrefix = "shard/"
	ownerSuffix = "/owner"
	aliveSuffix = "/alive"
	// shardPage is the maximum number of rows that one read returns.
	shardPage = 1000
)

// ownerRow is the part of an owner row that this package uses.
type ownerRow struct {
	Host     string `json:"host"`
	Fence    int64  `json:"fence"`
	Released bool   `json:"released"`
}

// Shards implements ShardReader with one read for each shardPage rows.
func (w *TableShardReader) Shards(ctx context.Context) ([]ShardState, error) {
	found := map[string]*ShardState{}
	var order []string
	state := func(shard string) *ShardState {
		if found[shard] == nil {
			found[shard] = &ShardState{Shard: shard}
			order = append(order, shard)
		}
		return found[shard]
	}
	after := ""
	for {
		rows, err := w.table.Range(ctx, shardPrefix, after, shardPage)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, row := range rows {
			after = row.Key
			name := strings.TrimPrefix(row.Key, shardPrefix)
			if shard, ok := strings.CutSuffix(name, ownerSuffix); ok {
				if err := state(shard).setOwner(row); err != nil {
					return nil, trace.Wrap(err)
				}
			}
			if shard, ok := strings.CutSuffix(name, aliveSuffix); ok {
				state(shard).AliveVersion = row.Version
			}
		}
		if len(rows) < shardPage {
			break
		}
	}
	states := make([]ShardState, 0, len(order))
	for _, shard := range order {
		states = append(states, *found[shard])
	}
	return states, nil
}

func (s *ShardState) setOwner(row platform.Row) error {
	var o ownerRow
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return trace.Wrap(ErrCorrupt, "row %s: %v", row.Key, err)
	}
	s.Fence = o.Fence
	if !o.Released {
		s.Owner = o.Host
	}
	return nil
}
