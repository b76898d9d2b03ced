package door

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cuminloft/api"
)

// Error is the final answer to a request for which there is no answer of a task.
type Error struct {
	Status     int // HTTP status
	Outcome    api.Outcome
	Code       api.Code
	Message    string
	Field      string
	Remedy     string
	RetryAfter time.Duration // zero: a retry of the same request would fail again
	// Proof is the reason why the request is known not to have run. It is set if and only
	// if Outcome is not_run.
	Proof Proof
	// final means that no other shard is tried.
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

// notRun returns an error with the outcome not_run and its proof.
func notRun(proof Proof, status int, code api.Code, message string) *Error {
	return &Error{
		Status:  status,
		Outcome: api.OutcomeNotRun,
		Code:    code,
		Message: message,
		Proof:   proof,
	}
}

// neverSent returns a refusal of a request that was never sent to a worker.
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

// Retry delays in refusals whose cause gives no better estimate.
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

// retryAfterSeconds rounds up, because the header holds whole seconds.
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
