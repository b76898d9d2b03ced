package dispatch

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// This file replays load patterns against the core: jobs of three kinds arrive at
// a cell, workers run their tasks, and what callers gain is summed up.

// kind is a kind of job of a load pattern.
type kind struct {
	queue     workload.Queue
	perSecond float64
	worth     float64
	steps     float64 // mean number
	width     float64 // mean number of tasks of a step
	widest    float64
	cores     float64 // mean of a task
	mostCores float64
	memory    float64 // mean GB of a task
	seconds   float64 // mean of a task's work
	estimate  float64 // spread of the estimates
	gang      float64 // share of steps that are gangs
	allowed   float64 // share of workers that the advice service allows
	faults    float64 // share of runs that fail by their own fault
	saves     float64 // share of steps whose tasks checkpoint when they are stopped
}

// pattern is a load pattern.
type pattern struct {
	workers int
	cores   int64
	memory  int64 // GB of a worker
	azs     int
	speeds  []float64 // of workers, by turns
	hosts   int       // that may ask for advice
	length  time.Duration
	kinds   []kind
	// silent tells that nothing can be decided for longer than the callers' objective
	// of urgent work: the worst windows are then compared with what hindsight earns.
	silent bool
	// at calls the event when the time since the begin has come.
	at map[time.Duration]func(s *replay)
}

// replay plays a pattern.
type replay struct {
	pattern
	core    *Core
	begin   time.Time
	now     time.Time
	rand    *rand.Rand
	workers map[string]*replayWorker
	busy    []time.Time // until when each host waits for the advice service
	answers []pendingAdvice
	jobs    map[string]*replayJob
	factor  map[string]float64 // of the arrivals of a queue
	n       int
	// pausedUntil is when the coordinator decides again.
	pausedUntil time.Time
	pauses      [][2]time.Time
	open        []openCores
	idle        idleCores
}

// openCores is what the workers on which tasks may start have, from a time on.
type openCores struct {
	from  time.Time
	cores float64
}

// pause stops the coordinator for a time.
func (r *replay) pause(span time.Duration) {
	r.pausedUntil = r.now.Add(span)
	r.pauses = append(r.pauses, [2]time.Time{r.now, r.pausedUntil})
}

// pausedAt reports whether the coordinator decided nothing then.
func (r *replay) pausedAt(at time.Time) bool {
	return slices.ContainsFunc(r.pauses, func(p [2]time.Time) bool { return !at.Before(p[0]) && at.Before(p[1]) })
}

// noteCapacity keeps what is open now.
func (r *replay) noteCapacity() {
	cores := 0.0
	for _, w := range r.workers {
		if !w.cut && !r.core.evacuated[w.info.AZ] {
			cores += float64(w.info.Capacity.MilliCores) / 1000
		}
	}
	if n := len(r.open); n == 0 || r.open[n-1].cores != cores {
		r.open = append(r.open, openCores{r.now, cores})
	}
}

// capacityAt returns what was open then.
func (r *replay) capacityAt(at time.Time) float64 {
	cores := 0.0
	for _, o := range r.open {
		if !o.from.After(at) {
			cores = o.cores
		}
	}
	return cores
}

// idleCores sums up what idles beside waiting work, looked at once a second.
type idleCores struct {
	next     time.Time
	worst    float64 // largest share of the open cores
	sum      float64 // core-seconds
	backlogs int     // seconds with waiting work
}

// look takes a sample when one is due.
func (i *idleCores) look(core *Core, now time.Time) {
	if now.Before(i.next) {
		return
	}
	i.next = now.Add(time.Second)
	waiting := core.Explain(now)
	if waiting.Steps == 0 || waiting.OpenMilliCores == 0 {
		return
	}
	i.backlogs++
	i.sum += float64(waiting.IdleMilliCores) / 1000
	i.worst = max(i.worst, float64(waiting.IdleMilliCores)/float64(waiting.OpenMilliCores))
}

type pendingAdvice struct {
	at  time.Time
	ask AdviceCall
}

type replayWorker struct {
	info workload.Worker
	runs map[workload.TaskID]*replayRun
	seq  int64
	ends []workload.RunEnd
	cut  bool
	seen time.Time

	speed float64
}

