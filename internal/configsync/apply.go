package configsync

import (
	"context"
	"crypto/rand"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"cuminloft/internal/config"
	"cuminloft/internal/strictjson"
	"cuminloft/internal/wait"
)

// State is the outcome of an apply.
type State string

// The states of an apply.
const (
	StateAccepted State = "accepted" // in force everywhere, and final
	StateStaged   State = "staged"   // the stricter merge is in force; the hosts complete the acceptance
	StateRefused  State = "refused"  // nothing was changed
	StateDryRun   State = "dry_run"  // nothing was changed; the version would have been staged
)

// ApplyRequest is a request to put a configuration in force.
type ApplyRequest struct {
	Base   config.Version // accepted version that the change is based on
	Config *config.Config
	Author string
	DryRun bool
	// Nonce identifies the apply, so that a repeat returns the first outcome; empty: random.
	Nonce string
	// Used is the current usage of the teams, for Result.Effect; may be nil.
	Used []config.TeamUsage
}

// Result is the result of an apply.
type Result struct {
	State   State          `json:"state"`
	Version config.Version `json:"version,omitempty"`
	// Waiting lists the shards that a staged version waits for.
	Waiting []PendingShard `json:"waiting,omitempty"`
	// Problems are why a refused configuration is not valid.
	Problems []strictjson.Problem `json:"problems,omitempty"`
	// Conflict is set if another apply was accepted or staged first.
	Conflict *ConflictError  `json:"conflict,omitempty"`
	Changes  []config.Change `json:"changes,omitempty"`
	Effect   *config.Effect  `json:"effect,omitempty"`
}

// Apply stages the configuration and waits until it is accepted or ctx ends; in the latter
// case the result is StateStaged and another host completes the rollout. Progress, which
// may be nil, is called whenever the shards that the version waits for change. The error
// is platform.ErrUnavailable if the table cannot be reached and nothing was changed, or
// ErrOutcomeUnknown.
func (s *Sync) Apply(ctx context.Context, r ApplyRequest, progress func(Progress)) (Result, error) {
	s.activeApplies.Add(1)
	defer s.activeApplies.Add(-1)
	err := retryUnavailable(ctx, func() error { return s.Refresh(ctx) })
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	result, refused := s.validate(r)
	if refused || r.DryRun {
		return result, nil
	}
	record, err := newRecord(r)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	err = s.store.stage(ctx, record)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		result.State = StateRefused
		result.Conflict = conflict
		return result, nil
	}
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	counters.Add("staged", 1)
	return s.rollOutStaged(ctx, record, result, progress)
}

// rollOutStaged rolls out a version that is certainly staged, until it is accepted.
func (s *Sync) rollOutStaged(ctx context.Context, record Record, result Result, progress func(Progress)) (Result, error) {
	result.State = StateStaged
	result.Version = record.Version
	stagedConfig, err := record.Config()
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	u := versionUpdate{staged: record.VersionInfo, stagedConfig: stagedConfig}
	err = s.update(ctx, u)
	if err == nil {
		err = s.rollOut(ctx, ownerReadInterval, func(p Progress) {
			result.Waiting = p.Waiting
			if progress != nil {
				progress(p)
			}
		})
	}
	if err == nil && s.current.Load().accepted.Version >= record.Version {
		result.State = StateAccepted
		result.Waiting = nil
	}
	return result, nil
}

// validate checks the request against the versions that this process holds. It returns
// true if the request is refused.
func (s *Sync) validate(r ApplyRequest) (Result, bool) {
	accepted, version := s.Accepted()
	var used []config.TeamUsage
	if accepted != nil {
		used = r.Used
	}
	err := config.Check(r.Config)
	if err == nil && r.Base == version {
		err = config.CheckTransition(accepted, r.Config)
	}
	var invalid *strictjson.Error
	if errors.As(err, &invalid) {
		return Result{State: StateRefused, Problems: invalid.Problems}, true
	}
	effect := config.ComputeEffect(accepted, r.Config, used)
	result := Result{State: StateDryRun, Changes: config.Diff(accepted, r.Config), Effect: &effect}
	staged, pending := s.Staged()
	if r.DryRun && (pending || r.Base != version) {
		result.State = StateRefused
		result.Conflict = &ConflictError{Accepted: s.current.Load().accepted}
		if pending {
			result.Conflict.Staged = &staged
		}
	}
	return result, false
}

