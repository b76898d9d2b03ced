package door

import (
	"net"
	"net/http"
	"sync"
)

// NewServer returns an HTTP server for h whose callers are bounded by l: the
// time to send headers, the size of headers and the time between requests. Time
// limits on bodies are the handlers' own.
func NewServer(h http.Handler, l Limits) *http.Server {
	l = l.withDefaults()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeaderBytes,
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
