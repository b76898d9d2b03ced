// Package jobstore keeps accepted jobs in the platform's store: one row per job,
// written by the entry host that accepts it, and one row more when the job is
// cancelled. No owner takes part, so accepting a job needs only the store. Once a
// job has ended, a short mark takes the place of its row, so that a late repeat of
// its submission still finds it and a successor has little to read.
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
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"cuminloft/internal/platform"
	"cuminloft/internal/workload"
)

// Tables and partitions of the job path.
const (
	JobTable      = "jobs"
	ProgressTable = "progress"
	// DefaultProgressPartition holds the progress rows and the coordinator's seat, so that one
	// transaction can change both. Another of ProgressPartitions does while it is down.
	DefaultProgressPartition = "main"
	// Buckets is the number of partitions of the job table. A partition applies
	// one transaction after the other; while the store is a hundred times slower
	// than usual that is two a second, so 256 carry 500 accepted jobs a second.
	Buckets = 256
	// scansAtOnce bounds the partitions that are read at the same time.
	scansAtOnce = 128

	cancelSuffix = "/cancel"
)

// PartitionOf returns the partition of a job's rows.
func PartitionOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return strconv.Itoa(int(h.Sum32() % Buckets))
}

// Entry is a decoded row of the job table.
type Entry struct {
	ID        string
	Job       *workload.Job // nil for a cancellation, a mark or a removed row
	Cancelled bool
	Removed   bool
	Tombstone // set for the mark of a job that has ended
}

// ProgressPartitions are the partitions that may hold the progress of jobs: enough that one
// of them serves while a third of the store's partitions is down.
var ProgressPartitions = [...]string{DefaultProgressPartition, "spare-1", "spare-2", "spare-3"}

// Tombstone is how and when a job ended.
type Tombstone struct {
	State workload.State `json:"ended"`
	At    int64          `json:"at"` // Unix milliseconds
}

// markPrefix begins the value of a mark; a job's row begins with its ID.
const markPrefix = `{"ended":`

