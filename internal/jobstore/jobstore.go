// Package jobstore stores accepted jobs in the platform's store: one row per job,
// written by the entry host that accepts it, and one more row when the job is
// cancelled. No shard owner is involved, so accepting a job needs only the store. When
// a job has ended, a short tombstone replaces its row, so that a late repeat of its
// submission still finds it and a new coordinator has little to read.
package jobstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"cuminloft/internal/platform"
	"cuminloft/internal/workload"
)

// Tables and partitions of the job path.
const (
	JobTable      = "jobs"
	ProgressTable = "progress"
	// DefaultProgressPartition holds the progress rows and the leader record, so that
	// one transaction can change both. While it is down another of ProgressPartitions
	// holds them.
	DefaultProgressPartition = "main"
	// JobPartitions is the number of partitions of the job table. A partition applies
	// one transaction after the other; while the store is a hundred times slower than
	// usual that is two a second, so 256 partitions accept 500 jobs a second.
	JobPartitions = 256
	cancelSuffix  = "/cancel"
)

// PartitionOf returns the partition of a job's rows.
func PartitionOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return strconv.Itoa(int(h.Sum32() % JobPartitions))
}

// Entry is a decoded row of the job table.
type Entry struct {
	ID        string
	Job       *workload.Job // nil for a cancellation, a tombstone or a removed row
	Version   int64         // of the row with the job; 0 without
	Cancelled bool
	Removed   bool
	Tombstone // set for the tombstone of a job that has ended
}

// ProgressPartitions are the partitions that may hold the progress of jobs: enough that
// one of them serves while a third of the store's partitions is down.
var ProgressPartitions = [...]string{DefaultProgressPartition, "spare-1", "spare-2", "spare-3"}

// Tombstone is the stored form of the final state of a job, which replaces the job's
// row.
type Tombstone struct {
	State workload.State `json:"ended"`
	At    int64          `json:"at"` // Unix milliseconds
}

// tombstonePrefix begins the value of a tombstone; the value of a job's row begins with
// the job's ID.
const tombstonePrefix = `{"ended":`

// Decode decodes a row of the job table. The texts of its errors reach callers, in the
// reason of a query that fails.
func Decode(r platform.PartitionRow) (Entry, error) {
	if id, ok := strings.CutSuffix(r.Key, cancelSuffix); ok {
		return Entry{ID: id, Cancelled: !r.Deleted, Removed: r.Deleted}, nil
	}
	if r.Deleted {
		return Entry{ID: r.Key, Removed: true}, nil
	}
	if bytes.HasPrefix(r.Value, []byte(tombstonePrefix)) {
		e := Entry{ID: r.Key}
		if err := json.Unmarshal(r.Value, &e.Tombstone); err != nil {
			return Entry{}, fmt.Errorf("mark of job %q cannot be read: %w", r.Key, err)
		}
		if !e.State.Final() {
			return Entry{}, fmt.Errorf("mark of job %q has the state %q, which is not final", r.Key, e.State)
		}
		return e, nil
	}
	job := new(workload.Job)
	if err := json.Unmarshal(r.Value, job); err != nil {
		return Entry{}, fmt.Errorf("job row %q cannot be read: %w", r.Key, err)
	}
	if job.ID != r.Key {
		return Entry{}, fmt.Errorf("job row %q holds job %q", r.Key, job.ID)
	}
	if err := job.Check(); err != nil {
		return Entry{}, fmt.Errorf("job row %q: %w", r.Key, err)
	}
	return Entry{ID: r.Key, Job: job, Version: r.Version}, nil
}

// ErrOutcomeUnknown is returned if the store's replies were lost, so that the row may
// be stored or not.
var ErrOutcomeUnknown = errors.New("outcome is not known")

// Jobs reads and writes job rows.
type Jobs struct {
	Store *platform.Health
	// Rejected records the rows that cannot be decoded.
	Rejected *platform.RejectedRows
	// LinkBytesPerSecond is the capacity of this host's link; 0: unknown.
	LinkBytesPerSecond float64
}

