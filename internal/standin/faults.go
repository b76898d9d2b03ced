package standin

import (
	"context"
	"sync"
	"time"

	"cuminloft/internal/wait"
)

// FaultSet is the faults that a stand-in injects. The zero value injects none. A field
// that ends in Every applies to each n-th call; 0 means never.
type FaultSet struct {
	Down             bool  `json:"down,omitempty"`            // every call is refused without an effect
	DelayMillis      int64 `json:"slow_millis,omitempty"`     // delay before the call takes effect
	ReplyDelayMillis int64 `json:"late_millis,omitempty"`     // delay of the reply, after the call took effect
	LoseReplyEvery   int   `json:"lose_every,omitempty"`      // the reply is lost after the call took effect
	FailEverything   bool  `json:"fail_everything,omitempty"` // worker: every task fails; platform: every call fails
	MisaddressEvery  int   `json:"cross_every,omitempty"`     // worker: the answer names another attempt
	TruncateEvery    int   `json:"truncate_every,omitempty"`  // worker: the answer's body is truncated
	Freeze           bool  `json:"freeze,omitempty"`          // calls hang until Freeze is cleared
}

// Faults applies a FaultSet to calls. The set may be replaced at any time.
type Faults struct {
	mu      sync.Mutex
	set     FaultSet
	changed chan struct{} // closed by the next Set
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

// callFaults is the faults chosen for one call.
type callFaults struct {
	loseReply, misaddress, truncate bool
}

// beginCall applies the faults that come before a call takes effect: it waits, and
// reports false if the stand-in is down. Its error is the context's.
func (f *Faults) beginCall(ctx context.Context) (callFaults, bool, error) {
	if err := f.waitUnfrozen(ctx); err != nil {
		return callFaults{}, false, err
	}
	f.mu.Lock()
	set := f.set
	f.calls++
	c := callFaults{
		loseReply:  isNth(f.calls, set.LoseReplyEvery),
		misaddress: isNth(f.calls, set.MisaddressEvery),
		truncate:   isNth(f.calls, set.TruncateEvery),
	}
	f.mu.Unlock()
	if set.Down {
		return c, false, nil
	}
	return c, true, sleepMillis(ctx, set.DelayMillis)
}

// delayReply applies the faults that come after a call took effect. Its error is the
// context's.
func (f *Faults) delayReply(ctx context.Context) error {
	if err := f.waitUnfrozen(ctx); err != nil {
		return err
	}
	return sleepMillis(ctx, f.Get().ReplyDelayMillis)
}

// waitUnfrozen blocks while the stand-in is frozen.
func (f *Faults) waitUnfrozen(ctx context.Context) error {
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

func isNth(call, n int) bool { return n > 0 && call%n == 0 }

func sleepMillis(ctx context.Context, millis int64) error {
	if millis <= 0 {
		return nil
	}
	return wait.For(ctx, time.Duration(millis)*time.Millisecond)
}
