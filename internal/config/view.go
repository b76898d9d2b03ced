package config

import (
	"context"
	"errors"
)

// ErrStale is returned by View.EnsureFresh if this process may no longer act on its
// configuration: the table cannot be reached and the solo window is over, or no
// configuration was ever read.
var ErrStale = errors.New("configuration is stale")

// View provides the configuration that is in force in this process.
type View interface {
	// Effective returns the stricter merge of the accepted and the staged version, and
	// the highest version that is part of it. The configuration is shared and must not
	// be changed. It is nil if none was read yet.
	Effective() (*Config, Version)
	// EnsureFresh returns nil if the process may act on the configuration now. It polls
	// the table first if the last successful poll is older than configsync.FreshFor.
	EnsureFresh(ctx context.Context) error
	// Refresh polls the table with a poll that begins after the call. A new owner of a
	// shard calls Refresh after it has written its takeover and before it starts work, so
	// that it knows every version that was staged, and perhaps accepted, while the shard
	// had no owner.
	Refresh(ctx context.Context) error
	// Changed returns a channel that is closed at the next change of Effective.
	Changed() <-chan struct{}
}
