package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"cuminloft/internal/maintenance"
	"cuminloft/internal/platform"
	"cuminloft/internal/workload"
)

// Timing of the maintenance of workers' hosts.
const (
	// hostListInterval is the pause between two listings of the hosts during a
	// campaign; a listing older than maxHostListAge is not acted on.
	hostListInterval = time.Second
	maxHostListAge   = 3 * time.Second
	// maintenanceRetryPause is the pause after a failed call.
	maintenanceRetryPause = time.Second
	// campaignCallTimeout bounds a call that stores or reports the state of a campaign.
	campaignCallTimeout = 2 * time.Second
	// The leadership must have been renewed within OrderLease divided by
	// confirmedDivisor when an order is sent; the call itself takes another part of
	// OrderLease.
	confirmedDivisor = 3

	maintenanceTable = "maintenance"
)

// maintenanceController executes maintenance campaigns during one term.
type maintenanceController struct {
	campaigns   map[int64]*campaign
	hosts       []workload.WorkerHost
	listedAt    time.Time
	listing     bool
	pausedUntil map[string]time.Time // no order is sent to the host before, by host
	ordering    map[string]bool
}

// campaign is a campaign that operators have requested.
type campaign struct {
	*maintenance.Campaign           // nil until its stored state has been read
	begunMS               int64     // when it began, by the store's clock; 0 if that is not known
	version               int64     // of the stored state; 0 if there is none
	unsaved               bool      // the state has changed since it was stored
	calling               bool      // its state is being loaded, stored or reported
	pausedUntil           time.Time // none of these is tried before
	running, completed    bool      // as reported to the host API
}

func newMaintenanceController() *maintenanceController {
	return &maintenanceController{campaigns: map[int64]*campaign{}, pausedUntil: map[string]time.Time{}, ordering: map[string]bool{}}
}

// Events of the maintenance controller.
type (
	campaignLoaded struct {
		campaign workload.Maintenance
		row      campaignRow
		version  int64 // of the row; 0 if there is none
		err      error
	}
	campaignSaved struct {
		campaign int64
		version  int64
		err      error
	}
	hostsListed struct {
		hosts       []workload.WorkerHost
		requestedAt time.Time
		err         error
	}
	maintenanceOrdered struct {
		campaign     int64
		host, worker string
		err          error
	}
	campaignReported struct {
		campaign  int64
		completed bool
		err       error
	}
)

// maintain takes the next steps of all campaigns.
func (t *termLoop) maintain(ctx context.Context, now time.Time) {
	if t.Hosts == nil {
		return
	}
	mc := t.maintenance
	requested := t.Watch.Campaigns()
	mc.setCampaigns(requested)
	active := false
	for _, m := range requested {
		c := mc.campaigns[m.ID]
		active = active || !c.completed
		if c.calling || now.Before(c.pausedUntil) {
			continue
		}
		switch {
		case c.Campaign == nil:
			c.calling = true
			go t.loadCampaign(ctx, m)
		case c.unsaved:
			c.calling, c.unsaved = true, false
			go t.saveCampaign(ctx, m.ID, campaignRow{c.Started(), c.begunMS}, c.version)
		case !c.running:
			c.calling = true
			go t.reportCampaign(ctx, m.ID, false)
		}
	}
	if !active {
		t.core.SetCordonedWorkers(nil)
		return
	}
	if !mc.listing && now.Sub(mc.listedAt) >= hostListInterval {
		mc.listing = true
		go t.listHosts(ctx)
	}
	if now.Sub(mc.listedAt) < maxHostListAge {
		t.executePlans(ctx, now)
	}
}

// setCampaigns drops the campaigns that are no longer requested and adds new ones.
func (mc *maintenanceController) setCampaigns(requested []workload.Maintenance) {
	kept := make(map[int64]*campaign, len(requested))
	for _, m := range requested {
		kept[m.ID] = mc.campaigns[m.ID]
		if kept[m.ID] == nil {
			kept[m.ID] = &campaign{}
		}
	}
	mc.campaigns = kept
}

