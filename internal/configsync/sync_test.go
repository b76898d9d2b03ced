package configsync

import (
	"context"
	"flag"
	"testing"
	"time"

	"cuminloft/internal/config"
)

// applyTarget is the maximum time from an apply until the version is accepted on every host.
const applyTarget = 4 * time.Second

func TestApplyReachesAllHostsWithOneFrozen(t *testing.T) {
	withCluster(t, testHosts, func(ctx context.Context, c *cluster) {
		began := time.Now()
		c.mustApply(ctx, c.hosts[5], 2)
		c.waitAccepted(3, applyTarget-time.Since(began))
		t.Logf("all hosts running: %v", time.Since(began))

		// The owner of a shard freezes; another host takes the shard 3 s later.
		c.hosts[1].set(true, false)
		go func() {
			time.Sleep(3 * time.Second)
			c.hosts[4].takeShard(ctx, "az1-0", 2)
		}()
		began = time.Now()
		c.mustApply(ctx, c.hosts[6], 3)
		c.waitAccepted(4, applyTarget-time.Since(began))
		t.Logf("one owner frozen: %v", time.Since(began))
	})
}

func TestThawedHostPollsBeforeItActs(t *testing.T) {
	withCluster(t, testHosts, func(ctx context.Context, c *cluster) {
		h := c.hosts[7] // owns no shard, so no rollout waits for it
		if !h.accepts(ctx) {
			t.Fatal("the host does not accept the key of version 2")
		}
		h.set(true, false)
		c.mustApply(ctx, c.hosts[0], 2)
		time.Sleep(30 * time.Second)
		h.set(false, false)
		if h.accepts(ctx) {
			t.Fatal("a thawed host accepted a revoked key")
		}
		if _, v := h.Accepted(); v != 3 {
			t.Fatalf("the thawed host holds version %d", v)
		}
	})
}

func TestStartingHostRefusesWorkWithoutConfiguration(t *testing.T) {
	withCluster(t, 1, func(ctx context.Context, c *cluster) {
		starting := &host{cluster: c, name: "late", isolated: true}
		starting.Sync = New(Options{Host: "late", Table: hostTable{starting}, Peers: starting})
		c.start(ctx, starting)
		if err := starting.EnsureFresh(ctx); !isStale(err) {
			t.Fatalf("a host without a configuration may act: %v", err)
		}
		starting.set(false, false)
		time.Sleep(FreshFor)
		if err := starting.EnsureFresh(ctx); err != nil {
			t.Fatal(err)
		}
	})
}

// An AZ is isolated from the table and from the other AZs while a key is revoked. The apply
// must report the pending shard, and the version must be accepted only after the isolated
// owner can no longer start work.
func TestIsolatedOwnerDelaysAcceptanceUntilItsSoloWindowEnds(t *testing.T) {
	withCluster(t, testHosts, func(ctx context.Context, c *cluster) {
		isolated := c.hosts[2]
		isolated.set(false, true)
		time.Sleep(FreshFor)
		if !isolated.accepts(ctx) {
			t.Fatal("an isolated host refuses work within its solo window")
		}
		began := time.Now()
		applyCtx, cancel := context.WithTimeout(ctx, 7*time.Second)
		r, err := c.apply(applyCtx, c.hosts[0], 2)
		cancel()
		if err != nil || r.State != StateStaged || len(r.Waiting) != 1 || r.Waiting[0].Shard != "az2-0" {
			t.Fatalf("want staged, waiting for az2-0: %+v, %v", r, err)
		}
		for _, h := range c.hosts {
			if h != isolated && h.accepts(ctx) {
				t.Fatalf("%s accepts a key that the staged version revokes", h.name)
			}
		}
		for {
			_, v := c.hosts[0].Accepted()
			if v == 3 && isolated.accepts(ctx) {
				t.Fatal("accepted while the isolated owner may still start work")
			}
			if v == 3 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("accepted after %v", time.Since(began))
		if waited := time.Since(began); waited > 40*time.Second {
			t.Fatalf("accepted after %v", waited)
		}
		isolated.set(false, false)
		c.waitAccepted(3, FreshFor)
	})
}

// While the table is unavailable, an apply must fail, and hosts must keep serving for the
// solo window and no longer.
func TestTableOutage(t *testing.T) {
	withCluster(t, testHosts, func(ctx context.Context, c *cluster) {
		for _, h := range c.hosts {
			h.set(false, true)
		}
		down := time.Now()
		if _, err := c.apply(ctx, c.hosts[0], 2); err == nil {
			t.Fatal("apply succeeded while the table was unavailable")
		}
		time.Sleep(time.Until(down.Add(8 * time.Second)))
		began := time.Now()
		if err := c.hosts[0].EnsureFresh(ctx); err != nil || time.Since(began) > 0 {
			t.Fatalf("within the solo window: %v after %v", err, time.Since(began))
		}
		time.Sleep(10 * time.Second)
		if err := c.hosts[0].EnsureFresh(ctx); !isStale(err) {
			t.Fatalf("after the solo window: %v", err)
		}
		for _, h := range c.hosts {
			h.set(false, false)
		}
		time.Sleep(FreshFor)
		c.mustApply(ctx, c.hosts[3], 2)
	})
}

// soakChanges is small by default, because the in-memory table gets slower with each row;
// a day has 3300 changes.
var soakChanges = flag.Int("soak.changes", 200, "changes of the soak test")

// All hosts in turn apply one change every 2 s of virtual time while answers of the table
// are lost. Each change must be accepted, and the version of a host must never decrease.
func TestSoakOfOneChangeEvery2Seconds(t *testing.T) {
	changes := *soakChanges
	withCluster(t, testHosts, func(ctx context.Context, c *cluster) {
		c.table.Set(losingAnswers(7))
		began := time.Now()
		before := c.table.Stats()
		for i := range changes {
			next := began.Add(time.Duration(i+1) * 2 * time.Second)
			c.mustApply(ctx, c.hosts[i%testHosts], config.Version(2+i))
			c.checkMonotone()
			time.Sleep(time.Until(next))
		}
		c.waitAccepted(config.Version(2+changes), applyTarget)
		after := c.table.Stats()
		seconds := int64(time.Since(began).Seconds())
		t.Logf("%d changes in %d s: %.1f reads/s, %.2f writes/s, %.0f B read/s", changes, seconds,
			float64(after.Reads-before.Reads)/float64(seconds),
			float64(after.Writes-before.Writes)/float64(seconds),
			float64(after.BytesRead-before.BytesRead)/float64(seconds))
	})
}
