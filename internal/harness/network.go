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

// link is the direction from one node to another.
type link struct{ from, to string }

// Network is the links between the processes. Each process dials from an IP
// address of its own, by which a forwarder knows whose connection it carries.
type Network struct {
	mu    sync.Mutex
	names map[string]string // node by IP address
	cut   map[link]bool
	heal  *sync.Cond
	bytes map[link]*atomic.Int64
	stop  bool
	open  []io.Closer
}

// NewNetwork returns a network without nodes.
func NewNetwork() *Network {
	n := &Network{names: map[string]string{}, cut: map[link]bool{}, bytes: map[link]*atomic.Int64{}}
	n.heal = sync.NewCond(&n.mu)
	return n
}

// Name tells which node dials from an IP address.
func (n *Network) Name(ip, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[ip] = node
}

// Cut cuts or heals the link between two nodes in both directions. Bytes sent
// over a cut link are held and delivered late, as by TCP.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{a, b}] = cut
	n.cut[link{b, a}] = cut
	n.heal.Broadcast()
}

// HealAll restores every link.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.heal.Broadcast()
}

// Bytes returns how many bytes went from one node to another so far.
func (n *Network) Bytes(from, to string) int64 { return n.counter(link{from, to}).Load() }

// Forward listens at listen and forwards to the node to at target.
func (n *Network) Forward(listen, to, target string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	n.hold(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.carry(c, to, target)
		}
	}()
	return nil
}

// Close ends all forwarding.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop = true
	n.heal.Broadcast()
	for _, c := range n.open {
		_ = c.Close()
	}
}

// carry joins one connection to the target, both ways.
func (n *Network) carry(c net.Conn, to, target string) {
	defer func() { _ = c.Close() }()
	from := n.node(c.RemoteAddr())
	if !n.passable(link{from, to}) {
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
		n.copy(c, t, link{to, from})
	}()
	n.copy(t, c, link{from, to})
	<-done
}

// copy moves bytes over a link until either side ends.
func (n *Network) copy(dst, src net.Conn, l link) {
	defer func() { _ = dst.Close() }()
	defer func() { _ = src.Close() }()
	count := n.counter(l)
	buf := make([]byte, 32<<10)
	for {
		k, err := src.Read(buf)
		if k > 0 {
			if !n.passable(l) {
				return
			}
			// Counted first: who reads the bytes may ask for the count at once.
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

// passable waits while a link is cut; false if the network was closed.
func (n *Network) passable(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cut[l] && !n.stop {
		n.heal.Wait()
	}
	return !n.stop
}

func (n *Network) node(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[host]
}

func (n *Network) counter(l link) *atomic.Int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bytes[l] == nil {
		n.bytes[l] = new(atomic.Int64)
	}
	return n.bytes[l]
}

func (n *Network) hold(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = append(n.open, c)
}

// Ports that freeAddr hands out, below the range from which the system takes the
// ports of outgoing connections.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// nextPort is the port that freeAddr tries next.
var nextPort atomic.Int64

// freeAddr returns an address at ip that nothing listens on. No port is handed
// out twice before all were.
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
