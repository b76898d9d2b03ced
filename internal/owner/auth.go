package owner

import (
	"context"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
)

// effectiveConfig returns the configuration if requests may be processed under it now.
func (o *Owner) effectiveConfig(ctx context.Context) (*config.Config, error) {
	if err := o.opts.View.EnsureFresh(ctx); err != nil {
		return nil, &rpc.Refusal{Code: rpc.CodeConfigStale, Reason: "the configuration cannot be confirmed", RetryAfter: retryAfterRefusal}
	}
	cfg, _ := o.opts.View.Effective()
	if cfg == nil {
		return nil, &rpc.Refusal{Code: rpc.CodeConfigStale, Reason: "no configuration is known", RetryAfter: retryAfterRefusal}
	}
	return cfg, nil
}

// admitJob checks a job against the configuration and sets its team from the
// credential.
func (o *Owner) admitJob(cfg *config.Config, c *rpc.Credential, job *model.Job) error {
	q, ok := cfg.Queue(job.Queue)
	if !ok {
		return &rpc.Refusal{Code: rpc.CodeUnknownQueue, Reason: "no queue of this name", Field: "queue"}
	}
	team, err := teamOf(cfg, c, q)
	if err != nil {
		return err
	}
	if job.Team != "" && job.Team != team {
		return &rpc.Refusal{Code: rpc.CodeForbidden, Reason: "the key belongs to another team", Field: "team"}
	}
	if !q.Allows(team) {
		return &rpc.Refusal{Code: rpc.CodeForbidden, Reason: "the team may not use the queue", Field: "queue"}
	}
	if zone, ok := cfg.AZ(o.opts.AZ); !ok || !zone.InService {
		return &rpc.Refusal{Code: rpc.CodeAZOutOfService, Reason: "the AZ is out of service", RetryAfter: retryAfterRefusal}
	}
	job.Team = team
	job.Policy = q.Policy
	job.Urgent = q.Urgent
	return checkJob(job, q)
}

// teamOf returns the team to which work on q with this credential belongs.
func teamOf(cfg *config.Config, c *rpc.Credential, q *config.Queue) (string, error) {
	if c.GetKeySha256() == "" && q.Open {
		return q.OpenTeam, nil
	}
	return keyTeam(cfg, c)
}

func keyTeam(cfg *config.Config, c *rpc.Credential) (string, error) {
	t, ok := cfg.KeyTeam(c.GetKeySha256())
	if !ok {
		return "", &rpc.Refusal{Code: rpc.CodeUnauthenticated, Reason: "the key is unknown or withdrawn"}
	}
	return t.Name, nil
}

// checkAccess checks that the credential gives access to a job.
func checkAccess(cfg *config.Config, c *rpc.Credential, job *model.Job) error {
	if q, ok := cfg.Queue(job.Queue); ok && q.Open && c.GetKeySha256() == "" {
		return nil
	}
	team, err := keyTeam(cfg, c)
	if err != nil {
		return err
	}
	if team != job.Team {
		return jobNotFound(job.ID) // does not reveal whether another team's job exists
	}
	return nil
}

func jobNotFound(id model.JobID) *rpc.Refusal {
	return &rpc.Refusal{Code: rpc.CodeNotFound, Reason: "no job " + string(id) + " on this shard"}
}

// checkJob validates the requested resources, counts and sizes of a job.
func checkJob(job *model.Job, q *config.Queue) error {
	invalid := func(field, reason string) error {
		return &rpc.Refusal{Code: rpc.CodeInvalid, Reason: reason, Field: field}
	}
	switch {
	case job.ID == "":
		return invalid("id", "missing")
	case job.Tasks < 1 || job.Tasks > maxTasks:
		return invalid("tasks", "not between 1 and 10000")
	case job.Task.Resources.IsNegative() || job.Task.Connections < 0:
		return invalid("task.resources", "negative")
	case job.Task.RunTime < 0 || job.MaxWait < 0:
		return invalid("run_time", "negative")
	case len(job.Task.Payload) > maxPayload:
		return invalid("task.payload", "larger than 256 KiB")
	case exceeds(job.Task.Resources, q.MaxTask):
		return invalid("task.resources", "more than the queue allows for one task")
	}
	return nil
}

// exceeds reports whether r is larger than bound in a component; zero components of
// bound are unlimited.
func exceeds(r, bound model.Resources) bool {
	unlimited := func(have, limit int64) bool { return limit == 0 || have <= limit }
	return !unlimited(r.MilliCores, bound.MilliCores) ||
		!unlimited(r.MemoryMB, bound.MemoryMB) ||
		!unlimited(r.Accelerators, bound.Accelerators) ||
		!unlimited(r.Slots, bound.Slots)
}
