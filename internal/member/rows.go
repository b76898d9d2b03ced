package member

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"cuminloft/internal/platform"
)

// Timing of the member rows in the table. The rows only serve hosts to discover each
// other; pings carry all urgent information.
const (
	// RowInterval is the interval at which the own row is written and all rows are read.
	RowInterval = 5 * time.Second
	// RowTimeout bounds one table call.
	RowTimeout = 2 * time.Second
	// RowRemovalAge is the age of an unchanged row at which any member deletes it.
	RowRemovalAge = 10 * time.Minute
	// rowPrefix is the prefix of the keys of member rows.
	rowPrefix = "member/"
	// rowPage is the maximum number of rows that one read returns.
	rowPage = 256
)

// row is the value of a member row.
type row struct {
	Host        string `json:"host"`
	AZ          string `json:"az"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// rowSeen records when a row's version last changed, by the local clock.
type rowSeen struct {
	version int64
	at      time.Time
}

// runRows writes the own row and pings the hosts of rows that are not known as live
// members, until ctx ends.
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

// removeRow deletes the own row at shutdown. If that fails, other members delete the row
// after RowRemovalAge.
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

// visitRow pings the host of a row that is not known as a live member, and deletes an
// abandoned row.
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
	t.pingRow(ctx, value)
}

func (t *Tracker) deleteAbandoned(ctx context.Context, r platform.Row) {
	write := platform.Write{Key: r.Key, IfVersion: r.Version, Delete: true}
	if _, err := t.opts.Table.Apply(ctx, []platform.Write{write}); err == nil {
		counters.Add("rows_abandoned", 1)
	}
}

// pingRow pings a host found in the table. If it answers, it becomes a member.
func (t *Tracker) pingRow(ctx context.Context, r row) {
	ctx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	reply, err := t.opts.DialPeer(r.Addr).Ping(ctx, t.PingRequest(true))
	if err != nil {
		return
	}
	t.observe(reply.GetHlc())
	t.send(ctx, peerAlive{member: reply.GetFrom(), digests: reply.GetShards()})
}