func newRecord(r ApplyRequest) (Record, error) {
	body, digest, err := config.Encode(r.Config)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	nonce := r.Nonce
	if nonce == "" {
		nonce = rand.Text()
	}
	return Record{
		VersionInfo: VersionInfo{
			Version: r.Base + 1,
			Base:    r.Base,
			Author:  r.Author,
			Time:    time.Now().UTC(),
			Nonce:   nonce,
			Digest:  digest,
		},
		Body: body,
	}, nil
}

// rollOut rolls the staged version out until it is accepted.
func (s *Sync) rollOut(ctx context.Context, interval time.Duration, progress func(Progress)) error {
	current := s.current.Load()
	if !current.hasPending() {
		return nil
	}
	r, err := s.newRollout(ctx, progress)
	for err != nil {
		if wait.For(ctx, retryInterval) != nil {
			return trace.Wrap(err)
		}
		r, err = s.newRollout(ctx, progress)
	}
	if err := r.run(ctx, interval); err != nil {
		return trace.Wrap(err)
	}
	select {
	case s.announcements <- r.staged.Version:
	default: // the queue is full; the peers learn of the acceptance when they poll
	}
	return nil
}

// TakeoverDelay is how long the first host in rendezvous order waits before it also rolls
// a staged version out. Each following host waits one TakeoverDelay longer.
const TakeoverDelay = 2 * time.Second

// runTakeover completes the rollout of staged versions whose applier failed.
func (s *Sync) runTakeover(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := s.Changed()
		staged, pending := s.Staged()
		if !pending {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		s.takeOver(ctx, staged)
	}
	return nil
}

// takeOver rolls the version out until it is accepted. Its initial delay and its interval
// between reads of the shard owners grow with the rank of this host.
func (s *Sync) takeOver(ctx context.Context, staged VersionInfo) {
	factor := time.Duration(1 + s.rank(staged))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		s.waitNotPending(ctx, staged)
	}()
	if wait.For(ctx, factor*TakeoverDelay) != nil {
		return
	}
	if s.activeApplies.Load() > 0 {
		return
	}
	counters.Add("finishes", 1)
	_ = s.rollOut(ctx, factor*PollInterval, s.recordPending)
}

// waitNotPending returns when the version no longer waits for acceptance or ctx ends.
func (s *Sync) waitNotPending(ctx context.Context, info VersionInfo) {
	for {
		changed := s.Changed()
		staged, pending := s.Staged()
		if !pending || staged.Version != info.Version {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// rank returns this host's index in the rendezvous order of the live hosts for the version.
func (s *Sync) rank(info VersionInfo) int {
	weight := func(host string) uint64 { return xxhash.Sum64String(versionText(info.Version) + "\x00" + host) }
	own := weight(s.opts.Host)
	ahead := 0
	for _, peer := range s.opts.Peers.Peers() {
		if weight(peer.Host) > own {
			ahead++
		}
	}
	return ahead
}

// History returns up to limit versions after the given one, oldest first.
func (s *Sync) History(ctx context.Context, after config.Version, limit int) ([]VersionInfo, error) {
	return s.store.History(ctx, after, limit)
}

// Version returns any version that is still stored.
func (s *Sync) Version(ctx context.Context, v config.Version) (Record, error) {
	return s.store.Version(ctx, v)
}

func versionText(v config.Version) string { return strconv.FormatInt(int64(v), 10) }
