package jobstore

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"cuminloft/internal/platform"
	"cuminloft/internal/workload"
)

// Limits of the progress rows of one commit; the store takes 100 entries and 1 MB
// a transaction, and 64 KB a row.
const (
	// ownRows is the most jobs whose progress is stored in rows of their own.
	ownRows = 75
	// packBytes bounds a row that holds the progress of many jobs.
	packBytes = 48 << 10
	// dropRows is the most rows that one commit removes.
	dropRows = 20
)

// packPrefix begins the key of a pack; the other keys are IDs of jobs.
const packPrefix = "pack/"

// ProgressIndex knows in which row the newest progress of each job is. Few jobs are
// stored in a row each; many are packed into common rows. Load pattern: a store
// that is a hundred times slower than usual takes two commits a second, in which
// all that happened since the last one must find room. The row with the highest
// version holds a job's newest progress. Not safe for concurrent use.
type ProgressIndex struct {
	packOf   map[string]string // job to the pack that holds its newest progress
	jobsIn   map[string]int    // pack to the number of jobs it holds the newest progress of
	next     int
	obsolete []string // keys of rows to remove
}

// NewProgressIndex returns a book without rows.
func NewProgressIndex() *ProgressIndex {
	return &ProgressIndex{packOf: map[string]string{}, jobsIn: map[string]int{}}
}

// Put returns the rows that store the progress of jobs.
func (b *ProgressIndex) Put(progress []workload.JobProgress) []platform.PartitionRow {
	if len(progress) <= ownRows {
		rows := make([]platform.PartitionRow, 0, len(progress))
		for _, p := range progress {
			b.place(p.Job, "")
			rows = append(rows, progressRow(p.Job, p.Data))
		}
		return rows
	}
	var rows []platform.PartitionRow
	for len(progress) > 0 {
		pack := map[string]json.RawMessage{}
		key := packPrefix + strconv.Itoa(b.next)
		b.next++
		size := 0
		for len(progress) > 0 && (size == 0 || size+len(progress[0].Data) <= packBytes) {
			p := progress[0]
			progress = progress[1:]
			pack[p.Job] = p.Data
			size += len(p.Data) + len(p.Job) + len(`"":,`)
			b.place(p.Job, key)
		}
		value, err := json.Marshal(pack)
		if err != nil {
			panic(fmt.Sprintf("progress cannot be packed: %v", err)) // the parts are JSON already
		}
		rows = append(rows, progressRow(key, value))
	}
	return rows
}

// place takes note of the row that holds a job's newest progress from now on; ""
// is a row of its own.
func (b *ProgressIndex) place(job, pack string) {
	if old := b.packOf[job]; old != "" {
		if b.jobsIn[old]--; b.jobsIn[old] == 0 {
			delete(b.jobsIn, old)
			b.obsolete = append(b.obsolete, old)
		}
	}
	if pack == "" {
		delete(b.packOf, job)
		return
	}
	b.packOf[job] = pack
	b.jobsIn[pack]++
}

// Drop takes note that a job's progress is not needed any more.
func (b *ProgressIndex) Drop(job string) {
	b.place(job, "")
	b.obsolete = append(b.obsolete, job)
}

// Removes returns the next rows to remove.
func (b *ProgressIndex) Removes() []platform.PartitionRow {
	n := min(len(b.obsolete), dropRows)
	var out []platform.PartitionRow
	for _, key := range b.obsolete[:n] {
		out = append(out, progressRow(key, nil))
	}
	b.obsolete = b.obsolete[n:]
	return out
}

func progressRow(key string, value []byte) platform.PartitionRow {
	return platform.PartitionRow{Table: ProgressTable, Partition: DefaultProgressPartition, Key: key, Value: value}
}

// Load takes all progress rows and returns the newest progress of each job. It
// fails on a pack that cannot be read: without it, what has run would run again.
func (b *ProgressIndex) Load(rows []platform.PartitionRow) (map[string][]byte, error) {
	newest := map[string][]byte{}
	versions := map[string]int64{}
	take := func(job, pack string, version int64, data []byte) {
		if version > versions[job] {
			versions[job], newest[job] = version, data
			b.place(job, pack)
		}
	}
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, packPrefix) {
			take(r.Key, "", r.Version, r.Value)
			continue
		}
		if n, err := strconv.Atoi(strings.TrimPrefix(r.Key, packPrefix)); err == nil {
			b.next = max(b.next, n+1)
		}
		pack, err := decodePack(r)
		if err != nil {
			return nil, err
		}
		for job, data := range pack {
			take(job, r.Key, r.Version, data)
		}
		if b.jobsIn[r.Key] == 0 {
			b.obsolete = append(b.obsolete, r.Key)
		}
	}
	return newest, nil
}

func decodePack(r platform.PartitionRow) (map[string]json.RawMessage, error) {
	var pack map[string]json.RawMessage
	if err := json.Unmarshal(r.Value, &pack); err != nil {
		return nil, fmt.Errorf("pack of progress %q cannot be read: %w", r.Key, err)
	}
	return pack, nil
}
