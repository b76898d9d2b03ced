package owner

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
)

// TestMain fixes the seed, so that every run checks the same schedules.
func TestMain(m *testing.M) {
	flag.Parse()
	setUnlessGiven("rapid.seed", "20261204")
	setUnlessGiven("rapid.checks", "200")
	setUnlessGiven("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func setUnlessGiven(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// action is one step of a schedule. Numbers are taken modulo what there is.
type action struct {
	Kind string
	N, M int
	Wait time.Duration
	Flag bool
}

var actionKinds = []string{
	"submit", "submit", "submit", "direct", "direct", "cancel", "take", "kill", "cutTable", "healTable",
	"cutWorker", "healWorker", "freeze", "thaw", "tableDown", "tableLossy", "tableSlow", "tableUp",
	"restartWorker", "loseAZ", "wait", "wait", "wait",
}

// silence is longer than an adopter watches for.
const silence = 3 * time.Minute

func drawSchedule(t *rapid.T) []action {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind: rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			N:    rapid.IntRange(0, 7).Draw(t, "n"),
			M:    rapid.IntRange(0, 7).Draw(t, "m"),
			Wait: time.Duration(rapid.IntRange(1, 400).Draw(t, "wait")) * 100 * time.Millisecond,
			Flag: rapid.Bool().Draw(t, "flag"),
		}
	})
	return rapid.SliceOfN(one, 5, 40).Draw(t, "schedule")
}

// machine runs a schedule against owners and checks it against the workers'
// own records.
type machine struct {
	*rig
	t        *testing.T
	accepted map[string]*rpc.SubmitRequest // by job id
	refused  map[string]bool
	byKey    map[string]string // job id by idempotency key
	cancels  map[string]bool
	idem     map[string]bool // idempotent, by job id
	doors    chan struct{}   // one token per door that is done
	opened   int
	hosts    []*testOwner  // of the shard under test
	other    *testOwner    // of another AZ's shard, without faults of its own
	adopting chan struct{} // closed when the adoption under way has ended
}

// adoptions and movedJobs count over all schedules, to show that they happen.
var adoptions, movedJobs atomic.Int64

