// Package load sends direct requests to entry hosts in an open loop and measures
// latencies as callers see them. The times at which requests are due do not depend on
// the answers, and response times count from the time a request was due. A slow server
// therefore cannot hide its delay by slowing the load down (coordinated omission).
package load

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Scenario names a kind of measurement.
type Scenario string

// The scenarios.
const (
	ScenarioRate       Scenario = "rate"       // one open-loop run at Options.Rate
	ScenarioLatency    Scenario = "latency"    // at Options.Rate, compared with the plain proxy
	ScenarioThroughput Scenario = "throughput" // as fast as Options.Connections allow, compared with the plain proxy
	ScenarioOverload   Scenario = "overload"   // at one, two and five times the cell's capacity
	ScenarioFailing    Scenario = "failing"    // every task fails on a third of the workers
	ScenarioIdle       Scenario = "idle"       // memory with Options.Connections idle connections
	ScenarioBigAnswer  Scenario = "big-answer" // memory while an answer of Options.AnswerBytes is sent
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	ScenarioRate, ScenarioLatency, ScenarioThroughput, ScenarioOverload,
	ScenarioFailing, ScenarioIdle, ScenarioBigAnswer,
}

// Options configure a run. Zero values take the defaults.
type Options struct {
	Scenario    Scenario
	Servers     []string // host:port of entry hosts
	Key         string   // a team's key; empty for open queues
	OperatorKey string   // for the servers' counters, status and configuration
	Queue       string   // name of a queue of direct requests
	// PlainProxy is the host:port of a plain reverse proxy (ServePlainProxy) to compare
	// with.
	PlainProxy string
	// Workers are the host:port of stand-in workers, for ScenarioFailing.
	Workers     []string
	Rate        float64       // requests per second
	Duration    time.Duration // of each run
	Connections int
	RunTime     time.Duration // of each request on its worker
	AnswerBytes int
	Timeout     time.Duration // of each request
	Idempotent  bool
}

// Defaults of Options.
const (
	DefaultRate        = 100.0
	DefaultDuration    = 10 * time.Second
	DefaultConnections = 100
	DefaultTimeout     = 5 * time.Second
	idleConnections    = 10_000
	bigAnswerBytes     = 1 << 30
)

func (o Options) withDefaults() Options {
	if o.Scenario == "" {
		o.Scenario = ScenarioRate
	}
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
		if o.Scenario == ScenarioIdle {
			o.Connections = idleConnections
		}
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.AnswerBytes == 0 && o.Scenario == ScenarioBigAnswer {
		o.AnswerBytes = bigAnswerBytes
	}
	return o
}

// ErrNoPlainProxy means that the scenario needs Options.PlainProxy.
var ErrNoPlainProxy = errors.New("the scenario compares with a plain reverse proxy: its address is not set")

// Run runs one scenario.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	if len(o.Servers) == 0 || o.Queue == "" {
		return Report{}, errors.New("a server and a queue are required")
	}
	switch o.Scenario {
	case ScenarioRate:
		return runRate(ctx, o)
	case ScenarioLatency:
		return runCompared(ctx, o, o.Rate)
	case ScenarioThroughput:
		return runCompared(ctx, o, unlimitedRate)
	case ScenarioOverload:
		return runOverload(ctx, o)
	case ScenarioFailing:
		return runFailing(ctx, o)
	case ScenarioIdle:
		return runIdle(ctx, o)
	case ScenarioBigAnswer:
		return runBigAnswer(ctx, o)
	}
	return Report{}, fmt.Errorf("scenario %q is unknown: want one of %v", o.Scenario, Scenarios)
}
