package configsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/internal/config"
	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
)

// Timing of table calls.
const (
	// settleInterval separates the repeats of a call.
	settleInterval = 100 * time.Millisecond
	// callAttempts is how often a call that had no effect is made before the
	// table counts as unavailable.
	callAttempts = 3
	// MaxHistory is how many versions stay in the table for history.
	MaxHistory = 5_000
)

// ErrOutcomeUnknown is returned if an apply ended before it was known whether its
// version was staged. The history tells; so does an apply with the same nonce.
var ErrOutcomeUnknown = errors.New("not known whether the version was staged")

// ConflictError tells the loser of a race who won.
type ConflictError struct {
	Accepted VersionInfo
	// Staged is the version that waits for acceptance, if any.
	Staged *VersionInfo
	// Changes are what the winner changed since the loser's base version, if
	// the base version is still kept.
	Changes []config.Change
}

// Error names the winning version and its author.
func (e *ConflictError) Error() string {
	if e.Staged != nil {
		return fmt.Sprintf("version %d of %s is staged and not yet accepted", e.Staged.Version, e.Staged.Author)
	}
	return fmt.Sprintf("version %d of %s was accepted meanwhile", e.Accepted.Version, e.Accepted.Author)
}

// heads are the accepted and the staged version as one read found them.
type heads struct {
	accepted, staged       VersionInfo
	acceptedRow, stagedRow int64 // row versions; zero: no such row
}

// open reports whether a staged version waits for acceptance.
func (h heads) open() bool { return h.staged.Version > h.accepted.Version }

// Store reads and writes the configuration's rows.
type Store struct {
	table platform.Table
}

// NewStore returns a store on the table.
func NewStore(table platform.Table) *Store { return &Store{table: table} }

// heads reads the accepted and the staged version with one call. A staged
// version proves that its base was accepted before, so an accepted row that is
// older was read too early and is read again.
func (s *Store) heads(ctx context.Context) (heads, error) {
	rows, err := s.table.Range(ctx, rowPrefix, "", 2)
	if err != nil {
		return heads{}, trace.Wrap(err)
	}
	var h heads
	for _, row := range rows {
		switch row.Key {
		case acceptedKey:
			h.acceptedRow = row.Version
			h.accepted, err = decodeHead(row.Key, row.Value)
		case stagedKey:
			h.stagedRow = row.Version
			h.staged, err = decodeHead(row.Key, row.Value)
		}
		if err != nil {
			return heads{}, trace.Wrap(err)
		}
	}
	if h.staged.Base > h.accepted.Version {
		return s.rereadAccepted(ctx, h)
	}
	return h, nil
}

func (s *Store) rereadAccepted(ctx context.Context, h heads) (heads, error) {
	row, err := s.table.Get(ctx, acceptedKey)
	if err != nil {
		return heads{}, trace.Wrap(err)
	}
	h.acceptedRow = row.Version
	h.accepted, err = decodeHead(row.Key, row.Value)
	if err != nil {
		return heads{}, trace.Wrap(err)
	}
	if h.staged.Base > h.accepted.Version {
		return heads{}, trace.Wrap(ErrCorrupt, "version %d is staged on %d, but %d is accepted",
			h.staged.Version, h.staged.Base, h.accepted.Version)
	}
	return h, nil
}

// Version returns a stored version, or an error that platform.ErrNotFound is.
func (s *Store) Version(ctx context.Context, v config.Version) (Record, error) {
	key := versionKey(v)
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	return decodeRecord(key, row.Value)
}

// History returns up to limit versions after the given one, oldest first. The
// last may be staged only.
func (s *Store) History(ctx context.Context, after config.Version, limit int) ([]VersionInfo, error) {
	rows, err := s.table.Range(ctx, versionPrefix, versionKey(after), limit)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var all []VersionInfo
	for _, row := range rows {
		r, err := decodeRecord(row.Key, row.Value)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, r.VersionInfo)
	}
	return all, nil
}