type replayRun struct {
	run    workload.Run
	begin  time.Time
	length time.Duration // of its own work
	fails  bool
	// until is when it ends; members of a gang end together.
	until   time.Time
	stopped bool
	broken  bool    // another member of its gang is gone
	share   float64 // of its task's work that it does
	left    float64 // share of its task's work that was left when it was stopped
}

type replayJob struct {
	kind     int
	accepted time.Time
	span     time.Duration
	worth    float64
	seconds  [][]float64 // true work by step and task
	done     time.Time
}

func newReplay(p pattern, seed uint64) *replay {
	r := &replay{pattern: p, core: New(), begin: time.UnixMilli(1_000_000), rand: rand.New(rand.NewPCG(seed, 1)),
		workers: map[string]*replayWorker{}, busy: make([]time.Time, p.hosts),
		jobs: map[string]*replayJob{}, factor: map[string]float64{}}
	r.now = r.begin
	var queues []workload.Queue
	for _, k := range p.kinds {
		queues = append(queues, k.queue)
		r.factor[k.queue.Name] = 1
	}
	r.core.SetCell(workload.NewCell(1, queues, []workload.Team{{Name: "team"}}, nil))
	for i := range p.workers {
		w := workload.Worker{ID: fmt.Sprintf("w%03d", i), Incarnation: 1, Address: "w:1", AZ: fmt.Sprint("az", i%max(3, p.azs)), Pool: "pool",
			Rack: fmt.Sprint("rack", i/8), Capacity: model.Resources{MilliCores: p.cores * 1000, MemoryMB: max(128, p.memory) << 10}}
		if p.memory > 0 {
			w.Capacity.MemoryMB = p.memory << 10
		}
		r.workers[w.ID] = &replayWorker{info: w, runs: map[workload.TaskID]*replayRun{}, speed: 1}
		if len(p.speeds) > 0 {
			r.workers[w.ID].speed = p.speeds[r.rand.IntN(len(p.speeds))]
		}
		r.core.SetWorker(workload.WorkerChange{ID: w.ID, Worker: &w})
		r.core.HandleInventory(w.ID, workload.Inventory{Incarnation: 1}, r.now, r.now)
	}
	return r
}

// draw returns a log-normal value of the given mean and spread, at most most.
func (r *replay) draw(mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(most, mean*math.Exp(sigma*r.rand.NormFloat64()-sigma*sigma/2))
}

const replayStep = 20 * time.Millisecond

// play runs the pattern to its end and until what was accepted is done, or late.
func (r *replay) play() {
	for r.now.Sub(r.begin) < r.length+40*time.Second {
		if r.now.Sub(r.begin) >= r.length && r.core.Stats().ActiveJobs == 0 {
			return // nothing changes any more
		}
		for at, event := range r.at {
			if d := r.now.Sub(r.begin); d >= at && d < at+replayStep {
				event(r)
			}
		}
		r.noteCapacity()
		if r.now.Sub(r.begin) < r.length {
			r.arrive()
		}
		if r.now.Before(r.pausedUntil) {
			r.now = r.now.Add(replayStep)
			continue
		}
		r.finishRuns()
		r.core.Tick(r.now)
		r.advise()
		r.core.Schedule(r.now)
		r.advise()
		r.start()
		r.stop()
		if r.now.Sub(r.begin) < r.length {
			r.idle.look(r.core, r.now)
		}
		r.now = r.now.Add(replayStep)
	}
}

func (r *replay) arrive() {
	for i, k := range r.kinds {
		for left := r.rand.ExpFloat64(); left < k.perSecond*r.factor[k.queue.Name]*replayStep.Seconds(); left += r.rand.ExpFloat64() {
			r.submit(i, k)
		}
	}
}

