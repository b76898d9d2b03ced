package main

import (
	"fmt"
	"time"
)

const (
	usualTime  = 10 * time.Second
	longFactor = 60 // a task of 10 s takes 600 s
	longTasks  = 20
	usualJobs  = 20 // handed in right after the long one, which is one of 21
	usualSpec  = 2 * time.Second
	watchTime  = 85 * time.Second
	finishTime = 14 * time.Second // from the end of the traffic until jobs are asked for
	idleTime   = 3 * time.Second
)

// long plays one job of 21 that takes many times as long as usual. That it is not completed
// follows from its length; but it must not go without a run for 3 s while all workers are idle.
func long(c *cell, trouble bool) (broken, ran bool) {
	d := usualTime
	if trouble {
		d *= longFactor
	}
	const first = "00000000000000d0"
	body := fmt.Sprintf(`{"spec":"%v","steps":[{"count":%d,"cpu":1000,"estimate-ms":%d,"gang":true}]}`, d, longTasks, usualTime.Milliseconds())
	if !c.submit(first, body, 15*time.Second) {
		return false, false
	}
	usual := fmt.Sprintf(`{"spec":"%v","steps":[{"count":1,"cpu":1000,"estimate-ms":%d}]}`, usualSpec, usualSpec.Milliseconds())
	for i := range usualJobs {
		if !c.submit(fmt.Sprintf("%016x", 0xe00+i), usual, 15*time.Second) {
			return false, false
		}
	}
	time.Sleep(finishTime)
	var idleSince time.Time
	var longest time.Duration
	shown := -1 // number of running tasks in the latest line of the record
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		running := 0
		for _, w := range c.site.All() {
			running += w.Running()
		}
		if (running == 0) != (shown == 0) || running > shown {
			c.add("tasks running on all workers: %d, runs started so far: %d", running, c.site.Checker.Starts())
			shown = running
		}
		switch {
		case running > 0:
			if longest < time.Since(idleSince) && !idleSince.IsZero() {
				longest = time.Since(idleSince)
				c.add("nothing ran on any worker for %v", longest.Round(time.Millisecond))
			}
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		}
	}
	state := c.state(first)
	c.add("job %s: state %s, longest time without a run %v, %d runs started in all", first, state, longest.Round(time.Millisecond), c.site.Checker.Starts())
	return state != "completed" && longest > idleTime, c.allUp() && (state == "completed" || state == "running")
}
