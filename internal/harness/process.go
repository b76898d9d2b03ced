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

// Process is one process that the harness started. The harness signals it by its
// process id only.
type Process struct {
	Name string

	binary  string
	args    []string
	logPath string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the current run has ended
}

// NewProcess returns a process, not started yet, whose output is appended to a log in
// dir.
func NewProcess(dir, name, binary string, args ...string) *Process {
	return &Process{Name: name, binary: binary, args: args, logPath: filepath.Join(dir, name+".log")}
}

// Start starts the process unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	go func() {
		// The exit status is ignored: the harness kills most processes, and the log
		// shows why another one ended.
		_ = cmd.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	p.cmd = cmd
	p.ended = ended
	return nil
}

// running reports whether the current run has not ended. The caller holds p.mu.
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

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	if ended := p.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

// Stop sends SIGTERM, and SIGKILL after stopTimeout. It reports whether the process
// ended by itself.
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

// Freeze suspends the process until Unfreeze.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Unfreeze resumes a frozen process.
func (p *Process) Unfreeze() { p.signal(syscall.SIGCONT) }

// signal sends s to the current run and returns the channel that closes when the run
// ends, or nil if none runs.
func (p *Process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return nil
	}
	// An error means that the process has ended meanwhile and needs no signal.
	_ = p.cmd.Process.Signal(s)
	return p.ended
}
