package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminloft/internal/workload"
)

func campaign(hosts, atOnce int, within time.Duration) workload.Maintenance {
	m := workload.Maintenance{ID: 1, MaxConcurrent: atOnce, Window: within}
	for i := range hosts {
		m.Hosts = append(m.Hosts, fmt.Sprint("h", i))
	}
	return m
}

// An empty host is taken at once; one with tasks first runs them to their end,
// then loses them.
func TestHostsAreEmptiedFirst(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(0)
	c := New(campaign(2, 1, 40*time.Second), nil, now)
	hosts := map[string]Host{"h0": {Up: true, Worker: "w0", Tasks: 2}, "h1": {Up: true, Worker: "w1"}}
	p := c.Next(hosts, now)
	is.Equal(p.Order, []string{"h1"})
	is.Equal(p.Cordon, []string{"w1"}) // one at once
	c.Began("h1", "w1", now)
	p = c.Next(hosts, now.Add(time.Second))
	is.Equal(len(p.Cordon), 0) // h1 is still shown with its old worker
	hosts["h1"] = Host{Up: true, Worker: "w1-new"}
	p = c.Next(hosts, now.Add(2*time.Second))
	is.Equal(p.Cordon, []string{"w0"})
	is.Equal(len(p.Order)+len(p.Vacate), 0)
	p = c.Next(hosts, now.Add(13*time.Second))
	is.Equal(p.Vacate, []string{"w0"})
	hosts["h0"] = Host{Up: true, Worker: "w0"}
	is.Equal(c.Next(hosts, now.Add(14*time.Second)).Order, []string{"h0"})
	c.Began("h0", "w0", now.Add(14*time.Second))
	is.True(!c.Next(hosts, now.Add(15*time.Second)).Completed)
	hosts["h0"] = Host{Up: true, Worker: "w0-new"}
	is.True(c.Next(hosts, now.Add(16*time.Second)).Completed)
}

// At no time more hosts are down than allowed, every host that stays has its turn,
// and only then the campaign is completed. A successor in the middle knows what
// was stored.
func TestCampaigns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "hosts")
		atOnce := rapid.IntRange(1, 4).Draw(t, "at once")
		now := time.UnixMilli(0)
		m := campaign(n, atOnce, 30*time.Second)
		c := New(m, nil, now)
		hosts := map[string]Host{}
		back := map[string]time.Time{}
		began := map[string]bool{}
		for _, h := range m.Hosts {
			hosts[h] = Host{Up: true, Worker: h + "-0", Tasks: rapid.IntRange(0, 5).Draw(t, "tasks")}
		}
		for range 2000 {
			now = now.Add(500 * time.Millisecond)
			for h, at := range back {
				if now.After(at) {
					delete(back, h)
					w := hosts[h].Worker
					if rapid.Bool().Draw(t, "new ID") {
						w += "+"
					}
					hosts[h] = Host{Up: true, Worker: w}
				}
			}
			if rapid.IntRange(0, 40).Draw(t, "takeover") == 0 {
				c = New(m, c.Begun(), now)
			}
			if h := m.Hosts[rapid.IntRange(0, n-1).Draw(t, "host")]; rapid.IntRange(0, 200).Draw(t, "gone") == 0 && hosts[h].Up {
				delete(hosts, h)
			}
			p := c.Next(hosts, now)
			for h, v := range hosts {
				for _, w := range p.Vacate {
					if v.Worker == w && v.Tasks > 0 {
						v.Tasks--
						hosts[h] = v
					}
				}
			}
			for _, h := range p.Order {
				if hosts[h].Tasks > 0 {
					t.Fatalf("%s is ordered down with %d tasks", h, hosts[h].Tasks)
				}
				c.Began(h, hosts[h].Worker, now)
				began[h] = true
				hosts[h] = Host{Worker: hosts[h].Worker}
				back[h] = now.Add(2 * time.Second)
			}
			if len(back) > atOnce {
				t.Fatalf("%d hosts are down, allowed are %d", len(back), atOnce)
			}
			if p.Completed {
				for _, h := range m.Hosts {
					if _, stays := hosts[h]; stays && !began[h] {
						t.Fatalf("completed without %s", h)
					}
				}
				return
			}
		}
		t.Fatal("not completed")
	})
}
