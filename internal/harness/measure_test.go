package harness

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/httpjson"
	"cuminloft/internal/model"
)

// The figures below are measured on demand only. A test fails if it misses the target
// that the brief or the issue states.
var measure = flag.String("measure", "", "comma-separated figures to measure: start, takeover, apply, out, rolling, control, capacity")

// samples are measured durations of one kind.
type samples []time.Duration

// String returns the count, the median, the 90th percentile and the worst sample.
func (s samples) String() string {
	if len(s) == 0 {
		return "no samples"
	}
	sorted := slices.Sorted(slices.Values(s))
	return fmt.Sprintf("n=%d median=%s p90=%s worst=%s", len(s),
		sorted[len(s)/2].Round(time.Millisecond), sorted[len(s)*9/10].Round(time.Millisecond), sorted[len(s)-1].Round(time.Millisecond))
}

func (s samples) worst() time.Duration { return slices.Max(s) }

// startMeasured skips the test unless -measure names the figure, and else starts a
// cluster.
func startMeasured(t *testing.T, figure string, block, perAZ int, adjust ...func(*config.Config)) *Cluster {
	if !slices.Contains(strings.Split(*measure, ","), figure) {
		t.Skip("run with -measure " + figure)
	}
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	c, err := NewCluster(workDir(t, figure), path, block, perAZ)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for _, p := range adjust {
		p(c.Config)
	}
	if err := c.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestMeasureStart measures the cold start of serve and its memory when idle.
func TestMeasureStart(t *testing.T) {
	const rounds, target, memory = 20, time.Second, 64 << 20
	c := startMeasured(t, "start", 120, 17)
	h := c.Hosts[7]
	var starts samples
	for range rounds {
		h.Kill()
		began := time.Now()
		if err := h.Start(); err != nil {
			t.Fatal(err)
		}
		for {
			s, err := c.Status(t.Context(), h)
			if err == nil && s.State == "serving" && s.Accepted > 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		starts = append(starts, time.Since(began))
	}
	t.Logf("cold start to serving with the configuration: %s", starts)
	if starts.worst() > target {
		t.Errorf("worst start %s, target %s", starts.worst(), target)
	}
	time.Sleep(10 * time.Second)
	for _, h := range c.Hosts {
		u, err := h.Usage()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s idle: %.1f MB resident", h.ID, float64(u.Resident)/(1<<20))
		if u.Resident > memory {
			t.Errorf("%s uses more than 64 MB", h.ID)
		}
	}
}

// ownerOf returns the host that owns the ready shard of an AZ, and its fence.
func ownerOf(c *Cluster, at *Host, az string) (*Host, int64, bool) {
	s, err := c.Status(context.Background(), at)
	if err != nil {
		return nil, 0, false
	}
	for _, shard := range s.Shards {
		if shard.AZ != az || !shard.Ready {
			continue
		}
		for _, h := range c.Hosts {
			if h.ID == shard.Owner {
				return h, shard.Fence, true
			}
		}
	}
	return nil, 0, false
}

// otherHost returns a host of another AZ.
func otherHost(c *Cluster, az string) *Host {
	for _, h := range c.Hosts {
		if h.AZ != az {
			return h
		}
	}
	return nil
}

// TestMeasureTakeover measures the time from the kill of a shard's owner until another
// host reports the shard ready under a higher fence.
func TestMeasureTakeover(t *testing.T) {
	const rounds, target = 50, 5 * time.Second
	c := startMeasured(t, "takeover", 121, 4)
	var times samples
	for i := range rounds {
		az := AZs[i%len(AZs)]
		witness := otherHost(c, az)
		old, fence, ok := ownerOf(c, witness, az)
		if !ok {
			t.Fatalf("round %d: %s has no ready owner", i, az)
		}
		old.Kill()
		began := time.Now()
		for {
			_, next, ok := ownerOf(c, witness, az)
			if ok && next > fence {
				break
			}
			if time.Since(began) > time.Minute {
				t.Fatalf("round %d: no takeover of %s after a minute", i, az)
			}
			time.Sleep(5 * time.Millisecond)
		}
		times = append(times, time.Since(began))
		if err := old.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
	}
	t.Logf("kill of the owner to a ready successor: %s", times)
	if times.worst() > target {
		t.Errorf("worst takeover %s, target %s", times.worst(), target)
	}
}

// acceptsKey reports whether a host accepts a key. It requests a queue that does not
// exist, so that the answer does not depend on a shard's owner.
func acceptsKey(c *Cluster, h *Host, key string) (accepted, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := httpjson.Call(ctx, c.clientWithKey(Secret(key)), http.MethodPost, "http://"+h.Addr+"/v1/run/none", nil, nil)
	var status *httpjson.StatusError
	if !errors.As(err, &status) {
		return false, false
	}
	known := status.Status == http.StatusUnauthorized || status.Status == http.StatusNotFound
	return status.Status == http.StatusNotFound, known
}

// timesUntilAccepted returns how long after began each host accepts a key, or refuses
// it if want is false.
func timesUntilAccepted(c *Cluster, hosts []*Host, key string, want bool, began time.Time) samples {
	times := make(samples, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() {
			for time.Since(began) < 30*time.Second {
				if got, ok := acceptsKey(c, h, key); ok && got == want {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			times[i] = time.Since(began)
		})
	}
	wg.Wait()
	return times
}

// TestMeasureApply measures the time from the sending of a change until all hosts apply
// it, with all hosts healthy and with one frozen.
func TestMeasureApply(t *testing.T) {
	const target = 4 * time.Second
	c := startMeasured(t, "apply", 122, 17)
	log := &Log{}
	key := KeyID(TeamSlips, 1)
	status, err := c.Status(t.Context(), c.Hosts[0])
	if err != nil {
		t.Fatal(err)
	}
	base := status.Accepted
	apply := func(name string, rounds int, hosts []*Host) {
		var inForce, answered samples
		for i := range rounds {
			withdrawn := ""
			if i%2 == 0 {
				withdrawn = key
			}
			began := time.Now()
			result := make(chan ApplyRecord, 1)
			go func() {
				result <- applyOn(t.Context(), c, log, hosts[i%len(hosts)], base, ApplyRecord{Withdrawn: listOf(withdrawn)})
			}()
			inForce = append(inForce, timesUntilAccepted(c, hosts, key, withdrawn == "", began).worst())
			a := <-result
			if a.State != "accepted" {
				t.Errorf("%s: round %d ended as %q: %s", name, i, a.State, a.Error)
			}
			base = a.Version
			answered = append(answered, a.Answered.Sub(a.Sent))
		}
		t.Logf("%s: apply to in force on %d hosts: %s", name, len(hosts), inForce)
		t.Logf("%s: apply to accepted: %s", name, answered)
		if inForce.worst() > target || answered.worst() > target {
			t.Errorf("%s: worst %s in force, %s accepted, target %s", name, inForce.worst(), answered.worst(), target)
		}
	}
	apply("all hosts healthy", 200, c.Hosts)
	owner, _, ok := ownerOf(c, otherHost(c, AZs[0]), AZs[0])
	if !ok {
		t.Fatal("no owner")
	}
	idle := c.Hosts[slices.IndexFunc(c.Hosts, func(h *Host) bool { return h.AZ == AZs[0] && h != owner })]
	for name, frozen := range map[string]*Host{"an owner frozen": owner, "a host without shard frozen": idle} {
		rest := slices.DeleteFunc(slices.Clone(c.Hosts), func(h *Host) bool { return h == frozen })
		frozen.Freeze()
		apply(name, 11, rest) // an odd number of rounds: ends with the key withdrawn
		frozen.Unfreeze()
		afterUnfreeze := timesUntilAccepted(c, []*Host{frozen}, key, false, time.Now())
		t.Logf("%s, then resumed: refuses the withdrawn key after %s", name, afterUnfreeze)
		if a := applyOn(t.Context(), c, log, c.Hosts[0], base, ApplyRecord{}); a.State == "accepted" {
			base = a.Version
		}
	}
}

// TestMeasureOutOfService measures, under load, the time from the answer that an AZ is
// out of service until the last start in it, and from the answer that a key is
// withdrawn until the last request accepted with it.
func TestMeasureOutOfService(t *testing.T) {
	const rounds, target = 20, 4 * time.Second
	c := startMeasured(t, "out", 123, 4)
	log := &Log{}
	callers := StartCallers(c, log, 16, 1)
	var lastStart, lastAccepted samples
	for i := range rounds {
		az, key := AZs[i%len(AZs)], KeyID(TeamSlips, 1)
		a := applyWithout(c, log, c.Hosts[i%len(c.Hosts)], az, key)
		time.Sleep(5 * time.Second)
		if err := Restore(t.Context(), c, log); err != nil {
			t.Fatal(err)
		}
		restored := log.Applied[len(log.Applied)-1].Sent
		if a.State != "accepted" {
			t.Errorf("round %d ended as %q", i, a.State)
			continue
		}
		runs, err := c.AttemptRecords(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		start, accepted := time.Duration(0), time.Duration(0)
		for _, r := range runs {
			if r.AZ == az && r.Start.Before(restored) {
				start = max(start, r.Start.Sub(a.Answered))
			}
		}
		for _, op := range log.Snapshot() {
			if op.Key == key && (op.Outcome == model.OutcomeDone || op.Job != "") && op.Sent.Before(restored) {
				accepted = max(accepted, op.Sent.Sub(a.Answered))
			}
		}
		lastStart = append(lastStart, start)
		lastAccepted = append(lastAccepted, accepted)
	}
	callers.Stop()
	t.Logf("AZ out of service accepted to the last start in it (0: none later): %s", lastStart)
	t.Logf("key withdrawal accepted to the last request accepted with it (0: none later): %s", lastAccepted)
	if lastStart.worst() > target || lastAccepted.worst() > target {
		t.Error("target of 4 s missed")
	}
}

// TestMeasureRolling replaces all hosts one by one, three times, under load, and counts
// the requests whose connection broke.
func TestMeasureRolling(t *testing.T) {
	const rounds = 3
	c := startMeasured(t, "rolling", 124, 4)
	log := &Log{}
	callers := StartCallers(c, log, 16, 2)
	time.Sleep(2 * time.Second)
	for range rounds {
		for _, h := range c.Hosts {
			if !h.Stop() {
				t.Errorf("%s had to be killed", h.ID)
			}
			if err := h.Start(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
	}
	callers.Stop()
	broken := 0
	outcomes := map[string]int{}
	for _, op := range log.Snapshot() {
		outcomes[outcomeLabel(op)]++
		if op.Status == 0 && !strings.Contains(op.Error, syscall.ECONNREFUSED.Error()) {
			broken++
			t.Logf("connection broken: %s at %s, sent %s, after %s: %s", op.Tag, op.Host, clockTime(op.Sent), op.Answered.Sub(op.Sent), op.Error)
		}
	}
	t.Logf("%d replacements, outcomes %v, %d requests cut off", rounds*len(c.Hosts), outcomes, broken)
	if broken > 0 {
		t.Errorf("%d requests cut off", broken)
	}
}
