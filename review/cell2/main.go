package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios are the scripts by name. Each reports whether the rule was broken and whether
// the script could run.
var scenarios = map[string]struct {
	hosts, workers int
	cores          int64
	play           func(c *cell, trouble bool) (broken, ran bool)
}{
	"long": {3, 5, 8, long},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cell2 SCENARIO PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, path string) int {
	s, known := scenarios[name]
	out, err := os.Create(path)
	if err != nil || !known {
		fmt.Fprintln(os.Stderr, "cannot play", name, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	r := &recorder{out: out, began: time.Now()}
	c, err := newCell(r, program, s.hosts, s.workers, s.cores)
	if err != nil {
		r.add("cannot start: %v", err)
		return exitNotRun
	}
	defer c.close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, ran := s.play(c, trouble)
	switch {
	case !ran:
		r.add("could not run")
		return exitNotRun
	case broken:
		r.add("rule broken")
		return exitBroken
	default:
		r.add("rule held")
		return exitHeld
	}
}
