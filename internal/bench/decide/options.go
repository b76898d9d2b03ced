// Package decide measures the decision core. It runs the core and two baselines through
// the same seeded list of events on a virtual clock. It models no network, process,
// platform or protocol.
package decide

import (
	"fmt"
	"time"
)

// Options select the measurement.
type Options struct {
	Size     string        `help:"Size of the cell: today or target." default:"today" enum:"today,target"`
	User     string        `help:"Whose day: holunderhof or himali." default:"holunderhof" enum:"holunderhof,himali"`
	Load     float64       `help:"Work handed in, in parts of the cell's capacity." default:"1.3"`
	Duration time.Duration `help:"Length of the virtual day." default:"20m"`
	Seed     uint64        `help:"Seed of the event list." default:"1"`
	Faults   bool          `help:"Failing workers, cancellation waves, and an AZ that leaves and returns." default:"true" negatable:""`
	Cost     bool          `help:"Measure decisions a second on this machine, too." default:"true" negatable:""`
}

// cell is the size of the fleet and the number of its teams.
type cell struct {
	workers      int
	azs          int
	rackSize     int
	milliCores   int64 // per worker
	memoryMB     int64
	accelerators int64 // in total; four per worker that has any
	slots        int64
	connections  int
	teams        int
	directRate   float64 // average direct requests per second
}

func (o Options) cell() (cell, error) {
	c := cell{workers: 50, azs: 3, rackSize: 8, milliCores: 32_000, memoryMB: 128_000, slots: 8, connections: 64, teams: 20, directRate: 60}
	switch o.Size {
	case "today":
	case "target":
		c.workers, c.azs, c.accelerators, c.teams, c.directRate = 930, 4, 1300, 140, 600
	default:
		return cell{}, fmt.Errorf("size %q: want today or target", o.Size)
	}
	switch o.User {
	case "holunderhof":
	case "himali":
		c.milliCores, c.memoryMB = 64_000, 256_000
	default:
		return cell{}, fmt.Errorf("user %q: want holunderhof or himali", o.User)
	}
	return c, nil
}
