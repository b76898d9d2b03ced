package member

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"cuminloft/internal/platform"
)

// Intervals of the table's member rows. They are the floor of discovery: pings
// carry everything that is urgent.
const (
	// RowInterval separates two writes of the own row and two reads of all.
	RowInterval = 5 * time.Second
	// RowTimeout bounds one table call.
	RowTimeout = 2 * time.Second
	// RowRemovalAge is how long a row stays unchanged before any member deletes it.
	RowRemovalAge = 10 * time.Minute
	// rowPrefix starts the key of every member row.
	rowPrefix = "member/"
	// rowPage is the most rows that one read returns.
	rowPage = 256
)

// row is the value of a member row.
type row struct {
	Host        string `json:"host"`
	AZ          string `json:"az"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// rowSeen remembers when a row's version last changed, on the local clock.
type rowSeen struct {
	version int64
	at      time.Time
}

// runRows writes the own row and pings the hosts of rows that no ping has
// found yet.
func (t *Tracker) runRows(ctx context.Context) error {
	seen := map[string]rowSeen{}
	for {
		t.writeRow(ctx)
		t.readRows(ctx, seen)
		select {
		case <-ctx.Done():
			t.removeRow()
			return nil
		case <-time.After(RowInterval):
		}
	}
}

func (t *Tracker) writeRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, RowTimeout)
	defer cancel()
	s := t.opts.Self
	value, err := json.Marshal(row{Host: s.GetHost(), AZ: s.GetAz(), Addr: s.GetAddr(), Incarnation: s.GetIncarnation()})
	if err != nil {
		return
	}
	write := platform.Write{Key: rowPrefix + s.GetHost(), Value: value, IfVersion: platform.AnyVersion}
	if _, err := t.opts.Table.Apply(ctx, []platform.Write{write}); err != nil {
		counters.Add("row_write_failures", 1)
	}
}

// removeRow deletes the own row at shutdown; a failure leaves it to the others.
func (t *Tracker) removeRow() {
	ctx, cancel := context.WithTimeout(context.Background(), RowTimeout)
	defer cancel()
	write := platform.Write{Key: rowPrefix + t.opts.Self.GetHost(), IfVersion: platform.AnyVersion, Delete: true}
	if _, err := t.opts.Table.Apply(ctx, []platform.Write{write}); err != nil {
		counters.Add("row_write_failures", 1)
	}
}

func (t *Tracker) readRows(ctx context.Context, seen map[string]rowSeen) {
	ctx, cancel := context.WithTimeout(ctx, RowTimeout)
	defer cancel()
	after := ""
	for {
		rows, err := t.opts.Table.Range(ctx, rowPrefix, after, rowPage)
		if err != nil {
			counters.Add("row_read_failures", 1)
			return
		}
		for _, r := range rows {
			t.visitRow(ctx, r, seen)
			after = r.Key
		}
		if len(rows) < rowPage {
			return
		}
	}
}

// visitRow introduces a host that is not known yet and deletes an abandoned row.
func (t *Tracker) visitRow(ctx context.Context, r platform.Row, seen map[string]rowSeen) {
	host := strings.TrimPrefix(r.Key, rowPrefix)
	if host == t.opts.Self.GetHost() {
		return
	}
	last, known := seen[r.Key]
	if !known || last.version != r.Version {
		seen[r.Key] = rowSeen{version: r.Version, at: time.Now()}
	} else if time.Since(last.at) > RowRemovalAge {
		t.deleteAbandoned(ctx, r)
		delete(seen, r.Key)
		return
	}
	if _, alive := t.Peer(host); alive {
		return
	}
	var value row
	if err := json.Unmarshal(r.Value, &value); err != nil || value.Addr == "" {
		counters.Add("row_decode_failures", 1)
		return
	}
	t.greet(ctx, value)
}

func (t *Tracker) deleteAbandoned(ctx context.Context, r platform.Row) {
	write := platform.Write{Key: r.Key, IfVersion: r.Version, Delete: true}
	if _, err := t.opts.Table.Apply(ctx, []platform.Write{write}); err == nil {
		counters.Add("rows_abandoned", 1)
	}
}

// greet pings a host found in the table; an answer makes it a member.
func (t *Tracker) greet(ctx context.Context, r row) {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	reply, err := t.opts.DialPeer(r.Addr).Ping(ctx, t.PingRequest(true))
	if err != nil {
		return
	}
	t.observe(reply.GetHlc())
	t.send(ctx, heardFrom{member: reply.GetFrom(), digests: reply.GetShards()})
}
