package workload

import (
	"context"
	"errors"
	"time"
)

// Maintenance is a campaign of the operators: each of some workers' hosts is to
// have its maintenance, which ends all that runs there.
type Maintenance struct {
	ID            int64
	Hosts         []string
	Window        time.Duration // from when it was asked for
	MaxConcurrent int           // most hosts that may be down for it at the same time
}

// WorkerHost is a host that carries one worker at a time.
type WorkerHost struct {
	ID     string
	Up     bool   // neither moving, nor in maintenance, nor down
	Worker string // ID of its present worker
}

// Errors of an order to a host. ErrNoAnswer leaves open whether it was or will be
// carried out; every other error proves that it was not.
var (
	ErrHostBusy           = errors.New("host is not up, or about to leave")
	ErrHostUnknown        = errors.New("host does not exist")
	ErrNotInCampaign      = errors.New("host does not belong to the maintenance campaign")
	ErrHostAPIUnavailable = errors.New("API of the workers' hosts takes no calls for now")
)

// HostOperator acts on the workers' hosts.
type HostOperator interface {
	// Hosts lists all hosts.
	Hosts(ctx context.Context) ([]WorkerHost, error)
	// StartMaintenance starts a host's maintenance. One that it has had already in this
	// campaign counts as started. Orders of a holder with a lower fence are void.
	StartMaintenance(ctx context.Context, host string, campaign int64, holder string, fence int64) error
	// ReportCampaign tells the operators that a campaign runs, or that it is completed. That
	// it runs never takes the place of a completion.
	ReportCampaign(ctx context.Context, campaign int64, completed bool) error
}
