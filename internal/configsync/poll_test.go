package configsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
)

// silentTable answers nothing.
type silentTable struct{}

func (silentTable) Get(ctx context.Context, _ string) (platform.Row, error) {
	<-ctx.Done()
	return platform.Row{}, ctx.Err()
}

func (silentTable) Range(ctx context.Context, _, _ string, _ int) ([]platform.Row, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silentTable) Apply(ctx context.Context, _ []platform.Write) ([]int64, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// While the table is silent each poll lasts as long as the interval between
// two. A failed poll must stay recent enough that Fresh never waits for another:
// that is what delayed Fresh by a second in TestTableOutage, once in six runs.
func TestSilentTableIsPolledWithinFreshFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := New(Options{Host: "h", Table: silentTable{}, Peers: noPeers{}, Log: logr.Discard()})
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		time.Sleep(2 * PollTimeout)
		for range 6000 {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(s.polled.Load().failed); age > FreshFor {
				t.Errorf("last failed poll began %v ago", age)
				break
			}
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// noPeers is a host alone.
type noPeers struct{}

func (noPeers) Peers() []Peer { return nil }

func (noPeers) Confirmations() []*rpc.ShardDigest { return nil }
