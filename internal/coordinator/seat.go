// Package coordinator runs the one process of a cell that dispatches its jobs,
// and elects it. The coordinator's seat is a row in each of a few partitions of the
// platform's store, of which one is active: it holds the progress of jobs, too.
// Every commit of the coordinator rewrites the active row under the condition that
// it is as the last commit left it. So commits form a chain: one that lands late,
// or comes from a coordinator that was replaced, finds the row changed and does
// nothing. Who takes the seat rewrites all rows, so that its predecessor can neither
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

const (
	seatTable = "seat"
	seatKey   = "coordinator"
)

// LeaderRecord is the stored form of who coordinates.
type LeaderRecord struct {
	Holder  string `json:"holder"`  // host name; empty after it stepped down
	Address string `json:"address"` // of the holder's RPC listener
	// Epoch grows with each change of the holder and is the fence of its orders.
	Epoch int64 `json:"epoch"`
	// Seq grows with each commit.
	Seq int64 `json:"seq"`
	// Moves counts the moves between the partitions up to the one that made this row
	// the active one; the row with more of them is.
	Moves int64 `json:"moves,omitempty"`
}

// seatRow is a seat with the version of its row.
type seatRow struct {
	LeaderRecord
	version int64
}

// seats are the rows of the seat, one in each of jobstore.ProgressPartitions.
type seats struct {
	rows [len(jobstore.ProgressPartitions)]seatRow
	part int // of the active row
}

// active returns the row that holds.
func (s *seats) active() *seatRow { return &s.rows[s.part] }

var (
	// errDeposed: another host took the coordinator's seat.
	errDeposed = errors.New("another host took the coordinator's seat")
	// errPartRefuses: the partition takes no commits, though the store serves this host.
	errPartRefuses = errors.New("the partition refuses commits")
)

// newestEpoch returns the highest epoch under which any row was taken or claimed.
func (s *seats) newestEpoch() int64 {
	var newest int64
	for _, r := range s.rows {
		newest = max(newest, r.Epoch)
	}
	return newest
}

// decodeSeat reads the seat's row.
func decodeSeat(r platform.PartitionRow) (seatRow, error) {
	s := seatRow{version: r.Version}
	if err := json.Unmarshal(r.Value, &s.LeaderRecord); err != nil {
		return s, fmt.Errorf("coordinator's seat cannot be read: %w", err)
	}
	return s, nil
}

