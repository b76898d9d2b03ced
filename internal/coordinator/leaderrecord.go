// Package coordinator runs the process of a cell that dispatches its jobs, and elects
// the host it runs on. The leader record is a row in each of a few partitions of the
// platform's store. One of these partitions is active: it also holds the progress of
// jobs. Every commit of the leader rewrites the active row under the condition that the
// row is as the last commit left it. So commits form a chain: a commit that is applied
// late, or comes from a replaced leader, fails its condition and changes nothing. A
// host that takes the leadership rewrites all rows, so that its predecessor can neither
// commit nor move to another partition.
package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
)

// fencesPerTerm is the number of fences that a leader may use for its orders. They are above
// the epochs of earlier leaders, and the highest is its own epoch. Each incarnation of a
// worker that the leader meets has a higher one than those before.
const fencesPerTerm = 10_000

const (
	leaderTable = "seat"
	leaderKey   = "coordinator"
)

// LeaderRecord is the stored form of the leadership.
type LeaderRecord struct {
	Leader  string `json:"holder"`  // host name; empty after the leader resigned
	Address string `json:"address"` // of the leader's RPC listener
	// Epoch grows with each takeover and is the highest fence of the leader's orders, see
	// fencesPerTerm. A build before that uses no other one.
	Epoch int64 `json:"epoch"`
	// Seq grows with each commit.
	Seq int64 `json:"seq"`
	// Moves counts the moves between partitions, up to the move that made this row the
	// active one; the row with the most moves is active.
	Moves int64 `json:"moves,omitempty"`
	// RenewMS is the time in milliseconds within which a slow leader expects to commit
	// again; 0 if it commits in the usual time. Builds before this field ignore it.
	RenewMS int64 `json:"renew_ms,omitempty"`
	// Loading is set until the leader has loaded the stored jobs.
	Loading bool `json:"loading,omitempty"`
	// EarlierLeasesEndMS is when all leases that earlier leaders gave have expired, in
	// milliseconds of the store's clock; 0 if it is not known, and in older builds. A leader that is loading has
	// given none itself.
	EarlierLeasesEndMS int64 `json:"earlier_leases_end_ms,omitempty"`
	// LeaseBounds are the bounds of the leases on workers out of reach. A build before
	// this field removes it with its first commit.
	LeaseBounds leaseBounds `json:"lease_bounds,omitempty"`
}

// allLeasesEnd returns when all leases have expired that this and earlier leaders gave, by
// the store's clock, if no commit has followed the row; 0 if the clock is not known.
func (r *leaderRow) allLeasesEnd() time.Duration {
	earlier := time.Duration(r.EarlierLeasesEndMS) * time.Millisecond
	switch {
	case r.readAt == 0:
		return 0
	case r.Epoch == 0:
		return r.readAt // no leader yet
	case earlier == 0:
		return r.readAt + olderTakeoverBound
	case r.Loading:
		return earlier
	default:
		return max(earlier, r.readAt+takeoverBound)
	}
}

// sameWrite reports whether two records were written by the same call: a sequence number
// is not used twice in an epoch.
func (r *LeaderRecord) sameWrite(o *LeaderRecord) bool {
	return r.Leader == o.Leader && r.Epoch == o.Epoch && r.Seq == o.Seq && r.Moves == o.Moves
}

// renewWithin returns the time within which the leader expects to commit again.
func (r *LeaderRecord) renewWithin() time.Duration {
	return time.Duration(r.RenewMS) * time.Millisecond
}

// leaderRow is a leader record with the version of its row.
type leaderRow struct {
	LeaderRecord
	version int64
	readAt  time.Duration // the store's clock when the row was read; 0 if it is not known
}

// leaderRows are the rows of the leader record, one in each of
// jobstore.ProgressPartitions.
type leaderRows struct {
	rows        [len(jobstore.ProgressPartitions)]leaderRow
	activeIndex int // index of the active row
}

// active returns the active row.
func (s *leaderRows) active() *leaderRow { return &s.rows[s.activeIndex] }

var (
	// errLeadershipLost: another host has taken the leadership.
	errLeadershipLost = errors.New("another host has taken the coordinator's leadership")
	// errPartitionRefuses: the partition accepts no commits although the store serves
	// this host.
	errPartitionRefuses = errors.New("the partition refuses commits")
)

// newestEpoch returns the highest epoch of any row.
func (s *leaderRows) newestEpoch() int64 {
	var newest int64
	for _, r := range s.rows {
		newest = max(newest, r.Epoch)
	}
	return newest
}

// decodeLeaderRow decodes a row of the leader record.
func decodeLeaderRow(r platform.PartitionRow) (leaderRow, error) {
	s := leaderRow{version: r.Version}
	if err := json.Unmarshal(r.Value, &s.LeaderRecord); err != nil {
		return s, fmt.Errorf("leader record cannot be decoded: %w", err)
	}
	return s, nil
}

