package standin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"cuminloft/internal/platform"
)

// HostList is the stand-in of the platform's list of hosts, which lags behind the
// changes.
type HostList struct {
	Faults

	mu      sync.Mutex
	lag     time.Duration
	changes []hostChange // oldest first
}

type hostChange struct {
	at      time.Time
	host    platform.Host
	removed bool
}

// NewHostList returns a list of the given hosts, without lag.
func NewHostList(hosts ...platform.Host) *HostList {
	l := &HostList{}
	for _, h := range hosts {
		l.changes = append(l.changes, hostChange{host: h})
	}
	return l
}

// SetLag sets how far the list lags behind the changes.
func (l *HostList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds a host or changes its state.
func (l *HostList) Put(h platform.Host) { l.change(hostChange{at: time.Now(), host: h}) }

// Remove removes a host.
func (l *HostList) Remove(id string) {
	l.change(hostChange{at: time.Now(), host: platform.Host{ID: id}, removed: true})
}

// Hosts implements platform.HostList.
func (l *HostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	c, up, err := l.beginCall(ctx)
	if err != nil {
		return nil, fmt.Errorf("host list stand-in: %w: %w", platform.ErrUnavailable, err)
	}
	if !up || c.loseReply || l.Faults.Get().FailEverything {
		return nil, fmt.Errorf("host list stand-in: %w", platform.ErrUnavailable)
	}
	return l.hostsAt(time.Now()), nil
}

// hostsAt returns the list as of now minus the lag, by host id.
func (l *HostList) hostsAt(now time.Time) []platform.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	horizon := now.Add(-l.lag)
	byID := map[string]platform.Host{}
	for _, c := range l.changes {
		if c.at.After(horizon) {
			break
		}
		if c.removed {
			delete(byID, c.host.ID)
			continue
		}
		byID[c.host.ID] = c.host
	}
	hosts := make([]platform.Host, 0, len(byID))
	for _, h := range byID {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}

func (l *HostList) change(c hostChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, c)
}
