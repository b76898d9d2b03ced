package cli

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/go-logr/logr"

	"cuminloft/internal/httpjson"
	"cuminloft/internal/model"
	"cuminloft/internal/platform/httpplatform"
	"cuminloft/internal/serve"
	"cuminloft/internal/settings"
	"cuminloft/internal/worker"
	"cuminloft/internal/worker/httpworker"
)

type serveCommand struct {
	Settings string `required:"" type:"path" help:"Process settings, JSON with comments."`
	Check    bool   `help:"Check the settings and exit."`
}

// Run serves until the process receives a termination signal, then shuts down.
func (c *serveCommand) Run(s *session) error {
	set, err := settings.Load(c.Settings)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	if c.Check {
		_, err := fmt.Fprintf(s.stdout, "valid: entry host %s in AZ %s\n", set.Host, set.AZ)
		return err
	}
	p, err := serve.New(set, httpBackends(set), newLogger(s.stderr, set.Log))
	if err != nil {
		return err
	}
	return p.Run(s.ctx)
}

// httpBackends returns the HTTP clients of the platform and the workers.
func httpBackends(set *settings.Settings) serve.Dependencies {
	platform := httpplatform.New(set.Platform, httpjson.NewClientWithLocalIP(set.DialFrom))
	workers := httpjson.NewClientWithLocalIP(set.DialFrom)
	return serve.Dependencies{
		Table:   platform.Table(),
		Objects: platform.Objects(),
		Hosts:   platform.HostList(),
		Connect: func(spec model.WorkerSpec) worker.Client { return httpworker.New(spec, workers) },
	}
}

// newLogger returns a logger that writes to w with the level and format of the settings.
func newLogger(w io.Writer, l settings.Log) logr.Logger {
	level := map[string]slog.Level{
		"debug": slog.LevelDebug,
		"info":  slog.LevelInfo,
		"error": slog.LevelError,
	}[l.Level]
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "text" {
		return logr.FromSlogHandler(slog.NewTextHandler(w, options))
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, options))
}
