package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 40 * time.Second

// Process is one process that the harness started. It is signalled by its own
// id only.
type Process struct {
	Name string

	binary string
	args   []string
	log    string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the current run has ended
}

// NewProcess describes a process whose output is appended to a log in dir.
func NewProcess(dir, name, binary string, args ...string) *Process {
	return &Process{Name: name, binary: binary, args: args, log: filepath.Join(dir, name+".log")}
}

// Start starts the process unless it runs already.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	go func() {
		// How it ended is seen in its log; the harness kills most of them.
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	p.cmd = cmd
	p.ended = ended
	return nil
}

// running reports whether the current run has not ended. p.mu is held.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// PID returns the process id of the current run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	if ended := p.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

// Stop ends the process with SIGTERM, by SIGKILL if it takes too long, and
// reports whether it ended by itself.
func (p *Process) Stop() bool {
	ended := p.signal(syscall.SIGTERM)
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(stopTimeout):
		p.Kill()
		return false
	}
}

// Freeze stops the process from running until Thaw.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// signal sends s to the current run and returns the channel that tells of its
// end; nil if none runs.
func (p *Process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return nil
	}
	// A process that ends meanwhile needs no signal.
	_ = p.cmd.Process.Signal(s)
	return p.ended
}
