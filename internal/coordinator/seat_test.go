package coordinator

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
)

func progressRow(value string) platform.PartitionRow {
	return platform.PartitionRow{Table: jobstore.ProgressTable, Partition: jobstore.DefaultProgressPartition, Key: "job", Value: []byte(value)}
}

func progressValue(t *testing.T, s *rows.Store, key string) string {
	t.Helper()
	page, err := s.Scan(t.Context(), jobstore.ProgressTable, jobstore.DefaultProgressPartition, key, key+"\x00")
	if err != nil || len(page.Rows) == 0 {
		return ""
	}
	return string(page.Rows[0].Value)
}

// takeSeat returns the chain of a new holder.
func takeSeat(t *testing.T, s *rows.Store, host string) (*chain, LeaderRecord) {
	t.Helper()
	last, err := readSeat(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	c := &chain{store: s, last: last}
	seat := LeaderRecord{Holder: host, Epoch: last.newestEpoch() + 1}
	if err := c.take(t.Context(), seat); err != nil {
		t.Fatal(err)
	}
	return c, seat
}

// A commit whose answer is lost, done or late, leaves exactly its content, and a
// late one never undoes a newer one.
func TestChainSettlesLostAnswers(t *testing.T) {
	for name, fault := range map[string]rows.Fault{"done": rows.AppliedReplyLost, "late": rows.DelayedReplyLost} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := rows.New()
			c, seat := takeSeat(t, s, "a")
			first := true
			s.SetFault(func(platform.Tx) rows.Fault {
				if first {
					first = false
					return fault
				}
				return rows.None
			})
			is.NoErr(c.commit(t.Context(), seat, []platform.PartitionRow{progressRow("one")}))
			is.NoErr(c.commit(t.Context(), seat, []platform.PartitionRow{progressRow("two")}))
			is.Equal(s.ApplyDelayed(), 0) // the late copy finds the seat changed
			is.Equal(progressValue(t, s, "job"), "two")
		})
	}
}

// A holder that was replaced cannot write any more.
func TestReplacedHolderCannotCommit(t *testing.T) {
	is := is.New(t)
	s := rows.New()
	old, oldSeat := takeSeat(t, s, "a")
	_, seat := takeSeat(t, s, "b")
	is.Equal(seat.Epoch, oldSeat.Epoch+1)
	err := old.commit(t.Context(), oldSeat, []platform.PartitionRow{progressRow("stale")})
	is.True(errors.Is(err, errDeposed))
	is.Equal(progressValue(t, s, "job"), "")
}

// Of two hosts that take the same seat at once, one wins.
func TestOneOfTwoTakesTheSeat(t *testing.T) {
	is := is.New(t)
	s := rows.New()
	last, err := readSeat(t.Context(), s)
	is.NoErr(err)
	won := 0
	for _, host := range []string{"a", "b"} {
		c := &chain{store: s, last: last}
		if c.take(t.Context(), LeaderRecord{Holder: host, Epoch: 1}) == nil {
			won++
		}
	}
	is.Equal(won, 1)
}

// While the store is down a commit waits, and ends with its context.
func TestCommitWaitsForTheStore(t *testing.T) {
	is := is.New(t)
	s := rows.New()
	c, seat := takeSeat(t, s, "a")
	s.SetDown(true)
	ctx, cancel := context.WithTimeout(t.Context(), 3*commitRetry)
	defer cancel()
	is.True(errors.Is(c.commit(ctx, seat, nil), context.DeadlineExceeded))
	s.SetDown(false)
	is.NoErr(c.commit(t.Context(), seat, nil))
}

// A holder that stops while a commit is under way gives the seat up all the same,
// whether that commit lands or not.
func TestResignDuringACommit(t *testing.T) {
	for name, fault := range map[string]rows.Fault{"landed": rows.AppliedReplyLost, "lost": rows.Refused} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := rows.New()
			c, seat := takeSeat(t, s, "a")
			s.SetFault(func(platform.Tx) rows.Fault { return fault })
			ctx, cancel := context.WithTimeout(t.Context(), commitRetry/2)
			defer cancel()
			is.True(c.commit(ctx, seat, []platform.PartitionRow{progressRow("one")}) != nil)
			s.SetFault(nil)
			is.NoErr((&Term{Epoch: seat.Epoch, seat: seat, chain: c}).resignTerm(t.Context()))
			now, err := readSeat(t.Context(), s)
			is.NoErr(err)
			is.Equal(now.active().Holder, "")
		})
	}
}

// A holder that was replaced leaves its successor's seat alone.
func TestReplacedHolderDoesNotResign(t *testing.T) {
	is := is.New(t)
	s := rows.New()
	c, seat := takeSeat(t, s, "a")
	takeSeat(t, s, "b")
	is.True(errors.Is((&Term{Epoch: seat.Epoch, seat: seat, chain: c}).resignTerm(t.Context()), errDeposed))
	now, err := readSeat(t.Context(), s)
	is.NoErr(err)
	is.Equal(now.active().Holder, "b")
}
