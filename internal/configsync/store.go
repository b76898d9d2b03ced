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
	// retryInterval is the interval between attempts of a call.
	retryInterval = 100 * time.Millisecond
	// callAttempts is the number of attempts of a call that had no effect before the
	// table counts as unavailable.
	callAttempts = 3
	// MaxHistory is the number of versions that the table keeps for the history.
	MaxHistory = 5_000
)

// ErrOutcomeUnknown is returned if an apply ended before it was known whether its version
// was staged. The history shows the outcome; an apply with the same nonce returns it.
var ErrOutcomeUnknown = errors.New("not known whether the version was staged")

// ConflictError reports that another apply was accepted or staged first.
type ConflictError struct {
	Accepted VersionInfo
	// Staged is the version that waits for acceptance, if any.
	Staged *VersionInfo
	// Changes are the differences between the base version of the failed apply and the
	// winning version, if the base version is still stored.
	Changes []config.Change
}

// Error returns the winning version and its author.
func (e *ConflictError) Error() string {
	if e.Staged != nil {
		return fmt.Sprintf("version %d of %s is staged and not yet accepted", e.Staged.Version, e.Staged.Author)
	}
	return fmt.Sprintf("version %d of %s was accepted meanwhile", e.Accepted.Version, e.Accepted.Author)
}

// versionState holds the accepted and the staged version as returned by one read.
type versionState struct {
	accepted, staged       VersionInfo
	acceptedRow, stagedRow int64 // row versions; zero: no such row
}

// hasPending reports whether a staged version waits for acceptance.
func (s versionState) hasPending() bool { return s.staged.Version > s.accepted.Version }

// Store reads and writes the configuration's rows in the table.
type Store struct {
	table platform.Table
}

// NewStore returns a store on the table.
func NewStore(table platform.Table) *Store { return &Store{table: table} }

// readState reads the accepted and the staged version with one call. A staged version
// implies that its base version was accepted earlier, so an accepted row that is older
// than the base was read before that acceptance and is read again.
func (s *Store) readState(ctx context.Context) (versionState, error) {
	rows, err := s.table.Range(ctx, rowPrefix, "", 2)
	if err != nil {
		return versionState{}, trace.Wrap(err)
	}
	var state versionState
	for _, row := range rows {
		switch row.Key {
		case acceptedKey:
			state.acceptedRow = row.Version
			state.accepted, err = decodeInfo(row.Key, row.Value)
		case stagedKey:
			state.stagedRow = row.Version
			state.staged, err = decodeInfo(row.Key, row.Value)
		}
		if err != nil {
			return versionState{}, trace.Wrap(err)
		}
	}
	if state.staged.Base > state.accepted.Version {
		return s.rereadAccepted(ctx, state)
	}
	return state, nil
}

func (s *Store) rereadAccepted(ctx context.Context, state versionState) (versionState, error) {
	row, err := s.table.Get(ctx, acceptedKey)
	if err != nil {
		return versionState{}, trace.Wrap(err)
	}
	state.acceptedRow = row.Version
	state.accepted, err = decodeInfo(row.Key, row.Value)
	if err != nil {
		return versionState{}, trace.Wrap(err)
	}
	if state.staged.Base > state.accepted.Version {
		return versionState{}, trace.Wrap(ErrCorrupt, "version %d is staged on %d, but %d is accepted",
			state.staged.Version, state.staged.Base, state.accepted.Version)
	}
	return state, nil
}

// Version returns a stored version, or an error that wraps platform.ErrNotFound.
func (s *Store) Version(ctx context.Context, v config.Version) (Record, error) {
	key := versionKey(v)
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	return decodeRecord(key, row.Value)
}

// History returns up to limit versions after the given one, oldest first. The last one
// may be staged and not yet accepted.
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

