package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/httpjson"
	"cuminloft/internal/settings"
	"cuminloft/internal/standin"
)

// platformNode is the platform's name in the network.
const platformNode = "platform"

// Waits of the harness.
const (
	readyTimeout = time.Minute
	pollEvery    = 20 * time.Millisecond
)

// Host is one entry host of a cluster.
type Host struct {
	*Process
	ID   string
	AZ   string
	Addr string // for callers
}

// Cluster is a cell of separate processes.
type Cluster struct {
	Config   *config.Config // as first applied; addresses are the forwarders'
	Hosts    []*Host
	Workers  []*Process // one per AZ
	Platform *Process
	Net      *Network
	Client   *http.Client

	dir          string
	binary       string
	platformAddr string            // without forwarder
	workerAddrs  map[string]string // without forwarder, by worker
}

// NewCluster prepares a cell with perAZ workers in each AZ under dir. block
// keeps the loopback addresses of parallel clusters apart.
func NewCluster(dir, binary string, block, perAZ int) (*Cluster, error) {
	c := &Cluster{
		Config:      NewConfig(perAZ),
		Net:         NewNetwork(),
		Client:      httpjson.NewClient(),
		dir:         dir,
		binary:      binary,
		workerAddrs: map[string]string{},
	}
	if err := c.prepareWorkers(); err != nil {
		return nil, err
	}
	if err := c.preparePlatform(); err != nil {
		return nil, err
	}
	for i := range hostAZs {
		if err := c.prepareHost(i, fmt.Sprintf("127.%d.0.%d", block, i+1)); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// prepareWorkers writes the stand-ins' configuration with the workers' own
// addresses and puts a forwarder before each.
func (c *Cluster) prepareWorkers() error {
	direct := *c.Config
	direct.Workers = nil
	for i := range c.Config.Workers {
		w := &c.Config.Workers[i]
		addr, err := freeAddr("127.0.0.1")
		if err != nil {
			return err
		}
		c.workerAddrs[w.ID] = addr
		w.Addr = addr
		direct.Workers = append(direct.Workers, *w)
		if w.Addr, err = c.forward(w.ID, addr); err != nil {
			return err
		}
	}
	path, err := c.write("workers.json", direct)
	if err != nil {
		return err
	}
	for _, az := range AZs {
		c.Workers = append(c.Workers, NewProcess(c.dir, "workers-"+az, c.binary, "standin", "workers", path, "--az", az))
	}
	return nil
}

func (c *Cluster) preparePlatform() error {
	addr, err := freeAddr("127.0.0.1")
	if err != nil {
		return err
	}
	c.platformAddr = addr
	c.Platform = NewProcess(c.dir, platformNode, c.binary,
		"standin", "platform", "--listen", addr, "--watch", "config/", "--watch", "shard/")
	return nil
}

// prepareHost writes one entry host's settings. Its platform, workers and peers
// are behind forwarders that know it by its address.
func (c *Cluster) prepareHost(i int, ip string) error {
	id := fmt.Sprintf("entry-%d", i+1)
	c.Net.Name(ip, id)
	listen, err := freeAddr(ip)
	if err != nil {
		return err
	}
	rpc, err := freeAddr(ip)
	if err != nil {
		return err
	}
	advertise, err := c.forward(id, rpc)
	if err != nil {
		return err
	}
	platform, err := c.forward(platformNode, c.platformAddr)
	if err != nil {
		return err
	}
	path, err := c.write(id+".json", settings.Settings{
		Host:         id,
		AZ:           AZs[hostAZs[i]],
		Listen:       listen,
		RPCListen:    rpc,
		RPCAdvertise: advertise,
		DialFrom:     ip,
		Platform:     "http://" + platform,
		OperatorKeys: []settings.OperatorKey{{ID: "harness", SHA256: hashOf(OperatorKey)}},
	})
	if err != nil {
		return err
	}
	process := NewProcess(c.dir, id, c.binary, "serve", "--settings", path)
	c.Hosts = append(c.Hosts, &Host{Process: process, ID: id, AZ: AZs[hostAZs[i]], Addr: listen})
	return nil
}

// forwardTries is how often a forwarder's port may be taken by another process.
const forwardTries = 5

// forward puts a forwarder before a node and returns the forwarder's address.
func (c *Cluster) forward(node, target string) (listen string, err error) {
	for range forwardTries {
		if listen, err = freeAddr("127.0.0.1"); err != nil {
			return "", err
		}
		if err = c.Net.Forward(listen, node, target); err == nil {
			return listen, nil
		}
	}
	return "", err
}

func (c *Cluster) write(name string, v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.dir, name)
	return path, os.WriteFile(path, data, 0o600)
}

// Start starts all processes, applies the configuration and returns when every
// shard is ready.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.startOutside(ctx); err != nil {
		return err
	}
	for _, h := range c.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, h := range c.Hosts {
		if err := c.await(ctx, h.Addr); err != nil {
			return fmt.Errorf("%s: %w", h.ID, err)
		}
	}
	if _, err := c.Apply(ctx, c.Hosts[0], 0, c.Config); err != nil {
		return err
	}
	if err := c.AwaitShards(ctx); err != nil {
		return err
	}
	return c.checkLinks()
}

