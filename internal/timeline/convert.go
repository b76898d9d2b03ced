package timeline

import (
	"time"

	"cuminloft/api"
	"cuminloft/internal/rpc"
)

// ToRPC converts events to messages.
func ToRPC(events []Event) []*rpc.TimelineEvent {
	out := make([]*rpc.TimelineEvent, 0, len(events))
	for i := range events {
		e := &events[i]
		out = append(out, &rpc.TimelineEvent{
			Hlc: e.HLC, Host: e.Host, Az: e.AZ, Kind: string(e.Kind), Request: e.Request, Job: e.Job,
			Team: e.Team, Target: e.Target, Detail: e.Detail, DurationNs: int64(e.Duration),
		})
	}
	return out
}

// FromRPC converts messages to events.
func FromRPC(events []*rpc.TimelineEvent) []Event {
	out := make([]Event, 0, len(events))
	for _, e := range events {
		out = append(out, Event{
			HLC: e.GetHlc(), Host: e.GetHost(), AZ: e.GetAz(), Kind: Kind(e.GetKind()),
			Request: e.GetRequest(), Job: e.GetJob(), Team: e.GetTeam(), Target: e.GetTarget(),
			Detail: e.GetDetail(), Duration: time.Duration(e.GetDurationNs()),
		})
	}
	return out
}

// ToAPI converts events to the type of the operators' interface.
func ToAPI(events []Event) []api.TimelineEvent {
	out := make([]api.TimelineEvent, 0, len(events))
	for i := range events {
		e := &events[i]
		out = append(out, api.TimelineEvent{
			HLC: e.HLC, Time: Time(e.HLC), Host: e.Host, AZ: e.AZ, Kind: string(e.Kind), Request: e.Request,
			Job: e.Job, Team: e.Team, Target: e.Target, Detail: e.Detail, Duration: api.Duration(e.Duration),
		})
	}
	return out
}

// FromAPI converts events from the type of the operators' interface.
func FromAPI(events []api.TimelineEvent) []Event {
	out := make([]Event, 0, len(events))
	for i := range events {
		e := &events[i]
		out = append(out, Event{
			HLC: e.HLC, Host: e.Host, AZ: e.AZ, Kind: Kind(e.Kind), Request: e.Request, Job: e.Job,
			Team: e.Team, Target: e.Target, Detail: e.Detail, Duration: time.Duration(e.Duration),
		})
	}
	return out
}

// FilterOf returns the filter of another entry host's query.
func FilterOf(r *rpc.EventsRequest) Filter {
	return Filter{
		After: r.GetAfterHlc(), Request: r.GetRequest(), Job: r.GetJob(),
		Team: r.GetTeam(), Host: r.GetHost(), AZ: r.GetAz(),
	}
}
