package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"cuminloft/api"
)

type runCommand struct {
	Queue          string        `arg:"" help:"Queue with the policy direct."`
	File           string        `arg:"" optional:"" type:"path" help:"File with the body; else standard input."`
	Idempotent     bool          `help:"The request may run more than once."`
	IdempotencyKey string        `placeholder:"KEY" help:"Name of the request: a repeat with it finds the first outcome."`
	Timeout        time.Duration `default:"30s" help:"How long to wait for the answer."`
	RunTime        time.Duration `help:"Declared run time."`
	Resources      string        `placeholder:"NAME=N,..." help:"For example milli_cores=500,memory_mb=256,slots=1."`
	Kind           string        `help:"Groups requests for learned estimates."`
}

// Help shows examples.
func (runCommand) Help() string {
	return `Examples:
  echo 'label 17' | cuminloft run proofs --idempotent
  cuminloft run slips slip.json --idempotency-key slip-2026-12-04-0017`
}

// Run sends the request and writes the answer to standard output.
func (c *runCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	resources, err := api.ParseResources(c.Resources)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	body, err := s.body(c.File)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	defer func() { _ = body.Close() }()
	answer, err := client.Run(s.ctx, api.RunRequest{
		Queue:          c.Queue,
		Body:           body,
		Idempotent:     c.Idempotent,
		IdempotencyKey: c.IdempotencyKey,
		Timeout:        c.Timeout,
		RunTime:        c.RunTime,
		Resources:      resources,
		Kind:           c.Kind,
	})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(s.stdout, answer.Body); err != nil {
		return withCode(ExitUnknown, fmt.Errorf("the answer was cut: %w", err))
	}
	return nil
}

// body opens the file, or standard input if the name is empty or "-".
func (s *session) body(file string) (io.ReadCloser, error) {
	if file == "" || file == "-" {
		return io.NopCloser(s.stdin), nil
	}
	return os.Open(file)
}
