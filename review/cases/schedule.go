package main

import (
	"errors"
	"time"

	"cuminloft/review/cell"
)

// longSchedule hands in one job with a schedule of which many occurrences are due, beside
// the small jobs of another tenant. Rule LOST.
func longSchedule(dir string, trouble bool) (string, error) {
	const (
		large     = "00000000000000b1"
		occurs    = 3600
		length    = 20 * time.Second // of the traffic
		beginning = 5 * time.Second
	)
	c, err := cell.Start(cell.Options{Dir: dir, Workers: 12, Cores: 32, Checkpoints: true, Tenants: []string{"press", "office"}})
	defer closeCell(c)
	if err != nil {
		return "", err
	}
	office := client{c, "office", cell.Batch}
	jobs := make(chan []string)
	go func() { jobs <- office.traffic(500*time.Millisecond, length) }()
	time.Sleep(beginning)
	if trouble {
		schedule := job("4s", map[string]any{"count": 1, "cpu": 50, "mem-mb": 50, "estimate-ms": 4000, "saves-progress": true})
		schedule.Repeats, schedule.PeriodMS = occurs, 1000
		schedule.StartMS = time.Now().Add(-occurs * time.Second).UnixMilli()
		if !(client{c, "press", cell.Batch}).submit(large, schedule) {
			return "", errors.New("the job with the schedule is not accepted")
		}
	}
	return office.stranded(<-jobs), nil
}
