package owner

import (
	"errors"

	"github.com/twitchtv/twirp"

	"cuminloft/internal/journal"
	"cuminloft/internal/rpc"
)

// ErrLost is returned by Run when another host owns the shard.
var ErrLost = errors.New("shard is owned by another host")

// ErrPanicked is returned by Run after a panic of the event loop or the decision core.
// Only this shard's ownership ends; the process and its other shards continue. A
// successor rebuilds the state from the journal.
var ErrPanicked = errors.New("shard given up after a fault of its own")

var errReplacedInJournal = journal.ErrOwnershipLost

func notReady() *rpc.Refusal {
	return &rpc.Refusal{Code: rpc.CodeNotReady, Reason: "takeover or hand-over is under way", RetryAfter: aliveInterval}
}

func tableUnreachable() *rpc.Refusal {
	return &rpc.Refusal{
		Code:       rpc.CodeTableUnreachable,
		Reason:     "nothing can be made durable now",
		RetryAfter: retryAfterRefusal,
	}
}

// wireError converts the error of a request to a twirp error.
func wireError(err error) error {
	var r *rpc.Refusal
	if errors.As(err, &r) {
		return r.ToTwirp()
	}
	// Not a refusal: the caller must not conclude that nothing happened.
	return twirp.NewError(twirp.Unknown, err.Error())
}
