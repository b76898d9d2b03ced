package serve

import (
	"context"

	"cuminloft/api"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
)

// Numbers of events in the reply to a time line query.
const (
	defaultEvents = 1000
	maxEvents     = 10_000
)

// events returns the events of this process's ring that match the query of another entry
// host.
func (p *Process) events(r *rpc.EventsRequest) *rpc.EventsReply {
	found, dropped := p.ring.Select(timeline.FilterOf(r), eventLimit(int(r.GetLimit())))
	return &rpc.EventsReply{Events: timeline.ToRPC(found), Dropped: dropped}
}

func eventLimit(requested int) int {
	if requested <= 0 {
		return defaultEvents
	}
	return min(requested, maxEvents)
}

// cellTimeline merges the events of all live entry hosts.
func (p *Process) cellTimeline(ctx context.Context, q api.TimelineQuery) api.TimelineReply {
	request := &rpc.EventsRequest{
		Limit:   int32(eventLimit(q.Limit)),
		Request: q.Request,
		Job:     q.Job,
		Team:    q.Team,
		Host:    q.Host,
		Az:      q.AZ,
	}
	own := p.events(request)
	rings := [][]timeline.Event{timeline.FromRPC(own.GetEvents())}
	dropped := own.GetDropped()
	missing := queryPeers(ctx, p,
		func(ctx context.Context, peer rpc.Peer) (*rpc.EventsReply, error) {
			return peer.Events(ctx, request)
		},
		func(r *rpc.EventsReply) {
			rings = append(rings, timeline.FromRPC(r.GetEvents()))
			dropped += r.GetDropped()
		})
	merged := timeline.Merge(eventLimit(q.Limit), rings...)
	return api.TimelineReply{Events: timeline.ToAPI(merged), Dropped: dropped, Missing: missing}
}
