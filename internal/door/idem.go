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

// idemRecord is the value of the row of an idempotency key of a direct request. It is
// written before the attempt that it names is sent, and updated with the outcome, so that
// a repeat on any entry host finds the first outcome.
type idemRecord struct {
	Nonce       string         `json:"nonce"` // unique for each write
	Request     string         `json:"request"`
	Fingerprint string         `json:"fingerprint"` // fingerprint of the first request
	Shard       string         `json:"shard"`
	Worker      string         `json:"worker"`
	Addr        string         `json:"addr"`
	Attempt     worker.Attempt `json:"attempt"`
	Fence       worker.Fence   `json:"fence"`
	Boot        string         `json:"boot"` // boot id of the worker when the ticket was issued
	// OpenUntil is the time after which the entry host no longer processes the first
	// request: its deadline plus the time for settling. Unix time in nanoseconds.
	OpenUntil int64 `json:"open_until"`
	// Outcome is empty while the request is open.
	Outcome api.Outcome `json:"outcome,omitempty"`
	Code    api.Code    `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
	// Answer is the complete answer of the task; Stored is false if the answer was too
	// large to be stored.
	Answer []byte `json:"answer,omitempty"`
	Stored bool   `json:"stored,omitempty"`
}

// idemRow is a record with the key and version of its row.
type idemRow struct {
	key     string
	version int64 // zero: not in the table
	record  idemRecord
}

// idemKey returns the key of the row for a caller's idempotency key. The idempotency key is
// hashed, because it may be long or secret.
func idemKey(team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return idemPrefix(team) + hex.EncodeToString(sum[:])
}

// idemPrefix returns the prefix of the row keys of a team's direct requests. The rows of the
// team's jobs do not have it.
func idemPrefix(team string) string { return "idem/" + team + "/direct-" }

// fingerprint hashes the queue and the buffered body, to detect a key that is reused for a
// different request.
func (r *request) fingerprint() string {
	h := sha256.New()
	h.Write([]byte(r.job.Queue))
	h.Write([]byte{0})
	h.Write(r.body.buffered)
	return hex.EncodeToString(h.Sum(nil))
}

// idemTimeout bounds one call to the table.
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

// errIdemConflict means that another entry host has changed the row.
var errIdemConflict = errors.New("idempotency record was changed by another entry host")

// write stores the record if the row still has the version that was read. If the reply is
// lost, it reads the row back and compares the nonce.
func (r *idemRow) write(ctx context.Context, table platform.Table) error {
	r.record.Nonce = newID()
	value, err := json.Marshal(r.record)
	if err != nil {
		return trace.Wrap(err)
	}
	return r.apply(ctx, table, platform.Write{Key: r.key, Value: value, IfVersion: r.version})
}

// remove deletes the row, so that the idempotency key can be used again.
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

// readBack determines the outcome of a write whose reply was lost. It succeeds if the row
// has the nonce of the write. Otherwise the write may still take effect, and readBack
// returns an error.
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
