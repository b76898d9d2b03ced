package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cuminloft/internal/dispatch"
)

// linkSet holds a link for each worker to keep in touch with.
type linkSet struct {
	c         *Coordinator
	fence     int64
	confirmed func() time.Time
	events    chan<- any
	links     map[string]*link
	count     atomic.Int64  // of links
	short     chan struct{} // a token for each call that needs no waiting
	running   sync.WaitGroup
}

func newLinkSet(c *Coordinator, fence int64, confirmed func() time.Time, events chan<- any) *linkSet {
	return &linkSet{c: c, fence: fence, confirmed: confirmed, events: events, links: map[string]*link{},
		short: make(chan struct{}, shortHolds)}
}

// sync opens, updates and closes links of the workers that the core has touched.
func (s *linkSet) sync(ctx context.Context, core *dispatch.Core) {
	for _, id := range core.TakeChangedWorkers() {
		v, wanted := core.ViewWorker(id)
		l := s.links[id]
		if l != nil && (!wanted || l.worker.Address != v.Worker.Address) {
			l.cancel()
			delete(s.links, id)
			l = nil
		}
		if !wanted {
			continue
		}
		if l == nil {
			l = newLink(s, v)
			s.links[id] = l
			linkCtx, cancel := context.WithCancel(ctx)
			l.cancel = cancel
			s.spawn(func() { l.run(linkCtx) })
		}
		l.update(v)
	}
	s.count.Store(int64(len(s.links)))
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
			s.spawn(func() { l.start(ctx, st) })
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

// pace sends pace orders.
func (s *linkSet) pace(ctx context.Context, orders []dispatch.ThrottleOrder) {
	for _, o := range orders {
		if l := s.links[o.Worker.ID]; l != nil {
			s.spawn(func() { l.pace(ctx, o) })
		}
	}
}

// over returns when leases given to a worker have surely ended.
func (s *linkSet) over(id string) time.Time {
	if l := s.links[id]; l != nil {
		return l.over()
	}
	return time.Time{}
}

// overs returns the same for all workers.
func (s *linkSet) overs() map[string]time.Time {
	out := make(map[string]time.Time, len(s.links))
	for id, l := range s.links {
		out[id] = l.over()
	}
	return out
}

// closeAll ends all links; the term's context has ended.
func (s *linkSet) closeAll() {
	for _, l := range s.links {
		l.cancel()
	}
	s.running.Wait()
}
