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
		others = "00000000000000f1" // the job that fills the other workers
		lasts  = "00000000000000e1" // the job with a task that lasts
		ends   = 60 * time.Second
	)
	c, err := cell.Start(cell.Options{Dir: dir, Workers: 8, Cores: cores, Tenants: []string{"cellar"}})
	defer closeCell(c)
	if err != nil {
		return "", err
	}
	cellar := client{c, "cellar", cell.Batch}
	if !cellar.submit(others, job("30s", map[string]any{"count": 7, "cpu": cores * 1000, "mem-mb": 100, "estimate-ms": 30000})) {
		return "", errors.New("the first job is not accepted")
	}
	if !await(5*time.Second, func() bool { return len(c.Runs(others)) == 7 }) {
		return "", errors.New("the first job does not begin")
	}
	var victim *cell.Worker
	for _, w := range c.Workers {
		if len(w.Running()) == 0 {
			victim = w
		}
	}
	if !cellar.submit(lasts, job(cell.Forever, map[string]any{"count": 1, "cpu": 1000, "mem-mb": 100, "long-running": true})) {
		return "", errors.New("the job that lasts is not accepted")
	}
	var jobs []string
	for i := range 6 {
		id := fmt.Sprintf("00000000000000a%x", i)
		if !cellar.submit(id, job("3s", map[string]any{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 3000})) {
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
	states := map[string]string{}
	await(ends, func() bool {
		time.Sleep(time.Second)
		open := 0
		for _, id := range jobs {
			states[id] = c.State("cellar", cell.Batch, id)
			if states[id] != "completed" && states[id] != "failed" {
				open++
			}
		}
		return open == 0
	})
	states[lasts] = c.State("cellar", cell.Batch, lasts)
	failed := 0
	first := ""
	for _, id := range append(jobs, lasts) {
		for _, r := range c.Runs(id) {
			if r.How == "failed" {
				return "", fmt.Errorf("a run of %s ended failed", id)
			}
		}
		if states[id] == "failed" {
			if failed++; first == "" {
				first = id
			}
		}
	}
	if failed == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d accepted jobs, %s first, are shown as failed although no run of them ended so; the job with a task that lasts is shown as %s",
		failed, len(jobs)+1, first, states[lasts]), nil
}
