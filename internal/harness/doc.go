// Package harness runs the real binary as separate processes on loopback (eight
// entry hosts, a stand-in platform, stand-in workers), breaks them by seeded
// schedules of faults, and checks what happened by the callers' and the workers'
// own records alone.
//
// It is no simulator: processes are killed and frozen by signal, links are cut
// by forwarders of the harness, and time is real.
package harness
