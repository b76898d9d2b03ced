package api

import "time"

// Submission is the body of POST /v1/jobs.
type Submission struct {
	Queue string `json:"queue"`
	Kind  string `json:"kind,omitempty"`
	// Tasks is the number of equal tasks; default 1.
	Tasks       int       `json:"tasks,omitempty"`
	Resources   Resources `json:"resources"`
	Connections int       `json:"connections,omitempty"`
	RunTime     Duration  `json:"run_time,omitempty"` // declared
	Idempotent  bool      `json:"idempotent,omitempty"`
	Payload     []byte    `json:"payload,omitempty"`  // base64; opaque
	MaxWait     Duration  `json:"max_wait,omitempty"` // zero: no bound
	// IdempotencyKey identifies the submission, as the header Idempotency-Key does.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
}

// Accepted is the answer to a submission. The job is stored durably.
type Accepted struct {
	ID    string `json:"id"`
	Shard string `json:"shard"`
	// Repeated is true if ID is an earlier job with the same idempotency key.
	Repeated bool `json:"repeated,omitempty"`
}

// Job is the state of a job.
type Job struct {
	ID           string    `json:"id"`
	Team         string    `json:"team"`
	Queue        string    `json:"queue"`
	Policy       string    `json:"policy"`
	State        string    `json:"state"` // queued, running, ended
	Outcome      Outcome   `json:"outcome,omitempty"`
	Code         Code      `json:"code,omitempty"`
	Reason       string    `json:"reason,omitempty"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
	Submitted    time.Time `json:"submitted"`
	Shard        string    `json:"shard"`
	TaskCount    int       `json:"task_count"`
	Tasks        []Task    `json:"tasks,omitempty"`
	Explanation  []string  `json:"explanation,omitempty"`
}

// JobEnded is the state of a job that has ended.
const JobEnded = "ended"

// Task is the state of one task of a job.
type Task struct {
	Index    int    `json:"index"`
	State    string `json:"state"` // queued, starting, running, done, failed, abandoned
	Attempt  int    `json:"attempt,omitempty"`
	Worker   string `json:"worker,omitempty"`
	Restarts int    `json:"restarts,omitempty"`
	Result   []byte `json:"result,omitempty"` // base64
	Error    string `json:"error,omitempty"`
}

// JobList is the answer to GET /v1/jobs.
type JobList struct {
	Jobs []Job `json:"jobs"`
	// Missing lists the shards that did not answer; their jobs are not listed.
	Missing []string `json:"missing,omitempty"`
	// Next is the value of the query parameter after for the next page; empty on the
	// last page.
	Next string `json:"next,omitempty"`
}

// JobQuery selects jobs.
type JobQuery struct {
	State string // queued, running, ended; empty: all
	Limit int    // default 100
	After string // JobList.Next of the previous page
}
