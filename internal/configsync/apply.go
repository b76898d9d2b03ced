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

// State is what became of an apply.
type State string

// The states of an apply.
const (
	StateAccepted State = "accepted" // in force everywhere and final
	StateStaged   State = "staged"   // the stricter of both versions is in force; acceptance follows by itself
	StateRefused  State = "refused"  // nothing was changed
	StateDryRun   State = "dry_run"  // nothing was changed; would have been staged
)

// ApplyRequest asks to put a configuration in force.
type ApplyRequest struct {
	Base   config.Version // accepted version that the operator started from
	Config *config.Config
	Author string
	DryRun bool
	// Nonce makes a repeated apply find the first one; empty: a random one.
	Nonce string
	// Used is what the teams run now, for the effect; may be nil.
	Used []config.TeamUsage
}

// Result is the truth about an apply.
type Result struct {
	State   State          `json:"state"`
	Version config.Version `json:"version,omitempty"`
	// Waiting lists what a staged version waits for.
	Waiting []PendingShard `json:"waiting,omitempty"`
	// Problems are why a refused configuration is not valid.
	Problems []strictjson.Problem `json:"problems,omitempty"`
	// Conflict is set if another apply was faster.
	Conflict *ConflictError  `json:"conflict,omitempty"`
	Changes  []config.Change `json:"changes,omitempty"`
	Effect   *config.Effect  `json:"effect,omitempty"`
}

// Apply stages the configuration and waits until it is accepted or ctx ends; in
// the latter case the result is StateStaged and some host finishes it later.
// Progress, which may be nil, is called at each change of what is awaited. The
// error is platform.ErrUnavailable if the table cannot be reached and nothing
// was changed, or ErrUnsettled.
func (s *Sync) Apply(ctx context.Context, r ApplyRequest, progress func(Progress)) (Result, error) {
	s.applying.Add(1)
	defer s.applying.Add(-1)
	err := attempt(ctx, func() error { return s.Refresh(ctx) })
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	result, refused := s.review(r)
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
	return s.finishApply(ctx, record, result, progress)
}

// finishApply waits for the acceptance of a version that is staged for certain.
func (s *Sync) finishApply(ctx context.Context, record Record, result Result, progress func(Progress)) (Result, error) {
	result.State = StateStaged
	result.Version = record.Version
	stagedConfig, err := record.Config()
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	l := learned{staged: record.VersionInfo, stagedConfig: stagedConfig}
	err = s.learn(ctx, l)
	if err == nil {
		err = s.drive(ctx, watchInterval, func(p Progress) {
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

// review checks the request against what this process knows. It reports true
// if the request is refused.
func (s *Sync) review(r ApplyRequest) (Result, bool) {
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
	staged, open := s.Staged()
	if r.DryRun && (open || r.Base != version) {
		result.State = StateRefused
		result.Conflict = &ConflictError{Accepted: s.current.Load().accepted}
		if open {
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

// drive brings the open staged version to acceptance.
func (s *Sync) drive(ctx context.Context, interval time.Duration, progress func(Progress)) error {
	now := s.current.Load()
	if !now.open() {
		return nil
	}
	d, err := s.newDriver(ctx, progress)
	for err != nil {
		if wait.For(ctx, settleInterval) != nil {
			return trace.Wrap(err)
		}
		d, err = s.newDriver(ctx, progress)
	}
	if err := d.run(ctx, interval); err != nil {
		return trace.Wrap(err)
	}
	select {
	case s.announce <- d.staged.Version:
	default: // polling reaches the peers
	}
	return nil
}

// TakeoverDelay is how long a staged version may wait before the first host by
// rendezvous order drives it, too; each following host waits as long again.
const TakeoverDelay = 2 * time.Second

// runFinisher finishes versions whose applier died.
func (s *Sync) runFinisher(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := s.Changed()
		staged, open := s.Staged()
		if !open {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		s.finish(ctx, staged)
	}
	return nil
}

// finish drives the version when it is this host's turn, until it is accepted.
func (s *Sync) finish(ctx context.Context, staged VersionInfo) {
	turn := time.Duration(1 + s.rank(staged))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		s.waitClosed(ctx, staged)
	}()
	if wait.For(ctx, turn*TakeoverDelay) != nil {
		return
	}
	if s.applying.Load() > 0 {
		return
	}
	counters.Add("finishes", 1)
	_ = s.drive(ctx, turn*PollInterval, s.noteWaiting)
}

// waitClosed returns when the version is no longer open or ctx ends.
func (s *Sync) waitClosed(ctx context.Context, h VersionInfo) {
	for {
		changed := s.Changed()
		now, open := s.Staged()
		if !open || now.Version != h.Version {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// rank is this host's place in the rendezvous order for the version.
func (s *Sync) rank(h VersionInfo) int {
	weight := func(host string) uint64 { return xxhash.Sum64String(versionText(h.Version) + "\x00" + host) }
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

// Version returns the configuration of any kept version.
func (s *Sync) Version(ctx context.Context, v config.Version) (Record, error) {
	return s.store.Version(ctx, v)
}

func versionText(v config.Version) string { return strconv.FormatInt(int64(v), 10) }
