package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cuminloft/api"
	"cuminloft/internal/config"
)

// operatorPause is the time between two changes of an operator.
const operatorPause = 2 * time.Second

// RunOperators changes the configuration until ctx ends: it takes AZs out of service
// and back, withdraws and grants keys, and lets two operators apply at once.
func RunOperators(ctx context.Context, c *Cluster, log *Log, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	out, withdrawn := "", ""
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(operatorPause):
		}
		switch r.IntN(3) {
		case 0:
			out = toggle(out, AZs[r.IntN(len(AZs))])
			applyWithout(c, log, pickHost(c, r), out, withdrawn)
		case 1:
			team := []string{TeamProofs, TeamSlips, TeamSeason}[r.IntN(3)]
			withdrawn = toggle(withdrawn, KeyID(team, 1))
			applyWithout(c, log, pickHost(c, r), out, withdrawn)
		case 2:
			applyConcurrently(c, log, r, out, withdrawn)
		}
	}
}

// toggle returns next if forbidden is empty, and else the empty string: what is forbidden
// is allowed again before another AZ or key is forbidden.
func toggle(forbidden, next string) string {
	if forbidden != "" {
		return ""
	}
	return next
}

// applyConcurrently lets two operators apply different changes on the same base at
// once.
func applyConcurrently(c *Cluster, log *Log, r *rand.Rand, out, withdrawn string) {
	var wg sync.WaitGroup
	a, b := pickHost(c, r), pickHost(c, r)
	wg.Go(func() { applyWithout(c, log, a, out, withdrawn) })
	wg.Go(func() { applyWithout(c, log, b, out, KeyID(TeamSlips, 1)) })
	wg.Wait()
}

// applyWithout applies the cell's configuration without one AZ and one key on the
// version that the host accepted, and logs the operator's view of it.
func applyWithout(c *Cluster, log *Log, h *Host, out, withdrawn string) ApplyRecord {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	a := ApplyRecord{Out: listOf(out), Withdrawn: listOf(withdrawn)}
	status, err := c.Status(ctx, h)
	if err != nil {
		a.Error = err.Error()
		return a
	}
	return applyOn(ctx, c, log, h, status.Accepted, a)
}

// applyOn applies a change on a base version and logs the operator's view of it.
func applyOn(ctx context.Context, c *Cluster, log *Log, h *Host, base int64, a ApplyRecord) ApplyRecord {
	a.Sent = time.Now()
	n := log.AddApply(a)
	reply, err := c.Apply(ctx, h, base, withoutAZsAndKeys(c.Config, a.Out, a.Withdrawn))
	a.Answered = time.Now()
	if err != nil {
		a.Error = err.Error()
	}
	a.State = reply.State
	a.Version = reply.Version
	log.SetApply(n, a)
	return a
}

func listOf(s string) []string {
	if s == "" {
		return nil
	}
	return []string{s}
}

// withoutAZsAndKeys returns the configuration with AZs out of service and keys
// withdrawn.
func withoutAZsAndKeys(c *config.Config, azs, keys []string) *config.Config {
	next := *c
	next.AZs = slices.Clone(c.AZs)
	for i := range next.AZs {
		next.AZs[i].InService = !slices.Contains(azs, next.AZs[i].Name)
	}
	next.Organisations = slices.Clone(c.Organisations)
	for i := range next.Organisations {
		o := &next.Organisations[i]
		o.Teams = slices.Clone(o.Teams)
		for j := range o.Teams {
			keptKeys := slices.Clone(o.Teams[j].Keys)
			o.Teams[j].Keys = slices.DeleteFunc(keptKeys, func(k config.Key) bool { return slices.Contains(keys, k.ID) })
		}
	}
	return &next
}

// Restore applies the first configuration until it is accepted.
func Restore(ctx context.Context, c *Cluster, log *Log) error {
	return waitFor(ctx, func() (bool, error) {
		a := applyWithout(c, log, c.Hosts[0], "", "")
		return a.State == api.ApplyAccepted, fmt.Errorf("apply ended as %q: %s", a.State, a.Error)
	})
}
