package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin"
)

func TestLeavingHostsStayKnownDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := standin.NewHostList()
		owns := true
		w := newHostListReader(list, func() bool { return owns }, logr.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.run(ctx) }()

		list.Put(platform.Host{ID: "w1", State: platform.HostLive})
		time.Sleep(2 * hostsInterval)
		is.True(!w.isLeaving("w1"))
		list.Put(platform.Host{ID: "w1", State: platform.HostLeaving})
		time.Sleep(2 * hostsInterval)
		is.True(w.isLeaving("w1"))

		list.Set(standin.FaultSet{Down: true})
		time.Sleep(10 * hostsInterval)
		is.True(w.isLeaving("w1"))

		cancel()
		is.NoErr(<-done)
	})
}
