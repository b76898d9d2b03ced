// Package cli is the command line of cuminloft: the daemon's and the client's
// commands, their exit codes and their output formats.
package cli

import (
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of the command line.
const (
	ExitOK    = 0
	ExitUsage = 2
)

type commands struct {
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Version is the release of this binary; the linker may set it.
var Version = "0.1.0-dev"

// Run prints the version.
func (versionCommand) Run(out io.Writer) error {
	_, err := io.WriteString(out, "cuminloft "+Version+"\n")
	return err
}

// Main runs the command line and returns the exit code.
func Main(args []string, _ io.Reader, stdout, stderr io.Writer) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("cuminloft"), kong.Writers(stdout, stderr))
	if err != nil {
		_, _ = io.WriteString(stderr, err.Error()+"\n")
		return ExitUsage
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		_, _ = io.WriteString(stderr, err.Error()+"\n")
		return ExitUsage
	}
	ctx.BindTo(stdout, (*io.Writer)(nil))
	if err := ctx.Run(); err != nil {
		_, _ = io.WriteString(stderr, err.Error()+"\n")
		return 1
	}
	return ExitOK
}
