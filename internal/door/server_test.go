package door

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestIdleLimitClosesTheLongestIdle(t *testing.T) {
	is := is.New(t)
	l := newIdleLimit(2)
	var conns [4]*countedConn
	for i := range conns {
		served := &countedConn{}
		conns[i] = served
		l.connState(served, http.StateActive)
		l.connState(served, http.StateIdle)
		if i == 1 {
			l.connState(served, http.StateActive) // in use again: not idle
		}
	}
	is.Equal(conns[0].closed, 1)
	is.Equal(conns[1].closed, 0)
	is.Equal(conns[2].closed, 0)
	is.Equal(conns[3].closed, 0)
}

// countedConn counts the calls of Close.
type countedConn struct {
	net.Conn
	closed int
}

func (c *countedConn) Close() error {
	c.closed++
	return nil
}

func TestLimitListenerClosesConnectionsOverTheLimit(t *testing.T) {
	is := is.New(t)
	inner := newPipeListener()
	l := LimitListener(inner, Limits{MaxConnections: 1})
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	_, err := inner.dial(t.Context())
	is.NoErr(err)
	first := <-accepted
	over, err := inner.dial(t.Context())
	is.NoErr(err)
	_, err = over.Read(make([]byte, 1))
	is.True(err != nil) // closed immediately
	is.NoErr(first.Close())
	is.NoErr(first.Close()) // frees one slot, not two
	_, err = inner.dial(t.Context())
	is.NoErr(err)
	<-accepted
	is.NoErr(l.Close())
}
