package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	// deskRest is the pause after a call that failed.
	deskRest = time.Second
	// deskTimeout bounds a write of the state of a campaign.
	deskTimeout = 2 * time.Second
	// confirmedShare of the time that an order's holder must keep to itself is how
	// recently the seat must have been confirmed; the call takes another part.
	confirmedShare = 3

	maintenanceTable = "maintenance"
)

// maintenanceDesk carries out maintenance campaigns during one term.
type maintenanceDesk struct {
	campaigns map[int64]*campaign
	hosts     []workload.WorkerHost
	listed    time.Time
	listing   bool
	rest      map[string]time.Time // until when no order goes to a host
	ordering  map[string]bool
}

// campaign is a campaign that operators ask for.
type campaign struct {
	*maintenance.Campaign           // nil until its stored state has been read
	calling               bool      // its state is being read or reported
	rest                  time.Time // until when neither is tried
	running, completed    bool      // as reported
}

func newMaintenanceDesk() *maintenanceDesk {
	return &maintenanceDesk{campaigns: map[int64]*campaign{}, rest: map[string]time.Time{}, ordering: map[string]bool{}}
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
		campaign  int64
		completed bool
		err       error
	}
)

// maintain does what the campaigns ask for next.
func (t *termLoop) maintain(ctx context.Context, now time.Time) {
	if t.Hosts == nil {
		return
	}
	d := t.hostDesk
	asked := t.Watch.Campaigns()
	d.keep(asked)
	active := false
	for _, m := range asked {
		c := d.campaigns[m.ID]
		active = active || !c.completed
		if c.calling || now.Before(c.rest) {
			continue
		}
		switch {
		case c.Campaign == nil:
			c.calling = true
			go t.loadCampaign(ctx, m)
		case !c.running:
			c.calling = true
			go t.reportCampaign(ctx, m.ID, false)
		}
	}
	if !active {
		t.core.SetCordonedWorkers(nil)
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

// keep drops the campaigns that are not asked for any more and adds new ones.
func (d *maintenanceDesk) keep(asked []workload.Maintenance) {
	kept := make(map[int64]*campaign, len(asked))
	for _, m := range asked {
		kept[m.ID] = d.campaigns[m.ID]
		if kept[m.ID] == nil {
			kept[m.ID] = &campaign{}
		}
	}
	d.campaigns = kept
}

// carryOut cordons and empties workers and orders the maintenance of hosts.
func (t *termLoop) carryOut(ctx context.Context, now time.Time) {
	d := t.hostDesk
	hosts := make(map[string]maintenance.Host, len(d.hosts))
	for _, h := range d.hosts {
		hosts[h.ID] = maintenance.Host{Up: h.Up, Worker: h.Worker, Tasks: t.core.TasksOn(h.Worker)}
	}
	var cordoned []string
	for id, c := range d.campaigns {
		if c.Campaign == nil || c.completed {
			continue
		}
		plan := c.Next(hosts, now)
		cordoned = append(cordoned, plan.Cordon...)
		for _, w := range plan.Vacate {
			t.core.EvictTasks(w)
		}
		for _, host := range plan.Order {
			if t.mayOrder(now) && !d.ordering[host] && !now.Before(d.rest[host]) {
				d.ordering[host] = true
				go t.order(ctx, id, host, hosts[host].Worker)
			}
		}
		if plan.Completed && !c.calling && !now.Before(c.rest) {
			c.calling = true
			go t.reportCampaign(ctx, id, true)
		}
	}
	t.core.SetCordonedWorkers(cordoned)
}

// mayOrder reports whether this coordinator is surely the only one that orders:
// the one before has stopped, and no later one has begun.
func (t *termLoop) mayOrder(now time.Time) bool {
	return now.Sub(t.term.Since) >= t.OrderLease && now.Sub(t.lastCommit()) <= t.OrderLease/confirmedShare
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
	err := t.Hosts.StartMaintenance(ctx, host, campaign, t.term.seat.Holder, t.term.Epoch)
	t.post(ctx, maintained{campaign, host, worker, err})
}

func (t *termLoop) reportCampaign(ctx context.Context, campaign int64, completed bool) {
	call, cancel := context.WithTimeout(ctx, deskTimeout)
	err := t.Hosts.ReportCampaign(call, campaign, completed)
	cancel()
	t.post(ctx, campaignReported{campaign, completed, err})
}

// saveCampaign stores which hosts have begun their maintenance, so that a
// successor does not empty them once more. Another order of theirs would do no
// harm, so the answer is only logged.
func (t *termLoop) saveCampaign(ctx context.Context, id int64, begun []string) {
	ctx, cancel := context.WithTimeout(ctx, deskTimeout)
	defer cancel()
	value, err := json.Marshal(campaignRow{begun})
	if err == nil {
		_, err = t.Store.Commit(ctx, platform.Tx{Puts: []platform.PartitionRow{{
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
		c := d.campaigns[e.campaign.ID]
		switch {
		case c == nil: // withdrawn meanwhile
		case e.err != nil:
			c.failed(now)
			t.Log.Info("maintenance campaign cannot begin yet", "campaign", e.campaign.ID, "cause", e.err.Error())
		default:
			c.Campaign, c.calling = maintenance.New(e.campaign, e.begun, now), false
		}
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
			d.rest[e.host] = now.Add(deskRest)
			t.Log.Info("maintenance of host not begun", "campaign", e.campaign, "host", e.host, "cause", e.err.Error(),
				"unknown", errors.Is(e.err, workload.ErrNoAnswer))
			return
		}
		t.Log.Info("maintenance of host begun", "campaign", e.campaign, "host", e.host, "worker", e.worker)
		if c := d.campaigns[e.campaign]; c != nil && c.Campaign != nil {
			c.Began(e.host, e.worker, now)
			go t.saveCampaign(ctx, e.campaign, c.Begun())
		}
	case campaignReported:
		c := d.campaigns[e.campaign]
		switch {
		case c == nil: // withdrawn meanwhile
		case e.err != nil:
			c.failed(now)
			t.Log.Info("state of maintenance campaign not reported", "campaign", e.campaign, "completed", e.completed, "cause", e.err.Error())
		default:
			c.running, c.completed, c.calling = true, e.completed, false
		}
	}
}

// failed takes note that a call failed.
func (c *campaign) failed(now time.Time) { c.calling, c.rest = false, now.Add(deskRest) }
