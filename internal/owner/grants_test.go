package owner

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/config"
	"cuminloft/internal/configsync"
	"cuminloft/internal/grant"
	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/worker"
)

// takeoverView records whether the owner row was written before the configuration was
// refreshed.
type takeoverView struct {
	config.View
	rig   *testCell
	after chan bool
}

func (v takeoverView) Refresh(ctx context.Context) error {
	_, err := v.rig.table.Get(ctx, journal.OwnerKey(testShard))
	v.after <- err == nil
	return v.View.Refresh(ctx)
}

// startOwnerWithGrants runs an owner whose teams are bounded by grants.
func (r *testCell) startOwnerWithGrants(ctx context.Context) (*Owner, takeoverView) {
	view := takeoverView{View: configsync.NewStatic(r.cfg), rig: r, after: make(chan bool, 1)}
	holder := grant.New(grant.Options{Shard: testShard, Table: r.table, Limits: view.View.(grant.Limits), Log: logr.Discard()})
	o := New(Options{
		Shard: testShard, AZ: "keller", Self: &rpc.Member{Host: "host0", Incarnation: "one"},
		Table: r.table, Objects: r.objects, View: view, Grants: holder, Log: logr.Discard(), Seed: 1,
		Connect: func(s model.WorkerSpec) worker.Client { return r.workers[s.ID] },
	})
	go func() { _ = o.Run(ctx) }()
	return o, view
}

// A limit of 3 cores holds for an owner and its successor, although the workers have
// capacity for 8, and the configuration is read after the takeover.
func TestOwnerStartsOnlyWithinGrant(t *testing.T) {
	withTestCell(t, 2, func(t *testing.T, r *testCell) {
		is := is.New(t)
		r.cfg.Organisations[0].Teams[0].Limit = model.Resources{MilliCores: 3000}
		ctx, stop := context.WithCancel(t.Context())
		o, view := r.startOwnerWithGrants(ctx)
		is.True(<-view.after)
		time.Sleep(time.Second)
		_, err := o.Submit(ctx, r.jobRequest(8, true, time.Hour))
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		is.Equal(o.Digest().GetUsed().GetMilliCores(), int64(3000))
		given, err := o.GiveBack(ctx, &rpc.GiveBackRequest{Team: "planner", Want: &rpc.Resources{MilliCores: 3000}})
		is.NoErr(err)
		is.Equal(given.GetGiven().GetMilliCores(), int64(0)) // the whole grant is in use
		stop()
		time.Sleep(time.Second)

		ctx, stop = context.WithCancel(t.Context())
		o, view = r.startOwnerWithGrants(ctx)
		is.True(<-view.after)
		time.Sleep(10 * time.Second)
		is.Equal(o.Digest().GetUsed().GetMilliCores(), int64(3000))
		stop()
	})
}
