package serve

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cuminloft/api"
	"cuminloft/internal/configsync"
	"cuminloft/internal/rpc"
)

// peerQueryTimeout bounds the queries to the other entry hosts.
const peerQueryTimeout = 2 * time.Second

// status returns the status of this process: its versions, shards, workers and members.
func (p *Process) status() *rpc.StatusReply {
	accepted, staged := p.sync.Versions()
	digests, _ := p.shardManager.localShards()
	reply := &rpc.StatusReply{
		Self:           p.self,
		State:          string(p.state.Load().(State)),
		Accepted:       accepted,
		Staged:         staged,
		TableReachable: p.tableReachable(),
		Shards:         digests,
		Members:        p.tracker.Members(),
	}
	for _, o := range *p.shardManager.owners.Load() {
		reply.Workers = append(reply.Workers, o.Workers()...)
	}
	return reply
}

// tableReachable reports whether the configuration was read recently.
func (p *Process) tableReachable() bool { return time.Since(p.sync.LastRead()) <= configsync.FreshFor }

// queryPeers queries all other live entry hosts concurrently and returns the hosts that
// did not reply. It calls collect with each reply, one call at a time.
func queryPeers[R any](ctx context.Context, p *Process, query func(context.Context, rpc.Peer) (R, error), collect func(R)) []string {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var missing []string
	var group errgroup.Group
	for _, m := range p.tracker.Members() {
		peer, ok := p.tracker.Peer(m.GetHost())
		if !ok {
			continue // this host itself
		}
		group.Go(func() error {
			reply, err := query(ctx, peer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.GetHost())
				return nil
			}
			collect(reply)
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(missing)
	return missing
}

// cellStatus merges the status of all live entry hosts.
func (p *Process) cellStatus(ctx context.Context) api.StatusReply {
	own := p.status()
	replies := []*rpc.StatusReply{own}
	missing := queryPeers(ctx, p,
		func(ctx context.Context, peer rpc.Peer) (*rpc.StatusReply, error) {
			return peer.Status(ctx, &rpc.StatusRequest{})
		},
		func(r *rpc.StatusReply) { replies = append(replies, r) })
	reply := api.StatusReply{
		Host:           own.GetSelf().GetHost(),
		AZ:             own.GetSelf().GetAz(),
		State:          own.GetState(),
		Accepted:       own.GetAccepted(),
		Staged:         own.GetStaged(),
		TableReachable: own.GetTableReachable(),
		Missing:        missing,
	}
	for _, r := range replies {
		reply.Hosts = append(reply.Hosts, hostStatus(r))
		for _, w := range r.GetWorkers() {
			reply.Workers = append(reply.Workers, workerStatus(w))
		}
	}
	reply.AZs = p.azStatus()
	reply.Shards = p.shardStatus()
	reply.Waiting = unconfirmed(reply.Shards, reply.Staged)
	sortStatus(&reply)
	return reply
}

func hostStatus(r *rpc.StatusReply) api.HostStatus {
	m := r.GetSelf()
	return api.HostStatus{Host: m.GetHost(), AZ: m.GetAz(), Addr: m.GetAddr(), State: r.GetState()}
}

func workerStatus(w *rpc.WorkerStatus) api.WorkerStatus {
	return api.WorkerStatus{
		Worker:   w.GetWorker(),
		AZ:       w.GetAz(),
		Rack:     w.GetRack(),
		State:    w.GetState(),
		Capacity: w.GetCapacity().Model(),
		Used:     w.GetUsed().Model(),
		Running:  int(w.GetRunning()),
	}
}

// unconfirmed lists the shards whose owner, as far as this host knows, has not confirmed
// the staged version; none if no version is staged.
func unconfirmed(shards []api.ShardStatus, staged int64) []string {
	var waiting []string
	for _, s := range shards {
		if s.Confirmed < staged {
			waiting = append(waiting, fmt.Sprintf("shard %s (owner %q)", s.Shard, s.Owner))
		}
	}
	return waiting
}

// azStatus lists the AZs of the configuration in force on this host.
func (p *Process) azStatus() []api.AZStatus {
	cfg, _ := p.sync.Effective()
	if cfg == nil {
		return nil
	}
	workers := map[string]int{}
	for _, w := range cfg.Workers {
		workers[w.AZ]++
	}
	var zones []api.AZStatus
	for _, az := range cfg.AZs {
		zones = append(zones, api.AZStatus{AZ: az.Name, InService: az.InService, Workers: workers[az.Name]})
	}
	return zones
}

// shardStatus lists all shards of the configuration, with or without an owner.
func (p *Process) shardStatus() []api.ShardStatus {
	var shards []api.ShardStatus
	for _, ref := range p.tracker.Shards() {
		d := ref.Digest
		status := api.ShardStatus{
			Shard:         ref.Name,
			AZ:            ref.AZ,
			Owner:         d.GetOwner(),
			Fence:         d.GetFence(),
			Ready:         d.GetReady(),
			Capacity:      d.GetCapacity().Model(),
			Used:          d.GetUsed().Model(),
			DirectPending: d.GetDirectPending(),
			JobsPending:   d.GetJobsPending(),
			Confirmed:     d.GetConfirmed(),
		}
		for _, t := range d.GetTeams() {
			status.Teams = append(status.Teams, api.TeamUsage{
				Team:    t.GetTeam(),
				Used:    t.GetUsed().Model(),
				Pending: t.GetPending().Model(),
			})
		}
		shards = append(shards, status)
	}
	return shards
}

func sortStatus(r *api.StatusReply) {
	slices.SortFunc(r.Hosts, func(a, b api.HostStatus) int { return strings.Compare(a.Host, b.Host) })
	slices.SortFunc(r.Workers, func(a, b api.WorkerStatus) int { return strings.Compare(a.Worker, b.Worker) })
}
