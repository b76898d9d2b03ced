package main

import (
	"errors"
	"fmt"
	"time"

	"cuminloft/review/cell"
)

// crashLoop lets one of eight workers crash and start again by turns while the others are
// full. Rule LOST.
func crashLoop(dir string, trouble bool) (string, error) {
	const (
		cores  = 4
		up     = 1200 * time.Millisecond
		down   = 500 * time.Millisecond
		cycles = 12
		ends   = 60 * time.Second
	)
	c, err := cell.Start(cell.Options{Dir: dir, Workers: 8, Cores: cores, Tenants: []string{"cellar"}})
	defer closeCell(c)
	if err != nil {
		return "", err
	}
	if !c.Submit("cellar", cell.Batch, "00000000000000f1", job("30s", map[string]any{"count": 7, "cpu": cores * 1000, "mem-mb": 100, "estimate-ms": 30000})) {
		return "", errors.New("the first job is not accepted")
	}
	if !await(5*time.Second, func() bool { return len(c.Runs("00000000000000f1")) == 7 }) {
		return "", errors.New("the first job does not begin")
	}
	victim := c.Workers[0]
	for _, w := range c.Workers {
		if len(w.Running()) == 0 {
			victim = w
		}
	}
	var jobs []string
	for i := range 6 {
		id := fmt.Sprintf("00000000000000a%x", i)
		if !c.Submit("cellar", cell.Batch, id, job("3s", map[string]any{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 3000})) {
			return "", errors.New("a job is not accepted")
		}
		jobs = append(jobs, id)
	}
	if trouble {
		for range cycles {
			time.Sleep(up)
			victim.Crash()
			time.Sleep(down)
			if err := victim.Revive(); err != nil {
				return "", err
			}
		}
	}
	failed, open := 0, 0
	first := ""
	await(ends, func() bool {
		failed, open, first = 0, 0, ""
		for _, id := range jobs {
			switch c.State("cellar", cell.Batch, id) {
			case "completed":
			case "failed":
				if failed++; first == "" {
					first = id
				}
			default:
				open++
			}
		}
		time.Sleep(time.Second)
		return open == 0
	})
	if failed == 0 {
		return "", nil
	}
	for _, id := range jobs {
		for _, r := range c.Runs(id) {
			if r.How == "failed" {
				return "", fmt.Errorf("a run of %s ended failed", id)
			}
		}
	}
	return fmt.Sprintf("LOST: %d of %d accepted jobs, %s first, are shown as failed although no run of them ended so", failed, len(jobs), first), nil
}
