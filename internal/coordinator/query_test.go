package coordinator

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/workload"
)

// The event loop handles a query whose caller has gone. Guards against a data race: the
// caller read the results that the event loop was about to write.
func TestQueryOfCallerThatHasGone(t *testing.T) {
	queries := map[string]func(context.Context, *Coordinator) error{
		"state": func(ctx context.Context, c *Coordinator) error {
			state, found, err := c.JobState(ctx, "0123456789abcdef", 0)
			if state != workload.State("") || found {
				t.Errorf("state %q, found %v beside the error %v", state, found, err)
			}
			return err
		},
		"pending": func(ctx context.Context, c *Coordinator) error {
			n, err := c.Pending(ctx, "batch")
			if n != 0 {
				t.Errorf("%d pending beside the error %v", n, err)
			}
			return err
		},
		"explanation": func(ctx context.Context, c *Coordinator) error {
			explained, err := c.Explain(ctx, &workload.Job{})
			if explained.Refused != "" {
				t.Errorf("explanation %+v beside the error %v", explained, err)
			}
			return err
		},
	}
	for name, ask := range queries {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New(Coordinator{})
			loop := &termLoop{Coordinator: c, core: dispatch.New(), endWaiters: endWaiters{}}
			loop.loaded.Store(true)
			c.currentTerm.Store(loop)
			ctx, cancel := context.WithCancel(t.Context())
			asked := make(chan error)
			go func() { asked <- ask(ctx, c) }()
			q := <-c.queries
			cancel()
			q.run(loop)
			is.Equal(<-asked, context.Canceled)
		})
	}
}
