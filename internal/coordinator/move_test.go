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

// spare is the partition to which a holder moves first.
var spare = jobstore.ProgressPartitions[1]

// takeWatched returns the chain of a new holder whose store is watched.
func takeWatched(t *testing.T, s *rows.Store) (*chain, *Term) {
	t.Helper()
	c, seat := takeSeat(t, s, "a")
	h := platform.NewHealth(s)
	c.store = h
	if _, err := h.Scan(t.Context(), "any", "any", "", ""); err != nil {
		t.Fatal(err)
	}
	return c, &Term{Epoch: seat.Epoch, seat: seat, chain: c}
}

// valueIn returns the value of the test's progress row in a partition.
func valueIn(t *testing.T, s *rows.Store, part string) string {
	t.Helper()
	page, err := s.Scan(t.Context(), jobstore.ProgressTable, part, "job", "job\x00")
	if err != nil || len(page.Rows) == 0 {
		return ""
	}
	return string(page.Rows[0].Value)
}

// Load pattern: a quarter of the store's partitions are down, the one with the seat
// among them. The holder goes on in the other one, and back.
func TestChainMovesToThePartitionThatServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := rows.New()
		_, term := takeWatched(t, s)
		is.NoErr(term.Commit(t.Context(), []platform.PartitionRow{progressRow("one")}, nil))
		for n, test := range []struct{ part, alsoDown string }{
			{spare, ""}, {jobstore.ProgressPartitions[3], jobstore.ProgressPartitions[2]}, {jobstore.DefaultProgressPartition, ""}, {spare, ""},
		} {
			down, part := term.Partition(), test.part
			s.SetPartitionDown(down, true)
			s.SetPartitionDown(test.alsoDown, true)
			began := time.Now()
			err := term.Commit(t.Context(), []platform.PartitionRow{progressRow("refused")}, nil)
			is.True(errors.Is(err, errPartRefuses))
			is.NoErr(term.MovePartition(t.Context(), []platform.PartitionRow{progressRow(fmt.Sprint("moved ", n))}))
			is.True(time.Since(began) <= time.Second)
			is.Equal(term.Partition(), part)
			is.Equal(valueIn(t, s, part), fmt.Sprint("moved ", n))
			is.NoErr(term.Commit(t.Context(), []platform.PartitionRow{progressRow("after")}, nil))
			is.Equal(valueIn(t, s, part), "after")
			s.SetPartitionDown(down, false)
			s.SetPartitionDown(test.alsoDown, false)
		}
		now, err := readSeat(t.Context(), s)
		is.NoErr(err)
		is.Equal(now.active().Holder, "a")
		is.Equal(jobstore.ProgressPartitions[now.part], spare)
	})
}

// A move does not stay with a partition that refuses, though nothing else was served
// lately.
func TestMovePassesOverPartitionsThatRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := rows.New()
		_, term := takeWatched(t, s)
		for _, part := range jobstore.ProgressPartitions[:3] {
			s.SetPartitionDown(part, true)
		}
		time.Sleep(2 * time.Second)
		began := time.Now()
		is.NoErr(term.MovePartition(t.Context(), []platform.PartitionRow{progressRow("moved")}))
		is.Equal(term.Partition(), jobstore.ProgressPartitions[3])
		is.True(time.Since(began) <= time.Second)
	})
}

// A store that turns the host away makes it neither move nor give up.
func TestNobodyMovesWhenAllRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := rows.New()
		_, term := takeWatched(t, s)
		s.SetDown(true)
		time.AfterFunc(10*time.Second, func() { s.SetDown(false) })
		time.Sleep(2 * time.Second) // nothing was served lately
		is.NoErr(term.Commit(t.Context(), []platform.PartitionRow{progressRow("one")}, nil))
		is.Equal(term.Partition(), jobstore.DefaultProgressPartition)
	})
}

// A commit that was given up and lands after all is not taken for one of the move.
func TestMoveBackOverACommitThatLanded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := rows.New()
		c, term := takeWatched(t, s)
		s.SetFault(func(platform.Tx) rows.Fault { return rows.DelayedReplyLost })
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.True(c.commit(ctx, term.seat, []platform.PartitionRow{progressRow("given up")}) != nil)
		s.SetFault(nil)
		is.True(s.ApplyDelayed() > 0)
		is.Equal(valueIn(t, s, jobstore.DefaultProgressPartition), "given up")
		is.NoErr(c.rebase(t.Context(), 0, term.seat, []platform.PartitionRow{progressRow("whole")}))
		is.Equal(valueIn(t, s, jobstore.DefaultProgressPartition), "whole")
		is.NoErr(term.Commit(t.Context(), []platform.PartitionRow{progressRow("next")}, nil))
	})
}

// A holder whose seat is being taken cannot move out of its successor's way.
func TestHolderCannotMoveFromItsSuccessor(t *testing.T) {
	for name, taken := range map[string]bool{"has claimed": false, "has taken": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := rows.New()
			old, oldTerm := takeWatched(t, s)
			last, err := readSeat(t.Context(), s)
			is.NoErr(err)
			next := &chain{store: s, last: last}
			seat := LeaderRecord{Holder: "b", Epoch: last.newestEpoch() + 1}
			if taken {
				is.NoErr(next.take(t.Context(), seat))
			} else {
				_, err := next.write(t.Context(), seatWrite{part: 1, from: last.rows[1], next: seat})
				is.NoErr(err)
			}
			err = old.rebase(t.Context(), 1, oldTerm.seat, []platform.PartitionRow{progressRow("moved")})
			is.True(errors.Is(err, errDeposed))
			is.Equal(valueIn(t, s, spare), "")
		})
	}
}

// Of a holder that moves and a host that takes the seat, one wins, whoever is first.
func TestTakeoverWhileTheHolderMoves(t *testing.T) {
	is := is.New(t)
	s := rows.New()
	old, oldTerm := takeWatched(t, s)
	last, err := readSeat(t.Context(), s)
	is.NoErr(err)
	is.NoErr(old.rebase(t.Context(), 1, oldTerm.seat, []platform.PartitionRow{progressRow("moved")}))
	next := &chain{store: s, last: last} // has read the seat before
	is.True(errors.Is(next.take(t.Context(), LeaderRecord{Holder: "b", Epoch: 2}), errDeposed))
	is.NoErr(old.commit(t.Context(), oldTerm.seat, nil))
}

// A cell goes on while the partition with the seat is down, and a successor knows all
// that has happened.
func TestCoordinatorGoesOnInAnotherPartition(t *testing.T) {
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

// A move that was given up and lands after all does not make its partition the active
// one again: another one holds newer progress by then.
func TestMoveThatLandsLateIsNotTheActiveOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := rows.New()
		c, term := takeWatched(t, s)
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
		err := c.rebase(t.Context(), 1, term.seat, []platform.PartitionRow{progressRow("given up")})
		is.True(errors.Is(err, errPartRefuses))
		is.NoErr(c.rebase(t.Context(), 2, term.seat, []platform.PartitionRow{progressRow("moved")}))
		s.SetFault(nil)
		is.Equal(s.ApplyDelayed(), 1)
		is.Equal(valueIn(t, s, spare), "given up")
		now, err := readSeat(t.Context(), s)
		is.NoErr(err)
		is.Equal(now.part, 2)
		is.NoErr(term.Commit(t.Context(), []platform.PartitionRow{progressRow("after")}, nil))
		is.Equal(valueIn(t, s, jobstore.ProgressPartitions[2]), "after")
	})
}
