// Package dev runs a whole cell in one process: stand-ins of the platform and of the
// workers, and one entry host for each AZ, over real HTTP on loopback.
package dev

import (
	"context"
	"crypto/rand"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/httpjson"
	"cuminloft/internal/model"
	"cuminloft/internal/serve"
	"cuminloft/internal/settings"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
	"cuminloft/internal/worker/httpworker"
)

// example is the configuration that Run uses if Options.Config is empty.
//
//go:embed example.hujson
var example []byte

// ExampleKey is the secret of the example configuration's team.
const ExampleKey = "example-key-cellar"

// Timeouts and intervals.
const (
	applyTimeout  = 10 * time.Second
	readyInterval = 20 * time.Millisecond
	headerTimeout = 5 * time.Second
)

// Modes of the key files and their directory: only the owner may read them.
const (
	fileMode = 0o600
	dirMode  = 0o700
)

// Options configure Run.
type Options struct {
	Listen string // host:port of the first entry host
	// Config is a configuration file or directory; if empty, the example. Its workers
	// run as stand-ins on free ports.
	Config string
	Dir    string // for the key files; if empty, a new temporary directory
	// Platform is the platform's stand-in; if nil, a new one.
	Platform *standin.Platform
	Log      logr.Logger
}

// Ready holds the addresses and key files of a running cell.
type Ready struct {
	Server          string // host:port
	KeyFile         string // of the example team; empty if Options.Config is set
	OperatorKeyFile string
}

// Run starts the cell, calls ready once every shard is ready, and stops when ctx ends.
func Run(ctx context.Context, o Options, ready func(Ready)) error {
	cfg, err := load(o.Config)
	if err != nil {
		return err
	}
	keys, err := writeKeys(o)
	if err != nil {
		return trace.Wrap(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	cell := &cell{
		group:        group,
		ctx:          ctx,
		config:       cfg,
		log:          o.Log,
		operatorHash: config.HashKey(keys.operator),
		platform:     o.Platform,
	}
	if err := cell.start(o.Listen); err != nil {
		cell.close()
		return trace.Wrap(err)
	}
	group.Go(func() error {
		if err := cell.apply(keys.operator); err != nil {
			return trace.Wrap(err, "apply the configuration")
		}
		keys.ready.Server = cell.hosts[0].Addr()
		ready(keys.ready)
		return nil
	})
	return group.Wait()
}

func load(path string) (*config.Config, error) {
	if path == "" {
		return config.Parse("example.hujson", example)
	}
	return config.ParseFiles(path)
}

// keyFiles are the operator's secret and the files that hold the keys.
type keyFiles struct {
	operator string
	ready    Ready
}

func writeKeys(o Options) (keyFiles, error) {
	dir := o.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "cuminloft-dev-"); err != nil {
			return keyFiles{}, err
		}
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return keyFiles{}, err
	}
	k := keyFiles{operator: rand.Text()}
	k.ready.OperatorKeyFile = filepath.Join(dir, "operator.key")
	if err := os.WriteFile(k.ready.OperatorKeyFile, []byte(k.operator+"\n"), fileMode); err != nil {
		return keyFiles{}, err
	}
	if o.Config != "" {
		return k, nil
	}
	k.ready.KeyFile = filepath.Join(dir, "cellar.key")
	return k, os.WriteFile(k.ready.KeyFile, []byte(ExampleKey+"\n"), fileMode)
}

// cell is the running servers of one Run.
type cell struct {
	group        *errgroup.Group
	ctx          context.Context
	config       *config.Config
	log          logr.Logger
	operatorHash string
	platform     *standin.Platform
	hosts        []*serve.Process
	servers      []*http.Server
}

// start starts the stand-in workers and the entry hosts. Their goroutines end with the
// context.
func (c *cell) start(listen string) error {
	if err := c.startWorkers(); err != nil {
		return err
	}
	if c.platform == nil {
		c.platform = standin.NewPlatform()
	}
	for i, az := range c.config.AZs {
		addr := "127.0.0.1:0"
		if i == 0 {
			addr = listen
		}
		if err := c.startHost(fmt.Sprintf("entry-%d", i+1), az.Name, addr); err != nil {
			return err
		}
	}
	context.AfterFunc(c.ctx, c.close)
	return nil
}

// startWorkers serves a stand-in for each worker on a free port and sets the port's
// address in the configuration.
func (c *cell) startWorkers() error {
	for i := range c.config.Workers {
		spec := &c.config.Workers[i]
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		spec.Addr = listener.Addr().String()
		server := &http.Server{
			Handler:           standin.WorkerHandler(standin.NewWorker(*spec, standin.Options{})),
			ReadHeaderTimeout: headerTimeout,
		}
		c.servers = append(c.servers, server)
		c.group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return nil
}

func (c *cell) startHost(name, az, listen string) error {
	rpcListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	rpcAddr := rpcListener.Addr().String()
	if err := rpcListener.Close(); err != nil {
		return err
	}
	hostSettings := &settings.Settings{
		Host:         name,
		AZ:           az,
		Listen:       listen,
		RPCListen:    rpcAddr,
		RPCAdvertise: rpcAddr,
		LeaveGraceMS: 1, // no load balancer needs time to notice that the host leaves
		OperatorKeys: []settings.OperatorKey{{ID: "dev", SHA256: c.operatorHash}},
	}
	workers := httpjson.NewClient()
	p, err := serve.New(hostSettings, serve.Dependencies{
		Table:   c.platform.Table,
		Objects: c.platform.Objects,
		Hosts:   c.platform.Hosts,
		Connect: func(spec model.WorkerSpec) worker.Client { return httpworker.New(spec, workers) },
	}, c.log)
	if err != nil {
		return err
	}
	c.hosts = append(c.hosts, p)
	c.group.Go(func() error { return p.Run(c.ctx) })
	return nil
}

// apply applies the configuration and waits until every shard is ready.
func (c *cell) apply(operatorKey string) error {
	ctx, cancel := context.WithTimeout(c.ctx, applyTimeout)
	defer cancel()
	text, err := json.Marshal(c.config)
	if err != nil {
		return err
	}
	client, err := api.NewClient([]string{c.hosts[0].Addr()}, operatorKey)
	if err != nil {
		return err
	}
	reply, err := client.Apply(ctx, api.ApplyRequest{Config: string(text), Operator: "dev"})
	if err != nil {
		return err
	}
	if reply.State != api.ApplyAccepted {
		return fmt.Errorf("the configuration is %s: %v", reply.State, reply.Problems)
	}
	return c.waitReady(ctx, client)
}

func (c *cell) waitReady(ctx context.Context, client *api.Client) error {
	for {
		st, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if allReady(st, len(c.config.Shards())) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyInterval):
		}
	}
}

func allReady(st api.StatusReply, want int) bool {
	ready := 0
	for _, s := range st.Shards {
		if s.Ready {
			ready++
		}
	}
	return ready == want
}

// close closes the servers of the stand-in workers.
func (c *cell) close() {
	for _, s := range c.servers {
		_ = s.Close()
	}
}