// Decode reads a row of the job table.
func Decode(r platform.PartitionRow) (Entry, error) {
	if id, ok := strings.CutSuffix(r.Key, cancelSuffix); ok {
		return Entry{ID: id, Cancelled: !r.Deleted, Removed: r.Deleted}, nil
	}
	if r.Deleted {
		return Entry{ID: r.Key, Removed: true}, nil
	}
	if bytes.HasPrefix(r.Value, []byte(markPrefix)) {
		e := Entry{ID: r.Key}
		if err := json.Unmarshal(r.Value, &e.Tombstone); err != nil {
			return Entry{}, fmt.Errorf("mark of job %q cannot be read: %w", r.Key, err)
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
	return Entry{ID: r.Key, Job: job}, nil
}

// ErrOutcomeUnknown tells that the answers of the store were lost, so that the row may be stored.
var ErrOutcomeUnknown = errors.New("outcome is not known")

// Jobs reads and writes job rows.
type Jobs struct {
	Store *platform.Health
	Log   logr.Logger
}

// Insert stores a job. A job that is stored already counts as stored. Errors
// wrap platform.ErrUnavailable (not stored and never will be by this call) or
// ErrOutcomeUnknown.
func (j Jobs) Insert(ctx context.Context, job *workload.Job) error {
	data, err := json.Marshal(job)
	if err != nil {
		return fmt.Errorf("job cannot be encoded: %w", err)
	}
	part := PartitionOf(job.ID)
	err = j.commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{Table: JobTable, Partition: part, Key: job.ID, Version: platform.MustBeAbsent}},
		Puts:       []platform.PartitionRow{{Table: JobTable, Partition: part, Key: job.ID, Value: data}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// MaxTombstonesPerWrite is how many jobs of one partition Mark and Remove take at once; the
// store takes 100 entries a transaction.
const MaxTombstonesPerWrite = 45

// WriteTombstones replaces the rows of jobs of one partition, which have ended, by marks.
func (j Jobs) WriteTombstones(ctx context.Context, part string, ended map[string]Tombstone) error {
	var tx platform.Tx
	for id, e := range ended {
		value, err := json.Marshal(e)
		if err != nil {
			return fmt.Errorf("mark of job %s cannot be encoded: %w", id, err)
		}
		tx.Puts = append(tx.Puts, platform.PartitionRow{Table: JobTable, Partition: part, Key: id, Value: value})
		tx.Removes = append(tx.Removes, platform.PartitionRow{Table: JobTable, Partition: part, Key: id + cancelSuffix})
	}
	return j.commit(ctx, tx)
}

// RemoveTombstones removes the marks of jobs of one partition.
func (j Jobs) RemoveTombstones(ctx context.Context, part string, ids []string) error {
	var tx platform.Tx
	for _, id := range ids {
		tx.Removes = append(tx.Removes, platform.PartitionRow{Table: JobTable, Partition: part, Key: id})
	}
	return j.commit(ctx, tx)
}

// Time limits of one write, within a caller's patience of 3 s.
const (
	commitTimeout = 2200 * time.Millisecond
	// A second copy is sent after repeatFactor times what the store usually takes
	// of late, at least repeatLeast.
	repeatFactor = 8
	repeatLeast  = 400 * time.Millisecond
)

// commit applies a transaction whose repeat, here or by another host, is
// harmless.
func (j Jobs) commit(ctx context.Context, tx platform.Tx) error {
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := platform.CommitHedged(call, j.Store, tx, max(repeatLeast, repeatFactor*j.Store.TypicalLatency()))
	if errors.Is(err, platform.ErrAmbiguous) {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return err
}

// Cancel stores that a job is cancelled.
func (j Jobs) Cancel(ctx context.Context, id string) error {
	part, key := PartitionOf(id), id+cancelSuffix
	err := j.commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{Table: JobTable, Partition: part, Key: key, Version: platform.MustBeAbsent}},
		Puts:       []platform.PartitionRow{{Table: JobTable, Partition: part, Key: key, Value: []byte("{}")}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// StoredState is what the store says of a job.
type StoredState struct {
	Exists bool
	State  workload.State
}

// Find reads a job's own rows, and nothing else: the state of a job that has neither a
// mark nor a cancellation is Queued, though its tasks may have begun, or ended since the
// latest sweep.
func (j Jobs) Find(ctx context.Context, id string) (StoredState, error) {
	page, err := j.Store.Scan(ctx, JobTable, PartitionOf(id), id, id+cancelSuffix+"\x00")
	if err != nil {
		return StoredState{}, err
	}
	out := StoredState{State: workload.Queued}
	for _, r := range page.Rows {
		entry, err := Decode(r)
		switch {
		case err != nil:
			return StoredState{}, err
		case entry.ID != id:
		case entry.State != "":
			return StoredState{Exists: true, State: entry.State}, nil
		case entry.Cancelled:
			out.State = workload.Cancelled
		default:
			out.Exists = out.Exists || entry.Job != nil
		}
	}
	if !out.Exists {
		return StoredState{}, nil
	}
	return out, nil
}

// List reads every job row. The version is one to follow changes from.
func (j Jobs) List(ctx context.Context) ([]Entry, int64, error) {
	var mu sync.Mutex
	var all []Entry
	var oldest int64
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(scansAtOnce)
	for b := range Buckets {
		group.Go(func() error {
			rows, version, err := platform.ScanAll(ctx, j.Store, JobTable, strconv.Itoa(b))
			if err != nil {
				return err
			}
			entries := j.decodeRows(rows)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, entries...)
			if oldest == 0 || version < oldest {
				oldest = version
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, 0, err
	}
	return all, oldest, nil
}

// Next returns changes of the job table after a version.
func (j Jobs) Next(ctx context.Context, after int64, wait time.Duration) ([]Entry, int64, error) {
	rows, version, err := j.Store.Changes(ctx, JobTable, after, wait)
	if err != nil {
		return nil, after, err
	}
	return j.decodeRows(rows), version, nil
}

// decodeRows decodes rows and leaves out those that cannot be read.
func (j Jobs) decodeRows(rows []platform.PartitionRow) []Entry {
	out := make([]Entry, 0, len(rows))
	for _, r := range rows {
		e, err := Decode(r)
		if err != nil {
			j.Log.Error(err, "row of the job table ignored", "version", r.Version)
			continue
		}
		out = append(out, e)
	}
	return out
}
