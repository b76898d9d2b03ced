package coordinator

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load pattern: the hosts of an AZ are gone. Each call through one of them holds a
// step up, so they are tried less and less often.
func TestSilentAdvisersAreTriedSeldom(t *testing.T) {
	is := is.New(t)
	d := newAdviceDesk(nil, nil)
	now := time.Now()
	calls := 0
	for at := now; at.Before(now.Add(20 * time.Second)); at = at.Add(100 * time.Millisecond) {
		if at.Before(d.rest["h"]) {
			continue
		}
		calls++
		d.answered(advised{adviser: "h", err: errors.New("no answer")}, at)
	}
	is.Equal(calls, 4) // at 0, 2, 6 and 14 s
	d.answered(advised{adviser: "h"}, now)
	d.answered(advised{adviser: "h", err: errors.New("no answer")}, now)
	is.Equal(d.rest["h"].Sub(now), adviserRest)
}
