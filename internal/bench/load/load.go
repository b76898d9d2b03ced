// Package load sends direct requests to entry hosts in an open loop and measures
// what their callers see. Requests are due at times that do not depend on the
// answers, and response times count from the time a request was due, so that a
// slow server cannot hide its delay by slowing the load down.
package load

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Scenario names what is measured.
type Scenario string

// The scenarios.
const (
	ScenarioRate       Scenario = "rate"       // one open-loop run at Options.Rate
	ScenarioLatency    Scenario = "latency"    // unloaded, beside the plain handler
	ScenarioThroughput Scenario = "throughput" // as fast as Connections allow, beside the plain handler
	ScenarioOverload   Scenario = "overload"   // once, twice and five times the cell's capacity
	ScenarioFailing    Scenario = "failing"    // a third of the workers fail everything
	ScenarioIdle       Scenario = "idle"       // memory with Connections idle connections
	ScenarioBigAnswer  Scenario = "big-answer" // memory with an answer of AnswerBytes
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	ScenarioRate, ScenarioLatency, ScenarioThroughput, ScenarioOverload,
	ScenarioFailing, ScenarioIdle, ScenarioBigAnswer,
}

// Options say what to send where. Zero values take the defaults.
type Options struct {
	Scenario    Scenario
	Servers     []string // host:port of entry hosts
	Key         string   // of a team; empty for open queues
	OperatorKey string   // for the servers' counters and status
	Queue       string   // a queue of direct requests
	// PlainProxy is the host:port of a plain reverse handler (ServePlain) to compare
	// with.
	PlainProxy string
	// Workers are host:port of stand-in workers, for ScenarioFailing.
	Workers     []string
	Rate        float64       // requests a second
	Duration    time.Duration // of each run
	Connections int
	RunTime     time.Duration // that each request keeps a worker's slot
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

// ErrNoPlainProxy means that a scenario needs Options.Plain.
var ErrNoPlainProxy = errors.New("the scenario compares with a plain reverse handler: give its address")

// Run runs one scenario.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	if len(o.Servers) == 0 || o.Queue == "" {
		return Report{}, errors.New("a server and a queue are needed")
	}
	switch o.Scenario {
	case ScenarioRate:
		return runRate(ctx, o)
	case ScenarioLatency:
		return runBeside(ctx, o, o.Rate)
	case ScenarioThroughput:
		return runBeside(ctx, o, unlimitedRate)
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
