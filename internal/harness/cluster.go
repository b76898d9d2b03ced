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

// platformNode is the name of the platform's node in Network.
const platformNode = "platform"

// Timing of the harness.
const (
	readyTimeout = time.Minute
	pollInterval = 20 * time.Millisecond
)

// Host is one entry host of a cluster.
type Host struct {
	*Process
	ID   string
	AZ   string
	Addr string // listens for callers and operators
}

// Cluster is a cell whose entry hosts, platform and workers run as separate processes.
type Cluster struct {
	Config   *config.Config // the first configuration; worker addresses are those of the forwarders
	Hosts    []*Host
	Workers  []*Process // one process for each AZ's workers
	Platform *Process
	Net      *Network
	Client   *http.Client

	dir          string
	binary       string
	platformAddr string            // the platform's own address, not a forwarder's
	workerAddrs  map[string]string // the workers' own addresses, by worker id
}

// NewCluster prepares a cell with perAZ workers in each AZ; its files are under dir.
// The entry hosts have the loopback addresses 127.<block>.0.1 and following, so clusters
// that run at the same time need different blocks.
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

// prepareWorkers writes the configuration of the stand-in workers, with the workers'
// own addresses, and starts a forwarder for each worker.
func (c *Cluster) prepareWorkers() error {
	ownAddrs := *c.Config
	ownAddrs.Workers = nil
	for i := range c.Config.Workers {
		w := &c.Config.Workers[i]
		addr, err := freeAddr("127.0.0.1")
		if err != nil {
			return err
		}
		c.workerAddrs[w.ID] = addr
		w.Addr = addr
		ownAddrs.Workers = append(ownAddrs.Workers, *w)
		if w.Addr, err = c.forward(w.ID, addr); err != nil {
			return err
		}
	}
	path, err := c.writeJSON("workers.json", ownAddrs)
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

// prepareHost writes the settings of one entry host. The host reaches platform, workers
// and peers through forwarders, which identify it by its IP address.
func (c *Cluster) prepareHost(i int, ip string) error {
	id := fmt.Sprintf("entry-%d", i+1)
	c.Net.AddNode(ip, id)
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
	path, err := c.writeJSON(id+".json", settings.Settings{
		Host:         id,
		AZ:           AZs[hostAZs[i]],
		Listen:       listen,
		RPCListen:    rpc,
		RPCAdvertise: advertise,
		DialFrom:     ip,
		Platform:     "http://" + platform,
		OperatorKeys: []settings.OperatorKey{{ID: "harness", SHA256: secretHash(OperatorKey)}},
	})
	if err != nil {
		return err
	}
	process := NewProcess(c.dir, id, c.binary, "serve", "--settings", path)
	c.Hosts = append(c.Hosts, &Host{Process: process, ID: id, AZ: AZs[hostAZs[i]], Addr: listen})
	return nil
}

// maxForwardTries is how many ports are tried for a forwarder; another process may have
// taken the port since freeAddr found it free.
const maxForwardTries = 5

// forward starts a forwarder to a node and returns the forwarder's address.
func (c *Cluster) forward(node, target string) (listen string, err error) {
	for range maxForwardTries {
		if listen, err = freeAddr("127.0.0.1"); err != nil {
			return "", err
		}
		if err = c.Net.Forward(listen, node, target); err == nil {
			return listen, nil
		}
	}
	return "", err
}

func (c *Cluster) writeJSON(name string, v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.dir, name)
	return path, os.WriteFile(path, data, 0o600)
}

// Start starts all processes, applies the configuration and returns once every shard is
// ready.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.startPlatformAndWorkers(ctx); err != nil {
		return err
	}
	for _, h := range c.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, h := range c.Hosts {
		if err := c.awaitListening(ctx, h.Addr); err != nil {
			return fmt.Errorf("%s: %w", h.ID, err)
		}
	}
	if _, err := c.Apply(ctx, c.Hosts[0], 0, c.Config); err != nil {
		return err
	}
	if err := c.AwaitShards(ctx); err != nil {
		return err
	}
	return c.checkForwarders()
}

// checkForwarders returns an error if no bytes from a host to the platform are counted
// under the host's name. Cuts of that host's links would then have no effect.
func (c *Cluster) checkForwarders() error {
	for _, h := range c.Hosts {
		if c.Net.Bytes(h.ID, platformNode) == 0 {
			return fmt.Errorf("%s does not dial from its own IP address: the forwarders counted no bytes from it to the platform", h.ID)
		}
	}
	return nil
}

