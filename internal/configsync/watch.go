package configsync

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/gravitational/trace"

	"cuminloft/internal/platform"
)

// ShardState is what the table says of a shard's owner.
type ShardState struct {
	Shard string
	// Owner is empty if nobody ever owned the shard or the last owner released it.
	Owner string
	Fence int64
	// AliveVersion changes with each sign of life of the owner.
	AliveVersion int64
}

// ShardReader tells who owns each shard now.
type ShardReader interface {
	// Shards returns the state of every shard that ever had an owner.
	Shards(ctx context.Context) ([]ShardState, error)
}

// TableShardReader reads shard owners from the table.
type TableShardReader struct {
	table platform.Table
}

// NewTableShardReader returns a ShardWatch on the table.
func NewTableShardReader(table platform.Table) *TableShardReader {
	return &TableShardReader{table: table}
}

// Keys of the shards' rows, written by the owners.
const (
	shardPrefix = "shard/"
	ownerSuffix = "/owner"
	aliveSuffix = "/alive"
	// shardPage is the most rows that one read returns.
	shardPage = 1000
)

// ownerRow is the part of an owner row that acceptance needs.
type ownerRow struct {
	Host     string `json:"host"`
	Fence    int64  `json:"fence"`
	Released bool   `json:"released"`
}

// Shards implements ShardWatch with one read for each shardPage rows.
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
