package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminloft/api"
	"cuminloft/internal/bench/decide"
	"cuminloft/internal/bench/load"
	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/standin"
)

type benchCommand struct {
	Decide decideCommand `cmd:"" help:"Measure the decision core on a virtual clock, beside two baselines."`
	Load   loadCommand   `cmd:"" help:"Measure the request path of running entry hosts, beside a plain reverse handler."`
}

type decideCommand struct {
	decide.Options
	Plot string `type:"path" placeholder:"FILE" help:"Write the plots of the day to this SVG file."`
}

// Help shows examples.
func (decideCommand) Help() string {
	return `Examples:
  cuminloft bench decide --user himali --load 1.3 --plot himali.svg
  cuminloft bench decide --size target --duration 2m -o json`
}

// Run measures the decision core and prints the report.
func (c *decideCommand) Run(s *session) error {
	report, err := decide.Run(c.Options)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := writePlot(c.Plot, report); err != nil {
			return err
		}
	}
	if s.flags.Output == outputJSON {
		return report.JSON(s.stdout)
	}
	return report.Text(s.stdout)
}

func writePlot(path string, report decide.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	return errors.Join(report.SVG(f), f.Close())
}

type loadCommand struct {
	Queue           string        `arg:"" help:"Queue with the policy direct."`
	Scenario        string        `enum:"rate,latency,throughput,overload,failing,idle,big-answer" default:"rate" help:"What to measure: ${enum}."`
	Rate            float64       `help:"Requests a second, whatever the answers do."`
	Duration        time.Duration `help:"Length of each run."`
	Connections     int           `help:"Connections to the servers."`
	RunTime         time.Duration `help:"How long each request keeps a worker's slot."`
	AnswerBytes     int           `help:"Size of each answer."`
	Timeout         time.Duration `help:"Of each request."`
	Idempotent      bool          `default:"true" negatable:"" help:"Requests may run more than once."`
	OperatorKeyFile string        `type:"path" placeholder:"FILE" help:"File with the operators' key: for the servers' counters and the workers' addresses."`
}

// Help shows examples.
func (loadCommand) Help() string {
	return `The scenarios latency and throughput compare with a plain net/http reverse handler in
the same run; like failing, they need stand-in workers, as in cuminloft dev.

Examples:
  cuminloft bench load proofs --rate 500 --duration 10s
  cuminloft bench load proofs --scenario latency --operator-key-file operator.key`
}

// Run measures the request path and prints the report.
func (c *loadCommand) Run(s *session) error {
	options, err := c.options(s)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	var plain errgroup.Group
	if options.PlainProxy, err = startPlain(ctx, &plain); err != nil {
		return err
	}
	s.notef("measuring %s", strings.Join(options.Servers, ", "))
	report, err := load.Run(ctx, options)
	stop()
	if err != nil {
		return errors.Join(err, plain.Wait())
	}
	if err := plain.Wait(); err != nil {
		return err
	}
	return report.WriteText(s.stdout)
}

// startPlain serves the plain reverse proxy, the baseline of the measurement, with its
// own stand-in worker, so that the baseline uses no capacity of the cell's workers.
func startPlain(ctx context.Context, group *errgroup.Group) (addr string, err error) {
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Join(err, backend.Close())
	}
	spec := model.WorkerSpec{ID: "plain", Addr: backend.Addr().String(), Capacity: model.Resources{Slots: plainSlots}}
	worker := &http.Server{
		Handler:           standin.WorkerHandler(standin.NewWorker(spec, standin.Options{})),
		ReadHeaderTimeout: plainHeaderTimeout,
	}
	context.AfterFunc(ctx, func() { _ = worker.Close() })
	group.Go(func() error {
		if err := worker.Serve(backend); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error { return load.ServePlainProxy(ctx, front, spec.Addr) })
	return front.Addr().String(), nil
}

const (
	plainSlots         = 1 << 20 // the baseline's worker never refuses a request
	plainHeaderTimeout = 5 * time.Second
)

// options returns the load options, with servers and keys from the client flags and the
// workers' addresses from the accepted configuration.
func (c *loadCommand) options(s *session) (load.Options, error) {
	o := load.Options{
		Scenario:    load.Scenario(c.Scenario),
		Servers:     s.flags.Server,
		Queue:       c.Queue,
		Rate:        c.Rate,
		Duration:    c.Duration,
		Connections: c.Connections,
		RunTime:     c.RunTime,
		AnswerBytes: c.AnswerBytes,
		Timeout:     c.Timeout,
		Idempotent:  c.Idempotent,
	}
	if len(o.Servers) == 0 {
		o.Servers = []string{defaultServer}
	}
	fileSettings, err := s.flags.load()
	if err != nil {
		return o, err
	}
	if o.Key, err = s.flags.key(fileSettings); err != nil || c.OperatorKeyFile == "" {
		return o, err
	}
	data, err := os.ReadFile(c.OperatorKeyFile)
	if err != nil {
		return o, fmt.Errorf("operator key file: %w", err)
	}
	o.OperatorKey = strings.TrimSpace(string(data))
	o.Workers, err = workerAddrs(s, o)
	return o, err
}

// workerAddrs returns the addresses of the workers in the accepted configuration.
func workerAddrs(s *session, o load.Options) ([]string, error) {
	client, err := api.NewClient(o.Servers, o.OperatorKey)
	if err != nil {
		return nil, err
	}
	reply, err := client.Config(s.ctx, 0)
	if err != nil {
		return nil, err
	}
	cfg, err := config.Parse("accepted", []byte(reply.Config))
	if err != nil {
		return nil, err
	}
	addrs := make([]string, len(cfg.Workers))
	for i, w := range cfg.Workers {
		addrs[i] = w.Addr
	}
	return addrs, nil
}
