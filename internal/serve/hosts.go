package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/platform"
)

// Intervals of the host list's reader.
const (
	// hostsInterval separates two reads of the platform's host list.
	hostsInterval = 2 * time.Second
	// hostsTimeout bounds one read.
	hostsTimeout = 2 * time.Second
)

// hostWatch reads the platform's host list while this process owns a shard.
type hostWatch struct {
	list    platform.HostList
	wanted  func() bool // whether this process owns a shard
	log     logr.Logger
	leaving atomic.Pointer[map[string]bool]
}

func newHostWatch(list platform.HostList, wanted func() bool, log logr.Logger) *hostWatch {
	w := &hostWatch{list: list, wanted: wanted, log: log}
	w.leaving.Store(&map[string]bool{})
	return w
}

// isLeaving reports whether the newest list says that the host is leaving.
func (w *hostWatch) isLeaving(id string) bool { return (*w.leaving.Load())[id] }

// run reads the list until ctx ends. While it cannot be read the last one
// holds: a host that was leaving still is.
func (w *hostWatch) run(ctx context.Context) error {
	ticker := time.NewTicker(hostsInterval)
	defer ticker.Stop()
	failing := false
	for {
		if w.wanted() {
			err := w.read(ctx)
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

func (w *hostWatch) read(ctx context.Context) error {
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
