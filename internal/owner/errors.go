package owner

import (
	"errors"

	"github.com/twitchtv/twirp"

	"cuminloft/internal/journal"
	"cuminloft/internal/rpc"
)

// ErrLost is returned by Run when another host owns the shard.
var ErrLost = errors.New("shard is owned by another host")

// ErrPanicked is returned by Run when the event loop or the decision core met a
// fault of its own. The shard is given up, so that the process and its other
// shards go on; a successor rebuilds the state from the journal.
var ErrPanicked = errors.New("shard given up after a fault of its own")

var journalDeposed = journal.ErrOwnershipLost

func notReady() *rpc.Refusal {
	return &rpc.Refusal{Code: rpc.CodeNotReady, Reason: "takeover or hand-over is under way", RetryAfter: aliveEvery}
}

func tableUnreachable() *rpc.Refusal {
	return &rpc.Refusal{
		Code:       rpc.CodeTableUnreachable,
		Reason:     "nothing can be made durable now",
		RetryAfter: refusedRetry,
	}
}

// wireError turns an error of a request into its twirp form.
func wireError(err error) error {
	var r *rpc.Refusal
	if errors.As(err, &r) {
		return r.ToTwirp()
	}
	// Not a refusal: the caller must not conclude that nothing happened.
	return twirp.NewError(twirp.Unknown, err.Error())
}
