package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cuminloft/internal/dispatch"
)

// linkSet holds a link for each worker that the core wants to be in contact with.
type linkSet struct {
	coordinator     *Coordinator
	fence           int64            // of the next link; no link that was closed had a higher one
	lastFence       int64            // the highest that the term may use
	leasesEndBefore func() time.Time // the time by which leases given now have to end
	events          chan<- any
	links           map[string]*link
	withheld        map[string]bool // workers that are given no leases
	count           atomic.Int64    // of links
	shortHeartbeats chan struct{}   // a token for each heartbeat that returns without waiting
	answerTimes     answerTimes
	running         sync.WaitGroup
}

// newLinkSet returns the set of a term whose lowest fence is given.
func newLinkSet(c *Coordinator, fence int64, leasesEndBefore func() time.Time, events chan<- any) *linkSet {
	return &linkSet{coordinator: c, fence: fence, lastFence: fence + fencesPerTerm - 1, leasesEndBefore: leasesEndBefore, events: events, links: map[string]*link{}, withheld: map[string]bool{},
		shortHeartbeats: make(chan struct{}, maxShortHeartbeats)}
}

// sync opens, updates and closes the links of the workers that changed in the core.
func (s *linkSet) sync(ctx context.Context, core *dispatch.Core) {
	for _, id := range core.TakeChangedWorkers() {
		v, wanted := core.ViewWorker(id)
		l := s.links[id]
		var granted, leasesEnd time.Time // of a link that is replaced
		if l != nil && (!wanted || l.worker.Address != v.Worker.Address) {
			l.cancel()
			s.fence = max(s.fence, s.fenceAfter(l.currentFence()))
			granted, leasesEnd = l.withhold()
			core.ExtendLease(id, leasesEnd)
			delete(s.links, id)
			l = nil
		}
		if !wanted {
			continue
		}
		if l == nil {
			l = newLink(s, v)
			l.withheld, l.grantedAt, l.leasesEndBy = s.withheld[id], granted, leasesEnd
			s.links[id] = l
			linkCtx, cancel := context.WithCancel(ctx)
			l.cancel = cancel
			s.spawn(func() { l.run(linkCtx) })
		}
		l.update(v)
	}
	s.count.Store(int64(len(s.links)))
}

// fenceAfter returns the fence for a worker that may still carry out commands of an earlier
// one, which it is to refuse.
func (s *linkSet) fenceAfter(fence int64) int64 {
	if fence >= s.lastFence {
		s.coordinator.Log.Info("fences of the term are used up", "fence", fence)
		return s.lastFence
	}
	return fence + 1
}

func (s *linkSet) spawn(f func()) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		f()
	}()
}

// start sends start orders.
func (s *linkSet) start(ctx context.Context, starts []dispatch.Start) {
	for _, st := range starts {
		if l := s.links[st.Worker.ID]; l != nil {
			given := l.newLease()
			s.spawn(func() { l.start(ctx, st, given) })
		}
	}
}

// stop sends stop orders.
func (s *linkSet) stop(ctx context.Context, stops []dispatch.StopOrder) {
	for _, st := range stops {
		if l := s.links[st.Worker.ID]; l != nil {
			s.spawn(func() { l.stop(ctx, st) })
		}
	}
}

// throttle sends throttle orders.
func (s *linkSet) throttle(ctx context.Context, orders []dispatch.ThrottleOrder) {
	for _, o := range orders {
		if l := s.links[o.Worker.ID]; l != nil {
			s.spawn(func() { l.throttle(ctx, o) })
		}
	}
}

// withhold keeps a worker from being given leases. It returns when the last lease was
// given, and when all leases have expired; zero times if none was given.
func (s *linkSet) withhold(id string) (grantedAt, leasesEnd time.Time) {
	s.withheld[id] = true
	if l := s.links[id]; l != nil {
		return l.withhold()
	}
	return time.Time{}, time.Time{}
}

// release lets a worker be given leases again.
func (s *linkSet) release(id string) {
	delete(s.withheld, id)
	if l := s.links[id]; l != nil {
		l.release()
	}
}

// renewLeaseless gives leases to the workers whose latest heartbeat gave none, without
// waiting for its answer. Load pattern: a takeover at a store that is a hundred times
// slower than usual leaves little of the leases that the predecessor gave.
func (s *linkSet) renewLeaseless(ctx context.Context) {
	for _, l := range s.links {
		if l.takeLeaseless() {
			s.spawn(func() { _, _ = l.heartbeat(ctx, true) }) // it posts its result
		}
	}
}

// leasesEnd returns the time by which all leases given to a worker have expired.
func (s *linkSet) leasesEnd(id string) time.Time {
	if l := s.links[id]; l != nil {
		return l.leasesEnd()
	}
	return time.Time{}
}

// closeAll closes all links and waits for their goroutines. It is called after the
// term's context has ended.
func (s *linkSet) closeAll() {
	for _, l := range s.links {
		l.cancel()
	}
	s.running.Wait()
}
