package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"cuminloft/internal/standin"
)

// Fault is one way to break a cluster for a time. Begin returns how to mend it.
type Fault struct {
	Name  string
	Begin func(ctx context.Context, c *Cluster, r *rand.Rand) (what string, mend func(context.Context) error, err error)
}

// Faults returns all kinds of faults, in an order that seeds rely on.
func Faults() []Fault {
	return []Fault{
		{"kill", killHost},
		{"freeze", freezeHost},
		{"cut from platform", cutPlatform},
		{"cut zone", cutZone},
		{"cut from workers", cutWorkers},
		{"table down", platformFault("table", standin.FaultSet{Down: true})},
		{"table slow", platformFault("table", standin.FaultSet{DelayMillis: 300})},
		{"table loses answers", platformFault("table", standin.FaultSet{LoseReplyEvery: 2})},
		{"table late", platformFault("table", standin.FaultSet{ReplyDelayMillis: 1500})},
		{"objects down", platformFault("objects", standin.FaultSet{Down: true})},
		{"worker down", workerFault(standin.FaultSet{Down: true})},
		{"worker frozen", workerFault(standin.FaultSet{Freeze: true})},
		{"worker loses answers", workerFault(standin.FaultSet{LoseReplyEvery: 3})},
		{"worker crosses answers", workerFault(standin.FaultSet{MisaddressEvery: 3})},
		{"worker cuts answers", workerFault(standin.FaultSet{TruncateEvery: 3})},
		{"worker fails everything", workerFault(standin.FaultSet{FailEverything: true})},
		{"worker restarts", restartWorker},
		{"worker late", workerFault(standin.FaultSet{ReplyDelayMillis: 1200})},
		{"rolling replacement", replaceHost},
	}
}

// nothing mends a fault that is over by itself.
func nothing(context.Context) error { return nil }

func pickHost(c *Cluster, r *rand.Rand) *Host { return c.Hosts[r.IntN(len(c.Hosts))] }

func killHost(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	h := pickHost(c, r)
	h.Kill()
	return h.ID, func(context.Context) error { return h.Start() }, nil
}

func freezeHost(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	h := pickHost(c, r)
	h.Freeze()
	return h.ID, func(context.Context) error { h.Thaw(); return nil }, nil
}

func replaceHost(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	h := pickHost(c, r)
	if !h.Stop() {
		return h.ID, nothing, fmt.Errorf("%s did not end by itself", h.ID)
	}
	return h.ID, nothing, h.Start()
}

func cutPlatform(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	h := pickHost(c, r)
	c.Net.Cut(h.ID, platformNode, true)
	return h.ID, func(context.Context) error { c.Net.Cut(h.ID, platformNode, false); return nil }, nil
}

// cutWorkers cuts one host from the workers of its own zone.
func cutWorkers(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	h := pickHost(c, r)
	cut := func(cut bool) {
		for _, w := range c.Config.Workers {
			if w.AZ == h.AZ {
				c.Net.Cut(h.ID, w.ID, cut)
			}
		}
	}
	cut(true)
	return h.ID, func(context.Context) error { cut(false); return nil }, nil
}

// cutZone cuts a zone's hosts from the platform, the other zones' hosts and the
// other zones' workers.
func cutZone(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	az := AZs[r.IntN(len(AZs))]
	c.CutZone(az, true)
	return az, func(context.Context) error { c.CutZone(az, false); return nil }, nil
}

// CutZone cuts or heals all links over the border of a zone.
func (c *Cluster) CutZone(az string, cut bool) {
	for _, h := range c.Hosts {
		if h.AZ == az {
			c.Net.Cut(h.ID, platformNode, cut)
		}
		for _, other := range c.Hosts {
			if (h.AZ == az) != (other.AZ == az) {
				c.Net.Cut(h.ID, other.ID, cut)
			}
		}
		for _, w := range c.Config.Workers {
			if (h.AZ == az) != (w.AZ == az) {
				c.Net.Cut(h.ID, w.ID, cut)
			}
		}
	}
}

func platformFault(part string, f standin.FaultSet) func(context.Context, *Cluster, *rand.Rand) (string, func(context.Context) error, error) {
	return func(ctx context.Context, c *Cluster, _ *rand.Rand) (string, func(context.Context) error, error) {
		mend := func(ctx context.Context) error { return c.Faults(ctx, part, standin.FaultSet{}) }
		return part, mend, c.Faults(ctx, part, f)
	}
}

func workerFault(f standin.FaultSet) func(context.Context, *Cluster, *rand.Rand) (string, func(context.Context) error, error) {
	return func(ctx context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
		id := c.Config.Workers[r.IntN(len(c.Config.Workers))].ID
		mend := func(ctx context.Context) error { return c.WorkerFaults(ctx, id, standin.FaultSet{}) }
		return id, mend, c.WorkerFaults(ctx, id, f)
	}
}

func restartWorker(ctx context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	id := c.Config.Workers[r.IntN(len(c.Config.Workers))].ID
	return id, nothing, c.control(ctx, http.MethodPost, c.workerAddrs[id], standin.PathRestart, nil, nil)
}

// Step is one fault of a schedule.
type Step struct {
	Fault Fault
	After time.Duration // since the schedule's start
	For   time.Duration
	seed  uint64
}

// Schedule returns the faults of a seed: two to four, which may overlap.
func Schedule(seed uint64) []Step {
	r := rand.New(rand.NewPCG(seed, 0))
	kinds := Faults()
	steps := make([]Step, 2+r.IntN(3))
	for i := range steps {
		steps[i] = Step{
			Fault: kinds[r.IntN(len(kinds))],
			After: time.Duration(r.IntN(5000)) * time.Millisecond,
			For:   time.Duration(500+r.IntN(7500)) * time.Millisecond,
			seed:  r.Uint64(),
		}
	}
	return steps
}

// Play runs one step from start on. Two steps may meet the same process: a mend
// that finds it running already changes nothing.
func (s Step) Play(ctx context.Context, c *Cluster, start time.Time, note func(string)) error {
	time.Sleep(time.Until(start.Add(s.After)))
	what, mend, err := s.Fault.Begin(ctx, c, rand.New(rand.NewPCG(s.seed, 1)))
	if err != nil {
		return fmt.Errorf("%s %s: %w", s.Fault.Name, what, err)
	}
	note(fmt.Sprintf("%s %s for %s", s.Fault.Name, what, s.For))
	time.Sleep(s.For)
	if err := mend(ctx); err != nil {
		return fmt.Errorf("mending %s %s: %w", s.Fault.Name, what, err)
	}
	return nil
}