// executePlans cordons and evicts workers and orders the maintenance of hosts.
func (t *termLoop) executePlans(ctx context.Context, now time.Time) {
	mc := t.maintenance
	hosts := make(map[string]maintenance.Host, len(mc.hosts))
	for _, h := range mc.hosts {
		hosts[h.ID] = maintenance.Host{Up: h.Up, InMaintenance: h.InMaintenance, Worker: h.Worker, Tasks: t.core.TasksOn(h.Worker)}
	}
	var cordoned []string
	for id, c := range mc.campaigns {
		if c.Campaign == nil || c.completed {
			continue
		}
		plan := c.Next(hosts, now)
		cordoned = append(cordoned, plan.Cordon...)
		if t.leadershipConfirmed(now) { // evicted tasks cannot start again before a commit
			for _, w := range plan.Evict {
				t.core.EvictTasks(w)
			}
		}
		for _, host := range plan.Start {
			if t.mayOrder(now) && !mc.ordering[host] && !now.Before(mc.pausedUntil[host]) {
				mc.ordering[host] = true
				go t.orderMaintenance(ctx, id, host, hosts[host].Worker)
			}
		}
		if plan.Completed && !c.unsaved && !c.calling && !now.Before(c.pausedUntil) {
			c.calling = true
			go t.reportCampaign(ctx, id, true)
		}
	}
	t.core.SetCordonedWorkers(cordoned)
}

// mayOrder reports whether no other coordinator can be sending orders: the previous one
// has stopped and no later one has begun.
func (t *termLoop) mayOrder(now time.Time) bool {
	return now.Sub(t.term.Since) >= t.OrderLease && t.leadershipConfirmed(now)
}

// leadershipConfirmed reports whether the leadership was renewed recently enough to send a
// maintenance order.
func (t *termLoop) leadershipConfirmed(now time.Time) bool {
	return now.Sub(t.lastCommit()) <= t.OrderLease/confirmedDivisor
}

// campaignRow is the stored state of a campaign.
type campaignRow struct {
	Started []string `json:"begun"`
	// BegunMS is when a coordinator first worked on the campaign, in milliseconds of the
	// store's clock; 0 if an older build stored the row.
	BegunMS int64 `json:"begun_ms,omitempty"`
}

// beginCampaign takes over the stored state of a campaign, or begins it.
func (t *termLoop) beginCampaign(c *campaign, e campaignLoaded, now time.Time) {
	begun := now
	c.begunMS, c.version = e.row.BegunMS, e.version
	if reading, ok := platform.StoreClock(t.Store); ok {
		if c.begunMS == 0 {
			c.begunMS, c.unsaved = reading.Upper(now).Milliseconds(), true
		}
		begun = reading.Reached(time.Duration(c.begunMS) * time.Millisecond)
	}
	c.Campaign, c.calling = maintenance.New(e.campaign, e.row.Started, begun, now), false
}

func (t *termLoop) loadCampaign(ctx context.Context, m workload.Maintenance) {
	key := strconv.FormatInt(m.ID, 10)
	page, err := t.Store.Scan(ctx, maintenanceTable, "", key, key+"\x00")
	loaded := campaignLoaded{campaign: m, err: err}
	if err == nil && len(page.Rows) > 0 {
		loaded.version = page.Rows[0].Version
		loaded.row, loaded.err = decodeCampaignRow(page.Rows[0])
	}
	t.post(ctx, loaded)
}

func decodeCampaignRow(r platform.PartitionRow) (campaignRow, error) {
	var row campaignRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return row, fmt.Errorf("state of maintenance campaign %s cannot be decoded: %w", r.Key, err)
	}
	return row, nil
}

func (t *termLoop) listHosts(ctx context.Context) {
	requested := time.Now()
	hosts, err := t.Hosts.Hosts(ctx)
	t.post(ctx, hostsListed{hosts, requested, err})
}

func (t *termLoop) orderMaintenance(ctx context.Context, campaign int64, host, worker string) {
	err := t.Hosts.StartMaintenance(ctx, host, campaign, t.term.record.Leader, t.term.Epoch)
	t.post(ctx, maintenanceOrdered{campaign, host, worker, err})
}

func (t *termLoop) reportCampaign(ctx context.Context, campaign int64, completed bool) {
	call, cancel := context.WithTimeout(ctx, campaignCallTimeout)
	err := t.Hosts.ReportCampaign(call, campaign, completed)
	cancel()
	t.post(ctx, campaignReported{campaign, completed, err})
}

