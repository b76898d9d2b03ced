package coordinator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// spare is the partition to which a leader moves first.
var spare = jobstore.ProgressPartitions[1]

// becomeLeaderTracked returns the chain and term of a new leader whose store's health is
// tracked.
func becomeLeaderTracked(t *testing.T, s *rows.Store) (*commitChain, *Term) {
	t.Helper()
	c, record := becomeLeader(t, s, "a")
	h := platform.NewHealth(s)
	c.store = h
	if _, err := h.Scan(t.Context(), "any", "any", "", ""); err != nil {
		t.Fatal(err)
	}
	return c, &Term{Epoch: record.Epoch, record: record, chain: c}
}

// valueIn returns the value of the test's progress row in a partition.
func valueIn(t *testing.T, s *rows.Store, partition string) string {
	t.Helper()
	page, err := s.Scan(t.Context(), jobstore.ProgressTable, partition, "job", "job\x00")
	if err != nil || len(page.Rows) == 0 {
		return ""
	}
	return string(page.Rows[0].Value)
}

// Load pattern: a quarter of the store's partitions are down, the active one among
// them. The leader moves to a partition that serves, and later back.
func TestChainMovesToAnAvailablePartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := rows.New()
		_, term := becomeLeaderTracked(t, s)
		is.NoErr(term.Commit(t.Context(), []platform.PartitionRow{progressRow("one")}, nil))
		for n, test := range []struct{ partition, alsoDown string }{
			{spare, ""}, {jobstore.ProgressPartitions[3], jobstore.ProgressPartitions[2]}, {jobstore.DefaultProgressPartition, ""}, {spare, ""},
		} {
			down, partition := term.Partition(), test.partition
			s.SetPartitionDown(down, true)
			s.SetPartitionDown(test.alsoDown, true)
			began := time.Now()
			err := term.Commit(t.Context(), []platform.PartitionRow{progressRow("refused")}, nil)
			is.True(errors.Is(err, errPartitionRefuses))
			is.NoErr(term.MovePartition(t.Context(), []platform.PartitionRow{progressRow(fmt.Sprint("moved ", n))}))
			is.True(time.Since(began) <= time.Second)
			is.Equal(term.Partition(), partition)
			is.Equal(valueIn(t, s, partition), fmt.Sprint("moved ", n))
			is.NoErr(term.Commit(t.Context(), []platform.PartitionRow{progressRow("after")}, nil))
			is.Equal(valueIn(t, s, partition), "after")
			s.SetPartitionDown(down, false)
			s.SetPartitionDown(test.alsoDown, false)
		}
		current, err := readLeaderRows(t.Context(), s)
		is.NoErr(err)
		is.Equal(current.active().Leader, "a")
		is.Equal(jobstore.ProgressPartitions[current.activeIndex], spare)
	})
}

// A move skips partitions that refuse, even if the store served nothing else lately.
func TestMoveSkipsPartitionsThatRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := rows.New()
		_, term := becomeLeaderTracked(t, s)
		for _, partition := range jobstore.ProgressPartitions[:3] {
			s.SetPartitionDown(partition, true)
		}
		time.Sleep(2 * time.Second)
		began := time.Now()
		is.NoErr(term.MovePartition(t.Context(), []platform.PartitionRow{progressRow("moved")}))
		is.Equal(term.Partition(), jobstore.ProgressPartitions[3])
		is.True(time.Since(began) <= time.Second)
	})
}

// A leader that all partitions refuse neither moves nor gives up its commit.
func TestLeaderStaysWhenAllPartitionsRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := rows.New()
		_, term := becomeLeaderTracked(t, s)
		s.SetDown(true)
		time.AfterFunc(10*time.Second, func() { s.SetDown(false) })
		time.Sleep(2 * time.Second) // the store served nothing lately
		is.NoErr(term.Commit(t.Context(), []platform.PartitionRow{progressRow("one")}, nil))
		is.Equal(term.Partition(), jobstore.DefaultProgressPartition)
	})
}

// A commit that was abandoned and is applied late is not mistaken for a write of a
// later move to the same partition.
func TestMoveBackOverALateCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := rows.New()
		c, term := becomeLeaderTracked(t, s)
		s.SetFault(func(platform.Tx) rows.Fault { return rows.DelayedReplyLost })
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.True(c.commit(ctx, term.record, []platform.PartitionRow{progressRow("given up")}) != nil)
		s.SetFault(nil)
		is.True(s.ApplyDelayed() > 0)
		is.Equal(valueIn(t, s, jobstore.DefaultProgressPartition), "given up")
		is.NoErr(c.movePartition(t.Context(), 0, term.record, []platform.PartitionRow{progressRow("whole")}))
		is.Equal(valueIn(t, s, jobstore.DefaultProgressPartition), "whole")
		is.NoErr(term.Commit(t.Context(), []platform.PartitionRow{progressRow("next")}, nil))
	})
}

