package main

import (
	"fmt"
	"time"

	"cuminloft/review/cell"
)

// client is a tenant's client of one queue.
type client struct {
	cell           *cell.Cell
	tenant, prefix string
}

func (c client) submit(id string, job cell.Job) bool {
	return c.cell.Submit(c.tenant, c.prefix, id, job)
}

func (c client) completed(id string) bool {
	return c.cell.State(c.tenant, c.prefix, id) == "completed"
}

// traffic hands in a small job of one task every interval and returns the accepted ones.
func (c client) traffic(interval, length time.Duration) []string {
	var accepted []string
	for i := range int(length / interval) {
		next := time.Now().Add(interval)
		id := fmt.Sprintf("%016x", i)
		if c.submit(id, job("300ms", map[string]any{"count": 1, "cpu": 500, "mem-mb": 100, "estimate-ms": 300})) {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Until(next))
	}
	return accepted
}

// Bounds of rule LOST for the time after the end of the traffic.
const (
	finish  = 14 * time.Second // `finish_s`
	without = 3 * time.Second
	half    = 0.5
)

// stranded waits for `finish_s`, the time after the end of the traffic. It returns what
// shows that accepted jobs then have nothing running for 3 s while less than half of the
// capacity is in use; "" if none has. Nothing of these jobs waits for another task or time,
// no tenant has a limit, and there is room for each of them on two workers.
func (c client) stranded(jobs []string) string {
	time.Sleep(finish)
	open := map[string]bool{}
	for _, id := range jobs {
		if !c.completed(id) {
			open[id] = true
		}
	}
	used := 0.0
	began := time.Now()
	for time.Since(began) < without+time.Second {
		if used = max(used, c.cell.Used()); used >= half {
			return ""
		}
		for id := range open {
			for _, r := range c.cell.Runs(id) {
				if r.Ended.IsZero() || r.Ended.After(began) {
					delete(open, id)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	first := ""
	n := 0
	for _, id := range jobs {
		if !open[id] || c.completed(id) {
			continue
		}
		if n++; first == "" {
			first = id
		}
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %v after the end of the traffic %d of %d accepted jobs, %s first, had nothing running for %v, with at most %.0f%% of the capacity in use",
		finish, n, len(jobs), first, without, 100*used)
}
