package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/platform/platformtest"
)

// Names of the cell's only queue, key and service.
const (
	queueHost   = "cell.example"
	queuePrefix = "/batch/"
	apiKey      = "cellar-key"
	pool        = "pool"
	maxAttempts = 3
)

// heartbeat is the interval at which workers write their registry entries (heartbeat-ms);
// an entry is removed after three intervals of silence.
const heartbeat = 1500 * time.Millisecond

// cell is a small deployment on loopback: the platform's store, workers and entry hosts.
type cell struct {
	rec     *recorder
	store   *rows.Store
	address string // of the store
	workers []*worker
	hosts   []*host
	dir     string
	stop    context.CancelFunc
	client  http.Client
}

// host is a process of an entry host.
type host struct {
	name, callers, settings string
	process                 *exec.Cmd
	log                     *os.File
}

// freeAddresses returns loopback addresses whose ports are free now.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }() // after all are known, so that they differ
		out = append(out, listener.Addr().String())
	}
	return out, nil
}

// cellTries is how often a cell is started: another process may have taken a port meanwhile.
const cellTries = 3

// startCell starts a cell whose workers have this many thousandths of a core.
func startCell(rec *recorder, hosts, workers int, milliCores int64) (*cell, error) {
	var errs []error
	for range cellTries {
		c, err := tryCell(rec, hosts, workers, milliCores)
		if err == nil {
			return c, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

func tryCell(rec *recorder, hosts, workers int, milliCores int64) (*cell, error) {
	ctx, stop := context.WithCancel(context.Background())
	c := &cell{rec: rec, store: rows.New(), stop: stop, client: http.Client{Timeout: 3 * time.Second}}
	var err error
	if c.dir, err = os.MkdirTemp("", "review-cell"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = listener.Addr().String()
	server := &http.Server{Handler: platformtest.StoreHandler(c.store), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	zones := []string{"a", "b", "c"}
	for i := range workers {
		w, err := newWorker(fmt.Sprintf("w-%02d", i), zones[i%len(zones)], fmt.Sprintf("r%d-0", i%len(zones)), milliCores, rec)
		if err != nil {
			return nil, err
		}
		c.workers = append(c.workers, w)
	}
	if err := c.configure(); err != nil {
		return nil, err
	}
	c.register()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				c.register()
			}
		}
	}()
	for i := range hosts {
		if err := c.startHost(i, zones[i%len(zones)]); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	return c, nil
}

// put writes a row as the operator or a worker does.
func (c *cell) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = c.store.Commit(context.Background(), platform.Tx{Puts: []platform.PartitionRow{{Table: table, Key: key, Value: data}}})
	return err
}

func (c *cell) configure() error {
	return c.put("op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{"name": "batch", "host": queueHost, "path-prefix": queuePrefix, "backend": pool, "priority": 1,
			"max-attempts": maxAttempts, "slack-factor": 3, "slo-ms": 1000, "timeout-ms": 3000}},
		"services": []map[string]any{{"name": pool, "enforce-capacity": false}},
		"tenants":  []map[string]any{{"name": "cellar", "api-keys": []string{apiKey}, "weight": 100}},
	})
}

// register writes the entries of all workers that are up.
func (c *cell) register() {
	for _, w := range c.workers {
		if entry := w.entry(); entry != nil {
			_ = c.put("servers", w.id, entry) // written again with the next beat
		}
	}
}

func (c *cell) startHost(i int, zone string) error {
	addresses, err := freeAddresses(4)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	h := &host{name: name, callers: addresses[0], settings: filepath.Join(c.dir, name+".json")}
	// As deploy/settings.hujson renders it for a small deployment.
	settings := map[string]any{
		"host": name, "az": zone, "callers_listen": h.callers, "readiness_listen": addresses[1], "rpc_listen": addresses[2], "metrics_listen": addresses[3],
		"store": c.address, "order_lease_ms": 3000, "grace_s": 6, "show_ended_s": 120, "core_share": 0.4, "memory_mb": 284, "cores": 1,
		"max_descriptors": 4100, "link_mbps": 1000,
		"scheduling": map[string]any{"learn_speeds": true, "reserve_amounts": true, "renew_first": true, "start_margins": true, "separate_images": true},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return err
	}
	if h.log, err = os.Create(filepath.Join(c.dir, name+".log")); err != nil {
		return err
	}
	c.hosts = append(c.hosts, h)
	h.process = exec.Command("target/cuminloft", "entry") // as deploy/system.toml starts it
	h.process.Env = append(os.Environ(), "CUMINLOFT_BOOT="+h.settings)
	h.process.Stdout, h.process.Stderr = h.log, h.log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.process.Start()
}

// awaitReady waits until every host answers a query to the coordinator.
func (c *cell) awaitReady() error {
	ready := 0
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for ready < len(c.hosts) {
			if status, _ := c.call(http.MethodGet, ready, "", ""); status != http.StatusOK {
				break
			}
			ready++
		}
		if ready == len(c.hosts) {
			return nil
		}
	}
	return errors.Join(errors.New("the cell does not get ready"), c.close())
}

// call makes a client's call through a host. The status is 0 without an answer.
func (c *cell) call(method string, host int, id, body string) (status int, answer string) {
	req, err := http.NewRequest(method, "http://"+c.hosts[host%len(c.hosts)].callers+queuePrefix+id, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("Timeout-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(data))
}

// state returns the state of a job, as any host shows it.
func (c *cell) state(host int, id string) string {
	status, answer := c.call(http.MethodGet, host, id, "")
	var shown struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &shown) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return shown.State
}

// submit hands a job in, again with the same ID after a lost answer.
func (c *cell) submit(id, body string) error {
	for try := range 5 {
		status, answer := c.call(http.MethodPost, try, id, body)
		c.rec.event("POST %s %s -> %d %s", id, body, status, answer)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// close ends all processes that the cell has started and removes its folder, but for the logs.
func (c *cell) close() error {
	c.stop()
	for _, h := range c.hosts {
		if h.process != nil && h.process.Process != nil {
			_ = h.process.Process.Kill() // it may have ended already
			_ = h.process.Wait()
		}
		_ = h.log.Close()
	}
	for _, w := range c.workers {
		w.mu.Lock()
		if w.server != nil {
			_ = w.server.Close()
			w.server = nil
		}
		w.mu.Unlock()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range c.hosts {
			data, err := os.ReadFile(filepath.Join(c.dir, h.name+".log"))
			if err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), data, 0o600)
			}
		}
	}
	return os.RemoveAll(c.dir)
}
