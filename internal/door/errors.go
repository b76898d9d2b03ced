package door

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cuminloft/api"
)

// Error is the door's typed error: the final answer to a request that has no
// result of a task.
type Error struct {
	Status     int // HTTP status
	Outcome    api.Outcome
	Code       api.Code
	Message    string
	Field      string
	Remedy     string
	RetryAfter time.Duration // zero: repeating the request as it is does not help
	// Proof tells why the outcome not_run is true. It is set if and only if
	// Outcome is not_run.
	Proof Proof
	// final is true if no other shard is to be asked.
	final bool
}

// Error returns code and message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

func (e *Error) body(requestID string) api.Error {
	return api.Error{
		Outcome:      e.Outcome,
		Code:         e.Code,
		Message:      e.Message,
		Field:        e.Field,
		Remedy:       e.Remedy,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}
}

// notRun returns a final refusal that is proved by proof.
func notRun(proof Proof, status int, code api.Code, message string) *Error {
	return &Error{
		Status:  status,
		Outcome: api.OutcomeNotRun,
		Code:    code,
		Message: message,
		Proof:   proof,
	}
}

// neverSent returns a refusal of a request of which nothing was sent.
func neverSent(status int, code api.Code, message string) *Error {
	return notRun(ProofNeverSent, status, code, message)
}

func (e *Error) retryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

func (e *Error) remedy(s string) *Error {
	e.Remedy = s
	return e
}

func (e *Error) field(s string) *Error {
	e.Field = s
	return e
}

// When to come back after refusals whose cause has no better estimate.
const (
	retryAfterShort    = 250 * time.Millisecond // a short queue or a routing change
	retryAfterTakeover = 2 * time.Second        // a new owner, a restarting host
	retryAfterOutage   = 5 * time.Second        // an outage of the platform
)

func refuseDraining() *Error {
	return neverSent(http.StatusServiceUnavailable, api.CodeDraining, "this entry host is shutting down").
		retryAfter(retryAfterShort).
		remedy("repeat the request; the balancer chooses another entry host")
}

func invalid(field, message string) *Error {
	return neverSent(http.StatusBadRequest, api.CodeInvalid, message).field(field)
}

// writeError sends the final answer e.
func writeError(w http.ResponseWriter, e *Error) {
	writeErrorFor(w, e, w.Header().Get(api.HeaderRequestID))
}

func writeErrorFor(w http.ResponseWriter, e *Error, requestID string) {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	if e.Outcome != "" {
		w.Header().Set(api.HeaderOutcome, string(e.Outcome))
	}
	countRefusal(e)
	writeJSON(w, e.Status, e.body(requestID))
}

// retryAfterSeconds rounds up, because the header counts whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "encoding failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
