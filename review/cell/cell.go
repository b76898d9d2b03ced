package cell

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	Pool   = "planner"
	host   = "cell.example"
	Batch  = "/jobs/"   // prefix of the queue with priority 1
	Urgent = "/urgent/" // prefix of the queue with priority 0
)

const (
	maxAttempts   = 4
	clientTimeout = 3 * time.Second // `Timeout-Ms`
)

// Options describes a small deployment.
type Options struct {
	Dir     string // of the case
	Workers int
	Cores   int64 // of a worker
	// Kind returns a worker's kind, which is its first label; nil for "a".
	Kind func(worker int) string
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool
	Tenants     []string
}

// Cell is a running deployment: the stand-ins, in this process, and the entry processes.
type Cell struct {
	Store       *Store
	Workers     []*Worker
	Record      *Record
	Checkpoints bool

	mu      sync.Mutex
	runs    []*Run
	hosts   []*entryHost
	servers []*http.Server
	dir     string // temporary folder
	client  *http.Client
	stop    chan struct{}
	next    int
	cpu     map[string]int64 // by job: thousandths of a core that a task counts for
}

// entryHost is an entry process.
type entryHost struct {
	name, callers, readiness string
	command                  *exec.Cmd
	log                      *os.File
	ended                    chan struct{}
}

const (
	entryHosts = 3
	idLength   = 16 // of a job's ID
)

// Start starts the deployment and waits until all entry hosts are ready. It tries again if
// another process has taken one of the ports.
func Start(o Options) (*Cell, error) {
	const tries = 3
	for n := 1; ; n++ {
		c, err := start(o)
		if !errors.Is(err, errEnded) || n == tries {
			return c, err
		}
		c.Close()
	}
}

// start is one attempt of Start. With an error it may return a cell to be closed.
func start(o Options) (*Cell, error) {
	record, err := NewRecord(filepath.Join(o.Dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	c := &Cell{Store: newStore(record), Record: record, Checkpoints: o.Checkpoints, stop: make(chan struct{}), cpu: map[string]int64{},
		client: &http.Client{Timeout: clientTimeout}}
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return c, err
	}
	store, err := c.serve(c.Store)
	if err != nil {
		return c, err
	}
	for i := range o.Workers {
		kind := "a"
		if o.Kind != nil {
			kind = o.Kind(i)
		}
		zone := string(rune('a' + i%entryHosts))
		w, err := c.newWorker(fmt.Sprintf("w%03d", i), kind, zone, fmt.Sprintf("r%s-%d", zone, i/8), o.Cores*1000)
		if err != nil {
			return c, err
		}
		c.Workers = append(c.Workers, w)
	}
	if err := c.configure(o.Tenants); err != nil {
		return c, err
	}
	go c.endOnSignal()
	go c.registerAll()
	for i := range entryHosts {
		if err := c.startHost(i, store); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady()
}

func (c *Cell) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return listener.Addr().String(), nil
}

func (c *Cell) configure(tenants []string) error {
	list := []map[string]any{}
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t, "api-keys": []string{t}, "weight": 100})
	}
	routes := []map[string]any{}
	for priority, prefix := range []string{Urgent, Batch} {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("queue-", priority), "host": host, "path-prefix": prefix, "backend": Pool, "priority": priority,
			"max-attempts": maxAttempts, "slack-factor": 3, "slo-ms": 1000, "timeout-ms": 3000,
		})
	}
	return c.Store.put("op", "config", map[string]any{
		"version":  1,
		"routes":   routes,
		"services": []map[string]any{{"name": Pool, "enforce-capacity": false}},
		"tenants":  list,
	})
}

// registerAll writes the registry entries of all workers until the cell is closed.
func (c *Cell) registerAll() {
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for {
		for _, w := range c.Workers {
			w.register()
		}
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
	}
}

// Ports of the entry hosts: below those that the system gives to connections.
const (
	firstPort = 18000
	ports     = 12000
)

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		return address, listener.Close()
	}
}

// startHost starts an entry process with the command of deploy/system.toml.
func (c *Cell) startHost(i int, store string) error {
	h := &entryHost{name: fmt.Sprintf("entry-%d", i+1), ended: make(chan struct{})}
	var addresses [4]string
	for n := range addresses {
		var err error
		if addresses[n], err = freeAddress(); err != nil {
			return err
		}
	}
	h.callers, h.readiness = addresses[0], addresses[1]
	settings := map[string]any{ // as deploy/settings.hujson for a small deployment
		"host": h.name, "az": string(rune('a' + i)), "callers_listen": h.callers, "readiness_listen": h.readiness,
		"rpc_listen": addresses[2], "metrics_listen": addresses[3], "store": store, "order_lease_ms": 3000, "grace_s": 6,
		"show_ended_s": 120, "core_share": 0.4, "memory_mb": 284, "cores": 1, "max_descriptors": 4100, "link_mbps": 1000,
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(c.dir, h.name+".hujson")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	if h.log, err = os.Create(filepath.Join(c.dir, h.name+".log")); err != nil {
		return err
	}
	h.command = exec.Command("target/cuminloft", "entry")
	h.command.Env = []string{"CUMINLOFT_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	if err := h.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = h.command.Wait() // how it ended is in the log
		close(h.ended)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, h)
	return nil
}

// endOnSignal ends the entry processes if this process is told to stop.
func (c *Cell) endOnSignal() {
	const notRun = 2
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-c.stop:
		signal.Stop(signals)
	case <-signals:
		c.mu.Lock()
		for _, h := range c.hosts {
			_ = h.command.Process.Kill() // fails only if it has ended
		}
		os.Exit(notRun)
	}
}

