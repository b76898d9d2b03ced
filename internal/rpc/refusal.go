package rpc

import (
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
)

// Refusal is the error with which a shard owner refuses a request. The request had no
// effect. Between entry hosts it is sent as a twirp error.
type Refusal struct {
	Code   RefusalCode
	Reason string // short explanation for people
	Field  string // invalid field of the request, if any
	// RetryAfter is the delay before a retry; zero: a retry does not help.
	RetryAfter time.Duration
}

// RefusalCode is a stable machine-readable reason. Codes of the scheduling core
// (sched.RefusalCode) are passed on unchanged.
type RefusalCode string

// Codes with which an owner refuses a request before it reaches the scheduling core.
const (
	CodeNotOwner             RefusalCode = "not_owner"         // the callee does not own the shard
	CodeNotReady             RefusalCode = "not_ready"         // the takeover of the shard is in progress
	CodeTableUnreachable     RefusalCode = "table_unreachable" // nothing can be stored durably
	CodeConfigStale          RefusalCode = "config_stale"      // see config.ErrStale
	CodeJournalFull          RefusalCode = "journal_full"      // the buffer of unwritten records is full
	CodeUnauthenticated      RefusalCode = "unauthenticated"   // the key is unknown or revoked
	CodeForbidden            RefusalCode = "forbidden"         // the team may not use the queue or see the job
	CodeUnknownQueue         RefusalCode = "unknown_queue"
	CodeInvalid              RefusalCode = "invalid"
	CodeNotFound             RefusalCode = "not_found"
	CodeAZOutOfService       RefusalCode = "az_out_of_service"
	CodeInsufficientCapacity RefusalCode = "no_room" // no free capacity within the wait time
	CodeLimit                RefusalCode = "over_limit"
)

// Metadata keys of a Refusal in a twirp error.
const (
	metaCode       = "code"
	metaReason     = "reason"
	metaField      = "field"
	metaRetryAfter = "retry_after_ms"
)

// Error returns the code and the reason.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Reason }

// ToTwirp converts the refusal to a twirp error.
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

// RefusalFromTwirp converts a twirp error to a Refusal. It returns false if err is not a
// refusal; the request may then have taken effect.
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