func (r *replay) submit(i int, k kind) {
	r.n++
	spec := &workload.Job{ID: fmt.Sprintf("%016x", r.n), Queue: k.queue.Name, Pool: "pool", Team: "team",
		AcceptedAt: r.now.UnixMilli(), Policy: k.queue}
	j := &replayJob{kind: i, accepted: r.now}
	chain, work := 0.0, 0.0
	steps := max(1, int(math.Round(r.draw(k.steps, 0.4, 3))))
	for s := range steps {
		width := max(1, int(math.Round(r.draw(k.width, 0.7, k.widest))))
		cores := r.draw(k.cores, 0.4, k.mostCores)
		mean := r.draw(k.seconds, 0.5, 2.6*k.seconds)
		step := workload.Step{Tasks: width, Resources: model.Resources{MilliCores: int64(1000 * cores), MemoryMB: int64(1024 * r.draw(k.memory, 0.5, 2*k.memory))},
			Estimate: time.Duration(r.draw(mean, k.estimate, 10*mean) * float64(time.Second)), Gang: r.rand.Float64() < k.gang,
			Checkpoints: hashShare(spec.ID, fmt.Sprint(s)) < k.saves}
		if s > 0 {
			step.After = []int{s - 1}
		}
		seconds := make([]float64, width)
		for n := range seconds {
			seconds[n] = mean * (0.85 + 0.3*r.rand.Float64())
			work += seconds[n] * cores
		}
		chain += slices.Max(seconds) + k.queue.Advice.Duration(adviceSample).Seconds()
		spec.Steps = append(spec.Steps, step)
		j.seconds = append(j.seconds, seconds)
	}
	mean := k.steps * k.width * k.cores * k.seconds
	j.worth = k.worth * min(4, 0.3+0.7*work/mean)
	j.span = time.Duration(k.queue.Slack*chain*float64(time.Second)) + k.queue.Allowance
	r.jobs[spec.ID] = j
	r.core.AddJob(spec, r.now)
}

// advise answers calls that are due and makes new ones on idle hosts.
func (r *replay) advise() {
	rest := r.answers[:0]
	for _, a := range r.answers {
		if a.at.After(r.now) {
			rest = append(rest, a)
			continue
		}
		j := r.jobs[a.ask.Step.Job]
		var tickets []workload.Ticket
		for _, id := range a.ask.Workers {
			if hashShare(a.ask.Step.String(), id) < r.kinds[j.kind].allowed {
				tickets = append(tickets, workload.Ticket{Worker: id, Token: "t"})
			}
		}
		r.core.HandleAdvice(a.ask, tickets, nil, r.now)
	}
	r.answers = rest
	idle := 0
	for _, until := range r.busy {
		if !until.After(r.now) {
			idle++
		}
	}
	pass := r.core.NewAdvicePass(r.now)
	for i, until := range r.busy {
		if until.After(r.now) {
			continue
		}
		hosts := AdviceCapacity{MaxDuration: time.Minute, FewIdle: 2*idle < len(r.busy)}
		if idle <= 2 {
			hosts.MaxDuration = 60 * time.Millisecond
		}
		ask, ok := pass.Next(hosts)
		if !ok {
			return
		}
		idle--
		r.busy[i] = r.now.Add(ask.Duration)
		r.answers = append(r.answers, pendingAdvice{r.busy[i], ask})
	}
}

// start stores what was decided and starts the runs.
func (r *replay) start() {
	members := map[workload.StepID][]*replayRun{}
	for b := r.core.TakeBatch(2000, 1<<20); b != nil; b = r.core.TakeBatch(2000, 1<<20) {
		for _, st := range r.core.HandleStored(b) {
			w := r.workers[st.Worker.ID]
			if w.cut {
				r.core.HandleStartResult(st, workload.ErrNoAnswer, r.now)
				r.core.HandleUnansweredOrder(w.info.ID, r.now)
				continue
			}
			id := st.Order.Run.Task
			j := r.jobs[id.Job]
			seconds := j.seconds[id.Step][id.Index] / w.speed * left(st.Order.Checkpoint)
			run := &replayRun{run: st.Order.Run, begin: r.now, share: left(st.Order.Checkpoint), length: time.Duration(seconds * float64(time.Second)), fails: r.fails(st.Order.Run, r.kinds[j.kind])}
			if st.Order.Checkpoint != "" {
				run.length += replayRestore
			}
			run.until = r.now.Add(run.length)
			w.runs[id] = run
			if r.core.findStep(id.StepID).spec.Gang {
				members[id.StepID] = append(members[id.StepID], run)
			}
			r.core.HandleStartResult(st, nil, r.now)
		}
	}
	for _, runs := range members {
		last := slices.MaxFunc(runs, func(a, b *replayRun) int { return a.until.Compare(b.until) }).until
		for _, run := range runs {
			run.until = last
		}
	}
}

