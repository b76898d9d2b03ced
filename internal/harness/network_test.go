package harness

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// echo listens on loopback and sends back the bytes that it reads.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func TestCutBuffersBytesOfOneLinkUntilHealed(t *testing.T) {
	is := is.New(t)
	n := NewNetwork()
	defer n.Close()
	n.AddNode("127.9.0.1", "a")
	n.AddNode("127.9.0.2", "b")
	addr, err := freeAddr("127.0.0.1")
	is.NoErr(err)
	is.NoErr(n.Forward(addr, "target", echo(t)))
	n.Cut("a", "target", true)

	exchange := func(ip string) <-chan string {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		c, err := dialer.Dial("tcp", addr)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = c.Write([]byte("hello"))
		is.NoErr(err)
		got := make(chan string, 1)
		go func() {
			buf := make([]byte, 5)
			k, _ := io.ReadFull(c, buf)
			got <- string(buf[:k])
		}()
		return got
	}
	held := exchange("127.9.0.1")
	is.Equal(<-exchange("127.9.0.2"), "hello")
	select {
	case <-held:
		t.Fatal("bytes passed a cut link")
	default:
	}
	n.Cut("a", "target", false)
	is.Equal(<-held, "hello")
	is.Equal(n.Bytes("a", "target"), int64(5))
}
