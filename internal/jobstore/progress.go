package jobstore

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"cuminloft/internal/platform"
	"cuminloft/internal/workload"
)

// Limits of the progress rows of one commit; the store accepts 100 entries and 1 MB per
// transaction, and 64 KB per row.
const (
	// maxSingleRows is the largest number of jobs whose progress is stored in one row
	// each.
	maxSingleRows = 75
	// maxBundleBytes bounds a row that holds the progress of many jobs.
	maxBundleBytes = 48 << 10
	// maxRemovalsPerCommit is the largest number of rows that one commit removes.
	maxRemovalsPerCommit = 20
)

// bundlePrefix begins the key of a bundle; all other keys are job IDs.
const bundlePrefix = "pack/"

// ProgressIndex records which row holds the newest progress of each job. The progress
// of a few jobs is stored in one row per job; that of many jobs is bundled into common
// rows. Load pattern: a store that is a hundred times slower than usual takes two
// commits a second, and each must take all changes since the previous one. The row with
// the highest version holds a job's newest progress. Not safe for concurrent use.
type ProgressIndex struct {
	bundleOf   map[string]string // the bundle that holds a job's newest progress, by job
	jobsIn     map[string]int    // the number of jobs whose newest progress a bundle holds, by bundle
	nextBundle int
	obsolete   []string // keys of rows to remove
}

// NewProgressIndex returns an index without rows.
func NewProgressIndex() *ProgressIndex {
	return &ProgressIndex{bundleOf: map[string]string{}, jobsIn: map[string]int{}}
}

// Placement is where the progress of jobs is stored: by job, the key of the bundle, or "" for
// a row of the job's own.
type Placement map[string]string

// Rows returns the rows that store the progress of jobs, and their placement, which Placed
// records once they are stored.
func (x *ProgressIndex) Rows(progress []workload.JobProgress) ([]platform.PartitionRow, Placement) {
	placement := make(Placement, len(progress))
	if len(progress) <= maxSingleRows {
		rows := make([]platform.PartitionRow, 0, len(progress))
		for _, p := range progress {
			placement[p.Job] = ""
			rows = append(rows, progressRow(p.Job, p.Data))
		}
		return rows, placement
	}
	var rows []platform.PartitionRow
	for len(progress) > 0 {
		bundle := map[string]json.RawMessage{}
		key := bundlePrefix + strconv.Itoa(x.nextBundle)
		x.nextBundle++
		size := 0
		for len(progress) > 0 && (size == 0 || size+len(progress[0].Data) <= maxBundleBytes) {
			p := progress[0]
			progress = progress[1:]
			bundle[p.Job] = p.Data
			size += len(p.Data) + len(p.Job) + len(`"":,`)
			placement[p.Job] = key
		}
		value, err := json.Marshal(bundle)
		if err != nil {
			panic(fmt.Sprintf("progress bundle cannot be encoded: %v", err)) // the parts are valid JSON
		}
		rows = append(rows, progressRow(key, value))
	}
	return rows, placement
}

// Placed records where the progress of jobs is stored. Bundles that hold nothing else are
// removed later: until then they hold the newest progress, if the store rejects that of a
// job.
func (x *ProgressIndex) Placed(p Placement) {
	for job, bundle := range p {
		x.setLocation(job, bundle)
	}
}

// Put is Rows and Placed.
func (x *ProgressIndex) Put(progress []workload.JobProgress) []platform.PartitionRow {
	rows, placement := x.Rows(progress)
	x.Placed(placement)
	return rows
}

// setLocation records the bundle that holds a job's newest progress from now on; ""
// means a row of the job's own.
func (x *ProgressIndex) setLocation(job, bundle string) {
	if old := x.bundleOf[job]; old != "" {
		if x.jobsIn[old]--; x.jobsIn[old] == 0 {
			delete(x.jobsIn, old)
			x.obsolete = append(x.obsolete, old)
		}
	}
	if bundle == "" {
		delete(x.bundleOf, job)
		return
	}
	x.bundleOf[job] = bundle
	x.jobsIn[bundle]++
}

