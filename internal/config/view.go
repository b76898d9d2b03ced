package config

import (
	"context"
	"errors"
)

// ErrStale is returned by View.Fresh when this process may no longer act on
// the configuration that it holds: the table cannot be reached and the solo
// window is over, or no configuration was ever read.
var ErrStale = errors.New("configuration is stale")

// View is the configuration that a process obeys.
type View interface {
	// Effective returns the stricter merge of the accepted and the staged
	// version, and the highest version that it obeys. The configuration is
	// shared and must not be changed. It is nil if none was read yet.
	Effective() (*Config, Version)
	// EnsureFresh returns nil if the configuration may be acted on now. It polls the
	// table first if the last successful poll is older than FreshFor.
	EnsureFresh(ctx context.Context) error
	// Refresh polls the table with a poll that begins after the call. A new
	// owner of a shard calls it after its takeover is written and before it
	// starts work: only then does it know every version that was staged, and
	// perhaps accepted, while the shard had no owner.
	Refresh(ctx context.Context) error
	// Changed returns a channel that is closed at the next change of Effective.
	Changed() <-chan struct{}
}
