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

// Membership.
const (
	memberTable = "hosts"
	// memberRenewal is how often a host rewrites its row and reads the others', at
	// least memberSpacing times the number of hosts: all rows that all hosts read
	// grow with the square of their number.
	memberRenewal = 3 * time.Second
	memberSpacing = 40 * time.Millisecond
	// memberSilence renewals may pass, by the reader's steady clock, before the host
	// of a row that stays unchanged counts as gone.
	memberSilence = 3.4
	// memberRemoval is when the row of a host that is gone is removed.
	memberRemoval = time.Minute
	// unknownRank is the rank of a host that does not know the others yet.
	unknownRank = 20
	// dwarfedFactor times a host's share of a core is much larger.
	dwarfedFactor = 1.5
)

// member is the stored form of an entry host.
type member struct {
	Address string  `json:"address"` // of its RPC listener
	AZ      string  `json:"az"`
	Share   float64 `json:"share"`   // of a core that the host gives its process
	Started int64   `json:"started"` // Unix milliseconds of the process's start
	Renewed int64   `json:"renewed"` // counts its renewals
}

// peer is another entry host.
type peer struct {
	Host string
	member
	version int64
	seen    time.Time // when the row last changed
}

// members keeps this host's row and knows the other hosts.
type members struct {
	store platform.Store
	host  string
	self  member
	log   logr.Logger

	mu     sync.Mutex
	peers  map[string]*peer
	readAt time.Time // of the latest read that succeeded
}

func newMembers(store platform.Store, host string, self member, log logr.Logger) *members {
	return &members{store: store, host: host, self: self, log: log, peers: map[string]*peer{}}
}

// run renews and reads rows until ctx ends.
func (m *members) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := m.renew(ctx); err != nil {
			m.log.V(1).Info("host's row not renewed", "cause", err.Error())
		}
		if err := m.read(ctx); err != nil {
			m.log.V(1).Info("hosts' rows not read", "cause", err.Error())
		}
		_ = wait.For(ctx, m.renewal()) // the loop ends with ctx
	}
	return ctx.Err()
}

// renewal returns how often this host renews its row.
func (m *members) renewal() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return renewalOf(len(m.peers))
}

// renewalOf returns how often each of so many hosts renews its row.
func renewalOf(hosts int) time.Duration {
	return max(memberRenewal, time.Duration(hosts)*memberSpacing)
}

func (m *members) renew(ctx context.Context) error {
	m.self.Renewed++
	value, err := json.Marshal(m.self)
	if err != nil {
		return fmt.Errorf("host's row cannot be encoded: %w", err)
	}
	call, cancel := context.WithTimeout(ctx, memberRenewal)
	defer cancel()
	_, err = m.store.Commit(call, platform.Tx{Puts: []platform.PartitionRow{{Table: memberTable, Key: m.host, Value: value}}})
	return err
}

// leave removes this host's row.
func (m *members) leave(ctx context.Context) error {
	_, err := m.store.Commit(ctx, platform.Tx{Removes: []platform.PartitionRow{{Table: memberTable, Key: m.host}}})
	return err
}

func (m *members) read(ctx context.Context) error {
	rows, _, err := platform.ScanAll(ctx, m.store, memberTable, "")
	if err != nil {
		return err
	}
	now := time.Now()
	var expired []*peer
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
			if now.Sub(p.seen) > memberRemoval {
				expired = append(expired, p)
			}
			continue
		}
		if err := json.Unmarshal(r.Value, &p.member); err != nil {
			m.log.Error(err, "row of a host ignored", "host", r.Key)
			delete(m.peers, r.Key)
			continue
		}
		p.version, p.seen = r.Version, now
	}
	for host := range m.peers {
		if !listed[host] {
			delete(m.peers, host)
		}
	}
	m.mu.Unlock()
	return m.remove(ctx, expired)
}

// remove drops the rows of hosts that are gone.
func (m *members) remove(ctx context.Context, gone []*peer) error {
	for _, p := range gone {
		_, err := m.store.Commit(ctx, platform.Tx{
			Conditions: []platform.Condition{{Table: memberTable, Key: p.Host, Version: p.version}},
			Removes:    []platform.PartitionRow{{Table: memberTable, Key: p.Host}},
		})
		if err != nil {
			return fmt.Errorf("row of host %s not removed: %w", p.Host, err)
		}
		m.log.Info("host's row removed", "host", p.Host, "silent for", time.Since(p.seen))
	}
	return nil
}

// rank returns how many live hosts should coordinate rather than this one: those
// with a larger share of a core, and of the same share those that started later.
// Where hosts are restarted in turn, the latest is the least likely to stop soon.
func (m *members) rank() int {
	if !m.known() {
		return unknownRank
	}
	n := 0
	for _, p := range m.others() {
		if p.before(&m.self, p.Host, m.host) {
			n++
		}
	}
	return n
}

// known reports whether the other hosts' rows have been read.
func (m *members) known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.readAt.IsZero()
}

// dwarfed reports whether a live host has a much larger share of a core.
func (m *members) dwarfed() bool {
	for _, p := range m.others() {
		if p.Share >= dwarfedFactor*m.self.Share {
			return true
		}
	}
	return false
}

// before reports whether a host should coordinate rather than another.
func (a *member) before(b *member, host, other string) bool {
	if a.Share != b.Share {
		return a.Share > b.Share
	}
	if a.Started != b.Started {
		return a.Started > b.Started
	}
	return host < other
}

// others returns the live entry hosts but this one, those of its own AZ first.
// While the rows cannot be read nobody counts as gone.
func (m *members) others() []peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	silence := time.Duration(memberSilence * float64(renewalOf(len(m.peers))))
	var out []peer
	for _, p := range m.peers {
		if p.Host != m.host && m.readAt.Sub(p.seen) < silence {
			out = append(out, *p)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		if near, far := out[a].AZ == m.self.AZ, out[b].AZ == m.self.AZ; near != far {
			return near
		}
		return out[a].Host < out[b].Host
	})
	return out
}