// Drop schedules a job's progress for removal.
func (x *ProgressIndex) Drop(job string) {
	x.setLocation(job, "")
	x.obsolete = append(x.obsolete, job)
}

// TakeRemovals returns the next rows to remove and forgets them.
func (x *ProgressIndex) TakeRemovals() []platform.PartitionRow {
	n := min(len(x.obsolete), maxRemovalsPerCommit)
	var out []platform.PartitionRow
	for _, key := range x.obsolete[:n] {
		out = append(out, progressRow(key, nil))
	}
	x.obsolete = x.obsolete[n:]
	return out
}

// Keep schedules rows anew that TakeRemovals has returned and that were not removed.
func (x *ProgressIndex) Keep(rows []platform.PartitionRow) {
	for _, r := range rows {
		x.obsolete = append(x.obsolete, r.Key)
	}
}

func progressRow(key string, value []byte) platform.PartitionRow {
	return platform.PartitionRow{Table: ProgressTable, Partition: DefaultProgressPartition, Key: key, Value: value}
}

// UnreadableBundlesError reports bundles that cannot be decoded. The newest progress of
// each of MayHold's jobs may be in them.
type UnreadableBundlesError struct {
	Keys   []string
	newest int64            // version of the newest of these bundles
	known  map[string]int64 // by job: version of the newest progress that can be read
}

// Error implements error.
func (e *UnreadableBundlesError) Error() string {
	return fmt.Sprintf("progress bundles %q cannot be decoded", e.Keys)
}

// MayHold reports whether one of the bundles may hold progress of a job that is newer than
// what can be read. version is that of the job's row.
func (e *UnreadableBundlesError) MayHold(job string, version int64) bool {
	return version < e.newest && e.known[job] < e.newest
}

// Load fills the index from all progress rows and returns the newest progress of each job.
// If bundles cannot be decoded, it also returns an *UnreadableBundlesError: if the jobs that
// they may hold ran, tasks that have run would run again. These bundles are not removed.
func (x *ProgressIndex) Load(rows []platform.PartitionRow) (map[string][]byte, error) {
	newest := map[string][]byte{}
	versions := map[string]int64{}
	take := func(job, bundle string, version int64, data []byte) {
		if version > versions[job] {
			if data == nil {
				data = []byte{} // nil would mean that there is no row
			}
			versions[job], newest[job] = version, data
			x.setLocation(job, bundle)
		}
	}
	unreadable := &UnreadableBundlesError{known: versions}
	for _, r := range rows {
		number, bundled := strings.CutPrefix(r.Key, bundlePrefix)
		if !bundled {
			take(r.Key, "", r.Version, r.Value)
			continue
		}
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 || n == math.MaxInt {
			continue // a row of another writer
		}
		x.nextBundle = max(x.nextBundle, n+1)
		bundle, err := decodeBundle(r)
		if err != nil {
			unreadable.Keys = append(unreadable.Keys, r.Key)
			unreadable.newest = max(unreadable.newest, r.Version)
			continue
		}
		for job, data := range bundle {
			take(job, r.Key, r.Version, data)
		}
		if x.jobsIn[r.Key] == 0 {
			x.obsolete = append(x.obsolete, r.Key)
		}
	}
	if len(unreadable.Keys) > 0 {
		return newest, unreadable
	}
	return newest, nil
}

func decodeBundle(r platform.PartitionRow) (map[string]json.RawMessage, error) {
	var bundle map[string]json.RawMessage
	if err := json.Unmarshal(r.Value, &bundle); err != nil {
		return nil, fmt.Errorf("progress bundle %q cannot be decoded: %w", r.Key, err)
	}
	if bundle == nil {
		return nil, fmt.Errorf("progress bundle %q holds nothing", r.Key)
	}
	return bundle, nil
}