// saveCampaign stores when the campaign began, and the hosts whose maintenance has started,
// so that a successor does not evict their workers again. The stored state must be that of
// the given version: a call may be carried out late, after a successor's.
func (t *termLoop) saveCampaign(ctx context.Context, id int64, row campaignRow, version int64) {
	saved := campaignSaved{campaign: id}
	value, err := json.Marshal(row)
	if err == nil {
		call, cancel := context.WithTimeout(ctx, campaignCallTimeout)
		defer cancel()
		put := platform.PartitionRow{Table: maintenanceTable, Key: strconv.FormatInt(id, 10), Value: value}
		saved.version, err = t.Store.Commit(call, platform.Tx{
			Conditions: []platform.Condition{{Table: put.Table, Key: put.Key, Version: version}}, Puts: []platform.PartitionRow{put},
		})
	}
	saved.err = err
	t.post(ctx, saved)
}

// handleSaved handles the outcome of saveCampaign. What it did not store is stored later, with
// what another call has stored meanwhile.
func (c *campaign) handleSaved(e campaignSaved, now time.Time) error {
	if e.err == nil {
		c.calling, c.version = false, e.version
		return nil
	}
	c.unsaved = true
	c.markFailed(now)
	var conflict *platform.RowConflictError
	if !errors.As(e.err, &conflict) {
		return e.err
	}
	c.version = 0
	for _, r := range conflict.Rows {
		row, err := decodeCampaignRow(r)
		if err != nil {
			return err
		}
		c.version = r.Version
		for _, host := range row.Started {
			if !slices.Contains(c.Started(), host) {
				c.MarkStarted(host, "", now) // by an earlier coordinator
			}
		}
	}
	return e.err
}

// handleMaintenance handles the events of the maintenance controller.
func (t *termLoop) handleMaintenance(event any, now time.Time) {
	mc := t.maintenance
	switch e := event.(type) {
	case campaignLoaded:
		c := mc.campaigns[e.campaign.ID]
		switch {
		case c == nil: // withdrawn meanwhile
		case e.err != nil:
			c.markFailed(now)
			t.Log.Info("maintenance campaign cannot begin yet", "campaign", e.campaign.ID, "cause", e.err.Error())
		default:
			t.beginCampaign(c, e, now)
		}
	case hostsListed:
		mc.listing = false
		if e.err != nil {
			mc.listedAt = now.Add(-maxHostListAge) // listed again at once, not acted on
			t.Log.Info("hosts cannot be listed", "cause", e.err.Error())
			return
		}
		mc.hosts, mc.listedAt = e.hosts, e.requestedAt
	case maintenanceOrdered:
		delete(mc.ordering, e.host)
		if e.err != nil {
			mc.pausedUntil[e.host] = now.Add(maintenanceRetryPause)
			t.Log.Info("maintenance of host not begun", "campaign", e.campaign, "host", e.host, "cause", e.err.Error(),
				"unknown", errors.Is(e.err, workload.ErrNoAnswer))
			return
		}
		t.Log.Info("maintenance of host begun", "campaign", e.campaign, "host", e.host, "worker", e.worker)
		if c := mc.campaigns[e.campaign]; c != nil && c.Campaign != nil {
			c.MarkStarted(e.host, e.worker, now)
			c.unsaved = true
		}
	case campaignSaved:
		if c := mc.campaigns[e.campaign]; c != nil && c.Campaign != nil { // otherwise withdrawn meanwhile
			if err := c.handleSaved(e, now); err != nil {
				t.Log.Info("state of maintenance campaign not stored", "campaign", e.campaign, "cause", err.Error())
			}
		}
	case campaignReported:
		c := mc.campaigns[e.campaign]
		switch {
		case c == nil: // withdrawn meanwhile
		case e.err != nil:
			c.markFailed(now)
			t.Log.Info("state of maintenance campaign not reported", "campaign", e.campaign, "completed", e.completed, "cause", e.err.Error())
		default:
			c.running, c.completed, c.calling = true, e.completed, false
		}
	}
}

// markFailed records a failed call and delays the next one.
func (c *campaign) markFailed(now time.Time) {
	c.calling, c.pausedUntil = false, now.Add(maintenanceRetryPause)
}
