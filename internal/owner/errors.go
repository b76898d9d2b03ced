package owner

import (
	"errors"

	"cuminloft/internal/rpc"
)

// ErrLost is returned by Run when another host owns the shard.
var ErrLost = errors.New("shard is owned by another host")

func notReady() *rpc.Refusal {
	return &rpc.Refusal{Code: rpc.CodeNotReady, Reason: "takeover is under way", RetryAfter: aliveEvery}
}
