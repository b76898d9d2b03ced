package cell

import (
	"net"
	"sync"
)

// gate cuts a worker off. While it is closed, no byte gets through in either direction;
// what is sent meanwhile is lost with its connection.
type gate struct {
	mu      sync.Mutex
	closed  int // cuts in force
	changed chan struct{}
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

// add begins a cut, or ends one. Cuts may overlap.
func (g *gate) add(cuts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed += cuts
	close(g.changed)
	g.changed = make(chan struct{})
}

// pass waits while the gate is closed and reports whether it was open all the while.
func (g *gate) pass() bool {
	for open := true; ; open = false {
		g.mu.Lock()
		closed, changed := g.closed > 0, g.changed
		g.mu.Unlock()
		if !closed {
			return open
		}
		<-changed
	}
}

// gatedListener is the listener of a worker behind a gate.
type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

// Read implements net.Conn.
func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.gate.pass() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c gatedConn) Write(b []byte) (int, error) {
	if !c.gate.pass() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}
