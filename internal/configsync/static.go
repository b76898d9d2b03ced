// Package configsync keeps the staged and the accepted configuration version in
// the platform's table, and tells each process which configuration it obeys.
package configsync

import (
	"context"

	"cuminloft/internal/config"
)

// staticVersion is the version of a fixed view.
const staticVersion config.Version = 1

type staticView struct {
	cfg   *config.Config
	never chan struct{}
}

// NewStatic returns a view that holds c as version 1 for ever.
func NewStatic(c *config.Config) config.View {
	return &staticView{cfg: c, never: make(chan struct{})}
}

// Effective returns the fixed configuration.
func (v *staticView) Effective() (*config.Config, config.Version) { return v.cfg, staticVersion }

// Accepted returns the same as Effective.
func (v *staticView) Accepted() (*config.Config, config.Version) { return v.cfg, staticVersion }

// EnsureFresh always allows to act.
func (v *staticView) EnsureFresh(context.Context) error { return nil }

// Refresh has nothing to read.
func (v *staticView) Refresh(context.Context) error { return nil }

// Changed returns a channel that is never closed.
func (v *staticView) Changed() <-chan struct{} { return v.never }
