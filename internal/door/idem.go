package door

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/api"
	"cuminloft/internal/platform"
	"cuminloft/internal/worker"
)

// idemRecord is the row of an idempotency key of a direct request. It is written
// before the attempt that it names is sent, and completed with the outcome, so
// that a repeat on any entry host finds the first outcome.
type idemRecord struct {
	Nonce       string         `json:"nonce"` // of the writer of this version
	Request     string         `json:"request"`
	Fingerprint string         `json:"fingerprint"` // of the first request
	Shard       string         `json:"shard"`
	Worker      string         `json:"worker"`
	Addr        string         `json:"addr"`
	Attempt     worker.Attempt `json:"attempt"`
	Fence       worker.Fence   `json:"fence"`
	Boot        string         `json:"boot"` // of the worker at the ticket
	// OpenUntil is when the first request is no longer worked on by its entry
	// host: its deadline and the time for settling. Unix time, nanoseconds.
	OpenUntil int64 `json:"open_until"`
	// Outcome is empty while the request is open.
	Outcome api.Outcome `json:"outcome,omitempty"`
	Code    api.Code    `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
	// Answer is the whole answer of the task; Stored is false if it was too large
	// to be kept.
	Answer []byte `json:"answer,omitempty"`
	Stored bool   `json:"stored,omitempty"`
}

// idemRow is a record and where it is stored.
type idemRow struct {
	key     string
	version int64 // zero: not in the table
	record  idemRecord
}

// idemKey returns the row of a caller's key. The key itself is not stored: it
// may be long, or a secret.
func idemKey(team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return idemPrefix(team) + hex.EncodeToString(sum[:])
}

// idemPrefix is what the rows of a team's direct requests begin with; those of
// its jobs do not.
func idemPrefix(team string) string { return "idem/" + team + "/direct-" }

// fingerprint tells requests apart that reuse a key for something else.
func (r *request) fingerprint() string {
	h := sha256.New()
	h.Write([]byte(r.job.Queue))
	h.Write([]byte{0})
	h.Write(r.body.buffered)
	return hex.EncodeToString(h.Sum(nil))
}

// idemTimeout bounds one exchange with the table.
const idemTimeout = 2 * time.Second

// readIdem returns the row of the key; its version is zero if there is none.
func readIdem(ctx context.Context, table platform.Table, key string) (*idemRow, error) {
	ctx, cancel := context.WithTimeout(ctx, idemTimeout)
	defer cancel()
	got, err := table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return &idemRow{key: key}, nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	row := &idemRow{key: key, version: got.Version}
	if err := json.Unmarshal(got.Value, &row.record); err != nil {
		return nil, trace.Wrap(err, "row %s", key)
	}
	return row, nil
}

// errIdemConflict means that another writer has changed the row.
var errIdemConflict = errors.New("idempotency record was changed by another entry host")

// write stores the record if the row is still at the version that was read. A
// lost answer is settled by reading the nonce back.
func (r *idemRow) write(ctx context.Context, table platform.Table) error {
	r.record.Nonce = newID()
	value, err := json.Marshal(r.record)
	if err != nil {
		return trace.Wrap(err)
	}
	return r.apply(ctx, table, platform.Write{Key: r.key, Value: value, IfVersion: r.version})
}

// remove deletes the row, so that the key is free again.
func (r *idemRow) remove(ctx context.Context, table platform.Table) error {
	ctx, cancel := context.WithTimeout(ctx, idemTimeout)
	defer cancel()
	_, err := table.Apply(ctx, []platform.Write{{Key: r.key, IfVersion: r.version, Delete: true}})
	return trace.Wrap(err)
}

func (r *idemRow) apply(ctx context.Context, table platform.Table, w platform.Write) error {
	applyCtx, cancel := context.WithTimeout(ctx, idemTimeout)
	defer cancel()
	versions, err := table.Apply(applyCtx, []platform.Write{w})
	if err == nil {
		r.version = versions[0]
		return nil
	}
	if errors.Is(err, platform.ErrConflict) {
		return trace.Wrap(errIdemConflict)
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return trace.Wrap(err)
	}
	return r.readBack(ctx, table, err)
}

// readBack settles a write whose answer was lost: the row has this writer's
// nonce, or the write may still take effect and is not relied on.
func (r *idemRow) readBack(ctx context.Context, table platform.Table, cause error) error {
	got, err := readIdem(ctx, table, r.key)
	if err != nil {
		return trace.Wrap(cause)
	}
	if got.version != 0 && got.record.Nonce == r.record.Nonce {
		r.version = got.version
		return nil
	}
	if got.version != r.version {
		return trace.Wrap(errIdemConflict)
	}
	return trace.Wrap(cause)
}
