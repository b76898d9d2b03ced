package serve

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/settings"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
)

const (
	testOperator = "operator-secret"
	testTeam     = "team-secret"
	// startLimit bounds the wait for a condition.
	startLimit = 20 * time.Second
)

// testConfig is a cell with one AZ, one worker and one queue.
func testConfig() *config.Config {
	return &config.Config{
		Cell: "test",
		AZs:  []config.AZ{{Name: "keller", InService: true}},
		Workers: []model.WorkerSpec{{
			ID: "w1", Addr: "127.0.0.1:1", AZ: "keller", Rack: "r1", Connections: 8,
			Capacity: model.Resources{MilliCores: 8000, MemoryMB: 8000, Slots: 8},
		}},
		Organisations: []config.Organisation{{Name: "cellar", Share: 1, Teams: []config.Team{{
			Name: "presse", Share: 1, Keys: []config.Key{{ID: "presse-1", SHA256: config.HashKey(testTeam)}},
		}}}},
		Queues: []config.Queue{{Name: "slips", Policy: model.PolicyDirect}},
	}
}

// startProcess runs an entry host with stand-ins and testConfig in force, and returns a
// function that starts its shutdown.
func startProcess(t *testing.T, grace time.Duration) (p *Process, stop func()) {
	t.Helper()
	is := is.New(t)
	platform := standin.NewPlatform()
	target := standin.NewWorker(testConfig().Workers[0], standin.Options{})
	p, err := New(&settings.Settings{
		Host:         "entry-1",
		AZ:           "keller",
		Listen:       "127.0.0.1:0",
		RPCListen:    "127.0.0.1:0",
		RPCAdvertise: "127.0.0.1:1",
		LeaveGraceMS: int(grace.Milliseconds()),
		OperatorKeys: []settings.OperatorKey{{ID: "ops", SHA256: config.HashKey(testOperator)}},
	}, Dependencies{
		Table:   platform.Table,
		Objects: platform.Objects,
		Hosts:   platform.Hosts,
		Connect: func(model.WorkerSpec) worker.Client { return target },
	}, logr.Discard())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	text, err := json.Marshal(testConfig())
	is.NoErr(err)
	operator, err := api.NewClient([]string{p.Addr()}, testOperator)
	is.NoErr(err)
	reply, err := operator.Apply(t.Context(), api.ApplyRequest{Config: string(text)})
	is.NoErr(err)
	is.Equal(reply.State, api.ApplyAccepted)
	waitFor(t, func() bool {
		st, err := operator.Status(t.Context())
		return err == nil && len(st.Shards) == 1 && st.Shards[0].Ready
	})
	return p, func() {
		cancel()
		t.Cleanup(func() { is.NoErr(<-ended) })
	}
}

// waitFor polls until the condition holds.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(startLimit); !holds(); {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within the time limit")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func readyStatus(p *Process) int {
	resp, err := http.Get("http://" + p.Addr() + "/readyz")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestLeavingHostReportsNotReadyBeforeItRefuses(t *testing.T) {
	is := is.New(t)
	p, stop := startProcess(t, 5*time.Second)
	is.Equal(readyStatus(p), http.StatusOK)
	caller, err := api.NewClient([]string{p.Addr()}, testTeam)
	is.NoErr(err)
	answer, err := caller.Run(t.Context(), api.RunRequest{Queue: "slips", Body: strings.NewReader("slip")})
	is.NoErr(err)
	is.NoErr(answer.Body.Close())

	stop()
	waitFor(t, func() bool { return readyStatus(p) == http.StatusServiceUnavailable })
	// The load balancer may not have noticed yet. A request that still arrives gets a
	// reply: here a refusal with the outcome "not run", since the only host has handed
	// its shard over.
	_, err = caller.Run(t.Context(), api.RunRequest{
		Queue: "slips", Body: strings.NewReader("slip"), Timeout: time.Second,
	})
	refused, ok := api.AsError(err)
	is.True(ok)
	is.Equal(refused.Outcome, api.OutcomeNotRun)
	is.True(refused.Status != 0) // answered, not cut off
}
