package door

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// NewServer returns an HTTP server for h that applies these limits of l: the time to send
// headers, the size of headers, the time between requests, and the number of idle
// connections. The handlers apply the time limits for bodies.
func NewServer(h http.Handler, l Limits) *http.Server {
	l = l.withDefaults()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ConnState:         newIdleLimit(l.MaxIdleConnections).connState,
	}
}

// LimitListener returns a listener that immediately closes accepted connections beyond
// Limits.MaxConnections, so that the open connections continue to be served.
func LimitListener(inner net.Listener, l Limits) net.Listener {
	l = l.withDefaults()
	return &limitListener{Listener: inner, slots: make(chan struct{}, l.MaxConnections)}
}

type limitListener struct {
	net.Listener
	slots chan struct{} // one element for each open connection
}

// Accept returns the next connection that is within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			gaugeConns.Add(1)
			return &limitedConn{Conn: c, slots: l.slots}, nil
		default:
			countConnOver.Add(1)
			_ = c.Close()
		}
	}
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close closes the connection and frees its slot, once.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		gaugeConns.Add(-1)
		<-c.slots
	})
	return c.Conn.Close()
}

// idleLimit closes the connections that have been idle longest when there are more than
// max idle connections, because net/http keeps buffers and a stack for each of them.
type idleLimit struct {
	max int

	mu       sync.Mutex
	idle     *list.List                 // of net.Conn, longest idle first
	elements map[net.Conn]*list.Element // elements of idle
}

func newIdleLimit(most int) *idleLimit {
	return &idleLimit{max: most, idle: list.New(), elements: make(map[net.Conn]*list.Element)}
}

// connState is an http.Server's ConnState hook.
func (l *idleLimit) connState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, idle := l.elements[c]; idle {
		l.idle.Remove(e)
		delete(l.elements, c)
	}
	if s != http.StateIdle {
		return
	}
	l.elements[c] = l.idle.PushBack(c)
	if l.idle.Len() <= l.max {
		return
	}
	longest := l.idle.Front()
	oldest := l.idle.Remove(longest).(net.Conn)
	delete(l.elements, oldest)
	countIdleClosed.Add(1)
	_ = oldest.Close()
}
