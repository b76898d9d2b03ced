package main

import (
	"errors"
	"fmt"
	"time"

	"cuminloft/review/cell"
)

// leaseAfterRestart restarts an idle worker under its ID and cuts it off from all hosts
// soon after it has begun a task, twice, with an overlap. Rule TWICE.
func leaseAfterRestart(dir string, trouble bool) (string, error) {
	const (
		cores  = 4
		uptime = 14 * time.Second // of the worker before its restart
		down   = 200 * time.Millisecond
		soon   = 500 * time.Millisecond  // from the begin of the task to the cut
		cut    = 5500 * time.Millisecond // the largest dose for servers
		again  = 4500 * time.Millisecond // from the begin of the first cut to that of the second
		ends   = 70 * time.Second
		filler = "00000000000000f1"
		task   = "00000000000000a1"
	)
	c, err := cell.Start(cell.Options{Dir: dir, Workers: 8, Cores: cores, Tenants: []string{"cellar"}, Kind: func(i int) string {
		if i < 2 {
			return "b"
		}
		return "a"
	}})
	defer closeCell(c)
	if err != nil {
		return "", err
	}
	time.Sleep(uptime)
	// One of the two workers of kind b is full for eight seconds.
	cellar := client{c, "cellar", cell.Batch}
	if !cellar.submit(filler, job("8s", map[string]any{"count": 1, "cpu": cores * 1000, "mem-mb": 100, "estimate-ms": 8000, "required-label": "b"})) {
		return "", errors.New("the first job is not accepted")
	}
	if !await(5*time.Second, func() bool { return len(c.Runs(filler)) > 0 }) {
		return "", errors.New("the first job does not begin")
	}
	victim := c.Workers[0]
	if c.Runs(filler)[0].Worker == victim.ID {
		victim = c.Workers[1]
	}
	if trouble {
		// An idle worker gets a hold every 1.5 to 2 s. It restarts between two of them.
		if before := victim.Holds(); !await(5*time.Second, func() bool { return victim.Holds() > before }) {
			return "", errors.New("the idle worker gets no hold")
		}
		victim.Crash()
		time.Sleep(down)
		if err := victim.Revive(); err != nil {
			return "", err
		}
	}
	if !cellar.submit(task, job("20s", map[string]any{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 20000, "required-label": "b"})) {
		return "", errors.New("the second job is not accepted")
	}
	if !await(5*time.Second, func() bool { return len(c.Runs(task)) > 0 }) {
		return "", errors.New("the second job does not begin")
	}
	if c.Runs(task)[0].Worker != victim.ID {
		return "", errors.New("the second job began on another worker")
	}
	if trouble {
		time.Sleep(soon)
		go victim.Cut(cut)
		time.Sleep(again)
		victim.Cut(cut)
	}
	if !await(ends, func() bool {
		time.Sleep(time.Second)
		return cellar.completed(task)
	}) {
		return "", errors.New("the job does not complete")
	}
	return overlap(c.Runs(task)), nil
}

// overlap returns what shows that two runs of a task existed at one time, "" if none did.
func overlap(runs []cell.Run) string {
	for i, a := range runs {
		for _, b := range runs[:i] {
			if a.Task != b.Task || !b.Ended.IsZero() && !b.Ended.After(a.Began) {
				continue
			}
			end := b.Ended
			if end.IsZero() || !a.Ended.IsZero() && a.Ended.Before(end) {
				end = a.Ended
			}
			return fmt.Sprintf("TWICE: run %d of %s on %s and run %d on %s at the same time, for %v",
				b.Number, b.Task, b.Worker, a.Number, a.Worker, end.Sub(a.Began).Round(time.Millisecond))
		}
	}
	return ""
}
