package standin

import (
	"context"
	"sync"
	"time"

	"cuminloft/internal/wait"
)

// FaultSet is what a stand-in has been told to do wrong. The zero value is
// healthy. A field that ends in Every makes each n-th call fail; 0 means none.
type FaultSet struct {
	Down             bool  `json:"down,omitempty"`            // refuses every call before it has an effect
	DelayMillis      int64 `json:"slow_millis,omitempty"`     // delay before the effect
	ReplyDelayMillis int64 `json:"late_millis,omitempty"`     // delay of the answer, after the effect
	LoseReplyEvery   int   `json:"lose_every,omitempty"`      // answer lost after the effect
	FailEverything   bool  `json:"fail_everything,omitempty"` // worker: every task fails; platform: every call
	MisaddressEvery  int   `json:"cross_every,omitempty"`     // worker: the answer names another attempt
	TruncateEvery    int   `json:"truncate_every,omitempty"`  // worker: the answer's body is cut short
	Freeze           bool  `json:"freeze,omitempty"`          // calls hang until it is cleared
}

// Faults applies a FaultSet to calls. It may be changed at any time.
type Faults struct {
	mu      sync.Mutex
	set     FaultSet
	changed chan struct{} // closed at the next Set
	calls   int
}

// Set replaces the faults in force.
func (f *Faults) Set(s FaultSet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set = s
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Get returns the faults in force.
func (f *Faults) Get() FaultSet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// call is the faults that one call meets.
type call struct {
	lose, cross, truncate bool
}

// admit waits as the faults demand before a call has its effect. It reports
// false if the stand-in is down. The error is the context's.
func (f *Faults) admit(ctx context.Context) (call, bool, error) {
	if err := f.thawed(ctx); err != nil {
		return call{}, false, err
	}
	f.mu.Lock()
	set := f.set
	f.calls++
	c := call{
		lose:     every(f.calls, set.LoseReplyEvery),
		cross:    every(f.calls, set.MisaddressEvery),
		truncate: every(f.calls, set.TruncateEvery),
	}
	f.mu.Unlock()
	if set.Down {
		return c, false, nil
	}
	return c, true, pause(ctx, set.DelayMillis)
}

// answer delays an answer whose call has had its effect.
func (f *Faults) answer(ctx context.Context) error {
	if err := f.thawed(ctx); err != nil {
		return err
	}
	return pause(ctx, f.Get().ReplyDelayMillis)
}

// thawed waits until the stand-in is not frozen.
func (f *Faults) thawed(ctx context.Context) error {
	for {
		f.mu.Lock()
		frozen := f.set.Freeze
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		changed := f.changed
		f.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func every(call, n int) bool { return n > 0 && call%n == 0 }

func pause(ctx context.Context, millis int64) error {
	if millis <= 0 {
		return nil
	}
	return wait.For(ctx, time.Duration(millis)*time.Millisecond)
}