// Stops in a replay: what one takes, and what a start from a checkpoint takes.
const (
	replayStop    = 100 * time.Millisecond
	replayRestore = 100 * time.Millisecond
)

// left returns the share of a task's work that a checkpoint leaves.
func left(checkpoint string) float64 {
	if checkpoint == "" {
		return 1
	}
	done, err := strconv.ParseFloat(checkpoint, 64)
	if err != nil {
		panic(err) // written by finishRuns
	}
	return 1 - done
}

// stop carries out the stops that the core has decided.
func (r *replay) stop() {
	for _, o := range r.core.TakeStopOrders() {
		w := r.workers[o.Worker.ID]
		run := w.runs[o.Run.Task]
		if w.cut || run == nil || run.run != o.Run || run.stopped {
			continue
		}
		r.save(run)
		run.stopped, run.until = true, r.now.Add(replayStop)
	}
}

// save notes what is left of a run's task if it ends now.
func (r *replay) save(run *replayRun) {
	done := float64(r.now.Sub(run.begin)) / float64(max(1, run.length))
	run.left = run.share * (1 - min(1, done))
	if !r.core.findStep(run.run.Task.StepID).spec.Checkpoints {
		run.left = 1
	}
}

// breakGang ends the other members of a gang of which one is gone.
func (r *replay) breakGang(step workload.StepID) {
	if !r.core.findStep(step).spec.Gang {
		return
	}
	for _, w := range r.workers {
		for id, run := range w.runs {
			if id.StepID == step && !run.stopped {
				r.save(run)
				run.broken, run.until = true, r.now
			}
		}
	}
}

// fails tells whether a run fails by its own fault. Of a gang only the first member does.
func (r *replay) fails(run workload.Run, k kind) bool {
	gang := r.core.findStep(run.Task.StepID).spec.Gang
	return (!gang || run.Task.Index == 0) && hashShare(run.Task.String(), fmt.Sprint(run.Number)) < k.faults
}

// hashShare returns a number from 0 to 1 that depends on the texts alone.
func hashShare(texts ...string) float64 {
	h := fnv.New32a()
	for _, text := range texts {
		_, _ = h.Write([]byte(text))
	}
	return float64(h.Sum32()%1000) / 1000
}

// finishRuns ends runs whose work is done and reports every worker with news.
func (r *replay) finishRuns() {
	for _, w := range r.sorted() {
		news := r.now.Sub(w.seen) > 700*time.Millisecond
		for id, run := range w.runs {
			if r.now.Before(run.until) {
				continue
			}
			delete(w.runs, id)
			w.seq++
			end := workload.RunEnd{Seq: w.seq, Run: run.run, Outcome: workload.RunDone}
			switch {
			case run.stopped, run.broken:
				end.Outcome = workload.RunStopped
				if run.broken {
					end.Outcome = workload.RunGangBroken
				}
				end.Checkpoint = fmt.Sprint(1 - run.left)
			case run.fails:
				end.Outcome = workload.RunFailed
			}
			w.ends = append(w.ends, end)
			news = true
		}
		if !news || w.cut {
			continue
		}
		w.seen = r.now
		inv := workload.Inventory{Incarnation: 1, Ended: w.ends}
		w.ends = nil
		for _, run := range w.runs {
			inv.Running = append(inv.Running, workload.RunStatus{Run: run.run,
				Percent: min(100, int(100*r.now.Sub(run.begin)/run.length))})
		}
		r.core.HandleInventory(w.info.ID, inv, r.now, r.now)
	}
	for id, j := range r.jobs {
		if state, _ := r.core.JobState(id); state == workload.Completed && j.done.IsZero() {
			j.done = r.now
		}
	}
}

func (r *replay) sorted() []*replayWorker {
	out := make([]*replayWorker, 0, len(r.workers))
	for _, w := range r.workers {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *replayWorker) int {
		if a.info.ID < b.info.ID {
			return -1
		}
		return 1
	})
	return out
}

// gain is what callers gained of what they could have.
type gain struct {
	total   float64
	byKind  map[string]float64
	windows float64 // mean of the two worst windows of 2 s
	// byWindow has each window of 2 s.
	byWindow []float64
}

func (r *replay) gain() gain {
	all := make([]*replayJob, 0, len(r.jobs))
	for _, j := range r.jobs {
		all = append(all, j)
	}
	return r.gainOf(all)
}

