package jobstore

import (
	"context"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminloft/internal/platform"
)

// Limits of concurrent scans of a listing.
const (
	maxConcurrentScans = 128
	minConcurrentScans = 4
	// scanSpan is the time that the answers of all concurrent scans may take on the
	// host's link, and scanBytes the assumed size of one answer. Scans that delay each
	// other on a thin link would time out.
	scanSpan  = 250 * time.Millisecond
	scanBytes = 8 << 10
)

// concurrentScans returns how many partitions are read concurrently.
func (j Jobs) concurrentScans() int {
	if j.LinkBytesPerSecond == 0 {
		return maxConcurrentScans
	}
	return max(minConcurrentScans, min(maxConcurrentScans, int(j.LinkBytesPerSecond*scanSpan.Seconds()/scanBytes)))
}

// Listing reads all partitions of the job table. After an error it can be continued: it
// keeps the partitions that were read. Load pattern: a new coordinator with a link of
// 2 Mbit/s, over which all partitions together take seconds.
type Listing struct {
	jobs Jobs

	mu         sync.Mutex
	read       map[int]bool
	entries    []Entry
	unreadable map[string]bool // keys of rows that cannot be decoded
	oldest     int64           // the lowest version of the partitions that were read
}

// NewListing returns a listing without any partition read.
func (j Jobs) NewListing() *Listing {
	return &Listing{jobs: j, read: map[int]bool{}, unreadable: map[string]bool{}}
}

// Read reads the partitions that are not read yet.
func (l *Listing) Read(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(l.jobs.concurrentScans())
	for _, partition := range l.missing() {
		group.Go(func() error { return l.readPartition(ctx, partition) })
	}
	return group.Wait()
}

// missing returns the partitions that are not read yet.
func (l *Listing) missing() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []int
	for partition := range JobPartitions {
		if !l.read[partition] {
			out = append(out, partition)
		}
	}
	return out
}

func (l *Listing) readPartition(ctx context.Context, partition int) error {
	rows, version, err := platform.ScanAll(ctx, l.jobs.Store, JobTable, strconv.Itoa(partition))
	if err != nil {
		return err
	}
	entries, unreadable := l.jobs.decodeAll(rows)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.read[partition] = true
	l.entries = append(l.entries, entries...)
	for _, key := range unreadable {
		l.unreadable[key] = true
	}
	if l.oldest == 0 || version < l.oldest {
		l.oldest = version
	}
	return nil
}

// Result returns the entries that were read, and a version from which Next returns all
// later changes.
func (l *Listing) Result() ([]Entry, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries, l.oldest
}

// Unreadable reports whether a job has a row that cannot be decoded.
func (l *Listing) Unreadable(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreadable[job]
}

// Feed follows the job table like Jobs, but List continues a listing that failed.
type Feed struct {
	Jobs
	listing *Listing // nil unless the latest listing failed
}

// NewFeed returns a feed for one reader.
func (j Jobs) NewFeed() *Feed { return &Feed{Jobs: j} }

// List reads all job rows, as far as an earlier call that failed has not read them.
func (f *Feed) List(ctx context.Context) ([]Entry, int64, error) {
	if f.listing == nil {
		f.listing = f.NewListing()
	}
	if err := f.listing.Read(ctx); err != nil {
		return nil, 0, err
	}
	entries, version := f.listing.Result()
	f.listing = nil
	return entries, version, nil
}
