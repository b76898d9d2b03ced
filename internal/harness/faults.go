package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"cuminloft/internal/standin"
)

// Fault is a kind of fault. Begin starts it and returns the affected node and a
// function that undoes the fault.
type Fault struct {
	Name  string
	Begin func(ctx context.Context, c *Cluster, r *rand.Rand) (target string, undo func(context.Context) error, err error)
}

// FaultKinds returns all kinds of faults. Seeds depend on their order.
func FaultKinds() []Fault {
	return []Fault{
		{"kill", killHost},
		{"freeze", freezeHost},
		{"cut from platform", cutPlatform},
		{"cut AZ", cutAZ},
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

// noUndo is for a fault that ends by itself.
func noUndo(context.Context) error { return nil }

func pickHost(c *Cluster, r *rand.Rand) *Host { return c.Hosts[r.IntN(len(c.Hosts))] }

func killHost(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	h := pickHost(c, r)
	h.Kill()
	return h.ID, func(context.Context) error { return h.Start() }, nil
}

func freezeHost(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	h := pickHost(c, r)
	h.Freeze()
	return h.ID, func(context.Context) error { h.Unfreeze(); return nil }, nil
}

func replaceHost(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	h := pickHost(c, r)
	if !h.Stop() {
		return h.ID, noUndo, fmt.Errorf("%s did not stop after SIGTERM and was killed", h.ID)
	}
	return h.ID, noUndo, h.Start()
}

func cutPlatform(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	h := pickHost(c, r)
	c.Net.Cut(h.ID, platformNode, true)
	return h.ID, func(context.Context) error { c.Net.Cut(h.ID, platformNode, false); return nil }, nil
}

// cutWorkers cuts the links between one host and the workers of its own AZ.
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

// cutAZ cuts the links of an AZ's hosts to the platform, and all links between its
// nodes and the hosts and workers of other AZs.
func cutAZ(_ context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	az := AZs[r.IntN(len(AZs))]
	c.CutAZ(az, true)
	return az, func(context.Context) error { c.CutAZ(az, false); return nil }, nil
}

// CutAZ cuts or heals all links between an AZ and the rest, including the platform.
func (c *Cluster) CutAZ(az string, cut bool) {
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

func platformFault(service string, f standin.FaultSet) func(context.Context, *Cluster, *rand.Rand) (string, func(context.Context) error, error) {
	return func(ctx context.Context, c *Cluster, _ *rand.Rand) (string, func(context.Context) error, error) {
		undo := func(ctx context.Context) error { return c.SetPlatformFaults(ctx, service, standin.FaultSet{}) }
		return service, undo, c.SetPlatformFaults(ctx, service, f)
	}
}

func workerFault(f standin.FaultSet) func(context.Context, *Cluster, *rand.Rand) (string, func(context.Context) error, error) {
	return func(ctx context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
		id := c.Config.Workers[r.IntN(len(c.Config.Workers))].ID
		undo := func(ctx context.Context) error { return c.SetWorkerFaults(ctx, id, standin.FaultSet{}) }
		return id, undo, c.SetWorkerFaults(ctx, id, f)
	}
}

func restartWorker(ctx context.Context, c *Cluster, r *rand.Rand) (string, func(context.Context) error, error) {
	id := c.Config.Workers[r.IntN(len(c.Config.Workers))].ID
	return id, noUndo, c.control(ctx, http.MethodPost, c.workerAddrs[id], standin.PathRestart, nil, nil)
}

// Step is one fault of a schedule.
type Step struct {
	Fault Fault
	After time.Duration // from the start of the schedule to the start of the fault
	For   time.Duration
	seed  uint64
}

// Schedule returns the faults of a seed: two to four, which may overlap.
func Schedule(seed uint64) []Step {
	r := rand.New(rand.NewPCG(seed, 0))
	kinds := FaultKinds()
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

// Run runs one step of a schedule that began at start. Two steps may affect the same
// process: undoing a fault that is already undone changes nothing.
func (s Step) Run(ctx context.Context, c *Cluster, start time.Time, note func(string)) error {
	time.Sleep(time.Until(start.Add(s.After)))
	target, undo, err := s.Fault.Begin(ctx, c, rand.New(rand.NewPCG(s.seed, 1)))
	if err != nil {
		return fmt.Errorf("%s %s: %w", s.Fault.Name, target, err)
	}
	note(fmt.Sprintf("%s %s for %s", s.Fault.Name, target, s.For))
	time.Sleep(s.For)
	if err := undo(ctx); err != nil {
		return fmt.Errorf("undo %s %s: %w", s.Fault.Name, target, err)
	}
	return nil
}
