package door

import "expvar"

// Counters of all front ends of the process, published as "door" in /debug/vars.
var (
	metrics         = expvar.NewMap("door")
	refusals        = new(expvar.Map).Init() // by code
	countRequests   = newCounter("requests")
	countDone       = newCounter("done")
	countFailed     = newCounter("failed")
	countNotRun     = newCounter("not_run")
	countUnknown    = newCounter("unknown")
	countAttempts   = newCounter("attempts")
	countRetries    = newCounter("retries")
	countNoBudget   = newCounter("retries_over_budget")
	countForeign    = newCounter("answers_foreign")
	countTruncated  = newCounter("answers_truncated")
	countLate       = newCounter("answers_late")
	countCut        = newCounter("answers_cut")
	countSettled    = newCounter("settled")
	countRepeats    = newCounter("idempotency_repeats")
	countSweepErr   = newCounter("sweep_errors")
	countReleaseErr = newCounter("release_errors")
	countConnOver   = newCounter("connections_over_limit")
	countIdleClosed = newCounter("idle_connections_closed")
	gaugeInFlight   = newCounter("in_flight")
	gaugeWaiting    = newCounter("waiting")
	gaugeConns      = newCounter("connections")
)

func init() { metrics.Set("refusals", refusals) }

func newCounter(name string) *expvar.Int {
	v := new(expvar.Int)
	metrics.Set(name, v)
	return v
}

func countRefusal(e *Error) { refusals.Add(string(e.Code), 1) }
