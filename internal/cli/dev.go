package cli

import (
	"fmt"

	"cuminloft/internal/dev"
	"cuminloft/internal/settings"
)

type devCommand struct {
	Listen   string `default:"127.0.0.1:7100" help:"host:port for callers and operators."`
	Config   string `type:"path" help:"Configuration to run; default: a small example."`
	KeyDir   string `type:"path" help:"Directory for the key files; default: a new temporary one."`
	LogLevel string `enum:"debug,info,error" default:"error" help:"What to log: ${enum}."`
}

// Run runs a complete cell in this process.
func (c *devCommand) Run(s *session) error {
	options := dev.Options{
		Listen: c.Listen,
		Config: c.Config,
		Dir:    c.KeyDir,
		Log:    newLogger(s.stderr, settings.Log{Level: c.LogLevel, Format: "text"}),
	}
	return dev.Run(s.ctx, options, func(r dev.Ready) {
		line := "ready server=" + r.Server
		if r.KeyFile != "" {
			line += " key_file=" + r.KeyFile
		}
		_, _ = fmt.Fprintln(s.stdout, line+" operator_key_file="+r.OperatorKeyFile)
	})
}
