package configsync

import (
	"context"
	"flag"
	"testing"
	"time"

	"cuminloft/internal/config"
)

// applyTarget is the longest time from apply to in force on every host.
const applyTarget = 4 * time.Second

func TestApplyIsInForceEverywhereWithOneHostFrozen(t *testing.T) {
	inCluster(t, testHosts, func(ctx context.Context, c *cluster) {
		began := time.Now()
		c.must(ctx, c.hosts[5], 2)
		c.waitAccepted(3, applyTarget-time.Since(began))
		t.Logf("all hosts well: %v", time.Since(began))

		// The owner of a shard freezes; another host takes the shard 3 s later.
		c.hosts[1].set(true, false)
		go func() {
			time.Sleep(3 * time.Second)
			c.hosts[4].takeShard(ctx, "az1-0", 2)
		}()
		began = time.Now()
		c.must(ctx, c.hosts[6], 3)
		c.waitAccepted(4, applyTarget-time.Since(began))
		t.Logf("an owner frozen: %v", time.Since(began))
	})
}

func TestThawedHostPollsBeforeItActs(t *testing.T) {
	inCluster(t, testHosts, func(ctx context.Context, c *cluster) {
		h := c.hosts[7] // owns nothing, so nobody waits for it
		if !h.accepts(ctx) {
			t.Fatal("the key works in version 2")
		}
		h.set(true, false)
		c.must(ctx, c.hosts[0], 2)
		time.Sleep(30 * time.Second)
		h.set(false, false)
		if h.accepts(ctx) {
			t.Fatal("a thawed host accepted a key that is withdrawn")
		}
		if _, v := h.Accepted(); v != 3 {
			t.Fatalf("the thawed host holds version %d", v)
		}
	})
}

func TestStartingHostServesNothingWithoutConfiguration(t *testing.T) {
	inCluster(t, 1, func(ctx context.Context, c *cluster) {
		late := &host{cluster: c, name: "late", cut: true}
		late.Sync = New(Options{Host: "late", Table: hostTable{late}, Peers: late})
		c.start(ctx, late)
		if err := late.EnsureFresh(ctx); !errStale(err) {
			t.Fatalf("a host without configuration may act: %v", err)
		}
		late.set(false, false)
		time.Sleep(FreshFor)
		if err := late.EnsureFresh(ctx); err != nil {
			t.Fatal(err)
		}
	})
}

// An AZ is cut off from the table and from the other AZs while a key is
// withdrawn: the apply says so, and is accepted only after the owner there can
// start nothing more.
func TestCutOffOwnerHoldsAcceptanceUntilItsSoloWindowIsOver(t *testing.T) {
	inCluster(t, testHosts, func(ctx context.Context, c *cluster) {
		cut := c.hosts[2]
		cut.set(false, true)
		time.Sleep(FreshFor)
		if !cut.accepts(ctx) {
			t.Fatal("a host that is cut off serves on within its solo window")
		}
		began := time.Now()
		short, cancel := context.WithTimeout(ctx, 7*time.Second)
		r, err := c.apply(short, c.hosts[0], 2)
		cancel()
		if err != nil || r.State != StateStaged || len(r.Waiting) != 1 || r.Waiting[0].Shard != "az2-0" {
			t.Fatalf("want staged, waiting for az2-0: %+v, %v", r, err)
		}
		for _, h := range c.hosts {
			if h != cut && h.accepts(ctx) {
				t.Fatalf("%s accepts a key that a staged version withdraws", h.name)
			}
		}
		for {
			_, v := c.hosts[0].Accepted()
			if v == 3 && cut.accepts(ctx) {
				t.Fatal("accepted while the cut-off owner may still start work")
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
		cut.set(false, false)
		c.waitAccepted(3, FreshFor)
	})
}

// With the table down nothing can be applied, and hosts serve on for the solo
// window and no longer.
func TestTableOutage(t *testing.T) {
	inCluster(t, testHosts, func(ctx context.Context, c *cluster) {
		for _, h := range c.hosts {
			h.set(false, true)
		}
		down := time.Now()
		if _, err := c.apply(ctx, c.hosts[0], 2); err == nil {
			t.Fatal("applied without the table")
		}
		time.Sleep(time.Until(down.Add(8 * time.Second)))
		began := time.Now()
		if err := c.hosts[0].EnsureFresh(ctx); err != nil || time.Since(began) > 0 {
			t.Fatalf("within the solo window: %v after %v", err, time.Since(began))
		}
		time.Sleep(10 * time.Second)
		if err := c.hosts[0].EnsureFresh(ctx); !errStale(err) {
			t.Fatalf("after the solo window: %v", err)
		}
		for _, h := range c.hosts {
			h.set(false, false)
		}
		time.Sleep(FreshFor)
		c.must(ctx, c.hosts[3], 2)
	})
}

// soakChanges is small by default, because the stand-in of the table takes
// longer with each row that it holds; 3300 are a day's changes.
var soakChanges = flag.Int("soak.changes", 200, "changes of the soak test")

// One change every 2 s of virtual time, from all hosts in turn, with lost
// answers.
func TestSoakOfOneChangeEvery2Seconds(t *testing.T) {
	changes := *soakChanges
	inCluster(t, testHosts, func(ctx context.Context, c *cluster) {
		c.table.Set(lossy(7))
		began := time.Now()
		before := c.table.Stats()
		for i := range changes {
			next := began.Add(time.Duration(i+1) * 2 * time.Second)
			c.must(ctx, c.hosts[i%testHosts], config.Version(2+i))
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
