package door

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// NewServer returns an HTTP server for h whose callers are bounded by l: the
// time to send headers, the size of headers, the time between requests, and the
// number of connections that wait for their next request. Time
// limits on bodies are the handlers' own.
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

// LimitListener returns a listener that closes connections beyond
// Limits.MaxConnections as soon as they are accepted, so that open ones are
// served on.
func LimitListener(inner net.Listener, l Limits) net.Listener {
	l = l.withDefaults()
	return &limitListener{Listener: inner, slots: make(chan struct{}, l.MaxConnections)}
}

type limitListener struct {
	net.Listener
	slots chan struct{} // one element for each open connection
}

// Accept returns the next connection within the limit.
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

// limitedConn gives its slot back when it is closed.
type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close closes the connection and gives its slot back once.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		gaugeConns.Add(-1)
		<-c.slots
	})
	return c.Conn.Close()
}

// idleLimit closes the connections that have waited longest for their next
// request when there are too many: net/http keeps buffers and a stack for each.
type idleLimit struct {
	max int

	mu       sync.Mutex
	idle     *list.List                 // of net.Conn, the longest idle first
	elements map[net.Conn]*list.Element // in order
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
