package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"cuminloft/internal/entry"
	"cuminloft/platform/platformtest"
)

// standinSiteCommand runs a stand-in of the users' platform: store, workers and
// advice service.
type standinSiteCommand struct {
	Dir     string `arg:"" type:"path" help:"Directory for the settings files of the entry hosts; created if absent."`
	Hosts   int    `default:"3" help:"Number of settings files."`
	Workers int    `default:"6" help:"Number of workers."`
	Cores   int64  `default:"4" help:"Cores of each worker."`
	Listen  string `default:"127.0.0.1:7200" help:"host:port of the store."`
	Port    int    `default:"7210" help:"First port of the entry hosts; each takes four."`
}

// Run starts the stand-in, writes the settings files, and serves until the process receives
// a termination signal.
func (c *standinSiteCommand) Run(s *session) error {
	azs := []string{"a", "b", "c"}
	site, err := platformtest.Start(platformtest.Options{
		Workers: c.Workers, AZs: azs, Cores: c.Cores, TaskSize: 1000, Listen: c.Listen,
	})
	if err != nil {
		return err
	}
	defer func() { _ = site.Close() }()
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	for i := range c.Hosts {
		address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", c.Port+4*i+n) }
		settings := entry.Settings{
			Host: fmt.Sprintf("entry-%d", i+1), AZ: azs[i%len(azs)], CallersListen: address(0), ReadinessListen: address(1),
			RPCListen: address(2), MetricsListen: address(3), Store: site.StoreAddress, Advice: site.AdviceAddress, GraceS: 3,
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return err
		}
		path := filepath.Join(c.Dir, settings.Host+".hujson")
		if err := os.WriteFile(path, data, 0o644); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(s.stdout, "settings %s callers=%s\n", path, settings.CallersListen)
	}
	_, _ = fmt.Fprintf(s.stdout, "ready store=%s host=%s prefix=%s key=%s\n",
		site.StoreAddress, platformtest.QueueHost, platformtest.QueuePrefix, platformtest.Key)
	<-s.ctx.Done()
	return nil
}
