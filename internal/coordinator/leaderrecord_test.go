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

// becomeLeader returns the chain and leader record of a new leader.
func becomeLeader(t *testing.T, s *rows.Store, host string) (*commitChain, LeaderRecord) {
	t.Helper()
	last, err := readLeaderRows(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	c := &commitChain{store: s, last: last}
	record := LeaderRecord{Leader: host, Epoch: last.newestEpoch() + 1}
	if err := c.take(t.Context(), record); err != nil {
		t.Fatal(err)
	}
	return c, record
}

// A commit whose answer is lost, whether it was applied at once or is applied late,
// leaves exactly its content, and a late one never undoes a newer one.
func TestChainResolvesLostAnswers(t *testing.T) {
	for name, fault := range map[string]rows.Fault{"done": rows.AppliedReplyLost, "late": rows.DelayedReplyLost} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := rows.New()
			c, record := becomeLeader(t, s, "a")
			first := true
			s.SetFault(func(platform.Tx) rows.Fault {
				if first {
					first = false
					return fault
				}
				return rows.None
			})
			is.NoErr(c.commit(t.Context(), record, []platform.PartitionRow{progressRow("one")}))
			is.NoErr(c.commit(t.Context(), record, []platform.PartitionRow{progressRow("two")}))
			is.Equal(s.ApplyDelayed(), 0) // the late copy finds the leader record changed
			is.Equal(progressValue(t, s, "job"), "two")
		})
	}
}

// A replaced leader cannot write any more.
func TestReplacedLeaderCannotCommit(t *testing.T) {
	is := is.New(t)
	s := rows.New()
	old, oldRecord := becomeLeader(t, s, "a")
	_, record := becomeLeader(t, s, "b")
	is.Equal(record.Epoch, oldRecord.Epoch+1)
	err := old.commit(t.Context(), oldRecord, []platform.PartitionRow{progressRow("stale")})
	is.True(errors.Is(err, errLeadershipLost))
	is.Equal(progressValue(t, s, "job"), "")
}

// Of two hosts that take the leadership from the same state, exactly one succeeds.
func TestOneOfTwoTakesTheLeadership(t *testing.T) {
	is := is.New(t)
	s := rows.New()
	last, err := readLeaderRows(t.Context(), s)
	is.NoErr(err)
	won := 0
	for _, host := range []string{"a", "b"} {
		c := &commitChain{store: s, last: last}
		if c.take(t.Context(), LeaderRecord{Leader: host, Epoch: 1}) == nil {
			won++
		}
	}
	is.Equal(won, 1)
}

// While the store is down a commit is retried until its context ends.
func TestCommitWaitsForTheStore(t *testing.T) {
	is := is.New(t)
	s := rows.New()
	c, record := becomeLeader(t, s, "a")
	s.SetDown(true)
	ctx, cancel := context.WithTimeout(t.Context(), 3*commitRetryPause)
	defer cancel()
	is.True(errors.Is(c.commit(ctx, record, nil), context.DeadlineExceeded))
	s.SetDown(false)
	is.NoErr(c.commit(t.Context(), record, nil))
}

// A leader that stops while a commit is in progress still resigns, whether that commit
// is applied or not.
func TestResignDuringACommit(t *testing.T) {
	for name, fault := range map[string]rows.Fault{"applied": rows.AppliedReplyLost, "lost": rows.Refused} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := rows.New()
			c, record := becomeLeader(t, s, "a")
			s.SetFault(func(platform.Tx) rows.Fault { return fault })
			ctx, cancel := context.WithTimeout(t.Context(), commitRetryPause/2)
			defer cancel()
			is.True(c.commit(ctx, record, []platform.PartitionRow{progressRow("one")}) != nil)
			s.SetFault(nil)
			is.NoErr((&Term{Epoch: record.Epoch, record: record, chain: c}).resign(t.Context()))
			current, err := readLeaderRows(t.Context(), s)
			is.NoErr(err)
			is.Equal(current.active().Leader, "")
		})
	}
}

// A replaced leader does not clear its successor's leader record.
func TestReplacedLeaderDoesNotResign(t *testing.T) {
	is := is.New(t)
	s := rows.New()
	c, record := becomeLeader(t, s, "a")
	becomeLeader(t, s, "b")
	is.True(errors.Is((&Term{Epoch: record.Epoch, record: record, chain: c}).resign(t.Context()), errLeadershipLost))
	current, err := readLeaderRows(t.Context(), s)
	is.NoErr(err)
	is.Equal(current.active().Leader, "b")
}
