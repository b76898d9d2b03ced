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

// unresponsiveTable never answers.
type unresponsiveTable struct{}

func (unresponsiveTable) Get(ctx context.Context, _ string) (platform.Row, error) {
	<-ctx.Done()
	return platform.Row{}, ctx.Err()
}

func (unresponsiveTable) Range(ctx context.Context, _, _ string, _ int) ([]platform.Row, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unresponsiveTable) Apply(ctx context.Context, _ []platform.Write) ([]int64, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// While the table does not answer, each poll lasts until its timeout, which is as long as
// the poll interval. The last failed poll must never be older than FreshFor, or EnsureFresh
// polls again and waits for the timeout: this delayed EnsureFresh by one second in
// TestTableOutage, in one of six runs.
func TestUnresponsiveTableIsPolledWithinFreshFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := New(Options{Host: "h", Table: unresponsiveTable{}, Peers: noPeers{}, Log: logr.Discard()})
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		time.Sleep(2 * PollTimeout)
		for range 6000 {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(s.lastPolls.Load().failed); age > FreshFor {
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

// noPeers implements Peers without any peer.
type noPeers struct{}

func (noPeers) Peers() []Peer { return nil }

func (noPeers) Confirmations() []*rpc.ShardDigest { return nil }