func TestSchedules(t *testing.T) {
	defer func() { t.Logf("%d adoptions moved %d jobs", adoptions.Load(), movedJobs.Load()) }()
	rapid.Check(t, func(rt *rapid.T) {
		schedule := drawSchedule(rt)
		var err error
		synctest.Test(t, func(t *testing.T) { err = runSchedule(t, schedule) })
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

func runSchedule(t *testing.T, schedule []action) error {
	m := &machine{
		rig: newRig(2), t: t, accepted: map[string]*rpc.SubmitRequest{}, refused: map[string]bool{},
		byKey: map[string]string{}, cancels: map[string]bool{}, idem: map[string]bool{}, doors: make(chan struct{}, 1000),
	}
	defer m.endAll()
	m.addLager()
	m.other = m.startShard(t.Context(), "lager")
	m.take()
	time.Sleep(time.Second)
	for i, a := range schedule {
		m.do(a)
		time.Sleep(a.Wait / 10)
		if err := m.check(); err != nil {
			return fmt.Errorf("after step %d (%s): %w", i, a.Kind, err)
		}
	}
	return m.finish()
}

// take starts a new owner of the shard under test.
func (m *machine) take() *testOwner {
	o := m.start(m.t.Context())
	m.hosts = append(m.hosts, o)
	return o
}

// loseAZ kills all hosts of the shard's AZ or cuts them off from the table while
// more work waits than runs, and has the shard adopted.
func (m *machine) loseAZ(kill bool) {
	for i := range 6 {
		m.submit(m.hosts[len(m.hosts)-1], action{N: 1, M: 2, Flag: i%2 == 0, Wait: time.Minute})
	}
	for _, o := range m.hosts {
		o.toTable.SetCut(true)
		if kill {
			o.kill()
		}
	}
	m.adopt()
	time.Sleep(silence)
}

// adopt has the other AZ's owner adopt the shard, beside everything else.
func (m *machine) adopt() {
	if m.adopting != nil {
		select {
		case <-m.adopting:
		default:
			return // one is under way
		}
	}
	done := make(chan struct{})
	m.adopting = done
	go func() {
		defer close(done)
		moved, err := m.other.Adopt(m.t.Context(), testShard)
		if err == nil {
			adoptions.Add(1)
			movedJobs.Add(int64(moved))
		}
	}()
}

// do carries out one action; most apply to one of the last two owners.
func (m *machine) do(a action) {
	o := m.hosts[len(m.hosts)-1-a.N%min(2, len(m.hosts))]
	id := fmt.Sprintf("w%d", a.M%2)
	switch a.Kind {
	case "submit":
		m.submit(o, a)
	case "direct":
		m.direct(o, a)
	case "cancel":
		m.cancel(o, a)
	case "take":
		m.take()
	case "kill":
		o.kill()
		if a.Flag {
			m.take()
		}
	case "loseAZ":
		m.loseAZ(a.Flag)
	case "cutTable":
		o.toTable.SetCut(true)
	case "healTable":
		o.toTable.SetCut(o.killed)
	case "cutWorker":
		o.toWork[id].SetCut(true)
	case "healWorker":
		o.toWork[id].SetCut(o.killed)
	case "freeze":
		o.freeze()
	case "thaw":
		o.thaw()
	case "tableDown":
		m.table.Set(standin.FaultSet{Down: true})
	case "tableLossy":
		m.table.Set(standin.FaultSet{LoseReplyEvery: 2 + a.N%2})
	case "tableSlow":
		m.table.Set(standin.FaultSet{DelayMillis: 50, ReplyDelayMillis: 300})
	case "tableUp":
		m.table.Set(standin.FaultSet{})
	case "restartWorker":
		m.workers[id].Restart()
	case "wait":
		time.Sleep(a.Wait)
	}
}

func (m *machine) submit(o *testOwner, a action) {
	req := m.job(1+a.M%3, a.Flag, a.Wait)
	if a.N == 0 {
		req.IdempotencyKey = fmt.Sprint("key", a.M)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := o.Submit(ctx, req)
	id := req.GetJob().GetId()
	m.idem[id] = a.Flag
	if err != nil {
		_, m.refused[id] = rpc.RefusalFromTwirp(err)
		return
	}
	if reply.GetJobId() != id {
		m.refused[id] = true // an earlier job answers for it
	}
	m.accepted[reply.GetJobId()] = req
	if key := req.GetIdempotencyKey(); key != "" {
		if first, ok := m.byKey[key]; ok && first != reply.GetJobId() {
			m.refused[reply.GetJobId()] = true // check() finds it if it runs
		}
		m.byKey[key] = reply.GetJobId()
	}
}

func (m *machine) cancel(o *testOwner, a action) {
	if m.jobs == 0 {
		return
	}
	id := fmt.Sprintf("%032x", 1+a.M%m.jobs)
	m.cancels[id] = true // it may take effect whatever the answer is
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = o.CancelJob(ctx, &rpc.CancelJobRequest{
		JobId: id, Credential: &rpc.Credential{KeySha256: testKeyHash()},
	})
}

// direct plays a door that asks for room and may die, or stall, with the ticket
// in its hand.
func (m *machine) direct(o *testOwner, a action) {
	req := m.slip()
	m.opened++
	go func() {
		defer func() { m.doors <- struct{}{} }()
		ticket, err := o.Reserve(context.Background(), req)
		if err != nil || a.N == 7 {
			return
		}
		if a.Flag {
			time.Sleep(a.Wait / 5)
		}
		m.runTicket(o, ticket)
	}()
}

func (m *machine) runTicket(o *testOwner, ticket *rpc.Ticket) {
	id, err := model.ParseTaskID(ticket.GetTask())
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = m.workers[ticket.GetWorker()].Run(ctx, worker.Start{
		Attempt: worker.Attempt{Task: id, Number: int(ticket.GetAttempt())}, Fence: worker.Fence(ticket.GetFence()),
		StartBy: ticket.GetStartBy(), Lease: time.Duration(ticket.GetLeaseNs()), Resources: ticket.GetSize().Model(),
		Direct: true, Team: ticket.GetTeam(),
	}, bytes.NewReader([]byte(`{"run_ms":2000}`)))
	end := "done"
	if err != nil {
		end = endNotStarted
	}
	if errors.Is(err, worker.ErrAmbiguous) {
		end = "unknown"
	}
	_, _ = o.Release(ctx, &rpc.ReleaseRequest{Task: ticket.GetTask(), Attempt: ticket.GetAttempt(), End: end})
}

// check compares the workers' records with what must always hold.
func (m *machine) check() error {
	runs := map[model.TaskID][]standin.AttemptRecord{}
	for id, w := range m.workers {
		records := w.AttemptRecords()
		if err := checkRoom(id, w.Spec().Capacity, records); err != nil {
			return err
		}
		for _, r := range records {
			runs[r.Attempt.Task] = append(runs[r.Attempt.Task], r)
		}
	}
	for id, list := range runs {
		if err := m.checkTask(id, list); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) checkTask(id model.TaskID, list []standin.AttemptRecord) error {
	if m.refused[string(id.Job)] {
		return fmt.Errorf("task %s of a refused job ran: %+v", id, list)
	}
	if len(list) > 1 && !m.idem[string(id.Job)] {
		return fmt.Errorf("task %s is not idempotent and ran %d times: %+v", id, len(list), list)
	}
	for i, a := range list {
		for _, b := range list[i+1:] {
			if overlap(a, b) {
				return fmt.Errorf("task %s ran in two places at once: %+v and %+v", id, a, b)
			}
		}
	}
	return nil
}

func overlap(a, b standin.AttemptRecord) bool {
	return (a.End.IsZero() || b.Start.Before(a.End)) && (b.End.IsZero() || a.Start.Before(b.End))
}

// checkRoom adds up what ran on a worker at the start of each attempt.
func checkRoom(id string, capacity model.Resources, records []standin.AttemptRecord) error {
	for _, at := range records {
		var used model.Resources
		for _, r := range records {
			if !r.Start.After(at.Start) && (r.End.IsZero() || r.End.After(at.Start)) {
				used = used.Add(r.Size)
			}
		}
		if !used.Fits(capacity) {
			return fmt.Errorf("worker %s runs %s, has %s", id, used, capacity)
		}
	}
	return nil
}

// finish heals every fault, lets a last owner bring all work to its end, and
// checks that nothing accepted was lost.
func (m *machine) finish() error {
	m.table.Set(standin.FaultSet{})
	for _, o := range m.hosts {
		o.kill()
	}
	last := m.take()
	if m.adopting != nil {
		<-m.adopting // it may have taken the shard from the last owner
		time.Sleep(2 * aliveEvery)
		if err := m.ended(last); err != nil {
			last = m.take()
		}
	}
	for range m.opened {
		<-m.doors
	}
	// Longer than any lease or wait for a lost worker, shorter than the history.
	time.Sleep(renewWithoutTable + 2*abandonAfter)
	if err := m.check(); err != nil {
		return fmt.Errorf("at the end: %w", err)
	}
	var problems []string
	for id := range m.accepted {
		if p := m.checkOutcome(last, id); p != "" {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return nil
}

// ended returns why an owner has ended, or nil if it runs.
func (m *machine) ended(o *testOwner) error {
	select {
	case err := <-o.ended:
		o.ended <- err
		return err
	default:
		return nil
	}
}

// checkOutcome compares what a caller is told of a job with the records.
func (m *machine) checkOutcome(o *testOwner, id string) string {
	s, err := o.status(id)
	if err != nil {
		s, err = m.other.status(id)
	}
	if err != nil {
		return fmt.Sprintf("accepted job %s is lost: %v", id, err)
	}
	done, ran := map[int]bool{}, false
	for _, r := range m.records() {
		if string(r.Attempt.Task.Job) == id {
			ran = true
			done[r.Attempt.Task.Index] = done[r.Attempt.Task.Index] || r.State == worker.TaskDone
		}
	}
	whole := 0
	for _, d := range done {
		if d {
			whole++
		}
	}
	switch {
	case s.GetState() != stateEnded:
		return fmt.Sprintf("job %s did not end: %v", id, s)
	case s.GetOutcome() == "done" && whole != int(s.GetTaskCount()):
		return fmt.Sprintf("job %s is told done, but only %d of its tasks are", id, whole)
	case s.GetOutcome() == "not_run" && ran:
		return fmt.Sprintf("job %s is told not run, but it ran", id)
	case s.GetOutcome() != "done" && m.idem[id] && !m.cancels[id]:
		return fmt.Sprintf("restartable job %s ended %s (%s)", id, s.GetOutcome(), s.GetReason())
	}
	return ""
}
