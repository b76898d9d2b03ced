package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminloft/internal/workload"
)

func testCampaign(hosts, maxConcurrent int, window time.Duration) workload.Maintenance {
	m := workload.Maintenance{ID: 1, MaxConcurrent: maxConcurrent, Window: window}
	for i := range hosts {
		m.Hosts = append(m.Hosts, fmt.Sprint("h", i))
	}
	return m
}

// The maintenance of a host without tasks starts at once. A host with tasks is cordoned
// first, then its tasks are evicted when their time is over.
func TestHostsAreDrainedBeforeMaintenance(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(0)
	c := New(testCampaign(2, 1, 40*time.Second), nil, now, now)
	hosts := map[string]Host{"h0": {Up: true, Worker: "w0", Tasks: 2}, "h1": {Up: true, Worker: "w1"}}
	p := c.Next(hosts, now)
	is.Equal(p.Start, []string{"h1"})
	is.Equal(p.Cordon, []string{"w1"}) // one host at a time
	c.MarkStarted("h1", "w1", now)
	p = c.Next(hosts, now.Add(time.Second))
	is.Equal(len(p.Cordon), 0) // h1 is still listed with its old worker
	hosts["h1"] = Host{Up: true, Worker: "w1-new"}
	p = c.Next(hosts, now.Add(2*time.Second))
	is.Equal(p.Cordon, []string{"w0"})
	is.Equal(len(p.Start)+len(p.Evict), 0)
	p = c.Next(hosts, now.Add(13*time.Second))
	is.Equal(p.Evict, []string{"w0"})
	hosts["h0"] = Host{Up: true, Worker: "w0"}
	is.Equal(c.Next(hosts, now.Add(14*time.Second)).Start, []string{"h0"})
	c.MarkStarted("h0", "w0", now.Add(14*time.Second))
	is.True(!c.Next(hosts, now.Add(15*time.Second)).Completed)
	hosts["h0"] = Host{Up: true, Worker: "w0-new"}
	is.True(c.Next(hosts, now.Add(16*time.Second)).Completed)
}

// Checks with random campaigns that never more hosts are down than allowed and that a
// campaign is completed only when every remaining host has had its maintenance. A
// takeover replaces the campaign's state by what was stored, which may not be the latest.
func TestCampaignLimitsHostsDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "hosts")
		atOnce := rapid.IntRange(1, 4).Draw(t, "at once")
		now := time.UnixMilli(0)
		m := testCampaign(n, atOnce, 30*time.Second)
		c := New(m, nil, now, now)
		hosts := map[string]Host{}
		back := map[string]time.Time{}
		began := map[string]bool{}
		var stored []string
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
				c = New(m, stored, time.UnixMilli(0), now)
			}
			if h := m.Hosts[rapid.IntRange(0, n-1).Draw(t, "host")]; rapid.IntRange(0, 200).Draw(t, "gone") == 0 && hosts[h].Up {
				delete(hosts, h)
			}
			p := c.Next(hosts, now)
			for h, v := range hosts {
				for _, w := range p.Evict {
					if v.Worker == w && v.Tasks > 0 {
						v.Tasks--
						hosts[h] = v
					}
				}
			}
			for _, h := range p.Start {
				if hosts[h].Tasks > 0 {
					t.Fatalf("maintenance of %s starts with %d tasks", h, hosts[h].Tasks)
				}
				c.MarkStarted(h, hosts[h].Worker, now)
				if !began[h] { // otherwise the order does nothing
					began[h] = true
					hosts[h] = Host{InMaintenance: true, Worker: hosts[h].Worker}
					back[h] = now.Add(2 * time.Second)
				}
			}
			if rapid.IntRange(0, 2).Draw(t, "stored") > 0 {
				stored = c.Started()
			}
			if len(back) > atOnce {
				t.Fatalf("%d hosts are down, the limit is %d", len(back), atOnce)
			}
			if p.Completed {
				for _, h := range m.Hosts {
					if _, stays := hosts[h]; stays && !began[h] {
						t.Fatalf("completed without maintenance of %s", h)
					}
				}
				return
			}
		}
		t.Fatal("campaign not completed")
	})
}

// A host whose maintenance an earlier coordinator had begun, and could not store, did not count
// as down, so that more hosts were in maintenance than allowed.
func TestMaintenanceThatIsNotStoredCounts(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(0)
	c := New(testCampaign(3, 2, 40*time.Second), []string{"h0"}, now, now)
	hosts := map[string]Host{"h0": {InMaintenance: true}, "h1": {InMaintenance: true}, "h2": {Up: true, Worker: "w2"}}
	p := c.Next(hosts, now)
	is.Equal(len(p.Start)+len(p.Cordon), 0)
	hosts["h0"] = Host{Up: true, Worker: "w0"}
	is.Equal(c.Next(hosts, now).Start, []string{"h2"})
}

// Each takeover began anew to wait for the tasks of a host to end by themselves, so that a
// campaign stood still while coordinators followed one another.
func TestTakeoversDelayEvictions(t *testing.T) {
	is := is.New(t)
	begun := time.UnixMilli(0)
	hosts := map[string]Host{"h0": {Up: true, Worker: "w0", Tasks: 1}, "h1": {Up: true, Worker: "w1", Tasks: 1}}
	for now := begun; ; now = now.Add(3 * time.Second) {
		is.True(now.Sub(begun) <= 13*time.Second) // half of the 20 s for the first host, and one takeover
		c := New(testCampaign(2, 1, 40*time.Second), nil, begun, now)
		c.Next(hosts, now)
		if len(c.Next(hosts, now.Add(2*time.Second)).Evict) > 0 {
			break
		}
	}
}
