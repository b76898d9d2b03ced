// Package journal keeps the durable state of one shard: rows of records in the
// table, which only the shard's owner of the current fence can append, and
// snapshots in the object store that allow the rows to be truncated.
package journal

import "errors"

// Errors of the journal.
var (
	// ErrCorrupt: a row or snapshot fails its checksum, or records contradict
	// each other. The shard must not be owned until an operator has looked.
	ErrCorrupt = errors.New("journal is corrupt")
	// ErrUnknownFormat: a record or format version is newer than this binary.
	ErrUnknownFormat = errors.New("journal format is unknown to this version")
	// ErrOwnershipLost: the owner row has changed; the writer no longer owns the shard.
	ErrOwnershipLost = errors.New("shard has another owner")
)