// checkLinks returns an error if the forwarders do not know the hosts, so that
// cuts would cut nothing.
func (c *Cluster) checkLinks() error {
	for _, h := range c.Hosts {
		if c.Net.Bytes(h.ID, platformNode) == 0 {
			return fmt.Errorf("%s does not dial from its own address", h.ID)
		}
	}
	return nil
}

// startOutside starts the platform and the workers.
func (c *Cluster) startOutside(ctx context.Context) error {
	for _, p := range append([]*Process{c.Platform}, c.Workers...) {
		if err := p.Start(); err != nil {
			return err
		}
	}
	addrs := []string{c.platformAddr}
	for _, addr := range c.workerAddrs {
		addrs = append(addrs, addr)
	}
	for _, addr := range addrs {
		if err := c.await(ctx, addr); err != nil {
			return err
		}
	}
	return nil
}

// Close kills every process and ends the forwarders.
func (c *Cluster) Close() {
	for _, h := range c.Hosts {
		h.Kill()
	}
	for _, p := range append([]*Process{c.Platform}, c.Workers...) {
		p.Kill()
	}
	c.Net.Close()
}

// await returns when something listens at addr.
func (c *Cluster) await(ctx context.Context, addr string) error {
	return poll(ctx, func() (bool, error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return false, err
		}
		return true, conn.Close()
	})
}

// AwaitShards returns when every AZ has a shard that is ready at some host's
// word.
func (c *Cluster) AwaitShards(ctx context.Context) error {
	return poll(ctx, func() (bool, error) {
		s, err := c.Status(ctx, c.Hosts[0])
		if err != nil {
			return false, err
		}
		ready := 0
		for _, shard := range s.Shards {
			if shard.Ready {
				ready++
			}
		}
		if ready < len(AZs) {
			return false, fmt.Errorf("%d of %d shards are ready", ready, len(AZs))
		}
		return true, nil
	})
}

// poll calls done until it is true, or returns its last error.
func poll(ctx context.Context, done func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ok, err := done()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready after %s: %w", readyTimeout, err)
		case <-time.After(pollEvery):
		}
	}
}

// Apply applies a configuration over one host.
func (c *Cluster) Apply(ctx context.Context, h *Host, base int64, cfg *config.Config) (api.ApplyReply, error) {
	var reply api.ApplyReply
	text, err := json.Marshal(cfg)
	if err != nil {
		return reply, err
	}
	req := api.ApplyRequest{Base: base, Config: string(text), Operator: "harness", Wait: api.Duration(readyTimeout)}
	err = c.operate(ctx, h, http.MethodPost, "/v1/config", req, &reply)
	return reply, err
}

// Status returns what one host knows.
func (c *Cluster) Status(ctx context.Context, h *Host) (api.StatusReply, error) {
	var reply api.StatusReply
	err := c.operate(ctx, h, http.MethodGet, "/v1/status", nil, &reply)
	return reply, err
}

// submit submits a job with a team's key.
func (c *Cluster) submit(ctx context.Context, h *Host, key string, s api.Submission) error {
	return httpjson.Call(ctx, c.keyed(Secret(key)), http.MethodPost, "http://"+h.Addr+"/v1/jobs", s, nil)
}

// operate makes one call with the operator's key.
func (c *Cluster) operate(ctx context.Context, h *Host, method, path string, in, out any) error {
	return httpjson.Call(ctx, c.keyed(OperatorKey), method, "http://"+h.Addr+path, in, out)
}

// keyed returns a client that presents a key.
func (c *Cluster) keyed(secret string) *http.Client {
	return &http.Client{Transport: bearer{secret: secret, next: c.Client.Transport}}
}

// bearer adds a key to each request.
type bearer struct {
	secret string
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.secret)
	return b.next.RoundTrip(r)
}

// Faults sets the faults of a part of the platform: table, objects or hosts.
func (c *Cluster) Faults(ctx context.Context, part string, f standin.FaultSet) error {
	return c.control(ctx, http.MethodPut, c.platformAddr, standin.PathFaults+"?of="+part, f, nil)
}

// WorkerFaults sets the faults of one worker.
func (c *Cluster) WorkerFaults(ctx context.Context, id string, f standin.FaultSet) error {
	return c.control(ctx, http.MethodPut, c.workerAddrs[id], standin.PathFaults, f, nil)
}

// Stats returns what the platform served.
func (c *Cluster) Stats(ctx context.Context) (standin.PlatformStats, error) {
	var s standin.PlatformStats
	err := c.control(ctx, http.MethodGet, c.platformAddr, standin.PathStats, nil, &s)
	return s, err
}

// Runs returns the records of all workers.
func (c *Cluster) Runs(ctx context.Context) ([]standin.AttemptRecord, error) {
	var all []standin.AttemptRecord
	for _, w := range c.Config.Workers {
		var entries []standin.AttemptRecord
		if err := c.control(ctx, http.MethodGet, c.workerAddrs[w.ID], standin.PathRecord, nil, &entries); err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}

// TableLog returns the writes of the watched rows.
func (c *Cluster) TableLog(ctx context.Context) ([]standin.TableLogEntry, error) {
	var entries []standin.TableLogEntry
	err := c.control(ctx, http.MethodGet, c.platformAddr, standin.PathLog, nil, &entries)
	return entries, err
}

func (c *Cluster) control(ctx context.Context, method, addr, path string, in, out any) error {
	return httpjson.Call(ctx, c.Client, method, "http://"+addr+path, in, out)
}
