package rpc

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRefusalRoundTrip(t *testing.T) {
	is := is.New(t)
	in := &Refusal{Code: CodeInsufficientCapacity, Reason: "no room", Field: "task", RetryAfter: 1500 * time.Millisecond}
	out, ok := RefusalFromTwirp(in.ToTwirp())
	is.True(ok)
	is.Equal(out, in)
	_, ok = RefusalFromTwirp(errors.New("connection reset"))
	is.True(!ok) // not a refusal: the request may have taken effect
}
