// Command cases runs a case of the review: a small deployment of the project's own
// programs on loopback, with a disruption unless TROUBLE=0. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"

	"cuminloft/review/cell"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// caseFunc plays a case and returns what broke the rule, "" if it held.
type caseFunc func(dir string, trouble bool) (finding string, err error)

var cases = map[string]caseFunc{
	"lease":    leaseAfterRestart,
	"schedule": longSchedule,
	"headroom": wholeWorker,
	"fills":    fillingTask,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME DIR")
		os.Exit(notRun)
	}
	finding, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("not run:", err)
		os.Exit(notRun)
	case finding != "":
		fmt.Println("BROKEN:", finding)
		os.Exit(broken)
	}
	fmt.Println("held")
	os.Exit(held)
}

// await polls until a condition holds or the time is over, and reports whether it holds.
func await(limit time.Duration, condition func() bool) bool {
	const pause = 20 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		if condition() {
			return true
		}
	}
	return condition()
}

// job returns a submission of one step.
func job(spec string, step map[string]any) cell.Job {
	return cell.Job{Spec: spec, Steps: []map[string]any{step}}
}

// closeCell closes a cell that may not have started.
func closeCell(c *cell.Cell) {
	if c != nil {
		c.Close()
	}
}