// lateShare is how many times less a job is worth that is late.
const lateShare = 5

// gainOf sums up what the jobs gained.
func (r *replay) gainOf(jobs []*replayJob) gain {
	g := gain{byKind: map[string]float64{}}
	owed := map[string]float64{}
	all, got := 0.0, 0.0
	windowOwed, windowGot := map[int]float64{}, map[int]float64{}
	for _, j := range jobs {
		name := r.kinds[j.kind].queue.Name
		took := j.done.Sub(j.accepted)
		earned := 0.0
		switch {
		case j.done.IsZero():
		case took <= j.span:
			earned = j.worth
		case took <= lateFactor*j.span:
			earned = j.worth / lateShare
		}
		window := int(j.accepted.Sub(r.begin) / (2 * time.Second))
		owed[name] += j.worth
		g.byKind[name] += earned
		all, got = all+j.worth, got+earned
		windowOwed[window] += j.worth
		windowGot[window] += earned
	}
	for name := range owed {
		g.byKind[name] /= owed[name]
	}
	var shares []float64
	for w := range len(windowOwed) {
		shares = append(shares, windowGot[w]/windowOwed[w])
	}
	g.byWindow = slices.Clone(shares)
	slices.Sort(shares)
	g.windows = (shares[0] + shares[1]) / 2
	g.total = got / all
	return g
}

// replaySeeds is how often each pattern is played; several seeds, with -v, compare
// two versions of the core.
var replaySeeds = flag.Int("replay.seeds", 1, "plays of each load pattern")

// The gain that the users ask for over their days with trouble, of what could be
// gained, and our own aim for the worst moments.
const (
	wantGain    = 0.75
	wantWindows = 0.6
)

func TestReplay(t *testing.T) {
	for name, p := range map[string]func() pattern{
		"evacuated": evacuatedThird, "cut": cutThird, "evacuated-and-cut": evacuatedAndCut, "bursts": bursts, "flood": flood,
		"narrow-bursts": narrowBursts, "narrow-evacuated": narrowEvacuated, "narrow-trouble": narrowTrouble, "narrow-spot": narrowSpot,
		"lost": lostThird, "large-bursts": largeBursts, "large-evacuated": largeEvacuated, "large-trouble": largeTrouble,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mean := gain{byKind: map[string]float64{}}
			n := float64(*replaySeeds)
			best := gain{}
			var used, needed, idle, worst, tickets, usedTickets float64
			for seed := range *replaySeeds {
				r := newReplay(p(), uint64(seed))
				r.play()
				g := r.gain()
				mean.total += g.total / n
				mean.windows += g.windows / n
				most := gain{}
				if p().silent || testing.Verbose() {
					most = newOracle(r).play()
				}
				best.total, best.windows = best.total+most.total/n, best.windows+most.windows/n
				a := r.core.TakeAdviceStats()
				used, needed = used+a.Total().Seconds()/n, needed+a.HostTimeNeeded.Seconds()/n
				tickets, usedTickets = tickets+float64(a.TicketsReceived)/n, usedTickets+float64(a.TicketsUsed)/n
				idle, worst = idle+r.idle.sum/n, worst+r.idle.worst/n
				if testing.Verbose() {
					t.Log(a.Calls, a.HostTime)
					t.Logf("by window %.2f, with hindsight %.2f", g.byWindow, most.byWindow)
				}
				for k, v := range g.byKind {
					mean.byKind[k] += v / n
				}
			}
			t.Logf("%s: gain %.3f, two worst windows %.3f, by kind %.3v", name, mean.total, mean.windows, mean.byKind)
			if best.total > 0 {
				t.Logf("with hindsight %.3f, %.3f", best.total, best.windows)
			}
			t.Logf("advice: %.0f host-seconds of %.0f needed, %.0f of %.0f tickets used; idle beside waiting work: %.0f core-seconds, at worst %.2f of the cell",
				used, needed, usedTickets, tickets, idle, worst)
			windows := wantWindows
			if p().silent {
				windows *= best.windows
			}
			if mean.total < wantGain || mean.windows < windows {
				t.Errorf("wanted a gain of %v and of %.2v in the worst windows", wantGain, windows)
			}
		})
	}
}
