package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/wait"
)

type applyCommand struct {
	Path     string        `arg:"" type:"path" help:"Configuration file or directory, JSON with comments."`
	Base     int64         `default:"-1" help:"Version that the change was made on; default: the accepted one."`
	DryRun   bool          `help:"Show what would change, and change nothing."`
	Wait     time.Duration `default:"30s" help:"How long to wait until it is in force everywhere."`
	Operator string        `env:"USER" help:"Name for the history."`
}

// Help shows examples.
func (applyCommand) Help() string {
	return `The configuration is applied as a whole. Exit code 0 means that it is in force
everywhere; 7 that it is written and some shards have not confirmed it yet; 6 that
another operator's change won and nothing was changed.

Examples:
  cuminloft apply holunderhof/ --dry-run
  cuminloft apply holunderhof/ --base 41`
}

// Run applies the configuration and prints the resulting state.
func (c *applyCommand) Run(s *session) error {
	_, text, err := readConfig(c.Path)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	base := c.Base
	if base < 0 {
		current, err := client.Config(s.ctx, 0)
		if err != nil {
			return err
		}
		base = current.Version
	}
	s.notef("applying on version %d, waiting up to %s", base, c.Wait)
	stop := s.showWaiting(client)
	reply, err := client.Apply(s.ctx, api.ApplyRequest{
		Base:      base,
		Config:    text,
		Operator:  c.Operator,
		CheckOnly: c.DryRun,
		Wait:      api.Duration(c.Wait),
	})
	stop()
	if err != nil {
		return err
	}
	if err := s.printer().value(reply, func(w io.Writer) { printApply(w, reply) }); err != nil {
		return err
	}
	return applyError(reply.State)
}

// progressInterval is the interval between two status queries during an apply.
const progressInterval = time.Second

// showWaiting prints the shards that a staged version waits for to the error stream,
// whenever they change, until the returned function is called.
func (s *session) showWaiting(client *api.Client) (stop func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		last := ""
		for wait.For(ctx, progressInterval) == nil {
			st, err := client.Status(ctx)
			if err != nil {
				continue // the apply itself reports errors
			}
			if line := strings.Join(st.Waiting, ", "); line != "" && line != last {
				last = line
				s.notef("waiting for %s", line)
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// readConfig reads and checks a configuration file or directory. It returns the
// configuration and its text as one JSON document.
func readConfig(path string) (*config.Config, string, error) {
	c, err := config.ParseFiles(path)
	if err != nil {
		return nil, "", err
	}
	text, err := json.MarshalIndent(c, "", "  ")
	return c, string(text), err
}

func printApply(w io.Writer, r api.ApplyReply) {
	switch r.State {
	case api.ApplyAccepted:
		_, _ = fmt.Fprintf(w, "version %d is in force everywhere\n", r.Version)
	case api.ApplyStaged:
		_, _ = fmt.Fprintf(w, "version %d is staged; the stricter of it and the accepted version is obeyed\n", r.Version)
		for _, line := range r.Waiting {
			_, _ = fmt.Fprintf(w, "  waiting for %s\n", line)
		}
	case api.ApplyConflict:
		_, _ = fmt.Fprintf(w, "version %d was applied meanwhile; nothing was changed\n", r.Version)
	case api.ApplyChecked:
		_, _ = fmt.Fprintln(w, "the configuration is valid; nothing was changed")
	case api.ApplyRefused:
		_, _ = fmt.Fprintln(w, "the configuration was refused; nothing was changed")
	}
	for _, p := range r.Problems {
		_, _ = fmt.Fprintf(w, "  %s: %s (%s)\n", p.Path, p.Message, p.Remedy)
	}
	for _, line := range r.Diff {
		_, _ = fmt.Fprintln(w, "  "+line)
	}
}

// applyError returns an error with the exit code of the state; nil for success.
func applyError(state api.ApplyState) error {
	switch state {
	case api.ApplyStaged:
		return withCode(ExitStaged, errSilent)
	case api.ApplyConflict:
		return withCode(ExitConflict, errSilent)
	case api.ApplyRefused:
		return withCode(ExitUsage, errSilent)
	}
	return nil
}

type configCommand struct {
	Check   configCheckCommand   `cmd:"" help:"Check a configuration file or directory."`
	Get     configGetCommand     `cmd:"" help:"Print a version of the configuration."`
	History configHistoryCommand `cmd:"" help:"List versions, newest first."`
	Diff    configDiffCommand    `cmd:"" help:"Compare two versions."`
	Schema  configSchemaCommand  `cmd:"" help:"Print the JSON Schema for editors."`
}

type configCheckCommand struct {
	Path string `arg:"" type:"path" help:"Configuration file or directory."`
}

// Run checks the configuration and prints a summary.
func (c *configCheckCommand) Run(s *session) error {
	cfg, _, err := readConfig(c.Path)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	teams := 0
	for _, o := range cfg.Organisations {
		teams += len(o.Teams)
	}
	_, err = fmt.Fprintf(s.stdout, "valid: cell %s, %d AZs, %d workers, %d organisations, %d teams, %d queues\n",
		cfg.Cell, len(cfg.AZs), len(cfg.Workers), len(cfg.Organisations), teams, len(cfg.Queues))
	return err
}

type configGetCommand struct {
	Version int64 `arg:"" optional:"" help:"Version; default: the accepted one."`
}

// Run prints the text of a version.
func (c *configGetCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	reply, err := client.Config(s.ctx, c.Version)
	if err != nil {
		return err
	}
	return s.printer().value(reply, func(w io.Writer) {
		s.notef("version %d, %s", reply.Version, reply.State)
		_, _ = fmt.Fprintln(w, reply.Config)
	})
}

type configHistoryCommand struct{}

// Run lists versions.
func (*configHistoryCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	reply, err := client.History(s.ctx)
	if err != nil {
		return err
	}
	return s.printer().value(reply, func(w io.Writer) {
		rows := make([][]any, len(reply.Versions))
		for i, v := range reply.Versions {
			rows[i] = []any{v.Version, v.Base, v.State, v.Operator, v.Applied.Format(time.DateTime)}
		}
		table(w, "VERSION\tBASE\tSTATE\tOPERATOR\tAPPLIED", rows)
	})
}

type configDiffCommand struct {
	From int64 `arg:"" help:"Version to compare from."`
	To   int64 `arg:"" optional:"" help:"Version to compare to; default: the accepted one."`
}

// Run prints the differences between the two versions.
func (c *configDiffCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	reply, err := client.Diff(s.ctx, c.From, c.To)
	if err != nil {
		return err
	}
	return s.printer().value(reply, func(w io.Writer) {
		for _, line := range reply.Lines {
			_, _ = fmt.Fprintln(w, line)
		}
	})
}

type configSchemaCommand struct{}

// Run prints the JSON Schema of configuration files.
func (*configSchemaCommand) Run(s *session) error {
	schema, err := config.Schema()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.stdout, string(schema))
	return err
}
