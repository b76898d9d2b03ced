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

// Maintenance of workers' hosts.
const (
	// hostsPause is the pause between two listings of the hosts during a campaign;
	// a listing older than hostsStale is not acted on.
	hostsPause = time.Second
	hostsStale = 3 * time.Second
	// hostRest is the pause after an order that failed.
	hostRest = time.Second
	// confirmedShare of the time that an order's holder must keep to itself is how
	// recently the seat must have been confirmed; the call takes another part.
	confirmedShare = 3

	maintenanceTable = "maintenance"
)

// maintenanceDesk carries out maintenance campaigns during one term.
type maintenanceDesk struct {
	campaigns map[int64]*maintenance.Campaign
	loading   map[int64]bool
	completed map[int64]bool
	hosts     []workload.WorkerHost
	listed    time.Time
	listing   bool
	rest      map[string]time.Time // until when no order goes to a host
	ordering  map[string]bool
	cordoned  bool
}

func newMaintenanceDesk() *maintenanceDesk {
	return &maintenanceDesk{
		campaigns: map[int64]*maintenance.Campaign{}, loading: map[int64]bool{}, completed: map[int64]bool{},
		rest: map[string]time.Time{}, ordering: map[string]bool{},
	}
}

// Events of the desk.
type (
	campaignLoaded struct {
		campaign workload.Maintenance
		begun    []string
		err      error
	}
	hostsListed struct {
		hosts []workload.WorkerHost
		asked time.Time
		err   error
	}
	maintained struct {
		campaign     int64
		host, worker string
		err          error
	}
	campaignReported struct {
		campaign int64
		err      error
	}
)

// maintain does what the campaigns ask for next.
func (t *termLoop) maintain(ctx context.Context, now time.Time) {
	d := t.hostDesk
	asked := t.Watch.Campaigns()
	if t.Hosts == nil {
		return
	}
	for id := range d.campaigns {
		if !slices.ContainsFunc(asked, func(m workload.Maintenance) bool { return m.ID == id }) {
			delete(d.campaigns, id)
		}
	}
	active := false
	for _, m := range asked {
		if d.campaigns[m.ID] == nil && !d.loading[m.ID] && !d.completed[m.ID] {
			d.loading[m.ID] = true
			go t.loadCampaign(ctx, m)
		}
		active = active || !d.completed[m.ID]
	}
	if !active {
		t.cordon(nil)
		return
	}
	if !d.listing && now.Sub(d.listed) >= hostsPause {
		d.listing = true
		go t.listHosts(ctx)
	}
	if now.Sub(d.listed) < hostsStale {
		t.carryOut(ctx, now)
	}
}

// carryOut cordons and empties workers and orders the maintenance of hosts.
func (t *termLoop) carryOut(ctx context.Context, now time.Time) {
	d := t.hostDesk
	hosts := make(map[string]maintenance.Host, len(d.hosts))
	for _, h := range d.hosts {
		n, _ := t.core.TasksOn(h.Worker) // an unknown worker runs nothing of ours
		hosts[h.ID] = maintenance.Host{Up: h.Up, Worker: h.Worker, Tasks: n}
	}
	var cordoned []string
	for id, c := range d.campaigns {
		plan := c.Next(hosts, now)
		cordoned = append(cordoned, plan.Cordon...)
		for _, w := range plan.Vacate {
			t.core.Vacate(w)
		}
		for _, host := range plan.Order {
			if t.mayOrder(now) && !d.ordering[host] && !now.Before(d.rest[host]) {
				d.ordering[host] = true
				go t.order(ctx, id, host, hosts[host].Worker)
			}
		}
		if plan.Completed && !d.completed[id] {
			d.completed[id] = true
			go t.reportCampaign(ctx, id, true)
		}
	}
	t.cordon(cordoned)
}

// mayOrder reports whether this coordinator is surely the only one that orders:
// the one before has stopped, and no later one has begun.
func (t *termLoop) mayOrder(now time.Time) bool {
	return now.Sub(t.term.Since) >= t.OrderLease && now.Sub(t.lastCommit()) <= t.OrderLease/confirmedShare
}

