package coordinator

import (
	"sync"
	"time"
)

// Timeouts of heartbeats, from the times that answers have taken.
const (
	// minAnswerTimeout and maxAnswerTimeout bound the timeout. The lower bound covers
	// pauses of the process itself.
	minAnswerTimeout = 120 * time.Millisecond
	maxAnswerTimeout = 400 * time.Millisecond
	// As in TCP's retransmission timeout: the mean and its deviation, smoothed with these
	// weights, and the multiple of the deviation.
	answerMeanWeight       = 0.125
	answerDeviationWeight  = 0.25
	answerDeviationsMargin = 4
)

// answerTimes tracks how long workers take to answer. Load pattern: workers that leave a
// few calls unanswered. The ends of their runs are reported only after the timeout, which
// must be short beside a run of half a second, but not on a full link.
type answerTimes struct {
	mu              sync.Mutex
	mean, deviation time.Duration // mean is 0 before the first answer
}

// add adds the time that an answer took.
func (a *answerTimes) add(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mean == 0 {
		a.mean, a.deviation = took, took/2
		return
	}
	a.deviation += time.Duration(answerDeviationWeight * float64((took-a.mean).Abs()-a.deviation))
	a.mean += time.Duration(answerMeanWeight * float64(took-a.mean))
}

// timeout returns how long to wait for an answer after a number of consecutive timeouts.
func (a *answerTimes) timeout(failures int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mean == 0 {
		return maxAnswerTimeout
	}
	timeout := max(minAnswerTimeout, a.mean+answerDeviationsMargin*a.deviation)
	return min(maxAnswerTimeout, timeout<<min(failures, maxTimeoutDoublings))
}

// maxTimeoutDoublings bounds the shift that doubles the timeout.
const maxTimeoutDoublings = 2
