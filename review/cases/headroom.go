package main

import (
	"errors"
	"time"

	"cuminloft/review/cell"
)

// wholeWorker lets the worker of a task crash that takes all cores of a worker, while
// another tenant hands in small urgent jobs. Rule LOST.
func wholeWorker(dir string, trouble bool) (string, error) {
	const (
		cores  = 4
		whole  = "00000000000000c1"
		length = 20 * time.Second // of the traffic
		before = 5 * time.Second  // from the begin of the traffic to the crash
		down   = 4 * time.Second
	)
	c, err := cell.Start(cell.Options{Dir: dir, Workers: 8, Cores: cores, Tenants: []string{"press", "office"}})
	defer closeCell(c)
	if err != nil {
		return "", err
	}
	press := client{c, "press", cell.Batch}
	if !press.submit(whole, job("15s", map[string]any{"count": 1, "cpu": cores * 1000, "mem-mb": 100, "estimate-ms": 15000})) {
		return "", errors.New("the job of a whole worker is not accepted")
	}
	if !await(5*time.Second, func() bool { return len(c.Runs(whole)) > 0 }) {
		return "", errors.New("the job of a whole worker does not begin")
	}
	ended := make(chan []string)
	go func() { ended <- client{c, "office", cell.Urgent}.traffic(250*time.Millisecond, length) }()
	time.Sleep(before)
	if trouble {
		w := c.Worker(c.Runs(whole)[0].Worker)
		w.Crash()
		time.Sleep(down)
		if err := w.Revive(); err != nil {
			return "", err
		}
	}
	<-ended
	return press.stranded([]string{whole}), nil
}
