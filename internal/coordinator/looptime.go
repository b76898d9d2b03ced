package coordinator

import "time"

// phase is a part of what the coordinator's loop does.
type phase string

// The phases of the loop.
const (
	phaseEvents   phase = "events"   // what workers, hosts and the store tell
	phaseTick     phase = "tick"     // what is due with time
	phaseSchedule phase = "schedule" // looking for places
	phaseAdvice   phase = "advice"   // choosing calls for advice
	phaseCommit   phase = "commit"   // gathering what to store
	phaseOrders   phase = "orders"   // handing orders to the links
	phaseLog      phase = "log"
)

var phases = []phase{phaseEvents, phaseTick, phaseSchedule, phaseAdvice, phaseCommit, phaseOrders, phaseLog}

// loopTime sums up the time that the loop has spent, by phase.
type loopTime map[phase]time.Duration

// spend adds the time since began to a phase, and returns the present time.
func (l loopTime) spend(p phase, began time.Time) time.Time {
	now := time.Now()
	l[p] += now.Sub(began)
	return now
}

// tellLoopTime logs and counts the time that the loop has spent since the last time.
func (t *termLoop) tellLoopTime(span time.Duration) {
	fields := []any{"span", span}
	for _, p := range phases {
		t.Observer.ObserveLoopTime(string(p), t.spent[p])
		fields = append(fields, string(p), t.spent[p])
	}
	t.Log.Info("coordinator's time", fields...)
	clear(t.spent)
}