// readLeaderRows reads the rows of the leader record; their versions are 0 if there was
// no leader yet.
func readLeaderRows(ctx context.Context, store platform.Store) (leaderRows, error) {
	var all leaderRows
	group, ctx := errgroup.WithContext(ctx)
	for i, partition := range jobstore.ProgressPartitions {
		group.Go(func() error {
			page, err := store.Scan(ctx, leaderTable, partition, leaderKey, leaderKey+"\x00")
			if err == nil && len(page.Rows) > 0 {
				all.rows[i], err = decodeLeaderRow(page.Rows[0])
			}
			all.rows[i].readAt = page.Clock
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return leaderRows{}, err
	}
	for i, r := range all.rows {
		if r.Moves > all.active().Moves {
			all.activeIndex = i
		}
	}
	return all, nil
}

// Timing and limits of commits.
const (
	// commitTimeout is three times the duration of a transaction at a store that is a
	// hundred times slower than usual.
	commitTimeout = 1500 * time.Millisecond
	// A second copy of a commit is sent after hedgeFactor times the typical latency of
	// the store, at least minHedgeDelay.
	hedgeFactor      = 4
	minHedgeDelay    = 300 * time.Millisecond
	commitRetryPause = 60 * time.Millisecond
	// refusalTimeout is how long a partition may refuse commits before the leader moves
	// to another one. Refusals under load end sooner.
	refusalTimeout = 250 * time.Millisecond
	// Limits of one transaction of a move; the store accepts 100 entries and 1 MB.
	maxMoveRows  = 80
	maxMoveBytes = 600 << 10
)

// commitChain commits changes together with the leader record, one after the other.
type commitChain struct {
	store platform.Store
	last  leaderRows
	// Numbers of the latest write and the latest move, which may not have been applied.
	seq, moves int64
}

// nextSeq returns a sequence number that no earlier write carries. So an abandoned
// write that is applied later is not mistaken for another one.
func (c *commitChain) nextSeq() int64 {
	for _, r := range c.last.rows {
		c.seq = max(c.seq, r.Seq)
	}
	c.seq++
	return c.seq
}

// nextMove returns a number that no earlier move carries. So an abandoned move that is
// applied later is not mistaken for the latest one.
func (c *commitChain) nextMove() int64 {
	for _, r := range c.last.rows {
		c.moves = max(c.moves, r.Moves)
	}
	c.moves++
	return c.moves
}

// take claims the other rows of the leader record, then writes the active one. If
// several hosts try, only one gets past the first row.
func (c *commitChain) take(ctx context.Context, next LeaderRecord) error {
	next.Seq = c.nextSeq()
	var others []int
	for i := range c.last.rows {
		if i != c.last.activeIndex {
			others = append(others, i)
		}
	}
	if err := c.claim(ctx, others[0], next); err != nil {
		return err
	}
	group, claims := errgroup.WithContext(ctx)
	for _, i := range others[1:] {
		group.Go(func() error { return c.claim(claims, i, next) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return c.commit(ctx, next, nil)
}

// claim rewrites a row of the leader record that is not the active one.
func (c *commitChain) claim(ctx context.Context, partition int, next LeaderRecord) error {
	next.Moves = c.last.rows[partition].Moves
	row, err := c.write(ctx, recordWrite{partition: partition, from: c.last.rows[partition], next: next})
	if err == nil {
		c.last.rows[partition] = row
	}
	return err
}

// commit applies changes of the active partition together with the next leader record.
// It retries until the outcome is known: nil, errLeadershipLost, platform.ErrRejected or the
// context's error.
func (c *commitChain) commit(ctx context.Context, next LeaderRecord, puts []platform.PartitionRow) error {
	return c.commitOrRefuse(ctx, next, puts, nil, 0)
}

// commitOrRefuse is commit, but returns errPartitionRefuses if the partition has
// refused for the given time. The commit may still be applied later.
func (c *commitChain) commitOrRefuse(ctx context.Context, next LeaderRecord, puts, removes []platform.PartitionRow, timeout time.Duration) error {
	next.Seq, next.Moves = c.nextSeq(), c.last.active().Moves
	row, err := c.write(ctx, recordWrite{partition: c.last.activeIndex, from: *c.last.active(), next: next, puts: puts, removes: removes, refusalTimeout: timeout})
	if err == nil {
		*c.last.active() = row
	}
	return err
}

// movePartition stores the progress of all jobs in a partition, which becomes the
// active one. It returns nil, errPartitionRefuses, errLeadershipLost or the context's
// error. Load pattern: a store of which some partitions are down for seconds, the
// active one among them.
func (c *commitChain) movePartition(ctx context.Context, partition int, next LeaderRecord, rows []platform.PartitionRow) error {
	row := &c.last.rows[partition]
	for first := true; first || len(rows) > 0; first = false {
		n := fitTransaction(rows)
		w := recordWrite{partition: partition, from: *row, next: next, puts: rows[:n], refusalTimeout: refusalTimeout, replacesAll: true}
		rows = rows[n:]
		w.next.Seq, w.next.Moves = c.nextSeq(), row.Moves
		if len(rows) == 0 {
			w.next.Moves = c.nextMove()
		}
		stored, err := c.write(ctx, w)
		if err != nil {
			return err
		}
		*row = stored
	}
	c.last.activeIndex = partition
	return nil
}

// fitTransaction returns how many of the rows fit into one transaction of a move.
func fitTransaction(rows []platform.PartitionRow) int {
	size := 0
	for i, r := range rows {
		size += len(r.Value)
		if i == maxMoveRows || i > 0 && size > maxMoveBytes {
			return i
		}
	}
	return len(rows)
}

// recordWrite is one transaction that includes a row of the leader record.
type recordWrite struct {
	partition      int
	from           leaderRow // the row as it was last read or written
	next           LeaderRecord
	puts, removes  []platform.PartitionRow
	refusalTimeout time.Duration // how long the partition may refuse; 0: no limit
	// replacesAll is set if the rows, with those of the same move, replace all earlier
	// rows, so that it does not matter which earlier commit of this leader was applied
	// last.
	replacesAll bool
}

// tx returns the transaction.
func (w *recordWrite) tx() (platform.Tx, error) {
	value, err := json.Marshal(w.next)
	if err != nil {
		return platform.Tx{}, fmt.Errorf("leader record cannot be encoded: %w", err)
	}
	partition := jobstore.ProgressPartitions[w.partition]
	inPartition := func(rows []platform.PartitionRow) []platform.PartitionRow {
		out := append(make([]platform.PartitionRow, 0, len(rows)+1), rows...)
		for i := range out {
			out[i].Partition = partition
		}
		return out
	}
	row := platform.PartitionRow{Table: leaderTable, Partition: partition, Key: leaderKey, Value: value}
	return platform.Tx{
		Conditions: []platform.Condition{{Table: leaderTable, Partition: partition, Key: leaderKey, Version: w.from.version}},
		Puts:       append(inPartition(w.puts), row),
		Removes:    inPartition(w.removes),
	}, nil
}

// write applies a transaction and returns the resulting row of the leader record. A
// repeat carries the same sequence number and content, so it does not matter which of
// them is applied.
func (c *commitChain) write(ctx context.Context, w recordWrite) (leaderRow, error) {
	var refused time.Time // start of the current series of refusals
	for {
		tx, err := w.tx()
		if err != nil {
			return leaderRow{}, err
		}
		attempt, cancel := context.WithTimeout(ctx, commitTimeout)
		version, err := platform.CommitHedged(attempt, c.store, tx, max(minHedgeDelay, hedgeFactor*platform.TypicalLatency(c.store)))
		cancel()
		if err == nil {
			return leaderRow{LeaderRecord: w.next, version: version}, nil
		}
		var conflict *platform.RowConflictError
		if errors.As(err, &conflict) {
			current, err := w.resolveConflict(conflict)
			if err != nil || current.sameWrite(&w.next) {
				return current, err
			}
			w.from = current
			continue
		}
		if errors.Is(err, platform.ErrRejected) {
			return leaderRow{}, err
		}
		switch {
		case !errors.Is(err, platform.ErrRefused) || w.refusalTimeout == 0 || !w.replacesAll && !platform.RecentlyServed(c.store, time.Now()):
			refused = time.Time{}
		case refused.IsZero():
			refused = time.Now()
		case time.Since(refused) >= w.refusalTimeout:
			return leaderRow{}, fmt.Errorf("%w: %w", errPartitionRefuses, err)
		}
		if err := wait.For(ctx, commitRetryPause); err != nil {
			return leaderRow{}, err
		}
	}
}

// resolveConflict returns the row that failed the condition if this write itself wrote
// it and its answer was lost, or, if the write replaces all rows, if an earlier write
// of the same leader did.
func (w *recordWrite) resolveConflict(conflict *platform.RowConflictError) (leaderRow, error) {
	for _, r := range conflict.Rows {
		if r.Key != leaderKey {
			continue
		}
		current, err := decodeLeaderRow(r)
		if err != nil {
			return leaderRow{}, err
		}
		if current.sameWrite(&w.next) || w.replacesAll && current.Leader == w.next.Leader && current.Epoch == w.next.Epoch {
			return current, nil
		}
	}
	return leaderRow{}, errLeadershipLost
}
