package jobstore

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// scanStore counts the scans of each partition and the most at one time. Some fail.
type scanStore struct {
	*rows.Store
	fails func(partition string, scan int) bool

	mu         sync.Mutex
	scans      map[string]int
	open, most int
}

func (s *scanStore) Scan(ctx context.Context, table, partition, from, to string) (platform.Page, error) {
	s.mu.Lock()
	s.scans[partition]++
	n := s.scans[partition]
	s.open++
	s.most = max(s.most, s.open)
	s.mu.Unlock()
	time.Sleep(100 * time.Microsecond)
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	if s.fails(partition, n) {
		return platform.Page{}, platform.ErrUnavailable
	}
	return s.Store.Scan(ctx, table, partition, from, to)
}

// TestListingContinues guards against reading all partitions again after one scan has
// failed. Load pattern: a new coordinator reads the jobs over a thin link, and some scans
// time out each time.
func TestListingContinues(t *testing.T) {
	is := is.New(t)
	store := &scanStore{Store: rows.New(), scans: map[string]int{}, fails: func(partition string, scan int) bool {
		n, err := strconv.Atoi(partition)
		return err == nil && n%5 == 0 && scan <= 2
	}}
	jobs := Jobs{Store: platform.NewHealth(store), LinkBytesPerSecond: 250_000}
	const count = 300
	for i := range count {
		id := strconv.FormatInt(int64(i)+1<<40, 16)
		id = "0000000000000000"[len(id):] + id
		is.NoErr(jobs.Insert(t.Context(), &workload.Job{
			ID: id, Queue: "q", Pool: "p", Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1}}},
		}))
	}
	feed := jobs.NewFeed()
	var entries []Entry
	failures := 0
	for {
		var err error
		if entries, _, err = feed.List(t.Context()); err == nil {
			break
		}
		failures++
	}
	is.Equal(len(entries), count)
	is.True(failures > 0)
	is.True(store.most <= jobs.concurrentScans())
	again := 0
	for partition, n := range store.scans {
		if scanned, err := strconv.Atoi(partition); err == nil && scanned%5 != 0 && n > 1 {
			again++
		}
	}
	is.True(again <= failures*jobs.concurrentScans()) // only those that a failure cancelled
	_, _, err := feed.List(t.Context())               // a complete listing is not reused
	is.NoErr(err)
	is.True(store.scans["1"] > 1)
}

func TestConcurrentScans(t *testing.T) {
	is := is.New(t)
	is.Equal(Jobs{}.concurrentScans(), maxConcurrentScans)
	is.Equal(Jobs{LinkBytesPerSecond: 125e6}.concurrentScans(), maxConcurrentScans)
	is.Equal(Jobs{LinkBytesPerSecond: 250e3}.concurrentScans(), 7) // 2 Mbit/s
	is.Equal(Jobs{LinkBytesPerSecond: 1000}.concurrentScans(), minConcurrentScans)
}
