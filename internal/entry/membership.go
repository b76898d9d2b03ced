package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
)

// Parameters of the membership rows.
const (
	memberTable = "hosts"
	// minRenewalInterval is the minimum interval at which a host rewrites its row and reads
	// the other hosts' rows. The interval is also at least renewalIntervalPerHost times
	// the number of hosts, since the number of rows that all hosts read grows with the
	// square of that number.
	minRenewalInterval     = 3 * time.Second
	renewalIntervalPerHost = 40 * time.Millisecond
	// failureRenewals is the number of renewal intervals, by the reader's monotonic clock,
	// after which the host of an unchanged row counts as gone.
	failureRenewals = 3.4
	// rowRemovalAge is the age of an unchanged row after which any host removes it.
	rowRemovalAge = time.Minute
	// unknownRank is the rank of a host that has not read the other hosts' rows yet.
	unknownRank = 20
	// undersizedFactor is the ratio of two hosts' shares of a core from which the host with
	// the smaller share counts as undersized.
	undersizedFactor = 1.5
)

// hostRow is the stored row of an entry host.
type hostRow struct {
	Address   string  `json:"address"` // of its RPC listener
	AZ        string  `json:"az"`
	CoreShare float64 `json:"share"`   // of a core that the process may use
	Started   int64   `json:"started"` // start of the process in Unix milliseconds
	Renewed   int64   `json:"renewed"` // number of renewals
}

// peer is an entry host as read from its row.
type peer struct {
	Host string
	hostRow
	version   int64
	changedAt time.Time // when a change of the row was last read, or the row was first read
	renewedAt time.Time // when a change of the row was last read; zero if there was none
}

// membership renews this host's row and tracks the other hosts.
type membership struct {
	store platform.Store
	host  string
	self  hostRow
	log   logr.Logger
	// rejected records the rows that cannot be decoded.
	rejected *platform.RejectedRows

	mu     sync.Mutex
	peers  map[string]*peer
	readAt time.Time // when the rows were last read
}

func newMembership(store platform.Store, host string, self hostRow, log logr.Logger) *membership {
	return &membership{store: store, host: host, self: self, log: log, peers: map[string]*peer{}}
}

// run renews and reads rows until ctx ends.
func (m *membership) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := m.renew(ctx); err != nil {
			m.log.V(1).Info("own host row not renewed", "cause", err.Error())
		}
		if err := m.read(ctx); err != nil {
			m.log.V(1).Info("host rows not read", "cause", err.Error())
		}
		_ = wait.For(ctx, m.renewInterval()) // the loop ends with ctx
	}
	return ctx.Err()
}

// renewInterval returns the interval at which this host renews its row.
func (m *membership) renewInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return renewIntervalFor(len(m.peers))
}

// renewIntervalFor returns the interval at which each of a number of hosts renews its row.
func renewIntervalFor(hosts int) time.Duration {
	return max(minRenewalInterval, time.Duration(hosts)*renewalIntervalPerHost)
}

// failureTimeout returns the time after which the host of an unchanged row counts as gone.
func (m *membership) failureTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return failureTimeoutFor(len(m.peers))
}

// failureTimeoutFor is failureTimeout for a number of hosts.
func failureTimeoutFor(hosts int) time.Duration {
	return time.Duration(failureRenewals * float64(renewIntervalFor(hosts)))
}

func (m *membership) renew(ctx context.Context) error {
	m.self.Renewed++
	value, err := json.Marshal(m.self)
	if err != nil {
		return fmt.Errorf("own host row cannot be encoded: %w", err)
	}
	call, cancel := context.WithTimeout(ctx, minRenewalInterval)
	defer cancel()
	_, err = m.store.Commit(call, platform.Tx{Puts: []platform.PartitionRow{{Table: memberTable, Key: m.host, Value: value}}})
	return err
}

// leave removes this host's row.
func (m *membership) leave(ctx context.Context) error {
	_, err := m.store.Commit(ctx, platform.Tx{Removes: []platform.PartitionRow{{Table: memberTable, Key: m.host}}})
	return err
}

