package api

import "time"

// ApplyRequest is the body of POST /v1/config.
type ApplyRequest struct {
	// Base is the accepted version that the change is based on.
	Base int64 `json:"base"`
	// Config is the complete configuration, JSON with comments.
	Config string `json:"config"`
	// Operator is the operator's name in the history.
	Operator string `json:"operator,omitempty"`
	// CheckOnly checks the configuration and changes nothing.
	CheckOnly bool `json:"check_only,omitempty"`
	// Wait is how long to wait for acceptance; zero takes the default.
	Wait Duration `json:"wait,omitempty"`
}

// ApplyState is the outcome of an apply.
type ApplyState string

// The states of an apply.
const (
	ApplyAccepted ApplyState = "accepted" // in force everywhere
	ApplyStaged   ApplyState = "staged"   // durable, but some shards have not confirmed it
	ApplyChecked  ApplyState = "checked"  // valid; nothing was changed
	ApplyRefused  ApplyState = "refused"  // nothing was changed
	ApplyConflict ApplyState = "conflict" // another version won; nothing was changed
)

// ApplyReply is the answer to POST /v1/config.
type ApplyReply struct {
	State   ApplyState `json:"state"`
	Version int64      `json:"version,omitempty"`
	// Waiting lists the shards that have not confirmed a staged version.
	Waiting []string `json:"waiting,omitempty"`
	// Problems lists the problems of a refused configuration.
	Problems []Problem `json:"problems,omitempty"`
	// Diff lists the differences from the base version: to the winning version after a
	// conflict, otherwise to the applied configuration.
	Diff []string `json:"diff,omitempty"`
}

// Problem is one problem that the check of a configuration found.
type Problem struct {
	Path    string `json:"path"` // such as organisations[2].teams[0].share
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
}

// ConfigReply is the answer to GET /v1/config.
type ConfigReply struct {
	Version int64  `json:"version"`
	State   string `json:"state"` // accepted or staged
	Config  string `json:"config"`
}

// HistoryReply is the answer to GET /v1/config/history, newest version first.
type HistoryReply struct {
	Versions []HistoryEntry `json:"versions"`
}

// HistoryEntry is one version of the configuration.
type HistoryEntry struct {
	Version  int64     `json:"version"`
	Base     int64     `json:"base"`
	State    string    `json:"state"` // accepted, staged, superseded
	Operator string    `json:"operator,omitempty"`
	Applied  time.Time `json:"applied"`
}

// DiffReply is the answer to GET /v1/config/diff.
type DiffReply struct {
	From  int64    `json:"from"`
	To    int64    `json:"to"`
	Lines []string `json:"lines"`
}

// StatusReply is the answer to GET /v1/status.
type StatusReply struct {
	Host           string         `json:"host"`
	AZ             string         `json:"az"`
	State          string         `json:"state"`
	Accepted       int64          `json:"accepted"`
	Staged         int64          `json:"staged,omitempty"`
	Waiting        []string       `json:"waiting,omitempty"`
	TableReachable bool           `json:"table_reachable"`
	AZs            []AZStatus     `json:"azs"`
	Hosts          []HostStatus   `json:"hosts"`
	Shards         []ShardStatus  `json:"shards"`
	Workers        []WorkerStatus `json:"workers,omitempty"`
	// Missing lists the entry hosts that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// AZStatus is one availability zone of the effective configuration.
type AZStatus struct {
	AZ        string `json:"az"`
	InService bool   `json:"in_service"`
	Workers   int    `json:"workers"` // number of workers in the configuration
}

// HostStatus is the state of one entry host.
type HostStatus struct {
	Host  string `json:"host"`
	AZ    string `json:"az"`
	Addr  string `json:"addr"`
	State string `json:"state"`
}

// ShardStatus is the state of one shard as seen by its owner.
type ShardStatus struct {
	Shard         string      `json:"shard"`
	AZ            string      `json:"az"`
	Owner         string      `json:"owner,omitempty"`
	Fence         int64       `json:"fence"`
	Ready         bool        `json:"ready"`
	Capacity      Resources   `json:"capacity"`
	Used          Resources   `json:"used"`
	Teams         []TeamUsage `json:"teams,omitempty"`
	DirectPending int64       `json:"direct_pending"`
	JobsPending   int64       `json:"jobs_pending"`
	Confirmed     int64       `json:"confirmed"`
}

// TeamUsage is the resources that one team uses and waits for in a shard.
type TeamUsage struct {
	Team    string    `json:"team"`
	Used    Resources `json:"used"`
	Pending Resources `json:"pending"`
}

// WorkerStatus is the state of one worker as seen by the owner of its shard.
type WorkerStatus struct {
	Worker   string    `json:"worker"`
	AZ       string    `json:"az"`
	Rack     string    `json:"rack"`
	State    string    `json:"state"`
	Capacity Resources `json:"capacity"`
	Used     Resources `json:"used"`
	Running  int       `json:"running"`
}
