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

// TestMain fixes the seed, so that every run tests the same schedules.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", "20261204")
	setFlagDefault("rapid.checks", "200")
	setFlagDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func setFlagDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// action is one step of a schedule. Numbers are taken modulo the number of choices.
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

// adoptionWatchTime is longer than an adopting owner watches the other shard.
const adoptionWatchTime = 3 * time.Minute

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

// scheduleRun runs a schedule against owners and checks their behaviour against the
// workers' records.
type scheduleRun struct {
	*testCell
	t            *testing.T
	accepted     map[string]*rpc.SubmitRequest // by job id
	refused      map[string]bool
	byKey        map[string]string // job id by idempotency key
	cancels      map[string]bool
	idempotent   map[string]bool // whether a job is idempotent, by job id
	doorsDone    chan struct{}   // one token per finished door
	doorsStarted int
	hosts        []*testOwner  // owners of the shard under test, oldest first
	other        *testOwner    // owner of another AZ's shard, without its own faults
	adopting     chan struct{} // closed when the current adoption has ended
}

// adoptions and movedJobs count over all schedules, to show that adoptions occur.
var adoptions, movedJobs atomic.Int64

func TestRandomFaultSchedules(t *testing.T) {
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
	m := &scheduleRun{
		testCell: newTestCell(2), t: t, accepted: map[string]*rpc.SubmitRequest{}, refused: map[string]bool{},
		byKey: map[string]string{}, cancels: map[string]bool{}, idempotent: map[string]bool{}, doorsDone: make(chan struct{}, 1000),
	}
	defer m.endAll()
	m.addSecondAZ()
	m.other = m.startOwnerOf(t.Context(), "lager")
	m.startNewOwner()
	time.Sleep(time.Second)
	for i, a := range schedule {
		m.perform(a)
		time.Sleep(a.Wait / 10)
		if err := m.check(); err != nil {
			return fmt.Errorf("after step %d (%s): %w", i, a.Kind, err)
		}
	}
	return m.finish()
}

// startNewOwner starts a new owner of the shard under test.
func (m *scheduleRun) startNewOwner() *testOwner {
	o := m.startOwner(m.t.Context())
	m.hosts = append(m.hosts, o)
	return o
}

// loseAZ submits more tasks than fit, kills all hosts of the shard's AZ or cuts them
// off from the table, and has the shard adopted.
func (m *scheduleRun) loseAZ(kill bool) {
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
	time.Sleep(adoptionWatchTime)
}

