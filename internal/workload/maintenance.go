package workload

import (
	"context"
	"errors"
	"time"
)

// Maintenance is a maintenance campaign that operators requested: each of the listed
// workers' hosts undergoes maintenance, which ends all tasks on it.
type Maintenance struct {
	ID            int64
	Hosts         []string
	Window        time.Duration // from the request to the begin of the last maintenance
	MaxConcurrent int           // maximum number of hosts in maintenance at the same time
}

// WorkerHost is a host that runs one worker at a time.
type WorkerHost struct {
	ID            string
	Up            bool // neither moving, nor in maintenance, nor down
	InMaintenance bool
	Worker        string // ID of the host's current worker
}

// Errors of an order to a host. After ErrNoAnswer the order may have been or may yet
// be carried out; every other error proves that it was not.
var (
	ErrHostBusy           = errors.New("host is not up or is about to leave")
	ErrHostUnknown        = errors.New("host does not exist")
	ErrNotInCampaign      = errors.New("host does not belong to the maintenance campaign")
	ErrHostAPIUnavailable = errors.New("API of the workers' hosts is unavailable")
)

// HostOperator operates the workers' hosts.
type HostOperator interface {
	// Hosts lists all hosts.
	Hosts(ctx context.Context) ([]WorkerHost, error)
	// StartMaintenance starts a host's maintenance. It succeeds if the host has already
	// had its maintenance in this campaign. holder names the coordinator that sends the
	// order, and fence is its fencing token; an order with a lower fence than an earlier
	// order is rejected.
	StartMaintenance(ctx context.Context, host string, campaign int64, holder string, fence int64) error
	// ReportCampaign reports to the operators that a campaign is running or completed. A
	// report that it is running never replaces one that it is completed.
	ReportCampaign(ctx context.Context, campaign int64, completed bool) error
}
