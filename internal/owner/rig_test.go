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

// rig is a shard's platform and workers, and the owners that compete for it.
type rig struct {
	table    *standin.Table
	objects  *standin.Objects
	workers  map[string]*standin.Worker
	cfg      *config.Config
	owners   []*testOwner
	jobs     int
	failures []error                // of owners that were not killed
	leaving  atomic.Pointer[string] // worker whose host leaves, says the host list
}

func (r *rig) isLeaving(id string) bool {
	leaving := r.leaving.Load()
	return leaving != nil && *leaving == id
}

// testOwner is one entry host's owner, with links of its own that can be cut.
type testOwner struct {
	*Owner
	gate
	toTable standin.Link
	toWork  map[string]*standin.Link
	stop    context.CancelFunc
	ended   chan error
	killed  bool
}

func testKeyHash() string {
	sum := sha256.Sum256([]byte(testKey))
	return hex.EncodeToString(sum[:])
}

func newRig(workers int) *rig {
	r := &rig{table: standin.NewTable(), objects: standin.NewObjects(), workers: map[string]*standin.Worker{}}
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

// start runs a new owner on another host.
func (r *rig) start(ctx context.Context) *testOwner { return r.startShard(ctx, "keller") }

// startShard runs a new owner of the AZ's shard on another host.
func (r *rig) startShard(ctx context.Context, az string) *testOwner {
	o := &testOwner{toWork: map[string]*standin.Link{}, ended: make(chan error, 1)}
	for id := range r.workers {
		o.toWork[id] = &standin.Link{}
	}
	host := fmt.Sprintf("host%d", len(r.owners))
	o.Owner = New(Options{
		Shard: az + "-0", AZ: az, Self: &rpc.Member{Host: host, Incarnation: host},
		Table: gatedTable{&o.gate, o.toTable.Table(r.table)}, Objects: o.toTable.Objects(r.objects),
		Connect: func(s model.WorkerSpec) worker.Client {
			return gatedWorker{&o.gate, o.toWork[s.ID].Worker(r.workers[s.ID])}
		},
		View: configsync.NewStatic(r.cfg), Log: logr.Discard(), Seed: 1, Leaving: r.isLeaving,
	})
	ctx, o.stop = context.WithCancel(ctx)
	r.owners = append(r.owners, o)
	go func() { o.ended <- o.Run(ctx) }()
	return o
}

// kill cuts an owner off from everything for ever, as a killed process is, and
// lets its goroutines end.
func (o *testOwner) kill() {
	o.killed = true
	o.isolate(true)
	o.thaw()
	o.stop()
}

func (o *testOwner) isolate(cut bool) {
	o.toTable.SetCut(cut)
	for _, c := range o.toWork {
		c.SetCut(cut)
	}
}

func (r *rig) job(tasks int, idempotent bool, run time.Duration) *rpc.SubmitRequest {
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

// ready starts an owner and lets it meet its workers.
func (r *rig) ready(t *testing.T) *testOwner {
	o := r.start(t.Context())
	time.Sleep(time.Second)
	return o
}

// mustSubmit returns the id of a job that must be accepted.
func (o *testOwner) mustSubmit(t *testing.T, req *rpc.SubmitRequest) string {
	t.Helper()
	reply, err := o.Submit(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return reply.GetJobId()
}

// mustStatus returns the state of a job that must be known.
func (o *testOwner) mustStatus(t *testing.T, id string) *rpc.JobStatus {
	t.Helper()
	s, err := o.status(id)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// inBubble runs f with a rig under synthetic time and ends all owners after it.
func inBubble(t *testing.T, workers int, f func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(workers)
		f(t, r)
		r.endAll()
	})
}

// endAll heals every fault and stops every owner.
func (r *rig) endAll() {
	r.table.Set(standin.FaultSet{})
	for _, o := range r.owners {
		if !o.killed {
			o.isolate(false)
		}
		o.thaw()
		o.stop()
		if err := <-o.ended; err != nil && !o.killed {
			r.failures = append(r.failures, err) // ErrLost, or a hand-over that was cut short
		}
	}
}