func (m *membership) read(ctx context.Context) error {
	rows, _, err := platform.ScanAll(ctx, m.store, memberTable, "")
	if err != nil {
		return err
	}
	now := time.Now()
	var removable []*peer
	m.mu.Lock()
	m.readAt = now
	listed := map[string]bool{}
	for _, r := range rows {
		listed[r.Key] = true
		p := m.peers[r.Key]
		if p == nil {
			p = &peer{Host: r.Key}
			m.peers[r.Key] = p
		}
		if p.version == r.Version {
			if now.Sub(p.changedAt) > rowRemovalAge {
				removable = append(removable, p)
			}
			continue
		}
		if err := json.Unmarshal(r.Value, &p.hostRow); err != nil {
			m.rejected.Add(r, err)
			delete(m.peers, r.Key)
			continue
		}
		if p.version != 0 {
			p.renewedAt = now
		}
		p.version, p.changedAt = r.Version, now
	}
	for host := range m.peers {
		if !listed[host] {
			delete(m.peers, host)
		}
	}
	m.mu.Unlock()
	return m.remove(ctx, removable)
}

// remove removes the rows of hosts that are gone.
func (m *membership) remove(ctx context.Context, gone []*peer) error {
	for _, p := range gone {
		_, err := m.store.Commit(ctx, platform.Tx{
			Conditions: []platform.Condition{{Table: memberTable, Key: p.Host, Version: p.version}},
			Removes:    []platform.PartitionRow{{Table: memberTable, Key: p.Host}},
		})
		if err != nil {
			return fmt.Errorf("row of host %s not removed: %w", p.Host, err)
		}
		m.log.Info("row of a host that is gone removed", "host", p.Host, "silent for", time.Since(p.changedAt))
	}
	return nil
}

// rank returns the number of live hosts that are preferred to this one as the
// coordinator: those with a larger share of a core and, with the same share, those that
// started later. Where hosts are restarted in turn, the latest to start is the least
// likely to stop soon.
func (m *membership) rank() int {
	if !m.hasRead() {
		return unknownRank
	}
	n := 0
	for _, p := range m.others() {
		if p.preferredTo(&m.self, p.Host, m.host) {
			n++
		}
	}
	return n
}

// hasRead reports whether the other hosts' rows have been read.
func (m *membership) hasRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.readAt.IsZero()
}

// undersized reports whether another live host has a much larger share of a core.
func (m *membership) undersized() bool {
	for _, p := range m.others() {
		if p.muchLarger(&m.self) {
			return true
		}
	}
	return false
}

// muchLarger reports whether the host of row a has a much larger share of a core than that
// of row b.
func (a *hostRow) muchLarger(b *hostRow) bool {
	return a.CoreShare > b.CoreShare && a.CoreShare >= undersizedFactor*b.CoreShare
}

// largerHostUp reports whether a host with a much larger share of a core is known to be up:
// its row was seen to change a short time ago. A coordinator that yields to a host that is
// gone leaves the cell without one until another takeover.
func (m *membership) largerHostUp() bool {
	for _, p := range m.others() {
		if p.muchLarger(&m.self) && time.Since(p.renewedAt) < m.failureTimeout() {
			return true
		}
	}
	return false
}

// preferredTo reports whether the host of row a is preferred to that of row b as the
// coordinator. host and other are the names of the two hosts, in this order; they decide
// between rows with the same share of a core and the same start.
func (a *hostRow) preferredTo(b *hostRow, host, other string) bool {
	if a.CoreShare != b.CoreShare {
		return a.CoreShare > b.CoreShare
	}
	if a.Started != b.Started {
		return a.Started > b.Started
	}
	return host < other
}

// others returns the other live entry hosts, those of this host's AZ first. While the
// rows cannot be read, no further host counts as gone.
func (m *membership) others() []peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	failureTimeout := failureTimeoutFor(len(m.peers))
	var out []peer
	for _, p := range m.peers {
		if p.Host != m.host && m.readAt.Sub(p.changedAt) < failureTimeout {
			out = append(out, *p)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		if aLocal, bLocal := out[a].AZ == m.self.AZ, out[b].AZ == m.self.AZ; aLocal != bLocal {
			return aLocal
		}
		return out[a].Host < out[b].Host
	})
	return out
}
