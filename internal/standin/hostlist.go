package standin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"cuminloft/internal/platform"
)

// HostList is the stand-in of the platform's lagging list of hosts.
type HostList struct {
	Faults

	mu      sync.Mutex
	lag     time.Duration
	changes []hostChange // oldest first
}

type hostChange struct {
	at   time.Time
	host platform.Host
	gone bool
}

// NewHostList returns a list that holds hosts and does not lag.
func NewHostList(hosts ...platform.Host) *HostList {
	l := &HostList{}
	for _, h := range hosts {
		l.changes = append(l.changes, hostChange{host: h})
	}
	return l
}

// SetLag sets how old the list's answers are.
func (l *HostList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds a host or changes its state.
func (l *HostList) Put(h platform.Host) { l.change(hostChange{at: time.Now(), host: h}) }

// Remove drops a host.
func (l *HostList) Remove(id string) {
	l.change(hostChange{at: time.Now(), host: platform.Host{ID: id}, gone: true})
}

// Hosts implements platform.HostList.
func (l *HostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	c, up, err := l.admit(ctx)
	if err != nil {
		return nil, fmt.Errorf("host list stand-in: %w: %w", platform.ErrUnavailable, err)
	}
	if !up || c.lose || l.Faults.Get().FailEverything {
		return nil, fmt.Errorf("host list stand-in: %w", platform.ErrUnavailable)
	}
	return l.seen(time.Now()), nil
}

// seen returns the list as it was lag ago, in order of host id.
func (l *HostList) seen(now time.Time) []platform.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	horizon := now.Add(-l.lag)
	byID := map[string]platform.Host{}
	for _, c := range l.changes {
		if c.at.After(horizon) {
			break
		}
		if c.gone {
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
