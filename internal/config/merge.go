package config

import (
	"slices"
	"strings"

	"cuminloft/internal/model"
)

// MergeStricter merges an accepted and a staged configuration into one that allows only
// what both allow: a key, team, queue or worker is valid only if both have it, an AZ is in
// service only if it is in service in both, and each limit is the lower of the two. Shares,
// which forbid nothing, are those of the staged configuration. If one of the two is nil,
// the other is returned.
//
// AZs that only one of the two has are kept, out of service, so that their shards and the
// work that runs there remain known.
func MergeStricter(accepted, staged *Config) *Config {
	if accepted == nil {
		return staged
	}
	if staged == nil {
		return accepted
	}
	m := &Config{
		Cell:          accepted.Cell,
		AZs:           stricterAZs(accepted, staged),
		Workers:       stricterWorkers(accepted, staged),
		Organisations: stricterOrganisations(accepted, staged),
		Policy:        stricterPolicy(accepted.Policy, staged.Policy),
	}
	m.Queues = stricterQueues(accepted, staged, m.withIndex())
	return m.withIndex()
}

func stricterAZs(a, b *Config) []AZ {
	var merged []AZ
	for _, az := range a.AZs {
		other, both := b.AZ(az.Name)
		az.InService = az.InService && both && other.InService
		if both {
			az.Shards = max(orDefault(az.Shards, DefaultShards), orDefault(other.Shards, DefaultShards))
		}
		merged = append(merged, az)
	}
	for _, az := range b.AZs {
		if _, both := a.AZ(az.Name); !both {
			az.InService = false
			merged = append(merged, az)
		}
	}
	return merged
}

// stricterWorkers drops workers whose address, AZ, rack or shard differs between a and b,
// because their shard owner is not certain.
func stricterWorkers(a, b *Config) []model.WorkerSpec {
	var merged []model.WorkerSpec
	for _, w := range a.Workers {
		other, both := b.Worker(w.ID)
		if !both || other.Addr != w.Addr || other.AZ != w.AZ || other.Rack != w.Rack || movedShard(a, b, w.ID) {
			continue
		}
		w.Capacity = w.Capacity.Min(other.Capacity)
		w.Connections = min(w.Connections, other.Connections)
		merged = append(merged, w)
	}
	return merged
}

// movedShard reports whether the worker's shard differs between a and b.
func movedShard(a, b *Config, worker string) bool {
	before, _ := a.ShardOfWorker(worker)
	after, _ := b.ShardOfWorker(worker)
	return before != after
}

func stricterOrganisations(a, b *Config) []Organisation {
	var merged []Organisation
	for _, org := range b.Organisations {
		var teams []Team
		for _, team := range org.Teams {
			if other, both := a.Team(team.Name); both {
				team.Limit = minLimit(team.Limit, other.Limit)
				team.Keys = commonKeys(team.Keys, other.Keys)
				teams = append(teams, team)
			}
		}
		org.Teams = teams
		merged = append(merged, org)
	}
	return merged
}

func commonKeys(a, b []Key) []Key {
	var common []Key
	for _, key := range a {
		if slices.ContainsFunc(b, func(k Key) bool { return strings.EqualFold(k.SHA256, key.SHA256) }) {
			common = append(common, key)
		}
	}
	return common
}

// minLimit returns the lower limit of each component; zero means unlimited.
func minLimit(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCores:   minNonZero(a.MilliCores, b.MilliCores),
		MemoryMB:     minNonZero(a.MemoryMB, b.MemoryMB),
		Accelerators: minNonZero(a.Accelerators, b.Accelerators),
		Slots:        minNonZero(a.Slots, b.Slots),
	}
}

func minNonZero(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func stricterQueues(a, b, merged *Config) []Queue {
	var queues []Queue
	for _, q := range b.Queues {
		other, both := a.Queue(q.Name)
		if !both || other.Policy != q.Policy {
			continue
		}
		if s, ok := stricterQueue(*other, q, merged); ok {
			queues = append(queues, s)
		}
	}
	return queues
}

// stricterQueue returns false if no team may use the queue in both versions.
func stricterQueue(a, b Queue, merged *Config) (Queue, bool) {
	q := b
	_, openTeamValid := merged.Team(b.OpenTeam)
	q.Open = a.Open && b.Open && a.OpenTeam == b.OpenTeam && openTeamValid
	if !q.Open {
		q.OpenTeam = ""
	}
	q.Urgent = a.Urgent && b.Urgent
	q.MaxPending = min(orDefault(a.MaxPending, DefaultMaxPending), orDefault(b.MaxPending, DefaultMaxPending))
	q.MaxTask = minLimit(a.MaxTask, b.MaxTask)
	q.Teams = nil
	everyTeam := len(a.Teams) == 0 && len(b.Teams) == 0
	if everyTeam {
		return q, true
	}
	for _, org := range merged.Organisations {
		for _, team := range org.Teams {
			if a.Allows(team.Name) && b.Allows(team.Name) {
				q.Teams = append(q.Teams, team.Name)
			}
		}
	}
	return q, len(q.Teams) > 0
}

// stricterPolicy returns the lower value of each parameter, and the longer restart backoff.
func stricterPolicy(a, b Knobs) Knobs {
	return Knobs{
		LeaseSeconds:          int(min(a.Lease(), b.Lease()).Seconds()),
		StartWindowMillis:     int(min(a.StartWindow(), b.StartWindow()).Milliseconds()),
		SoloWindowSeconds:     int(min(a.SoloWindow(), b.SoloWindow()).Seconds()),
		GangTimeoutSeconds:    int(min(a.GangTimeout(), b.GangTimeout()).Seconds()),
		PreemptionsPerMinute:  min(a.PreemptionBudget(), b.PreemptionBudget()),
		MaxRestarts:           min(a.RestartLimit(), b.RestartLimit()),
		RestartBackoffSeconds: int(max(a.RestartBackoff(), b.RestartBackoff()).Seconds()),
	}
}
