// Package cli implements the command line of cuminloft: the commands of the daemon and of
// the client, their exit codes and their output formats.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Version is the release of this binary. The linker may set it.
var Version = "0.1.0-dev"

const description = `A cluster scheduler for unlike workloads: services, batch, gangs and direct requests.

Start with "cuminloft dev", which needs nothing else. The server's address and the
key come from flags, from CUMINLOFT_SERVER, CUMINLOFT_KEY and CUMINLOFT_KEY_FILE,
or from the client settings file. Exit codes are listed in docs/OPERATING.md.`

// commands holds the global flags and all commands.
type commands struct {
	clientFlags

	Serve    serveCommand    `cmd:"" group:"daemon" help:"Run the entry host's daemon."`
	Entry    entryCommand    `cmd:"" group:"daemon" help:"Run the entry host of a cell on the platform."`
	Dev      devCommand      `cmd:"" group:"daemon" help:"Run everything in one process, with stand-ins for platform and workers."`
	Standin  standinCommand  `cmd:"" group:"daemon" help:"Run stand-ins as separate processes, for tests and trials."`
	Apply    applyCommand    `cmd:"" group:"operators" help:"Apply a configuration as a whole."`
	Config   configCommand   `cmd:"" group:"operators" help:"Check, show and compare configurations."`
	Key      keyCommand      `cmd:"" group:"operators" help:"Make keys."`
	Status   statusCommand   `cmd:"" group:"operators" help:"Show AZs, hosts, shards, workers and teams."`
	Explain  explainCommand  `cmd:"" group:"operators" help:"Show where a job would go now, without sending it."`
	Timeline timelineCommand `cmd:"" group:"operators" help:"Show what happened, over all processes."`
	Run      runCommand      `cmd:"" group:"callers" help:"Send a direct request and print its answer."`
	Submit   submitCommand   `cmd:"" group:"callers" help:"Submit a job."`
	Job      jobCommand      `cmd:"" group:"callers" help:"Follow and cancel jobs."`
	Bench    benchCommand    `cmd:"" group:"measurement" help:"Measure decisions and the request path."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(s *session) error {
	_, err := fmt.Fprintln(s.stdout, "cuminloft "+Version)
	return err
}

// session holds the context, the standard streams and the global flags of a command.
type session struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	flags  *clientFlags
}

// printer returns a printer for results in the selected format.
func (s *session) printer() *printer {
	return &printer{out: s.stdout, json: s.flags.Output == outputJSON}
}

// notef writes a line to the error stream, for the user.
func (s *session) notef(format string, args ...any) {
	_, _ = fmt.Fprintf(s.stderr, format+"\n", args...)
}

// exited is the panic value that carries an exit code out of kong's own flags, such as --help.
type exited int

// Main runs the command that args name and returns its exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	defer func() {
		if e, ok := recover().(exited); ok {
			code = int(e)
		}
	}()
	var c commands
	parser, err := newParser(&c, stdout, stderr)
	if err != nil {
		return fail(stderr, ExitError, err)
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	kctx, err := parser.Parse(args)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	s := &session{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr, flags: &c.clientFlags}
	if err := kctx.Run(s); err != nil {
		return fail(stderr, exitCode(err), err)
	}
	return ExitOK
}

func newParser(c *commands, stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("cuminloft"),
		kong.Description(description),
		kong.Vars{"settings_default": "cuminloft/client.hujson in the user's configuration directory"},
		kong.Writers(stdout, stderr),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.ExplicitGroups([]kong.Group{
			{Key: "daemon", Title: "Daemons:"},
			{Key: "operators", Title: "For operators:"},
			{Key: "callers", Title: "For callers:"},
			{Key: "measurement", Title: "Measurement:"},
		}),
		kong.Exit(func(code int) { panic(exited(code)) }),
	)
}

// fail prints an error and returns its exit code.
func fail(stderr io.Writer, code int, err error) int {
	if err != nil && !errors.Is(err, errSilent) {
		_, _ = fmt.Fprintln(stderr, "cuminloft: "+err.Error())
	}
	return code
}

// errSilent is returned by commands that have already printed their result.
var errSilent = errors.New("")