// A leader whose leadership is being taken cannot escape its successor by moving to
// another partition.
func TestLeaderCannotMoveDuringATakeover(t *testing.T) {
	for name, taken := range map[string]bool{"has claimed": false, "has taken": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := rows.New()
			old, oldTerm := becomeLeaderTracked(t, s)
			last, err := readLeaderRows(t.Context(), s)
			is.NoErr(err)
			next := &commitChain{store: s, last: last}
			record := LeaderRecord{Leader: "b", Epoch: last.newestEpoch() + 1}
			if taken {
				is.NoErr(next.take(t.Context(), record))
			} else {
				_, err := next.write(t.Context(), recordWrite{partition: 1, from: last.rows[1], next: record})
				is.NoErr(err)
			}
			err = old.movePartition(t.Context(), 1, oldTerm.record, []platform.PartitionRow{progressRow("moved")})
			is.True(errors.Is(err, errLeadershipLost))
			is.Equal(valueIn(t, s, spare), "")
		})
	}
}

// If a host tries to take the leadership while the leader moves, exactly one of them
// succeeds; here the leader moves after the other host has read the leader record.
func TestTakeoverFailsAfterAMove(t *testing.T) {
	is := is.New(t)
	s := rows.New()
	old, oldTerm := becomeLeaderTracked(t, s)
	last, err := readLeaderRows(t.Context(), s)
	is.NoErr(err)
	is.NoErr(old.movePartition(t.Context(), 1, oldTerm.record, []platform.PartitionRow{progressRow("moved")}))
	next := &commitChain{store: s, last: last} // has read the leader record before the move
	is.True(errors.Is(next.take(t.Context(), LeaderRecord{Leader: "b", Epoch: 2}), errLeadershipLost))
	is.NoErr(old.commit(t.Context(), oldTerm.record, nil))
}

// A cell continues while the active partition is down, and a successor finds the
// progress of all jobs.
func TestCoordinatorContinuesInAnotherPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.New()
		c, end := lead(t, store, time.Minute)
		n := 0
		insert := func(count int) {
			for range count {
				n++
				is.NoErr(c.Jobs.Insert(t.Context(), &workload.Job{ID: fmt.Sprintf("%016x", n), Queue: "q", Team: "team",
					AcceptedAt: time.Now().UnixMilli(), Steps: []workload.Step{{Tasks: 2, Resources: model.Resources{MilliCores: 10}}}}))
			}
		}
		completed := func(c *Coordinator) int {
			done := 0
			for i := range n {
				state, _, err := c.JobState(t.Context(), fmt.Sprintf("%016x", i+1), 0)
				is.NoErr(err)
				if state == workload.Completed {
					done++
				}
			}
			return done
		}
		insert(100)
		time.Sleep(time.Second)
		is.Equal(completed(c), 100)
		for _, down := range []string{jobstore.DefaultProgressPartition, spare} {
			insert(100)
			store.SetPartitionDown(down, true)
			time.Sleep(50 * time.Millisecond)
			insert(50)
			time.Sleep(time.Second)
			is.Equal(completed(c), n)
			time.Sleep(4 * time.Second)
			store.SetPartitionDown(down, false)
		}
		insert(10)
		time.Sleep(time.Second)
		end()
		next, end := lead(t, store, time.Minute)
		defer end()
		time.Sleep(time.Second)
		is.Equal(completed(next), n)
	})
}

// A move that was abandoned and is applied late does not make its partition the active
// one: by then another partition holds newer progress.
func TestLateMoveDoesNotActivateItsPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := rows.New()
		c, term := becomeLeaderTracked(t, s)
		lost := false
		s.SetFault(func(tx platform.Tx) rows.Fault {
			switch {
			case tx.Conditions[0].Partition != spare:
				return rows.None
			case !lost:
				lost = true
				return rows.DelayedReplyLost
			default:
				return rows.Refused
			}
		})
		err := c.movePartition(t.Context(), 1, term.record, []platform.PartitionRow{progressRow("given up")})
		is.True(errors.Is(err, errPartitionRefuses))
		is.NoErr(c.movePartition(t.Context(), 2, term.record, []platform.PartitionRow{progressRow("moved")}))
		s.SetFault(nil)
		is.Equal(s.ApplyDelayed(), 1)
		is.Equal(valueIn(t, s, spare), "given up")
		current, err := readLeaderRows(t.Context(), s)
		is.NoErr(err)
		is.Equal(current.activeIndex, 2)
		is.NoErr(term.Commit(t.Context(), []platform.PartitionRow{progressRow("after")}, nil))
		is.Equal(valueIn(t, s, jobstore.ProgressPartitions[2]), "after")
	})
}
