package main

import (
	"errors"
	"time"

	"cuminloft/review/cell"
)

// fillingTask lets the worker of a task crash that fills a worker, beside small tasks that
// last on all workers. Rule LOST.
func fillingTask(dir string, trouble bool) (string, error) {
	const (
		cores  = 4
		filler = "00000000000000d1"
		lasts  = "00000000000000e1"
		length = 10 * time.Second
		before = 4 * time.Second
		down   = 4 * time.Second
	)
	c, err := cell.Start(cell.Options{Dir: dir, Workers: 8, Cores: cores, Tenants: []string{"press", "office"}})
	defer closeCell(c)
	if err != nil {
		return "", err
	}
	press, office := client{c, "press", cell.Batch}, client{c, "office", cell.Batch}
	if !press.submit(filler, job("20s", map[string]any{"count": 1, "cpu": cores * 1000, "mem-mb": 100, "estimate-ms": 20000, "fills": true})) {
		return "", errors.New("the job that fills is not accepted")
	}
	if !await(5*time.Second, func() bool { return len(c.Runs(filler)) > 0 }) {
		return "", errors.New("the job that fills does not begin")
	}
	if !office.submit(lasts, job(cell.Forever, map[string]any{"count": 8, "cpu": 200, "mem-mb": 100, "long-running": true, "max-per-server": 1, "image": "web", "may-miss": 1})) {
		return "", errors.New("the job that lasts is not accepted")
	}
	if !await(5*time.Second, func() bool { return len(c.Runs(lasts)) == 8 }) {
		return "", errors.New("the job that lasts does not begin on all workers")
	}
	time.Sleep(before)
	if trouble {
		w := c.Worker(c.Runs(filler)[0].Worker)
		w.Crash()
		time.Sleep(down)
		if err := w.Revive(); err != nil {
			return "", err
		}
	}
	time.Sleep(length)
	return press.stranded([]string{filler}), nil
}
