package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/coordinator"
	"cuminloft/internal/intake"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/linkmeter"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// slowHost is a host that is at work on each call until its caller has left.
type slowHost struct {
	rpc.Cell
	called chan struct{}
}

func (h *slowHost) serve(ctx context.Context) error {
	h.called <- struct{}{}
	<-ctx.Done()
	return ctx.Err()
}

func (h *slowHost) Relay(ctx context.Context, _ *rpc.RelayRequest) (*rpc.RelayReply, error) {
	return nil, h.serve(ctx)
}

func (h *slowHost) StateOf(ctx context.Context, _ *rpc.StateOfRequest) (*rpc.StateOfReply, error) {
	return nil, h.serve(ctx)
}

func (h *slowHost) CountPending(ctx context.Context, _ *rpc.CountPendingRequest) (*rpc.CountPendingReply, error) {
	return nil, h.serve(ctx)
}

func (h *slowHost) Advise(ctx context.Context, _ *rpc.AdviseRequest) (*rpc.AdviseReply, error) {
	return nil, h.serve(ctx)
}

// peersWithSlowHosts returns the connections to two slow hosts, one of them the coordinator. It is
// called in a synctest bubble, since hosts are left out for a limited time.
func peersWithSlowHosts(t *testing.T) (*peers, *slowHost) {
	t.Helper()
	is := is.New(t)
	store := rows.New()
	m := newMembership(store, "a", hostRow{}, logr.Discard())
	host, network := &slowHost{called: make(chan struct{}, 8)}, newPipes()
	address := ""
	for _, name := range []string{"b", "c"} {
		address = name + ":1"
		network.listen(t, address, rpc.NewCellServer(host))
		is.NoErr(newMembership(store, name, hostRow{Address: address}, logr.Discard()).renew(t.Context()))
	}
	is.NoErr(m.read(t.Context()))
	_, err := store.Commit(t.Context(), platform.Tx{Puts: []platform.PartitionRow{{
		Table: "seat", Partition: jobstore.DefaultProgressPartition, Key: "coordinator", Value: fmt.Appendf(nil, `{"holder":"c","address":%q,"epoch":1,"seq":1}`, address),
	}}})
	is.NoErr(err)
	p := newPeers(m, newAdmission(nil, 0, logr.Discard()), linkmeter.New(), logr.Discard())
	p.http = network.client(t)
	p.elector = &coordinator.Elector{Store: store, Host: "a", Log: logr.Discard(), Rank: func() int { return 0 }, Undersized: func() bool { return false },
		Probe: func(context.Context, string) (int64, time.Duration, error) { return 1, 0, nil }}
	p.elector.Resign()
	go func() { _ = p.elector.Run(t.Context()) }() // ends with the test
	for known := ""; known == ""; known, _ = p.elector.Coordinator() {
		time.Sleep(time.Millisecond)
	}
	return p, host
}

// Callers that gave up made a host refuse others for 2 s: hosts at work for them counted as silent.
func TestCallersThatLeaveDoNotTakeHostsOut(t *testing.T) {
	calls := map[string]func(context.Context, *peers) error{
		"relay of a submission": func(ctx context.Context, p *peers) error {
			_, err := p.Relay(ctx, intake.Request{Operation: intake.Submit, Job: &workload.Job{}})
			return err
		},
		"relay of a query": func(ctx context.Context, p *peers) error {
			_, err := p.Relay(ctx, intake.Request{Operation: intake.Query})
			return err
		},
		"state of a job": func(ctx context.Context, p *peers) error {
			_, _, err := p.JobState(ctx, "j", time.Second)
			return err
		},
		"pending jobs": func(ctx context.Context, p *peers) error {
			_, err := p.Pending(ctx, "q")
			return err
		},
		"advice at the end of a term": func(ctx context.Context, p *peers) error {
			_, err := p.advisers(nil)[2].Advise(ctx, workload.StepID{Job: "j"}, []string{"w"})
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, host := peersWithSlowHosts(t)
				ctx, leave := context.WithCancel(t.Context())
				go func() {
					<-host.called
					leave()
				}()
				_ = call(ctx, p) // the caller has left
				is.Equal(len(p.available()), 2)
				_, _, _, err := p.coordinatorClient()
				is.NoErr(err)
			})
		})
	}
}

// A relay whose caller had no time left counted hosts as silent that it had not called, or just called.
func TestRelayWithoutTimeLeftDoesNotTakeHostsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := peersWithSlowHosts(t)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := p.Relay(ctx, intake.Request{Operation: intake.Query})
		is.True(err != nil)
		is.Equal(len(p.available()), 2)
	})
}

// A host that does not answer in the usual time is still left out.
func TestSilentHostsAreTakenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := peersWithSlowHosts(t)
		_, err := p.Relay(t.Context(), intake.Request{Operation: intake.Query})
		is.True(err != nil)
		is.Equal(len(p.available()), 0)
		is.Equal(len(p.pick(relayHosts)), 0)
	})
}

// Guards against a coordinator that is left out for 2 s, in which jobs are shown as this host last
// knew them and pending jobs cannot be counted: callers with little time left had asked for it.
func TestQueryWithoutTimeLeftDoesNotTakeTheCoordinatorOut(t *testing.T) {
	calls := map[string]func(context.Context, *peers) error{
		"state of a job": func(ctx context.Context, p *peers) error {
			_, _, err := p.JobState(ctx, "j", 0)
			return err
		},
		"pending jobs": func(ctx context.Context, p *peers) error {
			_, err := p.Pending(ctx, "q")
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, _ := peersWithSlowHosts(t)
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				is.True(call(ctx, p) != nil)
				_, _, _, err := p.coordinatorClient()
				is.NoErr(err)
				// A coordinator that does not answer in the usual time is still left out.
				is.True(call(t.Context(), p) != nil)
				_, _, _, err = p.coordinatorClient()
				is.True(errors.Is(err, errNoCoordinator))
			})
		})
	}
}
