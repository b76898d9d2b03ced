package journal

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Seq numbers the rows of one shard's journal, from 1 without gaps.
type Seq int64

// OwnerKey returns the key of the row that names the shard's owner and fence.
func OwnerKey(shard string) string { return "shard/" + shard + "/owner" }

// AliveKey returns the key of the row that the owner updates as a sign of life.
func AliveKey(shard string) string { return "shard/" + shard + "/alive" }

// SnapshotKey returns the key of the row that names the shard's newest snapshot.
func SnapshotKey(shard string) string { return "snapshot/" + shard }

// RowKey returns the key of one row of the shard's journal. Keys sort by sequence number.
func RowKey(shard string, s Seq) string {
	return fmt.Sprintf("%s%016x", rowPrefix(shard), int64(s))
}

// IdempotencyKey returns the key of the row that stores a caller's idempotency key.
func IdempotencyKey(team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "idem/" + team + "/" + hex.EncodeToString(sum[:16])
}

func rowPrefix(shard string) string { return "journal/" + shard + "/" }