// stage writes r as the staged version if r.Base is the accepted version and no other
// version waits for acceptance. The error is a *ConflictError, ErrOutcomeUnknown, or
// platform.ErrUnavailable if nothing was written.
func (s *Store) stage(ctx context.Context, r Record) error {
	value, err := encodeRecord(r)
	if err != nil {
		return trace.Wrap(err)
	}
	info, err := encodeInfo(r.VersionInfo)
	if err != nil {
		return trace.Wrap(err)
	}
	var state versionState
	err = retryUnavailable(ctx, func() error {
		state, err = s.readState(ctx)
		return err
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if state.staged.Nonce == r.Nonce {
		return nil // staged by an earlier apply with this nonce
	}
	if state.accepted.Version != r.Base || state.hasPending() {
		return s.conflict(ctx, r, state)
	}
	writes := []platform.Write{
		{Key: acceptedKey, IfVersion: state.acceptedRow, CheckOnly: true},
		{Key: stagedKey, Value: info, IfVersion: state.stagedRow},
		{Key: versionKey(r.Version), Value: value, IfVersion: platform.MustBeAbsent},
	}
	return s.commitStaged(ctx, r, writes)
}

// commitStaged repeats one conditional transaction until its outcome is certain. It cannot
// take effect twice, and an attempt that fails on a condition proves that no earlier
// attempt can still take effect, though one may have done so already.
func (s *Store) commitStaged(ctx context.Context, r Record, writes []platform.Write) error {
	ambiguous := false
	for tries := 1; ; tries++ {
		_, err := s.table.Apply(ctx, writes)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return s.resolveStaged(ctx, r)
		case errors.Is(err, platform.ErrAmbiguous):
			ambiguous = true
			counters.Add("lost_answers", 1)
		case !ambiguous && tries >= callAttempts:
			return trace.Wrap(err)
		}
		if wait.For(ctx, retryInterval) != nil {
			return trace.Wrap(ErrOutcomeUnknown, "version %d", r.Version)
		}
	}
}

// resolveStaged determines after a conflict whether an earlier attempt has staged r.
func (s *Store) resolveStaged(ctx context.Context, r Record) error {
	for {
		stored, err := s.Version(ctx, r.Version)
		if err == nil && stored.Nonce == r.Nonce {
			return nil
		}
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			state, stateErr := s.readState(ctx)
			if stateErr == nil {
				return s.conflict(ctx, r, state)
			}
		}
		if wait.For(ctx, retryInterval) != nil {
			return trace.Wrap(ErrOutcomeUnknown, "version %d", r.Version)
		}
	}
}

// conflict returns a *ConflictError for r, with the changes of the winning version if both
// that version and r.Base can be read.
func (s *Store) conflict(ctx context.Context, r Record, state versionState) error {
	e := &ConflictError{Accepted: state.accepted}
	newest := state.accepted.Version
	if state.hasPending() {
		e.Staged = &state.staged
		newest = state.staged.Version
	}
	base, baseErr := s.config(ctx, r.Base)
	winner, winnerErr := s.config(ctx, newest)
	if baseErr == nil && winnerErr == nil {
		e.Changes = config.Diff(base, winner)
	}
	return trace.Wrap(e)
}

// config returns the configuration of a version; for version 0 it is nil.
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

// accept makes the staged version the accepted one. It is idempotent and returns nil if
// another process has accepted the version already.
func (s *Store) accept(ctx context.Context, staged VersionInfo) error {
	value, err := encodeInfo(staged)
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		state, err := s.readState(ctx)
		if err == nil && state.accepted.Version >= staged.Version {
			return nil
		}
		if err == nil && state.staged.Nonce != staged.Nonce {
			return trace.Wrap(ErrCorrupt, "staged row holds version %d, not %d", state.staged.Version, staged.Version)
		}
		if err == nil {
			_, err = s.table.Apply(ctx, []platform.Write{
				{Key: stagedKey, IfVersion: state.stagedRow, CheckOnly: true},
				{Key: acceptedKey, Value: value, IfVersion: state.acceptedRow},
			})
		}
		if err == nil {
			s.prune(ctx, staged.Version)
			return nil
		}
		if wait.For(ctx, retryInterval) != nil {
			return trace.Wrap(err)
		}
	}
}

// prune deletes the version that leaves the history when a version is accepted. If the
// deletion fails, one row remains in the table.
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

// retryUnavailable makes a call up to callAttempts times while it returns
// platform.ErrUnavailable, which proves that it had no effect.
func retryUnavailable(ctx context.Context, call func() error) error {
	for tries := 1; ; tries++ {
		err := call()
		if err == nil || tries >= callAttempts || !errors.Is(err, platform.ErrUnavailable) {
			return err
		}
		if wait.For(ctx, retryInterval) != nil {
			return err
		}
	}
}
