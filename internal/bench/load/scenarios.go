package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"cuminloft/api"
	"cuminloft/internal/config"
)

const (
	// overloadRunTime makes the cell's slots the bottleneck, not the load generator.
	overloadRunTime        = 100 * time.Millisecond
	maxOverloadConnections = 8000            // in an overload run
	settlePause            = 3 * time.Second // pause between runs
	sampleEvery            = 100 * time.Millisecond
	// faultsPath is the control path of stand-in workers that sets their faults.
	faultsPath = "/control/faults"
)

func (o Options) server() target {
	return target{name: "cuminloft", url: "http://" + o.Servers[0] + "/v1/run/" + url.PathEscape(o.Queue), key: o.Key}
}

func runRate(ctx context.Context, o Options) (Report, error) {
	r, err := sendLoad(ctx, o, o.server(), o.Rate)
	return Report{Scenario: o.Scenario, Runs: []Result{r}}, err
}

// runCompared measures the plain proxy and one entry host in turn, twice, so that a
// drift of the machine's speed is visible.
func runCompared(ctx context.Context, o Options, rate float64) (Report, error) {
	if o.PlainProxy == "" {
		return Report{}, ErrNoPlainProxy
	}
	plain := target{name: "plain", url: "http://" + o.PlainProxy + "/"}
	report := Report{Scenario: o.Scenario}
	for _, t := range []target{plain, o.server(), plain, o.server()} {
		r, err := sendLoad(ctx, o, t, rate)
		if err != nil {
			return report, err
		}
		report.Runs = append(report.Runs, r)
	}
	report.compare()
	return report, nil
}

// runOverload offers multiples of the rate that the slots usable by the team can run.
func runOverload(ctx context.Context, o Options) (Report, error) {
	if o.RunTime == 0 {
		o.RunTime = overloadRunTime
	}
	slots, err := usableSlots(ctx, o)
	if err != nil {
		return Report{}, err
	}
	capacity := float64(slots) / o.RunTime.Seconds()
	report := Report{Scenario: o.Scenario, Capacity: capacity}
	for _, factor := range []float64{1, 2, 5} {
		o.Connections = min(maxOverloadConnections, int(factor*capacity*o.Timeout.Seconds())+1)
		r, err := sendLoad(ctx, o, o.server(), factor*capacity)
		if err != nil {
			return report, err
		}
		report.Runs = append(report.Runs, r)
		time.Sleep(settlePause)
	}
	return report, nil
}

// usableSlots returns the number of tasks that the cell's ready shards can run at once,
// or the team's upper limit if that is lower.
func usableSlots(ctx context.Context, o Options) (int64, error) {
	client, err := api.NewClient(o.Servers, o.OperatorKey)
	if err != nil {
		return 0, err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return 0, fmt.Errorf("status: %w", err)
	}
	var slots int64
	for _, s := range status.Shards {
		if s.Ready {
			slots += s.Capacity.Slots
		}
	}
	if slots == 0 {
		return 0, errors.New("no shard is ready")
	}
	reply, err := client.Config(ctx, 0)
	if err != nil {
		return 0, fmt.Errorf("configuration: %w", err)
	}
	c, err := config.Parse("accepted", []byte(reply.Config))
	if err != nil {
		return 0, err
	}
	if team, ok := c.KeyTeam(config.HashKey(o.Key)); ok && team.Limit.Slots > 0 {
		slots = min(slots, team.Limit.Slots)
	}
	return slots, nil
}

// runFailing makes every task fail on a third of the workers and measures the number of
// attempts per request.
func runFailing(ctx context.Context, o Options) (Report, error) {
	if len(o.Workers) < 3 {
		return Report{}, errors.New("the scenario needs the addresses of at least three stand-in workers")
	}
	var failing []string // every third worker, so that each AZ has some
	for i := 0; i < len(o.Workers); i += 3 {
		failing = append(failing, o.Workers[i])
	}
	if err := setFailing(ctx, failing, true); err != nil {
		return Report{}, err
	}
	defer func() { _ = setFailing(context.WithoutCancel(ctx), failing, false) }()
	requests, attempts, retries, err := sumCounters(ctx, o)
	if err != nil {
		return Report{}, err
	}
	r, err := sendLoad(ctx, o, o.server(), o.Rate)
	if err != nil {
		return Report{}, err
	}
	requestsAfter, attemptsAfter, retriesAfter, err := sumCounters(ctx, o)
	return Report{
		Scenario: o.Scenario, Runs: []Result{r},
		Amplification: float64(attemptsAfter-attempts) / float64(max(requestsAfter-requests, 1)),
		Retries:       retriesAfter - retries,
	}, err
}

func setFailing(ctx context.Context, workers []string, fail bool) error {
	body, err := json.Marshal(map[string]bool{"fail_everything": fail})
	if err != nil {
		return err
	}
	for _, w := range workers {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w+faultsPath, bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("faults of worker %s: %s", w, resp.Status)
		}
	}
	return nil
}

// runIdle measures the server's memory with idle connections open, each of which has
// made one small request.
func runIdle(ctx context.Context, o Options) (Report, error) {
	before, err := readCounters(ctx, o.Servers[0], o.OperatorKey)
	if err != nil {
		return Report{}, err
	}
	conns := make([]net.Conn, 0, o.Connections)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for range o.Connections {
		c, err := openIdle(ctx, o.Servers[0])
		if err != nil {
			return Report{}, fmt.Errorf("connection %d: %w", len(conns)+1, err)
		}
		conns = append(conns, c)
	}
	after, err := readCounters(ctx, o.Servers[0], o.OperatorKey)
	if err != nil {
		return Report{}, err
	}
	return Report{
		Scenario: o.Scenario, Connections: o.Connections,
		MemoryBefore: before.memoryUsed(), MemoryPeak: after.memoryUsed(),
	}, nil
}

func openIdle(ctx context.Context, server string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", server)
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: load\r\n\r\n"); err != nil {
		return nil, err
	}
	var firstByte [1]byte
	_, err = c.Read(firstByte[:])
	return c, err
}

// runBigAnswer streams one large answer and samples the server's memory meanwhile.
func runBigAnswer(ctx context.Context, o Options) (Report, error) {
	before, err := readCounters(ctx, o.Servers[0], o.OperatorKey)
	if err != nil {
		return Report{}, err
	}
	o.Connections = 1
	o.Timeout = time.Minute
	g, err := newGenerator(o, o.server(), unlimitedRate)
	if err != nil {
		return Report{}, err
	}
	done := make(chan Result, 1)
	go func() {
		t := newTally()
		began := time.Now()
		label, n := g.send(ctx)
		t.observe(began, began, time.Now(), label, n)
		done <- g.result(t)
	}()
	peak := before.memoryUsed()
	for {
		select {
		case r := <-done:
			return Report{Scenario: o.Scenario, Runs: []Result{r}, MemoryBefore: before.memoryUsed(), MemoryPeak: peak}, nil
		case <-time.After(sampleEvery):
			now, err := readCounters(ctx, o.Servers[0], o.OperatorKey)
			if err != nil {
				return Report{}, err
			}
			peak = max(peak, now.memoryUsed())
		}
	}
}