func (t *termLoop) cordon(workers []string) {
	if len(workers) > 0 || t.hostDesk.cordoned {
		t.core.Cordon(workers)
	}
	t.hostDesk.cordoned = len(workers) > 0
}

// campaignRow is the stored form of how far a campaign is.
type campaignRow struct {
	Begun []string `json:"begun"`
}

func (t *termLoop) loadCampaign(ctx context.Context, m workload.Maintenance) {
	key := strconv.FormatInt(m.ID, 10)
	page, err := t.Store.Scan(ctx, maintenanceTable, "", key, key+"\x00")
	var row campaignRow
	if err == nil && len(page.Rows) > 0 {
		if err = json.Unmarshal(page.Rows[0].Value, &row); err != nil {
			err = fmt.Errorf("state of maintenance campaign %d cannot be read: %w", m.ID, err)
		}
	}
	t.post(ctx, campaignLoaded{m, row.Begun, err})
}

func (t *termLoop) listHosts(ctx context.Context) {
	asked := time.Now()
	hosts, err := t.Hosts.Hosts(ctx)
	t.post(ctx, hostsListed{hosts, asked, err})
}

func (t *termLoop) order(ctx context.Context, campaign int64, host, worker string) {
	err := t.Hosts.Maintain(ctx, host, campaign, t.term.seat.Holder, t.term.Epoch)
	t.post(ctx, maintained{campaign, host, worker, err})
}

func (t *termLoop) reportCampaign(ctx context.Context, campaign int64, completed bool) {
	err := t.Hosts.Report(ctx, campaign, completed)
	t.post(ctx, campaignReported{campaign, err})
}

// saveCampaign stores which hosts have begun their maintenance, so that a
// successor does not empty them once more. Another order of theirs would do no
// harm, so the answer is only logged.
func (t *termLoop) saveCampaign(ctx context.Context, id int64, begun []string) {
	value, err := json.Marshal(campaignRow{begun})
	if err == nil {
		_, err = t.Store.Commit(ctx, platform.Tx{Puts: []platform.PartRow{{
			Table: maintenanceTable, Key: strconv.FormatInt(id, 10), Value: value}}})
	}
	if err != nil {
		t.Log.Info("state of maintenance campaign not stored", "campaign", id, "cause", err.Error())
	}
}

// handleMaintenance takes the desk's events.
func (t *termLoop) handleMaintenance(ctx context.Context, event any, now time.Time) {
	d := t.hostDesk
	switch e := event.(type) {
	case campaignLoaded:
		delete(d.loading, e.campaign.ID)
		if e.err != nil {
			t.Log.Info("maintenance campaign cannot begin yet", "campaign", e.campaign.ID, "cause", e.err.Error())
			return
		}
		d.campaigns[e.campaign.ID] = maintenance.New(e.campaign, e.begun, now)
		go t.reportCampaign(ctx, e.campaign.ID, false)
	case hostsListed:
		d.listing = false
		if e.err != nil {
			d.listed = now.Add(-hostsStale) // asked again at once, not acted on
			t.Log.Info("hosts cannot be listed", "cause", e.err.Error())
			return
		}
		d.hosts, d.listed = e.hosts, e.asked
	case maintained:
		delete(d.ordering, e.host)
		if e.err != nil {
			d.rest[e.host] = now.Add(hostRest)
			t.Log.Info("maintenance of host not begun", "campaign", e.campaign, "host", e.host, "cause", e.err.Error(),
				"unknown", errors.Is(e.err, workload.ErrNoAnswer))
			return
		}
		t.Log.Info("maintenance of host begun", "campaign", e.campaign, "host", e.host, "worker", e.worker)
		if c := d.campaigns[e.campaign]; c != nil {
			c.Began(e.host, e.worker, now)
			go t.saveCampaign(ctx, e.campaign, c.Begun())
		}
	case campaignReported:
		if e.err != nil {
			delete(d.completed, e.campaign) // told again
			t.Log.Info("state of maintenance campaign not reported", "campaign", e.campaign, "cause", e.err.Error())
		}
	}
}
