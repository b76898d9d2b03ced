package harness

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
)

// link is one direction between two nodes.
type link struct{ from, to string }

// Network is the links between the processes. Each process dials from an IP address of
// its own, by which a forwarder knows the node that opened a connection.
type Network struct {
	mu      sync.Mutex
	nodes   map[string]string // node names by IP address
	cut     map[link]bool
	changed *sync.Cond
	bytes   map[link]*atomic.Int64
	closed  bool
	open    []io.Closer
}

// NewNetwork returns a network without nodes.
func NewNetwork() *Network {
	n := &Network{nodes: map[string]string{}, cut: map[link]bool{}, bytes: map[link]*atomic.Int64{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// AddNode registers the node that dials from an IP address.
func (n *Network) AddNode(ip, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[ip] = node
}

// Cut cuts or heals the link between two nodes in both directions. Bytes sent over a
// cut link are buffered and delivered after it heals, as by TCP.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{a, b}] = cut
	n.cut[link{b, a}] = cut
	n.changed.Broadcast()
}

// HealAll heals every link.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.changed.Broadcast()
}

// Bytes returns the number of bytes forwarded from one node to another so far.
func (n *Network) Bytes(from, to string) int64 { return n.counter(link{from, to}).Load() }

// Forward listens at listen and forwards connections to target, the address of the node
// to.
func (n *Network) Forward(listen, to, target string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	n.track(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.forwardConn(c, to, target)
		}
	}()
	return nil
}

// Close closes the listeners and ends all forwarding.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.changed.Broadcast()
	for _, c := range n.open {
		_ = c.Close()
	}
}

// forwardConn forwards one connection to the target in both directions.
func (n *Network) forwardConn(c net.Conn, to, target string) {
	defer func() { _ = c.Close() }()
	from := n.nodeOf(c.RemoteAddr())
	if !n.awaitHealed(link{from, to}) {
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.copyBytes(c, t, link{to, from})
	}()
	n.copyBytes(t, c, link{from, to})
	<-done
}

// copyBytes copies bytes over a link until either side closes.
func (n *Network) copyBytes(dst, src net.Conn, l link) {
	defer func() { _ = dst.Close() }()
	defer func() { _ = src.Close() }()
	count := n.counter(l)
	buf := make([]byte, 32<<10)
	for {
		k, err := src.Read(buf)
		if k > 0 {
			if !n.awaitHealed(l) {
				return
			}
			// Counts before the write, since the reader of the bytes may read the
			// counter at once.
			count.Add(int64(k))
			if _, werr := dst.Write(buf[:k]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitHealed blocks while a link is cut. It returns false if the network was closed.
func (n *Network) awaitHealed(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cut[l] && !n.closed {
		n.changed.Wait()
	}
	return !n.closed
}

func (n *Network) nodeOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[host]
}

func (n *Network) counter(l link) *atomic.Int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bytes[l] == nil {
		n.bytes[l] = new(atomic.Int64)
	}
	return n.bytes[l]
}

func (n *Network) track(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = append(n.open, c)
}

// Ports that freeAddr returns. They are below the range from which the system assigns
// the ports of outgoing connections.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// nextPort is the offset of the port that freeAddr tries next.
var nextPort atomic.Int64

// freeAddr returns an address at ip where nothing listens. It returns a port again only
// after it tried all others.
func freeAddr(ip string) (string, error) {
	for range lastPort - firstPort {
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%(lastPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.FormatInt(port, 10)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", fmt.Errorf("no free port at %s", ip)
}
