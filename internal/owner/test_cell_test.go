package owner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/config"
	"cuminloft/internal/configsync"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
)

const (
	testShard = "keller-0"
	testKey   = "secret of the planner"
)

// testCell is the platform and the workers of a shard, and the owners that compete for
// it.
type testCell struct {
	table    *standin.Table
	objects  *standin.Objects
	workers  map[string]*standin.Worker
	cfg      *config.Config
	owners   []*testOwner
	jobs     int
	failures []error                // errors of owners that were not killed
	leaving  atomic.Pointer[string] // worker whose host is leaving according to the host list
}

func (r *testCell) hostLeaving(id string) bool {
	leaving := r.leaving.Load()
	return leaving != nil && *leaving == id
}

// testOwner is the owner on one entry host, with its own links that can be cut.
type testOwner struct {
	*Owner
	gate
	toTable   standin.Link
	toWorkers map[string]*standin.Link
	stop      context.CancelFunc
	ended     chan error
	killed    bool
}

func testKeyHash() string {
	sum := sha256.Sum256([]byte(testKey))
	return hex.EncodeToString(sum[:])
}

func newTestCell(workers int) *testCell {
	r := &testCell{table: standin.NewTable(), objects: standin.NewObjects(), workers: map[string]*standin.Worker{}}
	r.cfg = &config.Config{
		Cell: "holunderhof",
		AZs:  []config.AZ{{Name: "keller", InService: true}},
		Organisations: []config.Organisation{{Name: "cellar", Share: 1, Teams: []config.Team{
			{Name: "planner", Share: 1, Keys: []config.Key{{ID: "k1", SHA256: testKeyHash()}}},
		}}},
		Queues: []config.Queue{
			{Name: "blends", Policy: model.PolicyBatch},
			{Name: "slips", Policy: model.PolicyDirect},
		},
	}
	for i := range workers {
		spec := model.WorkerSpec{
			ID: fmt.Sprintf("w%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i), AZ: "keller", Rack: "r0", Connections: 8,
			Capacity: model.Resources{MilliCores: 4000, MemoryMB: 8000, Slots: 4},
		}
		r.cfg.Workers = append(r.cfg.Workers, spec)
		r.workers[spec.ID] = standin.NewWorker(spec, standin.Options{ClockOffset: time.Duration(i) * time.Hour})
	}
	return r
}

// startOwner runs a new owner on another host.
func (r *testCell) startOwner(ctx context.Context) *testOwner { return r.startOwnerOf(ctx, "keller") }

// startOwnerOf runs a new owner of the AZ's shard on another host.
func (r *testCell) startOwnerOf(ctx context.Context, az string) *testOwner {
	o := &testOwner{toWorkers: map[string]*standin.Link{}, ended: make(chan error, 1)}
	for id := range r.workers {
		o.toWorkers[id] = &standin.Link{}
	}
	host := fmt.Sprintf("host%d", len(r.owners))
	o.Owner = New(Options{
		Shard: az + "-0", AZ: az, Self: &rpc.Member{Host: host, Incarnation: host},
		Table: gatedTable{&o.gate, o.toTable.Table(r.table)}, Objects: o.toTable.Objects(r.objects),
		Connect: func(s model.WorkerSpec) worker.Client {
			return gatedWorker{&o.gate, o.toWorkers[s.ID].Worker(r.workers[s.ID])}
		},
		View: configsync.NewStatic(r.cfg), Log: logr.Discard(), Seed: 1, Leaving: r.hostLeaving,
	})
	ctx, o.stop = context.WithCancel(ctx)
	r.owners = append(r.owners, o)
	go func() { o.ended <- o.Run(ctx) }()
	return o
}

// kill cuts an owner off from everything permanently, like a killed process, and lets
// its goroutines end.
func (o *testOwner) kill() {
	o.killed = true
	o.isolate(true)
	o.thaw()
	o.stop()
}

func (o *testOwner) isolate(cut bool) {
	o.toTable.SetCut(cut)
	for _, c := range o.toWorkers {
		c.SetCut(cut)
	}
}

func (r *testCell) jobRequest(tasks int, idempotent bool, run time.Duration) *rpc.SubmitRequest {
	r.jobs++
	payload, err := json.Marshal(standin.TaskScript{RunMillis: run.Milliseconds()})
	if err != nil {
		panic(err)
	}
	return &rpc.SubmitRequest{
		Shard:      testShard,
		Credential: &rpc.Credential{KeySha256: testKeyHash()},
		Job: rpc.FromJob(model.Job{
			ID: model.JobID(fmt.Sprintf("%032x", r.jobs)), Queue: "blends", Tasks: tasks, Submitted: time.Now(),
			Task: model.TaskSpec{
				Resources: model.Resources{MilliCores: 1000, MemoryMB: 1000}, Idempotent: idempotent, Payload: payload,
			},
		}),
	}
}

func (o *testOwner) status(id string) (*rpc.JobStatus, error) {
	return o.GetJob(context.Background(), &rpc.GetJobRequest{
		Shard: testShard, JobId: id, Credential: &rpc.Credential{KeySha256: testKeyHash()}, Explain: true,
	})
}

// startReady starts an owner and waits until it has contacted its workers.
func (r *testCell) startReady(t *testing.T) *testOwner {
	o := r.startOwner(t.Context())
	time.Sleep(time.Second)
	return o
}

// mustSubmit submits a job and returns its id. It fails the test if the job is not
// accepted.
func (o *testOwner) mustSubmit(t *testing.T, req *rpc.SubmitRequest) string {
	t.Helper()
	reply, err := o.Submit(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return reply.GetJobId()
}

// mustStatus returns the state of a job. It fails the test if the job is not known.
func (o *testOwner) mustStatus(t *testing.T, id string) *rpc.JobStatus {
	t.Helper()
	s, err := o.status(id)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// withTestCell runs f with a test cell under synthetic time and ends all owners
// afterwards.
func withTestCell(t *testing.T, workers int, f func(t *testing.T, r *testCell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newTestCell(workers)
		f(t, r)
		r.endAll()
	})
}

// endAll removes every fault and stops every owner.
func (r *testCell) endAll() {
	r.table.Set(standin.FaultSet{})
	for _, o := range r.owners {
		if !o.killed {
			o.isolate(false)
		}
		o.thaw()
		o.stop()
		if err := <-o.ended; err != nil && !o.killed {
			r.failures = append(r.failures, err) // ErrLost, or an incomplete hand-over
		}
	}
}
