package entry

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/linkmeter"
)

// TestAdmittedShareFollowsTheLink replays a load for which a link is too thin by the
// given factor, of which a part does not depend on the jobs admitted, and then the usual
// load again.
func TestAdmittedShareFollowsTheLink(t *testing.T) {
	for _, offered := range []float64{0.3, 0.9, 1.8, 4} {
		const fixed = 0.2 // share of the link for feeds and idle workers
		is := is.New(t)
		a := admittedShare{1}
		use := 0.0
		for range 40 {
			use = min(1, fixed+offered*a.share)
			a.adjust(use)
		}
		if fixed+offered <= targetLinkUse {
			is.Equal(a.share, 1.0) // a link with capacity left refuses nothing
			continue
		}
		is.True(use > targetLinkUse*0.9 && use < targetLinkUse*1.1)
		for range 20 {
			a.adjust(fixed)
		}
		is.Equal(a.share, 1.0)
	}
}

// TestAdmission checks whose share applies to a new job.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	a := newAdmission(linkmeter.New(), 250_000, logr.Discard())
	admitted := func() int {
		n := 0
		for range 1000 {
			if retryAfter, ok := a.admit(); ok {
				n++
			} else {
				is.True(retryAfter > 0)
			}
		}
		return n
	}
	is.Equal(admitted(), 1000)
	a.setLeader(1000) // the coordinator takes none
	is.Equal(admitted(), 0)
	a.leaderAt = time.Now().Add(-leaderAdmissionAge) // an old report does not count
	is.Equal(admitted(), 1000)
	a.setLeader(500)
	is.True(admitted() > 350 && admitted() < 650)
	a.setLeader(0)
	a.setOldest(2 * maxWaitLinkFull) // jobs wait, but not for this host's link
	is.Equal(admitted(), 1000)
	is.Equal(a.refusedPermille(), int32(0))
	a.own.share = 0.5
	is.Equal(admitted(), 0)
	is.Equal(a.refusedPermille(), int32(1000))
}
