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
	a.Sent = time.Now()
	n := log.Sending(a)
	reply, err := c.Apply(ctx, h, status.Accepted, without(c.Config, out, withdrawn))
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

// without returns the configuration with a zone out of service and a key
// withdrawn; empty names change nothing.
func without(c *config.Config, az, key string) *config.Config {
	next := *c
	next.AZs = slices.Clone(c.AZs)
	for i := range next.AZs {
		next.AZs[i].InService = next.AZs[i].Name != az
	}
	next.Organisations = slices.Clone(c.Organisations)
	for i := range next.Organisations {
		o := &next.Organisations[i]
		o.Teams = slices.Clone(o.Teams)
		for j := range o.Teams {
			keys := slices.Clone(o.Teams[j].Keys)
			o.Teams[j].Keys = slices.DeleteFunc(keys, func(k config.Key) bool { return k.ID == key })
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
