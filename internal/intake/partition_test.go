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

// requestForJob returns a request for the n-th job.
func requestForJob(op Operation, n int) Request {
	r := request(op)
	r.Path = fmt.Sprintf("/q/%016x", n)
	return r
}

// partitionOfJob returns the partition of the n-th job.
func partitionOfJob(n int) string { return jobstore.PartitionOf(fmt.Sprintf("%016x", n)) }

// Load pattern: a quarter of the store's partitions refuse every call for seconds. Jobs
// of the other partitions are accepted at once, whether a caller or another host sends
// the request. Guards against one refusing partition making the whole store suspect.
func TestSubmitWhileAPartitionRefuses(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	h := newHost(t, store)
	store.SetPartitionDown(partitionOfJob(0), true)
	end := time.Now().Add(2 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		is.Equal(h.Handle(t.Context(), requestForJob(Query, 0)).Outcome, NotRun)
		is.Equal(h.Handle(t.Context(), requestForJob(Submit, 0)).Outcome, NotRun)
		if partitionOfJob(n) != partitionOfJob(0) {
			reply := h.Handle(t.Context(), requestForJob(Submit, n))
			is.Equal(reply, Reply{Outcome: Accepted, Configuration: 1})
			is.Equal(h.HandleRelayed(t.Context(), requestForJob(Submit, n)).Outcome, Accepted)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Jobs are accepted while the partition of the operators' rows refuses every call but
// other partitions serve. When all partitions refuse, no job is accepted.
func TestSubmitWhileOperatorRowsAreRefused(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	h := newHost(t, store)
	is.Equal(h.Handle(t.Context(), requestForJob(Submit, 1)).Outcome, Accepted)
	h.operators.set(testCell(1), true)
	for n := range 60 { // longer than the last read configuration counts as fresh
		is.Equal(h.Handle(t.Context(), requestForJob(Submit, 2+n)).Outcome, Accepted)
		time.Sleep(40 * time.Millisecond)
	}
	store.SetDown(true)
	time.Sleep(1500 * time.Millisecond)
	reply := h.Handle(t.Context(), requestForJob(Submit, 100))
	is.Equal(reply.Outcome, NotRun)
	is.True(reply.RetryAfter > 0)
	h.operators.set(testCell(2, workload.Queue{Name: "q", Host: "cell.example", PathPrefix: "/q/", Pool: "p"}), false)
	store.SetDown(false)
	h.awaitConfiguration(t, 2)
	is.Equal(h.Handle(t.Context(), requestForJob(Submit, 101)).Outcome, Accepted)
}
