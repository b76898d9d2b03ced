package dispatch

import (
	"cmp"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// This file replays load patterns against the core: jobs of three kinds arrive at a cell,
// workers run their tasks, and the callers' gain is summed up.

// kind is a kind of job of a load pattern.
type kind struct {
	queue           workload.Queue
	perSecond       float64
	worth           float64
	steps           float64 // mean number of steps
	width           float64 // mean number of tasks of a step
	maxWidth        float64
	cores           float64 // mean of a task
	maxCores        float64
	memory          float64 // mean of a task, in GB
	seconds         float64 // mean work of a task
	estimateSpread  float64 // spread of the estimates
	gangShare       float64 // share of steps that are gangs
	allowedShare    float64 // share of workers that the advice service allows
	failureShare    float64 // share of runs that fail by their own fault
	checkpointShare float64 // share of steps whose tasks save a checkpoint when they are stopped
	images          int     // number of images, i0 and on, of which each job has one; 0: none
}

// pattern is a load pattern.
type pattern struct {
	workers int
	cores   int64
	memory  int64 // of a worker, in GB
	azs     int
	speeds  []float64 // drawn for each worker
	hosts   int       // hosts that make calls for advice
	length  time.Duration
	kinds   []kind
	// storeSilent is set if the store does not answer, so that the coordinator cannot decide
	// for longer than the objective of urgent work. The bound of the worst windows is then a
	// share of the oracle's gain.
	storeSilent bool
	// at has the events of the pattern, by the time since its beginning.
	at map[time.Duration]func(s *replay)
	// crashing selects the tasks that crash the workers that start them; may be nil.
	crashing func(r *replay, id workload.TaskID) bool
	interferencePattern
}

// replay plays a pattern.
type replay struct {
	pattern
	core      *Core
	begin     time.Time
	now       time.Time
	rand      *rand.Rand
	workers   map[string]*replayWorker
	busyUntil []time.Time // by host: when its latest call for advice ends
	answers   []pendingAdvice
	jobs      map[string]*replayJob
	factor    map[string]float64 // by queue: factor on the arrival rate
	submitted int
	// pausedUntil is when the coordinator decides again.
	pausedUntil time.Time
	pauses      [][2]time.Time
	open        []openCores
	idleCores   idleCores
	crashes     int    // of workers under their tasks
	eachStep    func() // is called after each step of the replay; may be nil
}

// openCores is the number of cores of all reachable workers outside evacuated AZs, from a
// time on.
type openCores struct {
	from  time.Time
	cores float64
}

// pause stops the coordinator for a time.
func (r *replay) pause(span time.Duration) {
	r.pausedUntil = r.now.Add(span)
	r.pauses = append(r.pauses, [2]time.Time{r.now, r.pausedUntil})
}

// pausedAt reports whether the coordinator was paused at this time.
func (r *replay) pausedAt(at time.Time) bool {
	return slices.ContainsFunc(r.pauses, func(p [2]time.Time) bool { return !at.Before(p[0]) && at.Before(p[1]) })
}

// recordCapacity records the cores that are open now.
func (r *replay) recordCapacity() {
	cores := 0.0
	for _, w := range r.workers {
		if !w.unreachable && !r.core.evacuated[w.info.AZ] {
			cores += float64(w.info.Capacity.MilliCores) / 1000
		}
	}
	if n := len(r.open); n == 0 || r.open[n-1].cores != cores {
		r.open = append(r.open, openCores{r.now, cores})
	}
}

// capacityAt returns the cores that were open at this time.
func (r *replay) capacityAt(at time.Time) float64 {
	cores := 0.0
	for _, o := range r.open {
		if !o.from.After(at) {
			cores = o.cores
		}
	}
	return cores
}

// idleCores sums up the idle cores on which waiting tasks fit, sampled once a second.
type idleCores struct {
	next           time.Time
	worst          float64 // largest share of the open cores
	sum            float64 // core-seconds
	backlogSeconds int     // seconds with waiting work
}

// sample takes a sample if one is due.
func (i *idleCores) sample(core *Core, now time.Time) {
	if now.Before(i.next) {
		return
	}
	i.next = now.Add(time.Second)
	waiting := core.Explain(now)
	if waiting.Steps == 0 || waiting.OpenMilliCores == 0 {
		return
	}
	i.backlogSeconds++
	i.sum += float64(waiting.IdleMilliCores) / 1000
	i.worst = max(i.worst, float64(waiting.IdleMilliCores)/float64(waiting.OpenMilliCores))
}

type pendingAdvice struct {
	at   time.Time
	call AdviceCall
}

type replayWorker struct {
	info        workload.Worker
	runs        map[workload.TaskID]*replayRun
	seq         int64
	ends        []workload.RunEnd
	unreachable bool
	reportedAt  time.Time

	speed float64
}

type replayRun struct {
	run      workload.Run
	begin    time.Time
	duration time.Duration // duration of its own work
	fails    bool
	// until is when the run ends; members of a gang end together.
	until      time.Time
	stopped    bool
	gangBroken bool    // another member of its gang has ended without success
	workShare  float64 // of its task's work that this run does
	remaining  float64 // share of its task's work that is not done when it is stopped
}

type replayJob struct {
	kind         int
	accepted     time.Time
	onTimeWithin time.Duration
	worth        float64
	seconds      [][]float64 // actual work by step and task
	done         time.Time
}

func newReplay(p pattern, seed uint64) *replay {
	r := &replay{pattern: p, core: New(), begin: time.UnixMilli(1_000_000), rand: rand.New(rand.NewPCG(seed, 1)),
		workers: map[string]*replayWorker{}, busyUntil: make([]time.Time, p.hosts),
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

// draw returns a log-normal value of the given mean and spread, limited to most.
func (r *replay) draw(mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(most, mean*math.Exp(sigma*r.rand.NormFloat64()-sigma*sigma/2))
}

const replayStep = 20 * time.Millisecond

// play runs the pattern to its end, and until the accepted jobs are done or late.
func (r *replay) play() {
	for r.now.Sub(r.begin) < r.length+40*time.Second {
		if r.now.Sub(r.begin) >= r.length && r.core.Stats().ActiveJobs == 0 {
			return // nothing changes after this
		}
		r.playStep()
	}
}

// playStep plays one replayStep.
func (r *replay) playStep() {
	for at, event := range r.at {
		if d := r.now.Sub(r.begin); d >= at && d < at+replayStep {
			event(r)
		}
	}
	r.recordCapacity()
	if r.now.Sub(r.begin) < r.length {
		r.arrive()
	}
	if r.now.Before(r.pausedUntil) {
		r.now = r.now.Add(replayStep)
		return
	}
	r.finishRuns()
	r.core.Tick(r.now)
	r.advise()
	r.core.Schedule(r.now)
	r.advise()
	r.start()
	r.stop()
	if r.eachStep != nil {
		r.eachStep()
	}
	if r.now.Sub(r.begin) < r.length {
		r.idleCores.sample(r.core, r.now)
	}
	r.now = r.now.Add(replayStep)
}

func (r *replay) arrive() {
	for i, k := range r.kinds {
		for left := r.rand.ExpFloat64(); left < k.perSecond*r.factor[k.queue.Name]*replayStep.Seconds(); left += r.rand.ExpFloat64() {
			r.submit(i, k)
		}
	}
}

func (r *replay) submit(i int, k kind) {
	r.submitted++
	spec := &workload.Job{ID: fmt.Sprintf("%016x", r.submitted), Queue: k.queue.Name, Pool: "pool", Team: "team",
		AcceptedAt: r.now.UnixMilli(), Policy: k.queue}
	j := &replayJob{kind: i, accepted: r.now}
	chain, work := 0.0, 0.0
	steps := max(1, int(math.Round(r.draw(k.steps, 0.4, 3))))
	for s := range steps {
		width := max(1, int(math.Round(r.draw(k.width, 0.7, k.maxWidth))))
		cores := r.draw(k.cores, 0.4, k.maxCores)
		mean := r.draw(k.seconds, 0.5, 2.6*k.seconds)
		step := workload.Step{Tasks: width, Resources: model.Resources{MilliCores: int64(1000 * cores), MemoryMB: int64(1024 * r.draw(k.memory, 0.5, 2*k.memory))},
			Estimate: time.Duration(r.draw(mean, k.estimateSpread, 10*mean) * float64(time.Second)), Gang: r.rand.Float64() < k.gangShare,
			Checkpoints: hashShare(spec.ID, fmt.Sprint(s)) < k.checkpointShare, Image: r.drawImage(k, spec.ID)}
		if s > 0 {
			step.After = []int{s - 1}
		}
		seconds := make([]float64, width)
		for n := range seconds {
			seconds[n] = mean * (0.85 + 0.3*r.rand.Float64())
			work += seconds[n] * cores
		}
		chain += slices.Max(seconds)
		if k.queue.Advice != nil {
			chain += k.queue.Advice.Duration(typicalCallWorkers).Seconds()
		}
		spec.Steps = append(spec.Steps, step)
		j.seconds = append(j.seconds, seconds)
	}
	mean := k.steps * k.width * k.cores * k.seconds
	j.worth = k.worth * min(4, 0.3+0.7*work/mean)
	j.onTimeWithin = time.Duration(k.queue.Slack*chain*float64(time.Second)) + k.queue.Allowance
	r.jobs[spec.ID] = j
	r.limitToSlowWorkers(spec)
	r.core.AddJob(spec, r.now)
}

// advise answers the calls that are due and makes new ones on idle hosts.
func (r *replay) advise() {
	rest := r.answers[:0]
	for _, a := range r.answers {
		if a.at.After(r.now) {
			rest = append(rest, a)
			continue
		}
		j := r.jobs[a.call.Step.Job]
		var tickets []workload.Ticket
		for _, id := range a.call.Workers {
			if hashShare(a.call.Step.String(), id) < r.kinds[j.kind].allowedShare {
				tickets = append(tickets, workload.Ticket{Worker: id, Token: "t"})
			}
		}
		r.core.HandleAdvice(a.call, tickets, nil, r.now)
	}
	r.answers = rest
	idle := 0
	for _, until := range r.busyUntil {
		if !until.After(r.now) {
			idle++
		}
	}
	pass := r.core.NewAdvicePass(r.now)
	for i, until := range r.busyUntil {
		if until.After(r.now) {
			continue
		}
		hosts := AdviceCapacity{MaxDuration: time.Minute, FewIdle: 2*idle < len(r.busyUntil)}
		if idle <= 2 {
			hosts.MaxDuration = 60 * time.Millisecond
		}
		call, ok := pass.Next(hosts)
		if !ok {
			return
		}
		idle--
		r.busyUntil[i] = r.now.Add(call.Duration)
		r.answers = append(r.answers, pendingAdvice{r.busyUntil[i], call})
	}
}

// start stores the decisions and starts the runs.
func (r *replay) start() {
	members := map[workload.StepID][]*replayRun{}
	for b := r.core.TakeBatch(2000, 1<<20); b != nil; b = r.core.TakeBatch(2000, 1<<20) {
		for _, st := range r.core.HandleStored(b, r.now) {
			w := r.workers[st.Worker.ID]
			if w.unreachable {
				r.core.HandleStartResult(st, workload.ErrNoAnswer, r.now)
				r.core.HandleUnansweredOrder(w.info.ID, r.now)
				continue
			}
			id := st.Order.Run.Task
			if r.crashing != nil && r.crashing(r, id) {
				r.core.HandleStartResult(st, nil, r.now)
				r.crashWorker(w, id.StepID)
				continue
			}
			j := r.jobs[id.Job]
			seconds := j.seconds[id.Step][id.Index] / w.speed * remainingWork(st.Order.Checkpoint) * r.stall(st.Order.Run)
			run := &replayRun{run: st.Order.Run, begin: r.now, workShare: remainingWork(st.Order.Checkpoint), duration: time.Duration(seconds * float64(time.Second)), fails: r.fails(st.Order.Run, r.kinds[j.kind])}
			if st.Order.Checkpoint != "" {
				run.duration += replayRestore
			}
			run.until = r.now.Add(run.duration)
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

// Durations of a stop and of a start from a checkpoint.
const (
	replayStop    = 100 * time.Millisecond
	replayRestore = 100 * time.Millisecond
)

// remainingWork returns the share of a task's work that is left after a checkpoint.
func remainingWork(checkpoint string) float64 {
	if checkpoint == "" {
		return 1
	}
	done, err := strconv.ParseFloat(checkpoint, 64)
	if err != nil {
		panic(err) // the text is written by finishRuns
	}
	return 1 - done
}

// stop carries out the core's stop orders.
func (r *replay) stop() {
	for _, o := range r.core.TakeStopOrders() {
		w := r.workers[o.Worker.ID]
		run := w.runs[o.Run.Task]
		if w.unreachable || run == nil || run.run != o.Run || run.stopped {
			continue
		}
		r.save(run)
		run.stopped, run.until = true, r.now.Add(replayStop)
	}
}

// save records how much work of a run's task is left if the run ends now.
func (r *replay) save(run *replayRun) {
	done := float64(r.now.Sub(run.begin)) / float64(max(1, run.duration))
	run.remaining = run.workShare * (1 - min(1, done))
	if !r.core.findStep(run.run.Task.StepID).spec.Checkpoints {
		run.remaining = 1
	}
}

// breakGang ends the remaining members of a gang after one was lost.
func (r *replay) breakGang(step workload.StepID) {
	if !r.core.findStep(step).spec.Gang {
		return
	}
	for _, w := range r.workers {
		for id, run := range w.runs {
			if id.StepID == step && !run.stopped {
				r.save(run)
				run.gangBroken, run.until = true, r.now
			}
		}
	}
}

// fails reports whether a run fails by its own fault. In a gang only the first member
// fails.
func (r *replay) fails(run workload.Run, k kind) bool {
	gang := r.core.findStep(run.Task.StepID).spec.Gang
	return (!gang || run.Task.Index == 0) && hashShare(run.Task.String(), fmt.Sprint(run.Number)) < k.failureShare
}

// hashShare returns a number between 0 and 1 that depends only on the texts.
func hashShare(texts ...string) float64 {
	h := fnv.New32a()
	for _, text := range texts {
		_, _ = h.Write([]byte(text))
	}
	return float64(h.Sum32()%1000) / 1000
}

// finishRuns ends runs whose work is done, and reports the inventory of each worker with
// changes.
func (r *replay) finishRuns() {
	r.slowNeighbours()
	for _, w := range r.sorted() {
		changed := r.now.Sub(w.reportedAt) > 700*time.Millisecond
		for _, id := range w.sortedRuns() {
			run := w.runs[id]
			if r.now.Before(run.until) {
				continue
			}
			delete(w.runs, id)
			w.seq++
			end := workload.RunEnd{Seq: w.seq, Run: run.run, Outcome: workload.RunDone}
			switch {
			case run.stopped, run.gangBroken:
				end.Outcome = workload.RunStopped
				if run.gangBroken {
					end.Outcome = workload.RunGangBroken
				}
				end.Checkpoint = fmt.Sprint(1 - run.remaining)
			case run.fails:
				end.Outcome = workload.RunFailed
			}
			w.ends = append(w.ends, end)
			changed = true
		}
		if !changed || w.unreachable {
			continue
		}
		w.reportedAt = r.now
		inv := workload.Inventory{Incarnation: 1, Ended: w.ends}
		w.ends = nil
		for _, id := range w.sortedRuns() {
			run := w.runs[id]
			inv.Running = append(inv.Running, workload.RunStatus{Run: run.run,
				Percent: min(100, int(100*r.now.Sub(run.begin)/run.duration))})
		}
		r.core.HandleInventory(w.info.ID, inv, r.now, r.now)
	}
	for id, j := range r.jobs {
		if !j.done.IsZero() {
			continue
		}
		if state, _ := r.core.JobState(id); state == workload.Completed {
			j.done = r.now
		}
	}
}

// sortedRuns returns the tasks of the worker's runs in a fixed order, so that a replay can be
// repeated.
func (w *replayWorker) sortedRuns() []workload.TaskID {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b workload.TaskID) int {
		return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
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

// gain is the callers' gain as a share of the possible gain.
type gain struct {
	total   float64
	byKind  map[string]float64
	windows float64 // mean of the two worst windows of 2 s
	// byWindow has the share for each window of 2 s.
	byWindow []float64
}

func (r *replay) gain() gain {
	all := make([]*replayJob, 0, len(r.jobs))
	for _, j := range r.jobs {
		all = append(all, j)
	}
	return r.gainOf(all)
}

// lateDivisor is the divisor of the price of a late job.
const lateDivisor = 5

// gainOf sums up the gain of the jobs.
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
		case took <= j.onTimeWithin:
			earned = j.worth
		case took <= lateFactor*j.onTimeWithin:
			earned = j.worth / lateDivisor
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

// replaySeeds is the number of seeds for each pattern. Several seeds, with -v, are for
// the comparison of two versions of the core.
var replaySeeds = flag.Int("replay.seeds", 1, "plays of each load pattern")

// The gain that the users ask for over days with disturbances, as a share of the possible
// gain, and our own target for the worst windows.
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
			oracleMean := gain{}
			var used, needed, idle, worst, tickets, usedTickets float64
			for seed := range *replaySeeds {
				r := newReplay(p(), uint64(seed))
				r.play()
				g := r.gain()
				mean.total += g.total / n
				mean.windows += g.windows / n
				oracleGain := gain{}
				if p().storeSilent || testing.Verbose() {
					oracleGain = newOracle(r).play()
				}
				oracleMean.total, oracleMean.windows = oracleMean.total+oracleGain.total/n, oracleMean.windows+oracleGain.windows/n
				a := r.core.TakeAdviceStats()
				used, needed = used+a.Total().Seconds()/n, needed+a.HostTimeNeeded.Seconds()/n
				tickets, usedTickets = tickets+float64(a.TicketsReceived)/n, usedTickets+float64(a.TicketsUsed)/n
				idle, worst = idle+r.idleCores.sum/n, worst+r.idleCores.worst/n
				if testing.Verbose() {
					t.Log(a.Calls, a.HostTime)
					t.Logf("by window %.2f, with hindsight %.2f", g.byWindow, oracleGain.byWindow)
				}
				for k, v := range g.byKind {
					mean.byKind[k] += v / n
				}
			}
			t.Logf("%s: gain %.3f, two worst windows %.3f, by kind %.3v", name, mean.total, mean.windows, mean.byKind)
			if oracleMean.total > 0 {
				t.Logf("with hindsight %.3f, %.3f", oracleMean.total, oracleMean.windows)
			}
			t.Logf("advice: %.0f host-seconds of %.0f needed, %.0f of %.0f tickets used; idle beside waiting work: %.0f core-seconds, at worst %.2f of the cell",
				used, needed, usedTickets, tickets, idle, worst)
			windows := wantWindows
			if p().storeSilent {
				windows *= oracleMean.windows
			}
			if mean.total < wantGain || mean.windows < windows {
				t.Errorf("wanted a gain of %v and of %.2v in the worst windows", wantGain, windows)
			}
		})
	}
}
