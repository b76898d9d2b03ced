package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/platform"
)

const (
	// hostsInterval is the interval between reads of the platform's host list.
	hostsInterval = 2 * time.Second
	// hostsTimeout bounds one read of the host list.
	hostsTimeout = 2 * time.Second
)

// hostListReader polls the platform's host list while this process owns a shard.
type hostListReader struct {
	list      platform.HostList
	ownsShard func() bool // whether this process owns a shard
	log       logr.Logger
	leaving   atomic.Pointer[map[string]bool]
}

func newHostListReader(list platform.HostList, wanted func() bool, log logr.Logger) *hostListReader {
	w := &hostListReader{list: list, ownsShard: wanted, log: log}
	w.leaving.Store(&map[string]bool{})
	return w
}

// isLeaving reports whether the host is leaving according to the last list read.
func (w *hostListReader) isLeaving(id string) bool { return (*w.leaving.Load())[id] }

// run polls the list until ctx ends. While reads fail, the last list that was read stays
// in use, so that a host once seen as leaving still counts as leaving.
func (w *hostListReader) run(ctx context.Context) error {
	ticker := time.NewTicker(hostsInterval)
	defer ticker.Stop()
	failing := false
	for {
		if w.ownsShard() {
			err := w.readList(ctx)
			if (err != nil) != failing {
				failing = err != nil
				w.log.Info("host list", "readable", !failing)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (w *hostListReader) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	hosts, err := w.list.Hosts(ctx)
	if err != nil {
		return err
	}
	leaving := map[string]bool{}
	for _, h := range hosts {
		if h.State == platform.HostLeaving {
			leaving[h.ID] = true
		}
	}
	w.leaving.Store(&leaving)
	return nil
}