// stage writes r as the staged version if r.Base is the accepted version and no
// other version waits. The error is a *ConflictError, ErrUnsettled, or
// platform.ErrUnavailable if nothing was written.
func (s *Store) stage(ctx context.Context, r Record) error {
	value, err := encodeRecord(r)
	if err != nil {
		return trace.Wrap(err)
	}
	head, err := encodeHead(r.VersionInfo)
	if err != nil {
		return trace.Wrap(err)
	}
	var h heads
	err = attempt(ctx, func() error {
		h, err = s.heads(ctx)
		return err
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if h.staged.Nonce == r.Nonce {
		return nil // an earlier apply with this nonce
	}
	if h.accepted.Version != r.Base || h.open() {
		return s.conflict(ctx, r, h)
	}
	writes := []platform.Write{
		{Key: acceptedKey, IfVersion: h.acceptedRow, CheckOnly: true},
		{Key: stagedKey, Value: head, IfVersion: h.stagedRow},
		{Key: versionKey(r.Version), Value: value, IfVersion: platform.MustBeAbsent},
	}
	return s.commitStaged(ctx, r, writes)
}

// commitStaged repeats the same conditional transaction until its fate is
// certain: a repeat cannot apply twice, and one that fails on a condition
// proves that the first can no longer apply unless it did already.
func (s *Store) commitStaged(ctx context.Context, r Record, writes []platform.Write) error {
	unsettled := false
	for tries := 1; ; tries++ {
		_, err := s.table.Apply(ctx, writes)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return s.settleStaged(ctx, r)
		case errors.Is(err, platform.ErrAmbiguous):
			unsettled = true
			counters.Add("lost_answers", 1)
		case !unsettled && tries >= callAttempts:
			return trace.Wrap(err)
		}
		if wait.For(ctx, settleInterval) != nil {
			return trace.Wrap(ErrOutcomeUnknown, "version %d", r.Version)
		}
	}
}

// settleStaged finds out after a conflict whether r's own row is there.
func (s *Store) settleStaged(ctx context.Context, r Record) error {
	for {
		stored, err := s.Version(ctx, r.Version)
		if err == nil && stored.Nonce == r.Nonce {
			return nil
		}
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			h, headsErr := s.heads(ctx)
			if headsErr == nil {
				return s.conflict(ctx, r, h)
			}
		}
		if wait.For(ctx, settleInterval) != nil {
			return trace.Wrap(ErrOutcomeUnknown, "version %d", r.Version)
		}
	}
}

// conflict returns the *ConflictError of a lost race, with the winner's changes
// as far as they can be read.
func (s *Store) conflict(ctx context.Context, r Record, h heads) error {
	e := &ConflictError{Accepted: h.accepted}
	newest := h.accepted.Version
	if h.open() {
		e.Staged = &h.staged
		newest = h.staged.Version
	}
	base, baseErr := s.config(ctx, r.Base)
	winner, winnerErr := s.config(ctx, newest)
	if baseErr == nil && winnerErr == nil {
		e.Changes = config.Diff(base, winner)
	}
	return trace.Wrap(e)
}

// config returns a version's configuration; version 0 is empty.
func (s *Store) config(ctx context.Context, v config.Version) (*config.Config, error) {
	if v == 0 {
		return nil, nil
	}
	r, err := s.Version(ctx, v)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return r.Config()
}

// accept makes the staged version the accepted one. It returns nil if another
// process did so first. Repeats are harmless.
func (s *Store) accept(ctx context.Context, staged VersionInfo) error {
	value, err := encodeHead(staged)
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		h, err := s.heads(ctx)
		if err == nil && h.accepted.Version >= staged.Version {
			return nil
		}
		if err == nil && h.staged.Nonce != staged.Nonce {
			return trace.Wrap(ErrCorrupt, "staged row holds version %d, not %d", h.staged.Version, staged.Version)
		}
		if err == nil {
			_, err = s.table.Apply(ctx, []platform.Write{
				{Key: stagedKey, IfVersion: h.stagedRow, CheckOnly: true},
				{Key: acceptedKey, Value: value, IfVersion: h.acceptedRow},
			})
		}
		if err == nil {
			s.prune(ctx, staged.Version)
			return nil
		}
		if wait.For(ctx, settleInterval) != nil {
			return trace.Wrap(err)
		}
	}
}

// prune deletes the version that history no longer keeps. A failure leaves one
// row behind.
func (s *Store) prune(ctx context.Context, accepted config.Version) {
	old := accepted - MaxHistory
	if old <= 0 {
		return
	}
	_, err := s.table.Apply(ctx, []platform.Write{
		{Key: versionKey(old), IfVersion: platform.AnyVersion, Delete: true},
	})
	if err != nil {
		counters.Add("prune_failures", 1)
	}
}

// attempt repeats a call that had no effect up to callAttempts times.
func attempt(ctx context.Context, call func() error) error {
	for tries := 1; ; tries++ {
		err := call()
		if err == nil || tries >= callAttempts || !errors.Is(err, platform.ErrUnavailable) {
			return err
		}
		if wait.For(ctx, settleInterval) != nil {
			return err
		}
	}
}
