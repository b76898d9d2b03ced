// Package api defines the HTTP interface of an entry host for callers and operators: the
// JSON types, the header names and the error codes. It also contains a Go client.
package api

import (
	"encoding/json"
	"fmt"
	"time"

	"cuminloft/internal/model"
)

// HTTP headers of the callers' interface.
const (
	// HeaderIdempotent is "true" if the request may run more than once.
	HeaderIdempotent = "Cuminloft-Idempotent"
	// HeaderTimeout is how long the caller waits for the answer, as a Go duration.
	HeaderTimeout = "Cuminloft-Timeout"
	// HeaderRunTime is the declared run time, as a Go duration.
	HeaderRunTime = "Cuminloft-Run-Time"
	// HeaderResources is the resources that the request needs, as FormatResources returns.
	HeaderResources = "Cuminloft-Resources"
	// HeaderKind groups similar requests, so that run times are estimated per kind.
	HeaderKind = "Cuminloft-Kind"
	// HeaderIdempotencyKey identifies the caller's request; a repeat with the same key
	// returns the first outcome.
	HeaderIdempotencyKey = "Idempotency-Key"

	// Headers of answers follow.

	// HeaderOutcome is the outcome of a direct request.
	HeaderOutcome = "Cuminloft-Outcome"
	// HeaderRequestID is the id of the request.
	HeaderRequestID = "Cuminloft-Request-Id"
	// HeaderAttempt is the number of the attempt that returned the answer.
	HeaderAttempt = "Cuminloft-Attempt"
	// HeaderRepeated is "true" if the answer is the stored outcome of an earlier
	// request with the same idempotency key.
	HeaderRepeated = "Cuminloft-Repeated"
)

// Resources are the resources that a task needs.
type Resources = model.Resources

// Outcome is the final outcome of a request or job.
type Outcome = model.Outcome

// The outcomes.
const (
	OutcomeDone    = model.OutcomeDone
	OutcomeFailed  = model.OutcomeFailed
	OutcomeNotRun  = model.OutcomeNotRun
	OutcomeUnknown = model.OutcomeUnknown
)

// Duration is a time.Duration that is encoded in JSON as a Go duration string ("1m30s").
type Duration time.Duration

// MarshalJSON encodes d as a Go duration string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a Go duration string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("duration %s: want a string such as \"30s\"", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q: want a form such as 30s or 1m30s", s)
	}
	*d = Duration(v)
	return nil
}

// Error is the body of every error answer that does not come from a task.
type Error struct {
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code"`
	Message string  `json:"message"`
	// Field is the name of the invalid header or JSON field, if any.
	Field string `json:"field,omitempty"`
	// Remedy says what the caller can do.
	Remedy string `json:"remedy,omitempty"`
	// RetryAfterMS is the delay before a retry, in milliseconds; zero: a retry of the
	// same request does not help.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	// Status is the HTTP status; it is not part of the body.
	Status int `json:"-"`
}

// Error returns the outcome, the code, the message and the remedy.
func (e *Error) Error() string {
	s := string(e.Code) + ": " + e.Message
	if e.Outcome != "" {
		s = string(e.Outcome) + ": " + s
	}
	if e.Remedy != "" {
		s += " (" + e.Remedy + ")"
	}
	return s
}

// RetryAfter returns the delay before a retry; zero: a retry does not help.
func (e *Error) RetryAfter() time.Duration {
	return time.Duration(e.RetryAfterMS) * time.Millisecond
}
