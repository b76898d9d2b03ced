package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// named returns a request for the n-th of many jobs.
func named(op Operation, n int) Request {
	r := request(op)
	r.Path = fmt.Sprintf("/q/%016x", n)
	return r
}

// partOf returns the partition of the n-th job.
func partOf(n int) string { return jobstore.PartitionOf(fmt.Sprintf("%016x", n)) }

// Load pattern: a quarter of the store's partitions refuse every call for seconds. The
// jobs of the others are accepted, at once and by any host.
func TestSubmitWhilePartOfTheStoreRefuses(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	h := newHost(t, store)
	store.SetPartitionDown(partOf(0), true)
	end := time.Now().Add(2 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		is.Equal(h.Handle(t.Context(), named(Query, 0)).Outcome, NotRun)
		is.Equal(h.Handle(t.Context(), named(Submit, 0)).Outcome, NotRun)
		if partOf(n) != partOf(0) {
			reply := h.Handle(t.Context(), named(Submit, n))
			is.Equal(reply, Reply{Outcome: Accepted, Configuration: 1})
			is.Equal(h.ServeRelayed(t.Context(), named(Submit, n)).Outcome, Accepted)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// The operators' rows are in a partition that refuses every call; other partitions
// serve. When all refuse, nothing is accepted.
func TestSubmitWhileTheOperatorsRowsAreRefused(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	h := newHost(t, store)
	is.Equal(h.Handle(t.Context(), named(Submit, 1)).Outcome, Accepted)
	h.operators.set(testCell(1), true)
	for n := range 60 { // for longer than a view stays fresh
		is.Equal(h.Handle(t.Context(), named(Submit, 2+n)).Outcome, Accepted)
		time.Sleep(40 * time.Millisecond)
	}
	store.SetDown(true)
	time.Sleep(1500 * time.Millisecond)
	reply := h.Handle(t.Context(), named(Submit, 100))
	is.Equal(reply.Outcome, NotRun)
	is.True(reply.RetryAfter > 0)
	h.operators.set(testCell(2, workload.Queue{Name: "q", Host: "cell.example", PathPrefix: "/q/", Pool: "p"}), false)
	store.SetDown(false)
	h.await(t, 2)
	is.Equal(h.Handle(t.Context(), named(Submit, 101)).Outcome, Accepted)
}