// startPlatformAndWorkers starts the processes of the platform and the workers and
// waits until they listen.
func (c *Cluster) startPlatformAndWorkers(ctx context.Context) error {
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
		if err := c.awaitListening(ctx, addr); err != nil {
			return err
		}
	}
	return nil
}

// Close kills every process and closes the forwarders.
func (c *Cluster) Close() {
	for _, h := range c.Hosts {
		h.Kill()
	}
	for _, p := range append([]*Process{c.Platform}, c.Workers...) {
		p.Kill()
	}
	c.Net.Close()
}

// awaitListening returns once a process listens at addr.
func (c *Cluster) awaitListening(ctx context.Context, addr string) error {
	return waitFor(ctx, func() (bool, error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return false, err
		}
		return true, conn.Close()
	})
}

// AwaitShards returns once the first host reports a ready shard for each AZ.
func (c *Cluster) AwaitShards(ctx context.Context) error {
	return waitFor(ctx, func() (bool, error) {
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

// waitFor calls done until it reports true. After readyTimeout it returns the last
// error of done.
func waitFor(ctx context.Context, done func() (bool, error)) error {
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
		case <-time.After(pollInterval):
		}
	}
}

// Apply applies a configuration through one host.
func (c *Cluster) Apply(ctx context.Context, h *Host, base int64, cfg *config.Config) (api.ApplyReply, error) {
	var reply api.ApplyReply
	text, err := json.Marshal(cfg)
	if err != nil {
		return reply, err
	}
	req := api.ApplyRequest{Base: base, Config: string(text), Operator: "harness", Wait: api.Duration(readyTimeout)}
	err = c.callAsOperator(ctx, h, http.MethodPost, "/v1/config", req, &reply)
	return reply, err
}

// Status returns one host's status reply.
func (c *Cluster) Status(ctx context.Context, h *Host) (api.StatusReply, error) {
	var reply api.StatusReply
	err := c.callAsOperator(ctx, h, http.MethodGet, "/v1/status", nil, &reply)
	return reply, err
}

// submitJob submits a job with a team's key.
func (c *Cluster) submitJob(ctx context.Context, h *Host, key string, s api.Submission) error {
	return httpjson.Call(ctx, c.clientWithKey(Secret(key)), http.MethodPost, "http://"+h.Addr+"/v1/jobs", s, nil)
}

// callAsOperator makes one call with the operator's key.
func (c *Cluster) callAsOperator(ctx context.Context, h *Host, method, path string, in, out any) error {
	return httpjson.Call(ctx, c.clientWithKey(OperatorKey), method, "http://"+h.Addr+path, in, out)
}

// clientWithKey returns a client that presents a key.
func (c *Cluster) clientWithKey(secret string) *http.Client {
	return &http.Client{Transport: bearerTransport{secret: secret, next: c.Client.Transport}}
}

// bearerTransport adds a bearer key to each request.
type bearerTransport struct {
	secret string
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.secret)
	return b.next.RoundTrip(r)
}

// SetPlatformFaults sets the faults of a service of the platform: table, objects or
// hosts.
func (c *Cluster) SetPlatformFaults(ctx context.Context, service string, f standin.FaultSet) error {
	return c.control(ctx, http.MethodPut, c.platformAddr, standin.PathFaults+"?of="+service, f, nil)
}

// SetWorkerFaults sets the faults of one worker.
func (c *Cluster) SetWorkerFaults(ctx context.Context, id string, f standin.FaultSet) error {
	return c.control(ctx, http.MethodPut, c.workerAddrs[id], standin.PathFaults, f, nil)
}

// PlatformStats returns the operation counts of the platform.
func (c *Cluster) PlatformStats(ctx context.Context) (standin.PlatformStats, error) {
	var s standin.PlatformStats
	err := c.control(ctx, http.MethodGet, c.platformAddr, standin.PathStats, nil, &s)
	return s, err
}

// AttemptRecords returns the attempt records of all workers.
func (c *Cluster) AttemptRecords(ctx context.Context) ([]standin.AttemptRecord, error) {
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

// TableLog returns the writes to the watched rows of the table.
func (c *Cluster) TableLog(ctx context.Context) ([]standin.TableLogEntry, error) {
	var entries []standin.TableLogEntry
	err := c.control(ctx, http.MethodGet, c.platformAddr, standin.PathLog, nil, &entries)
	return entries, err
}

func (c *Cluster) control(ctx context.Context, method, addr, path string, in, out any) error {
	return httpjson.Call(ctx, c.Client, method, "http://"+addr+path, in, out)
}
