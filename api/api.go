// Package api holds the JSON shapes that callers and operators exchange with an
// entry host, the names of the HTTP headers, and a Go client.
package api

import (
	"encoding/json"
	"fmt"
	"time"

	"cuminloft/internal/model"
)

// HTTP headers of the caller's interface.
const (
	// HeaderIdempotent is "true" if the request may run more than once.
	HeaderIdempotent = "Cuminloft-Idempotent"
	// HeaderTimeout is how long the caller waits, as a Go duration.
	HeaderTimeout = "Cuminloft-Timeout"
	// HeaderRunTime is the declared run time, as a Go duration.
	HeaderRunTime = "Cuminloft-Run-Time"
	// HeaderResources is what the request asks for, in the form of FormatResources.
	HeaderResources = "Cuminloft-Resources"
	// HeaderKind groups requests for learned estimates.
	HeaderKind = "Cuminloft-Kind"
	// HeaderIdempotencyKey names the caller's request; a repeat with the same key
	// finds the first outcome.
	HeaderIdempotencyKey = "Idempotency-Key"

	// HeaderOutcome is the outcome of a direct request, in answers.
	HeaderOutcome = "Cuminloft-Outcome"
	// HeaderRequestID is the request's id, in answers.
	HeaderRequestID = "Cuminloft-Request-Id"
	// HeaderAttempt is the number of the attempt that was answered, in answers.
	HeaderAttempt = "Cuminloft-Attempt"
	// HeaderRepeated is "true" if the answer is the stored outcome of an earlier
	// request with the same idempotency key.
	HeaderRepeated = "Cuminloft-Repeated"
)

// Resources is what a task asks for.
type Resources = model.Resources

// Outcome is the closed set of ways in which a request ends.
type Outcome = model.Outcome

// The outcomes.
const (
	OutcomeDone    = model.OutcomeDone
	OutcomeFailed  = model.OutcomeFailed
	OutcomeNotRun  = model.OutcomeNotRun
	OutcomeUnknown = model.OutcomeUnknown
)

// Duration is a time.Duration that is a Go duration string in JSON ("1m30s").
type Duration time.Duration

// MarshalJSON returns the quoted Go duration.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON accepts a quoted Go duration.
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

// Error is the body of every answer that carries no result of a task.
type Error struct {
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code"`
	Message string  `json:"message"`
	// Field names the header or JSON field that is wrong, if any.
	Field string `json:"field,omitempty"`
	// Remedy says what the caller can do.
	Remedy string `json:"remedy,omitempty"`
	// RetryAfterMS is when to come back, in milliseconds; zero: coming back with
	// the same request does not help.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	// Status is the HTTP status; it is not part of the body.
	Status int `json:"-"`
}

// Error returns the outcome, the code and the message.
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

// RetryAfter returns when to come back; zero: never.
func (e *Error) RetryAfter() time.Duration {
	return time.Duration(e.RetryAfterMS) * time.Millisecond
}
