package coordinator

import (
	"context"
	"errors"
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/workload"
)

// Explain returns what would happen to a job that is accepted now. It returns an error for
// which IsNotReady holds if this host is not the coordinator.
func (c *Coordinator) Explain(ctx context.Context, job *workload.Job) (dispatch.JobExplanation, error) {
	var out dispatch.JobExplanation
	err := c.do(ctx, func(t *termLoop) { out = t.core.ExplainJob(job, time.Now()) })
	if err != nil {
		return dispatch.JobExplanation{}, err
	}
	return out, nil
}

// IsNotReady reports whether an error says that this host is not the coordinator, or has
// not loaded the jobs yet.
func IsNotReady(err error) bool { return errors.Is(err, errNotReady) }
