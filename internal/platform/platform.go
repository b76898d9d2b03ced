// Package platform defines the interfaces through which cuminloft uses the
// platform's table service, object store and host list. Only the HTTP adapter in
// platform/httpplatform knows their wire format.
package platform

import (
	"context"
	"errors"
	"fmt"
)

// Errors of the platform. Adapters wrap them; callers test with errors.Is.
var (
	// ErrUnavailable: the call had no effect and may be retried.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrRefused: the platform answered that it does not serve the call now. It wraps
	// ErrUnavailable.
	ErrRefused = fmt.Errorf("%w: call refused", ErrUnavailable)
	// ErrRejected: the platform does not accept a transaction such as this one, now or
	// later, and has not applied it.
	ErrRejected = errors.New("platform rejects the transaction")
	// ErrAmbiguous: the answer was lost; a write may have taken effect. The writer
	// finds out by reading back its own nonce.
	ErrAmbiguous = errors.New("platform answer lost")
	// ErrConflict: a condition of the transaction did not hold; nothing was
	// written. Adapters return a *ConflictError or a *RowConflictError.
	ErrConflict = errors.New("condition failed")
	// ErrNotFound: no such row or object.
	ErrNotFound = errors.New("not found")
)

// ConflictError reports the row whose condition failed.
type ConflictError struct {
	Key string
}

// Error implements error.
func (e *ConflictError) Error() string { return "condition failed on row " + e.Key }

// Is makes errors.Is(err, ErrConflict) hold.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Row is one row of the table. Version grows with every write of the row and
// is never zero for an existing row.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Special values of Write.IfVersion.
const (
	MustBeAbsent int64 = 0
	AnyVersion   int64 = -1
)

// Write is one operation of a transaction: a put, a delete or, with CheckOnly, only
// a condition.
type Write struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	IfVersion int64  `json:"if_version"`
	Delete    bool   `json:"delete,omitempty"`
	CheckOnly bool   `json:"check_only,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns one row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Range returns up to limit rows whose key has the prefix and is greater than
	// after, in key order.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Apply commits all writes or none. It returns the new version of each written
	// row, in order (zero for deletes and checks).
	Apply(ctx context.Context, writes []Write) ([]int64, error)
}

// ObjectStore is the platform's store for larger values. Put replaces a whole
// object.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
	List(ctx context.Context, prefix string) ([]string, error)
}

// HostState is a host's state in the host list.
type HostState string

// The states of a host. A host that is absent from the list is gone.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	ID    string    `json:"id"`
	AZ    string    `json:"az"`
	State HostState `json:"state"`
}

// HostList is the platform's list of worker hosts and entry hosts. The list lags behind
// the hosts' actual state.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
