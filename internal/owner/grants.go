package owner

import (
	"context"
	"time"

	"cuminloft/internal/grant"
	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
)

// Grants holds the shard's parts of the teams' upper limits. It is implemented by
// *grant.Holder.
type Grants interface {
	// Run takes over the shard's grants and serves until ctx ends or the owner row has
	// another version.
	Run(ctx context.Context, core grant.Core, ownerKey string, ownerVersion int64) error
	// Granted returns the shard's grant of the team, and false if it holds none.
	// Zero components are unlimited.
	Granted(team string) (model.Resources, bool)
	// Request asks for a grant for the given total usage. It returns immediately;
	// Changed signals when the grant has grown.
	Request(team string, total model.Resources)
	// GiveBack gives back up to want of the team's grant and returns the amount given
	// back.
	GiveBack(ctx context.Context, team string, want model.Resources) (model.Resources, error)
	// Changed returns a channel that is closed at the next change of any grant.
	Changed() <-chan struct{}
}

var _ grant.Core = (*Owner)(nil)

// runGrants runs the holder of the shard's grants until the ownership ends.
func (l *loop) runGrants(ctx context.Context) {
	err := l.opts.Grants.Run(ctx, l.Owner, journal.OwnerKey(l.opts.Shard), l.ownerRow.version)
	if err != nil && ctx.Err() == nil {
		counters.Add("grant_failures", 1)
		l.record(timeline.Event{Kind: timeline.KindGrantMoved, Target: l.opts.Shard, Detail: "grants ended: " + err.Error()})
	}
}

// applyGrantsMessage asks the event loop to apply the grants and to return the teams'
// usage.
type applyGrantsMessage struct {
	reply chan response[[]grant.TeamUsage]
}

// ApplyGrants implements grant.Core.
func (o *Owner) ApplyGrants(ctx context.Context) ([]grant.TeamUsage, error) {
	m := &applyGrantsMessage{reply: make(chan response[[]grant.TeamUsage], 1)}
	return call(ctx, o, m, m.reply)
}

func (m *applyGrantsMessage) handle(l *loop) {
	if !l.isReady(time.Now()) {
		m.reply <- response[[]grant.TeamUsage]{nil, notReady()}
		return
	}
	l.applyConfig()
	l.applyGrants()
	var uses []grant.TeamUsage
	for _, u := range l.core.TeamUsage() {
		uses = append(uses, grant.TeamUsage{Team: u.Team, Used: u.Used, Pending: u.Pending})
	}
	m.reply <- response[[]grant.TeamUsage]{uses, nil}
}

// GiveBack gives back a part of a team's grant.
func (o *Owner) GiveBack(ctx context.Context, r *rpc.GiveBackRequest) (*rpc.GiveBackReply, error) {
	if o.opts.Grants == nil {
		return &rpc.GiveBackReply{}, nil
	}
	given, err := o.opts.Grants.GiveBack(ctx, r.GetTeam(), r.GetWant().Model())
	if err != nil {
		return nil, wireError(err)
	}
	return &rpc.GiveBackReply{Given: rpc.FromResources(given)}, nil
}
