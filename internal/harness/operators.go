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

// operatorPause separates an operator's changes.
const operatorPause = 2 * time.Second

// Operators changes the configuration until ctx ends: zones out and in, keys
// withdrawn and granted, and two operators at once. It ends with everything in
// service and granted.
func Operators(ctx context.Context, c *Cluster, log *Log, seed uint64) {
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
			race(c, log, r, out, withdrawn)
		}
	}
}

// toggle takes back what is forbidden, or forbids next.
func toggle(forbidden, next string) string {
	if forbidden != "" {
		return ""
	}
	return next
}

// race lets two operators apply unlike changes on the same base at once.
func race(c *Cluster, log *Log, r *rand.Rand, out, withdrawn string) {
	var wg sync.WaitGroup
	a, b := pickHost(c, r), pickHost(c, r)
	wg.Go(func() { applyWithout(c, log, a, out, withdrawn) })
	wg.Go(func() { applyWithout(c, log, b, out, KeyID(TeamSlips, 1)) })
	wg.Wait()
}

// applyWithout applies the cell's configuration without one zone and one key, on the
// version that the host holds, and logs what the operator was told.
func applyWithout(c *Cluster, log *Log, h *Host, out, withdrawn string) Applied {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	a := Applied{Out: present(out), Withdrawn: present(withdrawn)}
	status, err := c.Status(ctx, h)
	if err != nil {
		a.Error = err.Error()
		return a
	}
	return applyOn(ctx, c, log, h, status.Accepted, a)
}

// applyOn applies on a base version and logs what the operator was told.
func applyOn(ctx context.Context, c *Cluster, log *Log, h *Host, base int64, a Applied) Applied {
	a.Sent = time.Now()
	n := log.Sending(a)
	reply, err := c.Apply(ctx, h, base, without(c.Config, a.Out, a.Withdrawn))
	a.Answered = time.Now()
	if err != nil {
		a.Error = err.Error()
	}
	a.State = reply.State
	a.Version = reply.Version
	log.Answered(n, a)
	return a
}

func present(s string) []string {
	if s == "" {
		return nil
	}
	return []string{s}
}

// without returns the configuration with zones out of service and keys
// withdrawn.
func without(c *config.Config, azs, keys []string) *config.Config {
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
			granted := slices.Clone(o.Teams[j].Keys)
			o.Teams[j].Keys = slices.DeleteFunc(granted, func(k config.Key) bool { return slices.Contains(keys, k.ID) })
		}
	}
	return &next
}

// Restore applies the first configuration again and returns when it is accepted.
func Restore(ctx context.Context, c *Cluster, log *Log) error {
	return poll(ctx, func() (bool, error) {
		a := applyWithout(c, log, c.Hosts[0], "", "")
		return a.State == api.ApplyAccepted, fmt.Errorf("apply ended as %q: %s", a.State, a.Error)
	})
}
