package api

import "time"

// TimelineQuery selects events; empty fields select all.
type TimelineQuery struct {
	Request string
	Job     string
	Team    string
	Host    string
	AZ      string
	Limit   int // maximum number of events, the newest ones; default 1000
}

// TimelineReply is the answer to GET /v1/timeline, oldest event first.
type TimelineReply struct {
	Events []TimelineEvent `json:"events"`
	// Dropped is the number of older events that the hosts no longer hold.
	Dropped int64 `json:"dropped"`
	// Missing lists the entry hosts that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// TimelineEvent is one event of one entry host.
type TimelineEvent struct {
	HLC      int64     `json:"hlc"`  // reading of the hybrid logical clock; orders the events
	Time     time.Time `json:"time"` // physical part of HLC
	Host     string    `json:"host"`
	AZ       string    `json:"az"`
	Kind     string    `json:"kind"`
	Request  string    `json:"request,omitempty"`
	Job      string    `json:"job,omitempty"`
	Team     string    `json:"team,omitempty"`
	Target   string    `json:"target,omitempty"`
	Detail   string    `json:"detail,omitempty"`
	Duration Duration  `json:"duration,omitempty"`
}
