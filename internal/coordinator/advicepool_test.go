package coordinator

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load pattern: the hosts of an AZ are down. Each call through one of them delays a
// step, so the pause after each further failure of a host doubles up to its limit, and
// an answer resets it.
func TestFailingAdvisersBackOff(t *testing.T) {
	is := is.New(t)
	p := newAdvicePool(nil, nil)
	now := time.Now()
	calls := 0
	for at := now; at.Before(now.Add(20 * time.Second)); at = at.Add(100 * time.Millisecond) {
		if at.Before(p.pausedUntil["h"]) {
			continue
		}
		calls++
		p.finishCall(adviceResult{adviser: "h", err: errors.New("no answer")}, at)
	}
	is.Equal(calls, 4) // at 0, 2, 6 and 14 s
	p.finishCall(adviceResult{adviser: "h"}, now)
	p.finishCall(adviceResult{adviser: "h", err: errors.New("no answer")}, now)
	is.Equal(p.pausedUntil["h"].Sub(now), adviserPause)
}