const (
	readyTimeout = 15 * time.Second
	pollPause    = 50 * time.Millisecond
	stopTimeout  = 3 * time.Second
)

var (
	errNotReady = errors.New("the entry hosts are not ready in time")
	errEnded    = errors.New("an entry process ended at its start")
)

// awaitReady waits until all hosts are ready and a coordinator answers.
func (c *Cell) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollPause) {
		ready := 0
		for _, h := range c.hosts {
			resp, err := c.client.Get("http://" + h.readiness + "/-/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if status, _ := c.call(h, http.MethodGet, Batch, "", nil); resp.StatusCode == http.StatusOK && status != http.StatusServiceUnavailable {
				ready++
			}
		}
		if ready == len(c.hosts) {
			return nil
		}
		if ended := c.Exits(); len(ended) > 0 {
			return fmt.Errorf("%w: %s", errEnded, ended[0])
		}
	}
	return errNotReady
}

// call makes a client's call. The status is 0 if there was no response.
func (c *Cell) call(h *entryHost, method, path, key string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil
		}
	}
	req, err := http.NewRequest(method, "http://"+h.callers+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Timeout-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// pick returns the next host: the platform spreads connections over the hosts.
func (c *Cell) pick() *entryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.hosts[c.next%len(c.hosts)]
}

// Job is a submission. Its steps have tasks of one size.
type Job struct {
	Spec     string           `json:"spec"`
	Steps    []map[string]any `json:"steps"`
	Repeats  int              `json:"repeats,omitempty"`
	StartMS  int64            `json:"start-ms,omitempty"`
	PeriodMS int64            `json:"period-ms,omitempty"`
}

// noteSize notes what a task of the job counts for.
func (c *Cell) noteSize(id string, job Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cpu, ok := job.Steps[0]["cpu"].(int); ok && job.Steps[0]["fills"] == nil {
		c.cpu[id] = int64(cpu)
	}
}

// Submit hands in a job of the queue with a prefix and reports whether it was accepted. It
// repeats the request as clients do, at another host each time. A tenant's key is its name.
func (c *Cell) Submit(tenant, prefix, id string, job Job) bool {
	const tries, pause = 5, time.Second
	c.noteSize(id, job)
	for range tries {
		h := c.pick()
		status, answer := c.call(h, http.MethodPost, prefix+id, tenant, job)
		c.Record.Add("client: POST %s at %s: %d %s", id, h.name, status, bytes.TrimSpace(answer))
		if status == http.StatusOK {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

// State asks for a job's state; "" if there is none in the response.
func (c *Cell) State(tenant, prefix, id string) string {
	h := c.pick()
	status, answer := c.call(h, http.MethodGet, prefix+id, tenant, nil)
	c.Record.Add("client: GET %s at %s: %d %s", id, h.name, status, bytes.TrimSpace(answer))
	var state struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &state) != nil {
		return ""
	}
	return state.State
}

// Worker returns the worker with an ID.
func (c *Cell) Worker(id string) *Worker {
	for _, w := range c.Workers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

// Used returns the share of the cores that are in use. Tasks that fill don't count.
func (c *Cell) Used() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var used, all int64
	for _, r := range c.runs {
		if r.Ended.IsZero() {
			used += c.cpu[r.Task[:idLength]]
		}
	}
	for _, w := range c.Workers {
		all += w.capacity
	}
	return float64(used) / float64(all)
}

func (c *Cell) began(r *Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, r)
	c.Record.Add("worker %s: run %d of %s begins", r.Worker, r.Number, r.Task)
}

func (c *Cell) ended(r *Run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Ended, r.How = time.Now(), how
	c.Record.Add("worker %s: run %d of %s ends: %s", r.Worker, r.Number, r.Task, how)
}

// Runs returns copies of the runs of a job's tasks, in the order of their begin.
func (c *Cell) Runs(job string) []Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Run
	for _, r := range c.runs {
		if r.Task[:idLength] == job {
			out = append(out, *r)
		}
	}
	return out
}

// Exits returns the names of the entry processes that have ended by themselves.
func (c *Cell) Exits() []string {
	var out []string
	for _, h := range c.hosts {
		select {
		case <-h.ended:
			out = append(out, h.name)
		default:
		}
	}
	return out
}

// Close ends all processes and removes the temporary folder. With KEEP set in the
// environment, the folder with the logs stays.
func (c *Cell) Close() {
	close(c.stop)
	for _, h := range c.hosts {
		_ = h.command.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	}
	for _, h := range c.hosts {
		select {
		case <-h.ended:
		case <-time.After(stopTimeout):
			_ = h.command.Process.Kill()
			<-h.ended
		}
		_ = h.log.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.Record.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}
