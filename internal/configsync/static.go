package configsync

import (
	"context"

	"cuminloft/internal/config"
)

// staticVersion is the version of a static view.
const staticVersion config.Version = 1

type staticView struct {
	cfg   *config.Config
	never chan struct{}
}

// NewStatic returns a view whose effective configuration is always c, as version 1.
func NewStatic(c *config.Config) config.View {
	return &staticView{cfg: c, never: make(chan struct{})}
}

// Effective returns the static configuration.
func (v *staticView) Effective() (*config.Config, config.Version) { return v.cfg, staticVersion }

// Accepted returns the same as Effective.
func (v *staticView) Accepted() (*config.Config, config.Version) { return v.cfg, staticVersion }

// EnsureFresh always returns nil.
func (v *staticView) EnsureFresh(context.Context) error { return nil }

// Refresh does nothing.
func (v *staticView) Refresh(context.Context) error { return nil }

// Changed returns a channel that is never closed.
func (v *staticView) Changed() <-chan struct{} { return v.never }