// readSeat returns the rows of the seat; their versions are 0 if nobody ever held it.
func readSeat(ctx context.Context, store platform.Store) (seats, error) {
	var all seats
	group, ctx := errgroup.WithContext(ctx)
	for i, part := range jobstore.ProgressPartitions {
		group.Go(func() error {
			page, err := store.Scan(ctx, seatTable, part, seatKey, seatKey+"\x00")
			if err == nil && len(page.Rows) > 0 {
				all.rows[i], err = decodeSeat(page.Rows[0])
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return seats{}, err
	}
	for i, r := range all.rows {
		if r.Moves > all.active().Moves {
			all.part = i
		}
	}
	return all, nil
}

// Commits and their repeats.
const (
	// commitTimeout is three times what a transaction takes at a store that is a
	// hundred times slower than usual.
	commitTimeout = 1500 * time.Millisecond
	// A second copy is sent after commitFactor times what the store usually takes,
	// at least commitLeast.
	commitFactor = 4
	commitLeast  = 300 * time.Millisecond
	commitRetry  = 60 * time.Millisecond
	// refusedPatience is how long a partition may refuse commits until the coordinator
	// moves to another one. A refusal under load is over sooner.
	refusedPatience = 250 * time.Millisecond
	// Limits of one transaction of a move; the store takes 100 entries and 1 MB.
	moveRows  = 80
	moveBytes = 600 << 10
)

// chain commits changes under the seat, one after the other.
type chain struct {
	store platform.Store
	last  seats
	// Of the latest write and the latest move, which may not have landed.
	seq, moves int64
}

// nextSeq returns a number that no earlier write carries. So a write that was given up
// and landed is not taken for another one.
func (c *chain) nextSeq() int64 {
	for _, r := range c.last.rows {
		c.seq = max(c.seq, r.Seq)
	}
	c.seq++
	return c.seq
}

// nextMove returns a number of moves that no earlier move carries. So one that was
// given up and lands is not taken for the latest one.
func (c *chain) nextMove() int64 {
	for _, r := range c.last.rows {
		c.moves = max(c.moves, r.Moves)
	}
	c.moves++
	return c.moves
}

// take claims the other rows of the seat, then takes the active one. Of several hosts
// one gets past the first row.
func (c *chain) take(ctx context.Context, next LeaderRecord) error {
	next.Seq = c.nextSeq()
	var others []int
	for i := range c.last.rows {
		if i != c.last.part {
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

// claim rewrites a row of the seat that is not the active one.
func (c *chain) claim(ctx context.Context, part int, next LeaderRecord) error {
	next.Moves = c.last.rows[part].Moves
	row, err := c.write(ctx, seatWrite{part: part, from: c.last.rows[part], next: next})
	if err == nil {
		c.last.rows[part] = row
	}
	return err
}

// commit applies changes of the progress partition with the next state of the
// seat. It tries until it knows the outcome: nil, errDeposed, or the context's
// error.
func (c *chain) commit(ctx context.Context, next LeaderRecord, puts []platform.PartitionRow) error {
	return c.commitPatiently(ctx, next, puts, nil, 0)
}

// commitPatiently is commit, but returns errPartRefuses when the partition has refused
// for so long. What was tried may land all the same.
func (c *chain) commitPatiently(ctx context.Context, next LeaderRecord, puts, removes []platform.PartitionRow, patience time.Duration) error {
	next.Seq, next.Moves = c.nextSeq(), c.last.active().Moves
	row, err := c.write(ctx, seatWrite{part: c.last.part, from: *c.last.active(), next: next, puts: puts, removes: removes, patience: patience})
	if err == nil {
		*c.last.active() = row
	}
	return err
}

// rebase stores the progress of all jobs in one of the partitions, which is the active
// one then. It returns nil, errPartRefuses, errDeposed or the context's error. Load pattern:
// a store of which some partitions are down for seconds, this one among them.
func (c *chain) rebase(ctx context.Context, part int, next LeaderRecord, rows []platform.PartitionRow) error {
	row := &c.last.rows[part]
	for first := true; first || len(rows) > 0; first = false {
		n := firstRows(rows)
		w := seatWrite{part: part, from: *row, next: next, puts: rows[:n], patience: refusedPatience, whole: true}
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
	c.last.part = part
	return nil
}

// firstRows returns how many of the rows one transaction of a move takes.
func firstRows(rows []platform.PartitionRow) int {
	size := 0
	for i, r := range rows {
		size += len(r.Value)
		if i == moveRows || i > 0 && size > moveBytes {
			return i
		}
	}
	return len(rows)
}

// seatWrite is one transaction under a row of the seat.
type seatWrite struct {
	part          int
	from          seatRow // as the row is
	next          LeaderRecord
	puts, removes []platform.PartitionRow
	patience      time.Duration // with a partition that refuses; 0: without end
	// whole is set if the rows and those of the same move replace all earlier ones, so
	// that it does not matter which earlier commit of this holder landed last.
	whole bool
}

// tx returns the transaction.
func (w *seatWrite) tx() (platform.Tx, error) {
	value, err := json.Marshal(w.next)
	if err != nil {
		return platform.Tx{}, fmt.Errorf("coordinator's seat cannot be encoded: %w", err)
	}
	part := jobstore.ProgressPartitions[w.part]
	in := func(rows []platform.PartitionRow) []platform.PartitionRow {
		out := append(make([]platform.PartitionRow, 0, len(rows)+1), rows...)
		for i := range out {
			out[i].Partition = part
		}
		return out
	}
	seat := platform.PartitionRow{Table: seatTable, Partition: part, Key: seatKey, Value: value}
	return platform.Tx{
		Conditions: []platform.Condition{{Table: seatTable, Partition: part, Key: seatKey, Version: w.from.version}},
		Puts:       append(in(w.puts), seat),
		Removes:    in(w.removes),
	}, nil
}

// write applies a transaction and returns the row that the seat has then. A repeat
// carries the same sequence number and content, so it does not matter which of them
// lands.
func (c *chain) write(ctx context.Context, w seatWrite) (seatRow, error) {
	var refused time.Time // since when the partition has refused
	for {
		tx, err := w.tx()
		if err != nil {
			return seatRow{}, err
		}
		attempt, cancel := context.WithTimeout(ctx, commitTimeout)
		version, err := platform.CommitHedged(attempt, c.store, tx, max(commitLeast, commitFactor*platform.TypicalLatency(c.store)))
		cancel()
		if err == nil {
			return seatRow{w.next, version}, nil
		}
		var conflict *platform.RowConflictError
		if errors.As(err, &conflict) {
			now, err := w.settle(conflict)
			if err != nil || now.LeaderRecord == w.next {
				return now, err
			}
			w.from = now
			continue
		}
		switch {
		case !errors.Is(err, platform.ErrRefused) || w.patience == 0 || !w.whole && !platform.RecentlyServed(c.store, time.Now()):
			refused = time.Time{}
		case refused.IsZero():
			refused = time.Now()
		case time.Since(refused) >= w.patience:
			return seatRow{}, fmt.Errorf("%w: %w", errPartRefuses, err)
		}
		if err := wait.For(ctx, commitRetry); err != nil {
			return seatRow{}, err
		}
	}
}

// settle returns the row that failed the condition if it is this write itself, whose
// answer was lost, or, for a whole write, an earlier one of the same holder.
func (w *seatWrite) settle(conflict *platform.RowConflictError) (seatRow, error) {
	for _, r := range conflict.Rows {
		if r.Key != seatKey {
			continue
		}
		now, err := decodeSeat(r)
		if err != nil {
			return seatRow{}, err
		}
		if now.LeaderRecord == w.next || w.whole && now.Holder == w.next.Holder && now.Epoch == w.next.Epoch {
			return now, nil
		}
	}
	return seatRow{}, errDeposed
}
