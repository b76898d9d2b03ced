package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Settings of a schedule's run.
const (
	callersPerCluster = 6
	workersPerAZInRun = 3
	// warmUp is how long callers run before the first fault.
	warmUp = 500 * time.Millisecond
	// settleTimeout is how long jobs may take to end after all faults are undone.
	settleTimeout = 60 * time.Second
)

// Report is the result of one schedule.
type Report struct {
	Seed       uint64
	Steps      []string // in the order of their start
	Operations int
	Outcomes   map[string]int // number of operations by outcome, "no answer" included
	Jobs       int
	Starts     int
	Violations []Violation
}

// RunSchedule runs the schedule of a seed on a new cluster under dir and checks the
// history. An error means that the run could not be made; violations are in the report.
func RunSchedule(ctx context.Context, dir, binary string, block int, seed uint64) (Report, error) {
	report := Report{Seed: seed, Outcomes: map[string]int{}}
	c, err := NewCluster(dir, binary, block, workersPerAZInRun)
	if err != nil {
		return report, err
	}
	defer c.Close()
	if err := c.Start(ctx); err != nil {
		return report, fmt.Errorf("start: %w", err)
	}
	log := &Log{}
	callers := StartCallers(c, log, callersPerCluster, seed)
	time.Sleep(warmUp)
	report.Steps, err = runSteps(ctx, c, log, seed)
	callers.Stop()
	if err != nil {
		return report, errors.Join(err, c.saveStates(ctx))
	}
	settle, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	CollectFinals(settle, c, log)
	history, err := c.History(ctx, log)
	if err != nil {
		return report, err
	}
	report.fill(history)
	if len(report.Violations) > 0 {
		err = errors.Join(c.saveHistory(history, report), c.saveStates(ctx))
	}
	return report, err
}

// runSteps runs a seed's faults and operators, then heals all links and restores the
// first configuration. It returns the descriptions of the faults.
func runSteps(ctx context.Context, c *Cluster, log *Log, seed uint64) ([]string, error) {
	var (
		mu      sync.Mutex
		notes   []string
		stepErr error
		wg      sync.WaitGroup
	)
	start := time.Now()
	note := func(s string) {
		mu.Lock()
		defer mu.Unlock()
		notes = append(notes, fmt.Sprintf("%.1fs %s", time.Since(start).Seconds(), s))
	}
	for _, step := range Schedule(seed) {
		wg.Go(func() {
			if err := step.Run(ctx, c, start, note); err != nil {
				mu.Lock()
				defer mu.Unlock()
				stepErr = err
			}
		})
	}
	operate, stop := context.WithCancel(ctx)
	var operators sync.WaitGroup
	operators.Go(func() { RunOperators(operate, c, log, seed) })
	wg.Wait()
	stop()
	operators.Wait()
	c.Net.HealAll()
	if stepErr != nil {
		return notes, stepErr
	}
	return notes, Restore(ctx, c, log)
}

// History collects the records of the callers, operators, workers and table.
func (c *Cluster) History(ctx context.Context, log *Log) (History, error) {
	h := History{Config: c.Config, Log: log}
	var err error
	if h.Runs, err = c.AttemptRecords(ctx); err != nil {
		return h, err
	}
	h.End = time.Now()
	h.Table, err = c.TableLog(ctx)
	return h, err
}

func (r *Report) fill(h History) {
	r.Operations = len(h.Log.Ops)
	r.Jobs = len(h.Log.Finals)
	r.Starts = len(h.Runs)
	r.Violations = Check(h)
	for _, op := range h.Log.Ops {
		r.Outcomes[outcomeLabel(op)]++
	}
}

// outcomeLabel names how a call ended.
func outcomeLabel(op Op) string {
	switch {
	case op.Status == 0:
		return "no answer"
	case op.Job != "":
		return "accepted"
	case op.Outcome == "":
		return fmt.Sprintf("status %d %s", op.Status, op.Code)
	}
	return string(op.Outcome)
}

// saveHistory writes a history with violations and the merged timeline to the
// directory of the processes' logs.
func (c *Cluster) saveHistory(h History, r Report) error {
	timeline, err := c.Timeline()
	if err != nil {
		timeline = []byte(err.Error())
	}
	if err := os.WriteFile(filepath.Join(c.dir, "timeline.json"), timeline, 0o600); err != nil {
		return err
	}
	data, err := json.MarshalIndent(struct {
		Report  Report
		Ops     []Op
		Applied []ApplyRecord
		Finals  map[string]FinalState
		History any
	}{r, h.Log.Ops, h.Log.Applied, h.Log.Finals, h.Runs}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.dir, "history.json"), data, 0o600)
}

// saveStates writes each host's status reply to the directory of the processes' logs.
func (c *Cluster) saveStates(ctx context.Context) error {
	states := map[string]any{}
	for _, h := range c.Hosts {
		s, err := c.Status(ctx, h)
		states[h.ID] = s
		if err != nil {
			states[h.ID] = err.Error()
		}
	}
	_, err := c.writeJSON("states.json", states)
	return err
}

// Timeline returns the merged timeline of all processes, as the first host reports it.
// It helps to find causes and is never checked.
func (c *Cluster) Timeline() ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	var raw json.RawMessage
	err := c.callAsOperator(ctx, c.Hosts[0], "GET", "/v1/timeline?limit=100000", nil, &raw)
	return raw, err
}