// Insert stores a job. It succeeds if the job is stored already. Errors wrap
// platform.ErrUnavailable (the job is not stored and never will be by this call),
// platform.ErrRejected (neither will it be by another one) or ErrOutcomeUnknown.
func (j Jobs) Insert(ctx context.Context, job *workload.Job) error {
	data, err := json.Marshal(job)
	if err != nil {
		return fmt.Errorf("job cannot be encoded: %w", err)
	}
	if len(data) > workload.MaxRowBytes {
		return fmt.Errorf("%w: the job takes %d bytes in stored form, the limit is %d", platform.ErrRejected, len(data), workload.MaxRowBytes)
	}
	partition := PartitionOf(job.ID)
	err = j.commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{Table: JobTable, Partition: partition, Key: job.ID, Version: platform.MustBeAbsent}},
		Puts:       []platform.PartitionRow{{Table: JobTable, Partition: partition, Key: job.ID, Value: data}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// MaxTombstonesPerWrite is how many jobs of one partition WriteTombstones and
// RemoveTombstones accept per call; the store accepts 100 entries per transaction.
const MaxTombstonesPerWrite = 45

// WriteTombstones replaces the rows of ended jobs of one partition by tombstones.
func (j Jobs) WriteTombstones(ctx context.Context, partition string, ended map[string]Tombstone) error {
	var tx platform.Tx
	for id, e := range ended {
		value, err := json.Marshal(e)
		if err != nil {
			return fmt.Errorf("tombstone of job %s cannot be encoded: %w", id, err)
		}
		tx.Puts = append(tx.Puts, platform.PartitionRow{Table: JobTable, Partition: partition, Key: id, Value: value})
		tx.Removes = append(tx.Removes, platform.PartitionRow{Table: JobTable, Partition: partition, Key: id + cancelSuffix})
	}
	return j.commit(ctx, tx)
}

// RemoveTombstones removes the tombstones of jobs of one partition.
func (j Jobs) RemoveTombstones(ctx context.Context, partition string, ids []string) error {
	var tx platform.Tx
	for _, id := range ids {
		tx.Removes = append(tx.Removes, platform.PartitionRow{Table: JobTable, Partition: partition, Key: id})
	}
	return j.commit(ctx, tx)
}

// Time limits of one write, within a caller's timeout of 3 s.
const (
	commitTimeout = 2200 * time.Millisecond
	// A second copy of a write is sent after hedgeFactor times the store's recent
	// typical latency, at least minHedgeDelay.
	hedgeFactor   = 8
	minHedgeDelay = 400 * time.Millisecond
)

// commit applies a transaction that may be repeated by this or another host without
// harm.
func (j Jobs) commit(ctx context.Context, tx platform.Tx) error {
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := platform.CommitHedged(call, j.Store, tx, max(minHedgeDelay, hedgeFactor*j.Store.TypicalLatency()))
	if errors.Is(err, platform.ErrAmbiguous) {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return err
}

// Cancel stores the cancellation of a job.
func (j Jobs) Cancel(ctx context.Context, id string) error {
	partition, key := PartitionOf(id), id+cancelSuffix
	err := j.commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{Table: JobTable, Partition: partition, Key: key, Version: platform.MustBeAbsent}},
		Puts:       []platform.PartitionRow{{Table: JobTable, Partition: partition, Key: key, Value: []byte("{}")}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// StoredState is the state of a job according to the job table.
type StoredState struct {
	Exists bool
	State  workload.State
}

// Find reads only the job's own rows: the state of a job that has neither a tombstone
// nor a cancellation is Queued, though its tasks may have begun, or ended since the
// latest sweep that wrote tombstones.
func (j Jobs) Find(ctx context.Context, id string) (StoredState, error) {
	page, err := j.Store.Scan(ctx, JobTable, PartitionOf(id), id, id+cancelSuffix+"\x00")
	if err != nil {
		return StoredState{}, err
	}
	state := StoredState{State: workload.Queued}
	for _, r := range page.Rows {
		entry, err := Decode(r)
		switch {
		case err != nil:
			return StoredState{}, err
		case entry.ID != id:
		case entry.State != "":
			return StoredState{Exists: true, State: entry.State}, nil
		case entry.Cancelled:
			state.State = workload.Cancelled
		default:
			state.Exists = state.Exists || entry.Job != nil
		}
	}
	if !state.Exists {
		return StoredState{}, nil
	}
	return state, nil
}

// List reads all job rows. The returned version is one from which Next returns all
// later changes.
func (j Jobs) List(ctx context.Context) ([]Entry, int64, error) {
	l := j.NewListing()
	if err := l.Read(ctx); err != nil {
		return nil, 0, err
	}
	entries, version := l.Result()
	return entries, version, nil
}

// Next returns changes of the job table after a version.
func (j Jobs) Next(ctx context.Context, after int64, wait time.Duration) ([]Entry, int64, error) {
	rows, version, err := j.Store.Changes(ctx, JobTable, after, wait)
	if err != nil {
		return nil, after, err
	}
	return j.decodeRows(rows), version, nil
}

// decodeRows decodes rows. It records and skips those that cannot be decoded.
func (j Jobs) decodeRows(rows []platform.PartitionRow) []Entry {
	entries, _ := j.decodeAll(rows)
	return entries
}

// decodeAll is decodeRows. It also returns the keys of the rows that cannot be decoded.
func (j Jobs) decodeAll(rows []platform.PartitionRow) (out []Entry, unreadable []string) {
	out = make([]Entry, 0, len(rows))
	for _, r := range rows {
		e, err := Decode(r)
		if err != nil {
			j.Rejected.Add(r, err)
			unreadable = append(unreadable, r.Key)
			continue
		}
		out = append(out, e)
	}
	return out, unreadable
}
