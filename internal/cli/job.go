package cli

import (
	"errors"
	"fmt"
	"io"
	"time"

	"cuminloft/api"
)

type jobCommand struct {
	Status  jobStatusCommand  `cmd:"" help:"Show a job."`
	Wait    jobWaitCommand    `cmd:"" help:"Wait until a job has ended; the exit code tells its outcome."`
	Cancel  jobCancelCommand  `cmd:"" help:"Cancel a job."`
	List    jobListCommand    `cmd:"" help:"List the team's jobs."`
	Explain jobExplainCommand `cmd:"" help:"Say why a job waits, runs where it runs, or was refused."`
}

type jobStatusCommand struct {
	ID string `arg:"" help:"Job id."`
}

// Run prints the state of the job.
func (c *jobStatusCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	job, err := client.Job(s.ctx, c.ID, false)
	if err != nil {
		return err
	}
	return printJob(s, job)
}

type jobExplainCommand struct {
	ID string `arg:"" help:"Job id."`
}

// Run prints the reasons of the last decisions about the job.
func (c *jobExplainCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	job, err := client.Job(s.ctx, c.ID, true)
	if err != nil {
		return err
	}
	return s.printer().value(job, func(w io.Writer) {
		for _, line := range job.Explanation {
			_, _ = fmt.Fprintln(w, line)
		}
	})
}

type jobWaitCommand struct {
	ID string `arg:"" help:"Job id."`
}

// Run waits until the job has ended.
func (c *jobWaitCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	return waitJob(s, client, c.ID)
}

// waitJob waits until the job has ended and prints each change of its progress to the error
// stream. It then prints the job and returns an error for any outcome but done.
func waitJob(s *session, client *api.Client, id string) error {
	last := ""
	job, err := client.WaitJob(s.ctx, id, func(j api.Job) {
		if state := progress(j); state != last {
			last = state
			s.notef("%s", state)
		}
	})
	if err != nil {
		return err
	}
	if err := printJob(s, job); err != nil {
		return err
	}
	return outcomeError(job)
}

// progress formats the progress of a job as one line.
func progress(j api.Job) string {
	ended := 0
	running := 0
	for _, t := range j.Tasks {
		switch t.State {
		case "done", "failed", "abandoned":
			ended++
		case "running", "starting":
			running++
		}
	}
	return fmt.Sprintf("%s: %s, %d of %d tasks ended, %d running", j.ID, j.State, ended, j.TaskCount, running)
}

// outcomeError returns an error with the exit code of the job's outcome; nil if the job is
// done or has not ended.
func outcomeError(j api.Job) error {
	if j.State != api.JobEnded || j.Outcome == api.OutcomeDone {
		return nil
	}
	e := &api.Error{Outcome: j.Outcome, Code: j.Code, Message: j.Reason, RetryAfterMS: j.RetryAfterMS}
	return withCode(outcomeCode(e), errors.New(e.Error()))
}

type jobCancelCommand struct {
	ID []string `arg:"" help:"Job ids."`
}

// Run cancels the jobs. If a job cannot be cancelled, the others are cancelled anyway.
func (c *jobCancelCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	var failed error
	for _, id := range c.ID {
		job, err := client.Cancel(s.ctx, id)
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", id, err))
			continue
		}
		if err := printJob(s, job); err != nil {
			return err
		}
	}
	return failed
}

type jobListCommand struct {
	State string `enum:",queued,running,ended" default:"" help:"Only jobs in this state: queued, running or ended."`
	Limit int    `default:"100" help:"At most this many."`
	After string `help:"Continue after this job id."`
}

// Run lists the team's jobs.
func (c *jobListCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	list, err := client.List(s.ctx, api.JobQuery{State: c.State, Limit: c.Limit, After: c.After})
	if err != nil {
		return err
	}
	return s.printer().value(list, func(w io.Writer) {
		rows := make([][]any, len(list.Jobs))
		for i, j := range list.Jobs {
			rows[i] = []any{j.ID, j.Team, j.Queue, j.State, j.Outcome, j.TaskCount, j.Submitted.Format(time.DateTime)}
		}
		table(w, "JOB\tTEAM\tQUEUE\tSTATE\tOUTCOME\tTASKS\tSUBMITTED", rows)
		if list.Next != "" {
			_, _ = fmt.Fprintln(w, "more: --after "+list.Next)
		}
		for _, shard := range list.Missing {
			s.notef("shard %s did not answer; its jobs are not listed", shard)
		}
	})
}

func printJob(s *session, j api.Job) error {
	return s.printer().value(j, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "job %s: %s", j.ID, j.State)
		if j.Outcome != "" {
			_, _ = fmt.Fprintf(w, ", %s", j.Outcome)
		}
		if j.Reason != "" {
			_, _ = fmt.Fprintf(w, " (%s)", j.Reason)
		}
		_, _ = fmt.Fprintf(w, "\nteam %s, queue %s, shard %s\n", j.Team, j.Queue, j.Shard)
		rows := make([][]any, len(j.Tasks))
		for i, t := range j.Tasks {
			rows[i] = []any{t.Index, t.State, t.Attempt, t.Worker, t.Error}
		}
		table(w, "TASK\tSTATE\tATTEMPT\tWORKER\tERROR", rows)
	})
}
