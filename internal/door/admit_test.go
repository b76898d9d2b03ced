package door

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/api"
)

func TestAdmissionIsFairAmongTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newAdmission(4, 3, 100)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		admitted := make(chan string, 100)
		enter := func(team string, share int) {
			go func() {
				if a.enter(ctx, team, share) == nil {
					admitted <- team
				}
			}()
			synctest.Wait()
		}
		for range 10 {
			enter("flood", 1)
		}
		is.Equal(len(admitted), 3) // one team cannot use the whole capacity
		enter("small", 1)
		is.Equal(len(admitted), 4)
		enter("small", 1)
		enter("big", 3)
		enter("big", 3)
		for range 4 {
			<-admitted
		}
		var order []string
		for range 3 {
			a.leave("flood", time.Second)
			order = append(order, <-admitted)
		}
		is.Equal(order, []string{"big", "big", "flood"}) // fewest in flight relative to the share first; then flood has none
	})
}

func TestAdmissionRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newAdmission(2, 1, 1)
		is.True(a.enter(t.Context(), "t", 1) == nil)
		for range 100 { // each request takes ten seconds
			a.leave("t", 10*time.Second)
			is.True(a.enter(t.Context(), "t", 1) == nil)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		refusal := a.enter(ctx, "t", 1)
		is.Equal(refusal.Code, api.CodeDeadline)
		is.Equal(time.Since(began), time.Duration(0)) // refused immediately
		is.True(refusal.RetryAfter > 5*time.Second)   // with a retry delay
		is.Equal(refusal.Proof, ProofNeverSent)

		go func() { _ = a.enter(t.Context(), "t", 1) }()
		synctest.Wait()
		is.Equal(a.enter(t.Context(), "t", 1).Code, api.CodeOverloaded) // the queue is full
		a.leave("t", time.Second)
	})
}

func TestAdmissionDequeuesAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newAdmission(1, 1, 10)
		is.True(a.enter(t.Context(), "t", 1) == nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(a.enter(ctx, "t", 1).Code, api.CodeDeadline)
		a.leave("t", time.Second)
		is.True(a.enter(t.Context(), "u", 1) == nil) // the capacity is free again
		is.Equal(len(a.teams), 1)                    // teams without requests are removed
	})
}

func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := newRetryBudgets(0.1, 1)
	now := time.Unix(0, 0)
	const requests = 10_000
	retries := 0
	for i := range requests {
		b.earn("t")
		for range 3 { // a third of the attempts fail, and their retries too
			if i%3 == 0 && b.take("t", now) {
				retries++
			}
		}
	}
	is.True(retries <= requests/10+initialRetryTokens)
	is.True(retries > requests/20)
	for b.take("another", now) { // until one budget is empty
	}
	is.True(b.take("another", now.Add(2*time.Second))) // the floor refills it
}

func TestWaitEstimatorRefusesWaitsBeyondTheLimit(t *testing.T) {
	is := is.New(t)
	w := newWaitEstimator()
	k := waitKey{team: "t", queue: "q"}
	now := time.Unix(0, 0)
	for range 200 { // queued while no rate is known: none is refused
		_, ok := w.join(k, time.Second, now)
		is.True(ok)
	}
	w.leave(k, true, now.Add(time.Millisecond))
	_, ok := w.join(k, time.Second, now.Add(time.Millisecond))
	is.True(ok) // one ticket after a millisecond gives no rate yet
	const perSecond = 10
	for range 100 { // ten seconds with ten tickets per second
		now = now.Add(time.Second / perSecond)
		w.leave(k, true, now)
	}
	expected, ok := w.join(k, time.Second, now)
	is.True(!ok)
	is.True(expected > 8*time.Second && expected < 12*time.Second) // a hundred requests wait
	_, ok = w.join(k, 15*time.Second, now)
	is.True(ok)
	_, ok = w.join(waitKey{team: "u", queue: "q"}, time.Second, now)
	is.True(ok) // another team is not affected
	_, ok = w.join(k, time.Second, now.Add(time.Minute))
	is.True(ok) // an old rate is not used
}