// adopt makes the other AZ's owner adopt the shard, concurrently with the schedule.
func (m *scheduleRun) adopt() {
	if m.adopting != nil {
		select {
		case <-m.adopting:
		default:
			return // an adoption is already running
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

// perform performs one action. Most actions apply to one of the last two owners.
func (m *scheduleRun) perform(a action) {
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
		m.startNewOwner()
	case "kill":
		o.kill()
		if a.Flag {
			m.startNewOwner()
		}
	case "loseAZ":
		m.loseAZ(a.Flag)
	case "cutTable":
		o.toTable.SetCut(true)
	case "healTable":
		o.toTable.SetCut(o.killed)
	case "cutWorker":
		o.toWorkers[id].SetCut(true)
	case "healWorker":
		o.toWorkers[id].SetCut(o.killed)
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

func (m *scheduleRun) submit(o *testOwner, a action) {
	req := m.jobRequest(1+a.M%3, a.Flag, a.Wait)
	if a.N == 0 {
		req.IdempotencyKey = fmt.Sprint("key", a.M)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := o.Submit(ctx, req)
	id := req.GetJob().GetId()
	m.idempotent[id] = a.Flag
	if err != nil {
		_, m.refused[id] = rpc.RefusalFromTwirp(err)
		return
	}
	if reply.GetJobId() != id {
		m.refused[id] = true // the key belongs to an earlier job
	}
	m.accepted[reply.GetJobId()] = req
	if key := req.GetIdempotencyKey(); key != "" {
		if first, ok := m.byKey[key]; ok && first != reply.GetJobId() {
			m.refused[reply.GetJobId()] = true // check fails if it runs
		}
		m.byKey[key] = reply.GetJobId()
	}
}

func (m *scheduleRun) cancel(o *testOwner, a action) {
	if m.jobs == 0 {
		return
	}
	id := fmt.Sprintf("%032x", 1+a.M%m.jobs)
	m.cancels[id] = true // it may take effect even if it returns an error
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = o.CancelJob(ctx, &rpc.CancelJobRequest{
		JobId: id, Credential: &rpc.Credential{KeySha256: testKeyHash()},
	})
}

// direct acts as a door that asks for a ticket and may die or stall before it uses the
// ticket.
func (m *scheduleRun) direct(o *testOwner, a action) {
	req := m.directRequest()
	m.doorsStarted++
	go func() {
		defer func() { m.doorsDone <- struct{}{} }()
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

func (m *scheduleRun) runTicket(o *testOwner, ticket *rpc.Ticket) {
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

// check checks the workers' records against the invariants.
func (m *scheduleRun) check() error {
	runs := map[model.TaskID][]standin.AttemptRecord{}
	for id, w := range m.workers {
		records := w.AttemptRecords()
		if err := checkCapacity(id, w.Spec().Capacity, records); err != nil {
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

func (m *scheduleRun) checkTask(id model.TaskID, list []standin.AttemptRecord) error {
	if m.refused[string(id.Job)] {
		return fmt.Errorf("task %s of a refused job ran: %+v", id, list)
	}
	if len(list) > 1 && !m.idempotent[string(id.Job)] {
		return fmt.Errorf("task %s is not idempotent and ran %d times: %+v", id, len(list), list)
	}
	for i, a := range list {
		for _, b := range list[i+1:] {
			if overlap(a, b) {
				return fmt.Errorf("task %s ran twice at the same time: %+v and %+v", id, a, b)
			}
		}
	}
	return nil
}

func overlap(a, b standin.AttemptRecord) bool {
	return (a.End.IsZero() || b.Start.Before(a.End)) && (b.End.IsZero() || a.Start.Before(b.End))
}

// checkCapacity adds up the sizes of the running attempts on a worker at each start.
func checkCapacity(id string, capacity model.Resources, records []standin.AttemptRecord) error {
	for _, at := range records {
		var used model.Resources
		for _, r := range records {
			if !r.Start.After(at.Start) && (r.End.IsZero() || r.End.After(at.Start)) {
				used = used.Add(r.Size)
			}
		}
		if !used.Fits(capacity) {
			return fmt.Errorf("worker %s is overcommitted: %s used of %s", id, used, capacity)
		}
	}
	return nil
}

// finish removes every fault, lets a last owner finish all work, and checks that no
// accepted job was lost.
func (m *scheduleRun) finish() error {
	m.table.Set(standin.FaultSet{})
	for _, o := range m.hosts {
		o.kill()
	}
	last := m.startNewOwner()
	if m.adopting != nil {
		<-m.adopting // the adoption may have taken the shard from the last owner
		time.Sleep(2 * aliveInterval)
		if err := m.ownerError(last); err != nil {
			last = m.startNewOwner()
		}
	}
	for range m.doorsStarted {
		<-m.doorsDone
	}
	// Longer than any lease or wait for a lost worker, shorter than the history.
	time.Sleep(renewWithoutTable + 2*abandonDelay)
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

// ownerError returns the error with which an owner has ended, or nil if it still runs.
func (m *scheduleRun) ownerError(o *testOwner) error {
	select {
	case err := <-o.ended:
		o.ended <- err
		return err
	default:
		return nil
	}
}

// checkOutcome compares the reported outcome of a job with the workers' records.
func (m *scheduleRun) checkOutcome(o *testOwner, id string) string {
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
		return fmt.Sprintf("job %s is reported done, but only %d of its tasks are done", id, whole)
	case s.GetOutcome() == "not_run" && ran:
		return fmt.Sprintf("job %s is reported not run, but it ran", id)
	case s.GetOutcome() != "done" && m.idempotent[id] && !m.cancels[id]:
		return fmt.Sprintf("restartable job %s ended %s (%s)", id, s.GetOutcome(), s.GetReason())
	}
	return ""
}
