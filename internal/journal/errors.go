// Package journal stores the durable state of a shard: rows of records in the table, which
// only the owner with the shard's current fence can append, and snapshots in the object
// store, after which the rows that they cover are deleted.
package journal

import "errors"

// Errors returned by the journal.
var (
	// ErrCorrupt: a row or snapshot has a wrong checksum, or records contradict each
	// other. No host may own the shard until an operator has examined it.
	ErrCorrupt = errors.New("journal is corrupt")
	// ErrUnknownFormat: a record or format version is newer than this binary.
	ErrUnknownFormat = errors.New("journal format is unknown to this version")
	// ErrOwnershipLost: the owner row has changed, so the writer no longer owns the shard.
	ErrOwnershipLost = errors.New("shard has another owner")
)
