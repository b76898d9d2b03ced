package coordinator

import "time"

// phase is a part of the event loop's work.
type phase string

// The phases of the event loop.
const (
	phaseEvents   phase = "events"   // handling events from workers, hosts and the store
	phaseTick     phase = "tick"     // periodic work
	phaseSchedule phase = "schedule" // scheduling passes
	phaseAdvice   phase = "advice"   // choosing calls for advice
	phaseCommit   phase = "commit"   // collecting the changes to store
	phaseOrders   phase = "orders"   // passing orders to the links
	phaseLog      phase = "log"
)

var phases = []phase{phaseEvents, phaseTick, phaseSchedule, phaseAdvice, phaseCommit, phaseOrders, phaseLog}

// loopTime is the time that the event loop has spent, by phase.
type loopTime map[phase]time.Duration

// add adds the time since began to a phase and returns the current time.
func (l loopTime) add(p phase, began time.Time) time.Time {
	now := time.Now()
	l[p] += now.Sub(began)
	return now
}

// reportLoopTime logs the time that the event loop has spent since the last report and
// passes it to the observer.
func (t *termLoop) reportLoopTime(span time.Duration) {
	fields := []any{"span", span}
	for _, p := range phases {
		t.Observer.ObserveLoopTime(string(p), t.loopTime[p])
		fields = append(fields, string(p), t.loopTime[p])
	}
	t.Log.Info("coordinator's time", fields...)
	clear(t.loopTime)
}
