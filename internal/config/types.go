// Package config holds the declarative configuration that operators apply: its
// types, its whole-file check and its stored form. It does no network I/O.
package config

import (
	"time"

	"cuminloft/internal/model"
)

// Version numbers accepted configurations. Zero means none.
type Version int64

// Config is a whole configuration. Operators write it as JSON with comments.
type Config struct {
	Cell          string             `json:"cell"`
	AZs           []AZ               `json:"azs"`
	Workers       []model.WorkerSpec `json:"workers"`
	Organisations []Organisation     `json:"organisations"`
	Queues        []Queue            `json:"queues"`
	Policy        Knobs              `json:"policy"`

	index *Index // set by the constructors of this package; see Config.Index
}

// AZ is an availability zone of the cell.
type AZ struct {
	Name string `json:"name"`
	// InService is false while operators have taken the zone out.
	InService bool `json:"in_service"`
	Shards    int  `json:"shards,omitempty"` // default 1
}

// Organisation groups teams; shares are divided among organisations first and
// among an organisation's teams second.
type Organisation struct {
	Name  string `json:"name"`
	Share int    `json:"share"` // weight among the organisations
	Teams []Team `json:"teams"`
}

// Team owns work, presents keys and has a share and an upper limit.
type Team struct {
	Name  string          `json:"name"`
	Share int             `json:"share"` // weight among the organisation's teams
	Limit model.Resources `json:"limit"` // upper limit over the fleet; zero components are unlimited
	Keys  []Key           `json:"keys"`
}

// Key is a granted key. Only its hash is kept.
type Key struct {
	ID     string `json:"id"`     // public name of the key
	SHA256 string `json:"sha256"` // hexadecimal hash of the secret
}

// Queue accepts work under one policy.
type Queue struct {
	Name       string       `json:"name"`
	Policy     model.Policy `json:"policy"`
	Open       bool         `json:"open,omitempty"` // needs no key; its work runs for OpenTeam
	OpenTeam   string       `json:"open_team,omitempty"`
	Teams      []string     `json:"teams,omitempty"`       // may use the queue; empty: all
	Urgent     bool         `json:"urgent,omitempty"`      // placed before work that is not
	MaxPending int          `json:"max_pending,omitempty"` // per team; default DefaultMaxPending
	// MaxTask bounds what one task of the queue may ask for; zero components
	// are bounded by the largest worker alone.
	MaxTask model.Resources `json:"max_task"`
}

// Knobs are policy settings. Zero values take the defaults.
type Knobs struct {
	LeaseSeconds          int `json:"lease_seconds,omitempty"`
	StartWindowMillis     int `json:"start_window_millis,omitempty"`
	SoloWindowSeconds     int `json:"solo_window_seconds,omitempty"`
	GangTimeoutSeconds    int `json:"gang_timeout_seconds,omitempty"`
	PreemptionsPerMinute  int `json:"preemptions_per_minute,omitempty"`
	MaxRestarts           int `json:"max_restarts,omitempty"`
	RestartBackoffSeconds int `json:"restart_backoff_seconds,omitempty"`
}

// Defaults of the knobs.
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

// Lease returns the task lease.
func (k Knobs) Lease() time.Duration { return seconds(k.LeaseSeconds, DefaultLease) }

// StartWindow returns how long after the worker's last clock reading a start
// command stays valid.
func (k Knobs) StartWindow() time.Duration {
	if k.StartWindowMillis == 0 {
		return DefaultStartWindow
	}
	return time.Duration(k.StartWindowMillis) * time.Millisecond
}

// SoloWindow returns how long a shard owner without the table goes on starting
// journaled work.
func (k Knobs) SoloWindow() time.Duration { return seconds(k.SoloWindowSeconds, DefaultSoloWindow) }

// GangTimeout returns how long a gang's reservation is held.
func (k Knobs) GangTimeout() time.Duration { return seconds(k.GangTimeoutSeconds, DefaultGangTimeout) }

// RestartBackoff returns the first delay before a task is restarted.
func (k Knobs) RestartBackoff() time.Duration {
	return seconds(k.RestartBackoffSeconds, DefaultRestartBackoff)
}

// PreemptionBudget returns the highest number of preemptions a minute and shard.
func (k Knobs) PreemptionBudget() int {
	return orDefault(k.PreemptionsPerMinute, DefaultPreemptionsPerMinute)
}

// RestartLimit returns how often a failing task is restarted.
func (k Knobs) RestartLimit() int { return orDefault(k.MaxRestarts, DefaultMaxRestarts) }

func seconds(n int, def time.Duration) time.Duration {
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
