// Command cell2 plays the scripts of the second review: it starts a stand-in of the platform,
// runs entry hosts as separate processes, disturbs them or the workers, and checks one rule
// by what callers and workers see.
package main

import (
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
	"strings"
	"sync"
	"time"

	"cuminloft/platform/platformtest"
)

// heartbeat is the interval of the workers' registry entries in the site files.
const heartbeat = 1500 * time.Millisecond

// recorder writes the record of a run, with the time since its start.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(r.out, line) // the record is for readers only
	_, _ = os.Stdout.WriteString(line)
}

// host is an entry host, a process of its own.
type host struct {
	name, settings, callers string
	cmd                     *exec.Cmd
	ended                   chan struct{} // closed when the process has ended
}

// cell is a small deployment.
type cell struct {
	*recorder
	site   *platformtest.Site
	hosts  []*host
	dir    string
	client *http.Client

	nextPort int // see freePorts
}

// newCell starts the platform's stand-in and the entry hosts.
func newCell(r *recorder, program string, hosts, workers int, cores int64) (*cell, error) {
	site, err := platformtest.Start(platformtest.Options{
		Workers: workers, AZs: []string{"a", "b", "c"}, Cores: cores, TaskSize: 1000, Heartbeat: heartbeat,
	})
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "cell2-")
	if err != nil {
		return nil, err
	}
	c := &cell{recorder: r, site: site, dir: dir, client: &http.Client{Timeout: 3 * time.Second}}
	for i := range hosts {
		if err := c.startHost(program, i); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// Range of the entry hosts' ports, below those that the system gives to other sockets. Each
// process of this program begins at a place of its own, since plays may run side by side.
const (
	firstPort       = 10_000
	portRange       = 20_000
	portsPerProcess = 32
)

// freePorts returns addresses on loopback that nothing listens on. Earlier calls took the
// ports before next.
func freePorts(n int, next *int) ([]string, error) {
	var out []string
	for ; len(out) < n; *next++ {
		if *next >= portsPerProcess {
			return nil, errors.New("too few free ports")
		}
		port := firstPort + (os.Getpid()*portsPerProcess+*next)%portRange
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		out = append(out, l.Addr().String())
		_ = l.Close()
	}
	return out, nil
}

// startHost starts an entry host with settings as deploy/settings.hujson renders them.
func (c *cell) startHost(program string, i int) error {
	ports, err := freePorts(4, &c.nextPort)
	if err != nil {
		return err
	}
	h := &host{name: fmt.Sprintf("entry-%d", i+1), callers: ports[0]}
	settings := map[string]any{
		"host": h.name, "az": string(rune('a' + i%3)), "callers_listen": ports[0], "readiness_listen": ports[1],
		"rpc_listen": ports[2], "metrics_listen": ports[3], "store": c.site.StoreAddress, "advice": c.site.AdviceAddress,
		"host_api": c.site.HostsAddress, "order_lease_ms": 3000, "grace_s": 6, "show_ended_s": 120,
		"core_share": 0.4, "memory_mb": 284, "cores": 1, "max_descriptors": 4100, "link_mbps": 1000,
		"scheduling": map[string]bool{"learn_speeds": true, "reserve_amounts": true, "renew_first": true, "start_margins": true, "separate_images": true},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	h.settings = filepath.Join(c.dir, h.name+".hujson")
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.dir, h.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.Command(program, "entry")
	h.cmd.Env = append(os.Environ(), "CUMINLOFT_BOOT="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	c.hosts = append(c.hosts, h)
	c.add("entry host %s started, process %d", h.name, h.cmd.Process.Pid)
	h.ended = make(chan struct{})
	go func() {
		_ = h.cmd.Wait() // how it ended does not matter
		close(h.ended)
	}()
	return nil
}

// close ends all processes and removes the files.
func (c *cell) close() {
	for _, h := range c.hosts {
		_ = h.cmd.Process.Kill() // it may have ended
		<-h.ended
	}
	_ = c.site.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// allUp reports whether no entry host has ended.
func (c *cell) allUp() bool {
	for _, h := range c.hosts {
		select {
		case <-h.ended:
			c.add("entry host %s has ended by itself", h.name)
			return false
		default:
		}
	}
	return true
}

// call makes a caller's request at a host.
func (c *cell) call(h *host, method, id, body string) (int, string) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+h.callers+platformtest.QueuePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = platformtest.QueueHost
	req.Header.Set("Api-Key", platformtest.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body) // a broken answer shows in the text
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in, at one host after the other until one accepts it.
func (c *cell) submit(id, body string, within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, h := range c.hosts {
			if status, text := c.call(h, http.MethodPost, id, body); status == http.StatusOK {
				c.add("job %s accepted by %s: %s", id, h.name, body)
				return true
			} else if status != http.StatusServiceUnavailable && status != 0 {
				c.add("job %s at %s: %d %s", id, h.name, status, text)
			}
		}
	}
	return false
}

// state returns the job's state as the first host that answers shows it.
func (c *cell) state(id string) string {
	for _, h := range c.hosts {
		status, text := c.call(h, http.MethodGet, id, "")
		var out struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal([]byte(text), &out) == nil:
			return out.State
		case status == http.StatusGone:
			return "410"
		}
	}
	return ""
}
