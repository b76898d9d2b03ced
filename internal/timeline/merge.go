package timeline

import (
	"cmp"
	"slices"
)

// Filter selects events; empty fields select all.
type Filter struct {
	After   int64 // HLC reading; only later events
	Request string
	Job     string
	Team    string
	Host    string
	AZ      string
}

// Match reports whether the filter selects the event.
func (f *Filter) Match(e *Event) bool {
	return e.HLC > f.After &&
		matches(f.Request, e.Request) &&
		matches(f.Job, e.Job) &&
		matches(f.Team, e.Team) &&
		matches(f.Host, e.Host) &&
		matches(f.AZ, e.AZ)
}

func matches(want, got string) bool { return want == "" || want == got }

// Merge returns the newest limit events of several rings, ordered by clock reading, then by
// host. An event that occurs in more than one input, as after a repeated query, is returned
// once.
func Merge(limit int, rings ...[]Event) []Event {
	all := slices.Concat(rings...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.HLC, b.HLC), cmp.Compare(a.Host, b.Host))
	})
	all = slices.Compact(all)
	if len(all) > limit {
		all = all[len(all)-limit:]
	}
	return all
}
