package harness

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// Usage is the processor time and memory that a process has used so far.
type Usage struct {
	CPU      time.Duration
	Resident int64 // bytes
}

// Usage reads the processor time and the resident memory of the process.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	// The name in parentheses may contain spaces, so fields are counted after it.
	const userTime, systemTime, residentPages = 11, 12, 21
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	var n [3]int64
	for i, field := range []int{userTime, systemTime, residentPages} {
		if n[i], err = strconv.ParseInt(string(fields[field]), 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		CPU:      time.Duration(n[0]+n[1]) * clockTick,
		Resident: n[2] * int64(os.Getpagesize()),
	}, nil
}
