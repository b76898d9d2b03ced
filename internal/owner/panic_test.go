package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// panickingMessage simulates a fault of the event loop or the core.
type panickingMessage struct{}

func (panickingMessage) handle(*loop) { panic("index out of range") }

// A fault of one shard ends its ownership but not the process, and no accepted job is
// lost.
func TestPanicEndsOwnershipOnly(t *testing.T) {
	withTestCell(t, 1, func(t *testing.T, r *testCell) {
		is := is.New(t)
		first := r.startReady(t)
		id := first.mustSubmit(t, r.jobRequest(1, true, time.Minute))
		first.post(context.Background(), panickingMessage{})
		err := <-first.ended
		is.True(errors.Is(err, ErrPanicked))
		first.ended <- err // read again at the end of the test
		_, err = first.Submit(t.Context(), r.jobRequest(1, true, time.Second))
		is.True(err != nil) // no job is accepted any more

		second := r.startReady(t)
		time.Sleep(2 * time.Minute)
		is.Equal(second.mustStatus(t, id).GetOutcome(), "done")
	})
}
