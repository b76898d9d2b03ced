// Package config defines the declarative configuration that operators apply: its types,
// parsing, validation, comparison, merging and stored encoding. It does no network I/O.
package config

import (
	"time"

	"cuminloft/internal/model"
)

// Version is the number of a configuration version. Zero means that there is none.
type Version int64

// Config is the complete configuration of a cell. Operators write it as JSON with comments.
type Config struct {
	Cell          string             `json:"cell"`
	AZs           []AZ               `json:"azs"`
	Workers       []model.WorkerSpec `json:"workers"`
	Organisations []Organisation     `json:"organisations"`
	Queues        []Queue            `json:"queues"`
	Policy        Knobs              `json:"policy"`

	index *Index // cached; set by the constructors of this package, see Config.Index
}

// AZ is an availability zone of the cell.
type AZ struct {
	Name string `json:"name"`
	// InService is false while operators have taken the AZ out of service.
	InService bool `json:"in_service"`
	Shards    int  `json:"shards,omitempty"` // default 1
}

// Organisation groups teams. Capacity is shared among the organisations first, and
// then among the teams of each organisation.
type Organisation struct {
	Name  string `json:"name"`
	Share int    `json:"share"` // weight among the organisations
	Teams []Team `json:"teams"`
}

// Team submits work, authenticates with its keys, and has a share and an upper limit.
type Team struct {
	Name  string          `json:"name"`
	Share int             `json:"share"` // weight among the organisation's teams
	Limit model.Resources `json:"limit"` // upper limit over the cell; zero components are unlimited
	Keys  []Key           `json:"keys"`
}

// Key is an API key of a team. Only the hash of its secret is stored.
type Key struct {
	ID     string `json:"id"`     // public name of the key
	SHA256 string `json:"sha256"` // hexadecimal hash of the secret
}

// Queue accepts work of one scheduling policy.
type Queue struct {
	Name       string       `json:"name"`
	Policy     model.Policy `json:"policy"`
	Open       bool         `json:"open,omitempty"` // accepts work without a key, on behalf of OpenTeam
	OpenTeam   string       `json:"open_team,omitempty"`
	Teams      []string     `json:"teams,omitempty"`       // teams that may use the queue; empty: all
	Urgent     bool         `json:"urgent,omitempty"`      // its work is scheduled before that of other queues
	MaxPending int          `json:"max_pending,omitempty"` // per team; default DefaultMaxPending
	// MaxTask bounds the resources that one task of the queue may request; zero
	// components are bounded only by the largest worker.
	MaxTask model.Resources `json:"max_task"`
}

// Knobs holds the policy parameters of the cell. Zero values take the defaults.
type Knobs struct {
	LeaseSeconds          int `json:"lease_seconds,omitempty"`
	StartWindowMillis     int `json:"start_window_millis,omitempty"`
	SoloWindowSeconds     int `json:"solo_window_seconds,omitempty"`
	GangTimeoutSeconds    int `json:"gang_timeout_seconds,omitempty"`
	PreemptionsPerMinute  int `json:"preemptions_per_minute,omitempty"`
	MaxRestarts           int `json:"max_restarts,omitempty"`
	RestartBackoffSeconds int `json:"restart_backoff_seconds,omitempty"`
}

// Defaults of the policy parameters, Queue.MaxPending and AZ.Shards.
const (
	DefaultLease                = 30 * time.Second
	DefaultStartWindow          = 2 * time.Second
	DefaultSoloWindow           = 60 * time.Second
	DefaultGangTimeout          = 60 * time.Second
	DefaultPreemptionsPerMinute = 60
	DefaultMaxRestarts          = 5
	DefaultRestartBackoff       = 2 * time.Second
	DefaultMaxPending           = 20_000
	DefaultShards               = 1
)

// Lease returns the duration of a task lease.
func (k Knobs) Lease() time.Duration { return secondsOrDefault(k.LeaseSeconds, DefaultLease) }

// StartWindow returns how long a start command stays valid after the worker's last
// clock reading.
func (k Knobs) StartWindow() time.Duration {
	if k.StartWindowMillis == 0 {
		return DefaultStartWindow
	}
	return time.Duration(k.StartWindowMillis) * time.Millisecond
}

// SoloWindow returns how long a shard owner that cannot reach the table keeps starting
// journaled work.
func (k Knobs) SoloWindow() time.Duration {
	return secondsOrDefault(k.SoloWindowSeconds, DefaultSoloWindow)
}

// GangTimeout returns how long a gang's reservation is held.
func (k Knobs) GangTimeout() time.Duration {
	return secondsOrDefault(k.GangTimeoutSeconds, DefaultGangTimeout)
}

// RestartBackoff returns the first delay before a task is restarted.
func (k Knobs) RestartBackoff() time.Duration {
	return secondsOrDefault(k.RestartBackoffSeconds, DefaultRestartBackoff)
}

// PreemptionBudget returns the maximum number of preemptions per minute and shard.
func (k Knobs) PreemptionBudget() int {
	return orDefault(k.PreemptionsPerMinute, DefaultPreemptionsPerMinute)
}

// RestartLimit returns the maximum number of restarts of a failing task.
func (k Knobs) RestartLimit() int { return orDefault(k.MaxRestarts, DefaultMaxRestarts) }

func secondsOrDefault(n int, def time.Duration) time.Duration {
	if n == 0 {
		return def
	}
	return time.Duration(n) * time.Second
}

func orDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}
