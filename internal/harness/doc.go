// Package harness runs the real binary as separate processes on loopback (eight entry
// hosts, a stand-in platform, stand-in workers), injects seeded schedules of faults,
// and checks the outcome from the callers' and the workers' own records alone.
//
// It is no simulation: processes are killed and frozen by signals, links are cut by
// forwarders of the harness, and time is real.
package harness
