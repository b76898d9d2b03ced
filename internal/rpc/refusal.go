package rpc

import (
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
)

// Refusal is the typed error of a shard owner: the request had no effect.
// It travels between entry hosts as a twirp error.
type Refusal struct {
	Code   RefusalCode
	Reason string // one clause for people
	Field  string // the request's field at fault, if one is
	// RetryAfter tells when to come back; zero: repeating does not help.
	RetryAfter time.Duration
}

// RefusalCode is a stable machine-readable reason. Codes of the decision core
// (sched.RefusalCode) are used as they are.
type RefusalCode string

// Reasons for which an owner refuses a request before the core sees it.
const (
	CodeNotOwner             RefusalCode = "not_owner"         // the callee does not own the shard
	CodeNotReady             RefusalCode = "not_ready"         // takeover is under way
	CodeTableUnreachable     RefusalCode = "table_unreachable" // nothing can be made durable now
	CodeConfigStale          RefusalCode = "config_stale"      // no configuration may be acted on now
	CodeJournalFull          RefusalCode = "journal_full"      // the buffer of unwritten records is full
	CodeUnauthenticated      RefusalCode = "unauthenticated"   // the key is unknown or withdrawn
	CodeForbidden            RefusalCode = "forbidden"         // the team may not use the queue or see the job
	CodeUnknownQueue         RefusalCode = "unknown_queue"
	CodeInvalid              RefusalCode = "invalid"
	CodeNotFound             RefusalCode = "not_found"
	CodeAZOutOfService       RefusalCode = "az_out_of_service"
	CodeInsufficientCapacity RefusalCode = "no_room" // no room within the wait
	CodeLimit                RefusalCode = "over_limit"
)

// Metadata keys of a refusal in a twirp error.
const (
	metaCode       = "code"
	metaReason     = "reason"
	metaField      = "field"
	metaRetryAfter = "retry_after_ms"
)

// Error returns code and reason.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Reason }

// ToTwirp converts to the wire form.
func (r *Refusal) ToTwirp() twirp.Error {
	e := twirp.NewError(r.twirpCode(), r.Error()).
		WithMeta(metaCode, string(r.Code)).
		WithMeta(metaReason, r.Reason)
	if r.Field != "" {
		e = e.WithMeta(metaField, r.Field)
	}
	if r.RetryAfter > 0 {
		e = e.WithMeta(metaRetryAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	return e
}

// RefusalFromTwirp converts from the wire form. It returns false for errors
// that are no refusals, after which the request may have taken effect.
func RefusalFromTwirp(err error) (*Refusal, bool) {
	var own *Refusal
	if errors.As(err, &own) {
		return own, true
	}
	var e twirp.Error
	if !errors.As(err, &e) || e.Meta(metaCode) == "" {
		return nil, false
	}
	millis, _ := strconv.ParseInt(e.Meta(metaRetryAfter), 10, 64)
	return &Refusal{
		Code:       RefusalCode(e.Meta(metaCode)),
		Reason:     e.Meta(metaReason),
		Field:      e.Meta(metaField),
		RetryAfter: time.Duration(millis) * time.Millisecond,
	}, true
}

func (r *Refusal) twirpCode() twirp.ErrorCode {
	switch r.Code {
	case CodeNotOwner, CodeNotReady, CodeTableUnreachable, CodeConfigStale, CodeAZOutOfService:
		return twirp.Unavailable
	case CodeUnauthenticated:
		return twirp.Unauthenticated
	case CodeForbidden:
		return twirp.PermissionDenied
	case CodeUnknownQueue, CodeNotFound:
		return twirp.NotFound
	case CodeInvalid:
		return twirp.InvalidArgument
	case CodeInsufficientCapacity, CodeLimit, CodeJournalFull:
		return twirp.ResourceExhausted
	}
	return twirp.FailedPrecondition
}
