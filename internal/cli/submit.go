package cli

import (
	"fmt"
	"io"
	"time"

	"cuminloft/api"
)

type submitCommand struct {
	Queue          string        `arg:"" help:"Queue with the policy batch, gang or service."`
	File           string        `arg:"" optional:"" type:"path" help:"File with the tasks' payload; - for standard input; none: empty."`
	Tasks          int           `default:"1" help:"Number of equal tasks."`
	Idempotent     bool          `help:"Tasks may run more than once."`
	IdempotencyKey string        `placeholder:"KEY" help:"Name of the submission: a repeat with it finds the first job."`
	RunTime        time.Duration `help:"Declared run time of a task."`
	Resources      string        `placeholder:"NAME=N,..." help:"Of one task, for example milli_cores=4000,memory_mb=8192,slots=1."`
	Kind           string        `help:"Groups jobs for learned estimates."`
	MaxWait        time.Duration `help:"Longest time in the queue; then the job ends as not run."`
	Wait           bool          `help:"Wait until the job has ended."`
}

// Help shows examples.
func (submitCommand) Help() string {
	return `Examples:
  cuminloft submit season layout.json --tasks 20 --idempotent --idempotency-key season-spring
  cuminloft submit press --tasks 8 --resources milli_cores=4000,memory_mb=8192,slots=1 --wait`
}

// Run submits the job and prints its id.
func (c *submitCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	submission, err := c.submission(s)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	accepted, err := client.Submit(s.ctx, submission)
	if err != nil {
		return err
	}
	if c.Wait {
		return waitJob(s, client, accepted.ID)
	}
	return s.printer().value(accepted, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, accepted.ID)
	})
}

func (c *submitCommand) submission(s *session) (api.Submission, error) {
	resources, err := api.ParseResources(c.Resources)
	if err != nil {
		return api.Submission{}, err
	}
	payload, err := c.payload(s)
	return api.Submission{
		Queue:          c.Queue,
		Kind:           c.Kind,
		Tasks:          c.Tasks,
		Resources:      resources,
		RunTime:        api.Duration(c.RunTime),
		Idempotent:     c.Idempotent,
		Payload:        payload,
		MaxWait:        api.Duration(c.MaxWait),
		IdempotencyKey: c.IdempotencyKey,
	}, err
}

func (c *submitCommand) payload(s *session) ([]byte, error) {
	if c.File == "" {
		return nil, nil
	}
	body, err := s.body(c.File)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	return io.ReadAll(body)
}
