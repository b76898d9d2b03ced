package cli

import (
	"fmt"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/standin"
)

type standinCommand struct {
	Platform standinPlatformCommand `cmd:"" help:"Run the platform's stand-in: table, object store and host list."`
	Workers  standinWorkersCommand  `cmd:"" help:"Run the stand-ins of a configuration's workers."`
	Site     standinSiteCommand     `cmd:"" help:"Run a stand-in of the users' platform for 'entry': store, workers and advice."`
}

type standinPlatformCommand struct {
	Listen string   `default:"127.0.0.1:7000" help:"host:port."`
	Watch  []string `help:"Log the writes of rows with these prefixes, for checkers."`
}

// Run serves the platform's stand-in until the process receives a termination signal.
func (c *standinPlatformCommand) Run(s *session) error {
	return standin.ServePlatform(s.ctx, c.Listen, standin.NewPlatform(c.Watch...), func(addr string) {
		_, _ = fmt.Fprintf(s.stdout, "ready platform=http://%s\n", addr)
	})
}

type standinWorkersCommand struct {
	Config string   `arg:"" type:"path" help:"Configuration file or directory; its workers' addresses are served."`
	AZ     []string `help:"Only workers of these AZs."`
}

// Run serves the workers' stand-ins until the process receives a termination signal.
func (c *standinWorkersCommand) Run(s *session) error {
	cfg, err := config.ParseFiles(c.Config)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	specs := workersIn(cfg, c.AZ)
	return standin.ServeWorkers(s.ctx, specs, standin.Options{}, func() {
		_, _ = fmt.Fprintf(s.stdout, "ready workers=%d\n", len(specs))
	})
}

// workersIn returns the workers of the named AZs, or all workers if none is named.
func workersIn(cfg *config.Config, azs []string) []model.WorkerSpec {
	if len(azs) == 0 {
		return cfg.Workers
	}
	wanted := map[string]bool{}
	for _, az := range azs {
		wanted[az] = true
	}
	var specs []model.WorkerSpec
	for _, w := range cfg.Workers {
		if wanted[w.AZ] {
			specs = append(specs, w)
		}
	}
	return specs
}
