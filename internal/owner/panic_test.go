package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// faultyMessage stands for a fault of the event loop or the core.
type faultyMessage struct{}

func (faultyMessage) handle(*loop) { panic("index out of range") }

// A fault of one shard ends its ownership, not the process; the successor has
// everything that was accepted.
func TestPanicGivesTheShardUp(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, r *rig) {
		is := is.New(t)
		first := r.ready(t)
		id := first.mustSubmit(t, r.job(1, true, time.Minute))
		first.post(context.Background(), faultyMessage{})
		err := <-first.ended
		is.True(errors.Is(err, ErrPanicked))
		first.ended <- err // for the end of the test
		_, err = first.Submit(t.Context(), r.job(1, true, time.Second))
		is.True(err != nil) // nothing is accepted any more

		second := r.ready(t)
		time.Sleep(2 * time.Minute)
		is.Equal(second.mustStatus(t, id).GetOutcome(), "done")
	})
}
