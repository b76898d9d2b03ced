// Package coordinator runs the one process of a cell that dispatches its jobs,
// and elects it. The coordinator's seat is a row of the platform's store.
// Every commit of the coordinator rewrites that row under the condition that it
// is as the last commit left it. So commits form a chain: one that lands late,
// or comes from a coordinator that was replaced, finds the row changed and does
// nothing.
package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
)

const (
	seatTable = "seat"
	seatKey   = "coordinator"
)

// Seat is the stored form of who coordinates.
type Seat struct {
	Holder  string `json:"holder"`  // host name; empty after it stepped down
	Address string `json:"address"` // of the holder's RPC listener
	// Epoch grows with each change of the holder and is the fence of its orders.
	Epoch int64 `json:"epoch"`
	// Seq grows with each commit.
	Seq int64 `json:"seq"`
}

// seatRow is a seat with the version of its row.
type seatRow struct {
	Seat
	version int64
}

// errDeposed: another host took the seat.
var errDeposed = errors.New("another host took the coordinator's seat")

// decodeSeat reads the seat's row.
func decodeSeat(r platform.PartRow) (seatRow, error) {
	s := seatRow{version: r.Version}
	if err := json.Unmarshal(r.Value, &s.Seat); err != nil {
		return s, fmt.Errorf("coordinator's seat cannot be read: %w", err)
	}
	return s, nil
}

// readSeat returns the seat; its version is 0 if nobody ever held it.
func readSeat(ctx context.Context, store platform.Store) (seatRow, error) {
	page, err := store.Scan(ctx, seatTable, jobstore.ProgressPart, seatKey, seatKey+"\x00")
	if err != nil || len(page.Rows) == 0 {
		return seatRow{}, err
	}
	return decodeSeat(page.Rows[0])
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
)

// chain commits changes under the seat, one after the other.
type chain struct {
	store platform.Store
	last  seatRow
}

// commit applies changes of the progress partition with the next state of the
// seat. It tries until it knows the outcome: nil, errDeposed, or the context's
// error. A repeat carries the same sequence number and content, so it does not
// matter which of them lands.
func (c *chain) commit(ctx context.Context, next Seat, puts, removes []platform.PartRow) error {
	next.Seq = c.last.Seq + 1
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("coordinator's seat cannot be encoded: %w", err)
	}
	seat := platform.PartRow{Table: seatTable, Part: jobstore.ProgressPart, Key: seatKey, Value: value}
	tx := platform.Tx{
		Conditions: []platform.Condition{{
			Table: seatTable, Part: jobstore.ProgressPart, Key: seatKey, Version: c.last.version,
		}},
		Puts:    append([]platform.PartRow{seat}, puts...),
		Removes: removes,
	}
	for {
		attempt, cancel := context.WithTimeout(ctx, commitTimeout)
		version, err := platform.CommitRepeated(attempt, c.store, tx, max(commitLeast, commitFactor*platform.UsualTime(c.store)))
		cancel()
		if err == nil {
			c.last = seatRow{next, version}
			return nil
		}
		var conflict *platform.RowsError
		if errors.As(err, &conflict) {
			return c.settle(conflict, next)
		}
		if err := wait.For(ctx, commitRetry); err != nil {
			return err
		}
	}
}

// settle tells whether the row that failed the condition is this commit itself,
// whose answer was lost.
func (c *chain) settle(conflict *platform.RowsError, next Seat) error {
	for _, r := range conflict.Rows {
		if r.Key != seatKey {
			continue
		}
		now, err := decodeSeat(r)
		if err != nil {
			return err
		}
		if now.Seat == next {
			c.last = now
			return nil
		}
	}
	return errDeposed
}
