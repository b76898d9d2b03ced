package decide

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminloft/internal/model"
	"cuminloft/internal/sched"
)

const (
	maxWait         = 2 * time.Hour // longest wait that the histograms record
	waitDigits      = 3             // significant digits of the histograms
	fullThreshold   = 0.90          // used / usable capacity at which the cell counts as full
	microsPerSecond = 1e6
)

// sample is the state of the cell at one time.
type sample struct {
	at       time.Duration
	usable   float64 // fraction of the fleet's capacity
	used     float64 // fraction of the fleet's capacity
	distance float64 // distance from the ideal shares: average over the teams, fraction of the fleet; -1: the cell is not full
	moved    float64 // half the sum of the teams' distances, fraction of the fleet; -1: the cell is not full
	pending  int
}

// metrics collects the measurements of a simulation.
type metrics struct {
	sim           *simulation
	waits         map[string]*hdrhistogram.Histogram // by class, in microseconds from the arrival to the first start
	classes       []string
	counts        map[string]*Count
	samples       []sample
	used          map[string]model.Resources // resources in use, by team
	waiting       map[string]model.Resources
	total         model.Resources // resources in use by all teams
	teamDistance  map[string]float64
	fullSamples   int
	preempted     int
	overcommitted float64 // worker-seconds with more memory in use than the worker has
	suspects      int
	cancelled     int
	refused       map[sched.RefusalCode]int

	usefulMilliCoreSeconds float64 // of attempts that are done or saved their progress, all day
	absence                azAbsence
}

// azAbsence is the work done during the absence of leavingAZ by the other AZs, in
// resource-seconds.
type azAbsence struct {
	done     resourceSeconds // by attempts that are done or saved their progress
	possible resourceSeconds // with the capacity that remains
}

// resourceSeconds is an amount of millicore-seconds, megabyte-seconds and slot-seconds.
type resourceSeconds [3]float64

func (w *resourceSeconds) add(r model.Resources, seconds float64) {
	w[0] += float64(r.MilliCores) * seconds
	w[1] += float64(r.MemoryMB) * seconds
	w[2] += float64(r.Slots) * seconds
}

// fraction returns the fraction of the possible work that was done, for the resource
// with the largest fraction: no scheduler can use more than all of one resource.
func (a *azAbsence) fraction() float64 {
	best := 0.0
	for i := range a.done {
		if a.possible[i] > 0 {
			best = max(best, a.done[i]/a.possible[i])
		}
	}
	return best
}

// Count is the number of jobs of a class by outcome.
type Count struct {
	Class                                              string
	Arrived, Done, Failed, NotRun, Unknown, Unfinished int
}

func newMetrics(sim *simulation) *metrics {
	return &metrics{
		sim: sim, waits: map[string]*hdrhistogram.Histogram{}, counts: map[string]*Count{},
		used: map[string]model.Resources{}, waiting: map[string]model.Resources{},
		teamDistance: map[string]float64{}, refused: map[sched.RefusalCode]int{},
	}
}

func (m *metrics) arrived(a *arrival) {
	if m.waits[a.class] == nil {
		m.waits[a.class] = hdrhistogram.New(1, maxWait.Microseconds(), waitDigits)
		m.counts[a.class] = &Count{Class: a.class}
		m.classes = append(m.classes, a.class)
	}
	m.counts[a.class].Arrived++
}

func (m *metrics) addWaiting(team string, size model.Resources, n int) {
	m.waiting[team] = m.waiting[team].Add(size.Scale(int64(n)))
}

func (m *metrics) addUsage(x *attempt, n int64) {
	size := x.job.job.Task.Resources.Scale(n)
	m.used[x.job.job.Team] = m.used[x.job.job.Team].Add(size)
	m.total = m.total.Add(size)
}

// started records an attempt and, with the first one, the job's wait.
func (m *metrics) started(x *attempt) {
	m.addUsage(x, 1)
	x.job.started++
	if x.job.started == 1 {
		m.recordWait(x.job)
	}
}

func (m *metrics) recordWait(j *activeJob) {
	wait := max(m.sim.now.Sub(epoch.Add(j.at)).Microseconds(), 1)
	if err := m.waits[j.class].RecordValue(wait); err != nil {
		panic(err) // the day is longer than maxWait
	}
}

// ended records the end of an attempt, and its work if it is done or saved its
// progress.
func (m *metrics) ended(x *attempt, end sched.End) {
	m.addUsage(x, -1)
	if end != sched.EndDone && !x.checkpointed {
		return
	}
	if end == sched.EndDone {
		x.job.done++
	}
	size := x.job.job.Task.Resources
	m.usefulMilliCoreSeconds += float64(size.MilliCores) * m.secondsBetween(x, epoch, m.sim.now)
	if m.sim.workerAZ[x.worker] != leavingAZ {
		m.absence.done.add(size.Max(x.job.usage), m.secondsBetween(x, m.sim.atFraction(azLeaves), m.sim.atFraction(azReturns)))
	}
}

// secondsBetween returns how long an attempt that ends now ran between two times.
func (m *metrics) secondsBetween(x *attempt, from, until time.Time) float64 {
	begin, end := x.start, m.sim.now
	if begin.Before(from) {
		begin = from
	}
	if end.After(until) {
		end = until
	}
	return max(0, end.Sub(begin).Seconds())
}

// jobEnded records the outcome of a job.
func (m *metrics) jobEnded(j *activeJob, d sched.JobEnded) {
	c := m.counts[j.class]
	switch d.Outcome {
	case model.OutcomeDone:
		c.Done++
	case model.OutcomeFailed:
		c.Failed++
	case model.OutcomeUnknown:
		c.Unknown++
	case model.OutcomeNotRun:
		c.NotRun++
		m.refused[d.Code]++
		if j.started == 0 && d.Code != sched.RefusedCancelled {
			m.recordWait(j) // a refusal ends the wait as well
		}
	}
}

// takeSample measures the state of the cell.
func (m *metrics) takeSample() {
	sim := m.sim
	fleet, usable := m.capacities()
	if sim.outOfService[leavingAZ] {
		m.addPossible(usable)
	}
	m.overcommitted += m.overcommittedWorkers() * sampleEvery.Seconds()
	p := sample{at: sim.now.Sub(epoch), usable: usable.DominantShare(fleet), used: m.total.DominantShare(fleet)}
	waiting := m.recountWaiting()
	p.pending = waiting
	shares := m.shares(fleet)
	ideal := idealShares(sim.day.config, shares)
	full := p.used >= fullThreshold*p.usable && waiting > 0
	for _, s := range shares {
		distance := max(s.used-ideal[s.team], ideal[s.team]-s.used)
		p.moved += distance / 2
		p.distance += distance / float64(len(shares))
		if full {
			m.teamDistance[s.team] += distance
		}
	}
	if full {
		m.fullSamples++
	} else {
		p.distance, p.moved = -1, -1
	}
	m.samples = append(m.samples, p)
}

// addPossible adds the capacity of the usable workers that services leave free.
func (m *metrics) addPossible(usable model.Resources) {
	for _, x := range m.sim.attempts {
		if x.job.job.Policy == model.PolicyService && m.sim.workerAZ[x.worker] != leavingAZ {
			usable = usable.Sub(x.job.job.Task.Resources)
		}
	}
	m.absence.possible.add(usable, sampleEvery.Seconds())
}

// overcommittedWorkers returns the number of workers whose tasks use more memory than
// the worker has.
func (m *metrics) overcommittedWorkers() float64 {
	memory := map[string]int64{}
	for _, x := range m.sim.attempts {
		memory[x.worker] += x.job.usage.MemoryMB
	}
	n := 0.0
	for _, used := range memory {
		if used > m.sim.day.cell.memoryMB {
			n++
		}
	}
	return n
}

// capacities returns the capacity of all workers and of the usable ones.
func (m *metrics) capacities() (fleet, usable model.Resources) {
	for _, w := range m.sim.day.workers {
		fleet = fleet.Add(w.Capacity)
		if m.sim.workerStates[w.ID] == sched.WorkerReady && !m.sim.outOfService[w.AZ] {
			usable = usable.Add(w.Capacity)
		}
	}
	return fleet, usable
}

// recountWaiting sums the waiting tasks' resources by team and returns the number of
// waiting tasks.
func (m *metrics) recountWaiting() int {
	clear(m.waiting)
	waiting := 0
	for _, j := range m.sim.jobs {
		if j.job.Policy == model.PolicyDirect {
			continue
		}
		n := j.job.Tasks - j.done
		m.addWaiting(j.job.Team, j.job.Task.Resources, n)
		waiting += n
	}
	for _, x := range m.sim.attempts {
		if x.job.job.Policy != model.PolicyDirect {
			m.addWaiting(x.job.job.Team, x.job.job.Task.Resources, -1)
			waiting--
		}
	}
	return waiting
}

// teamShare is a team's dominant shares: of its running tasks, and of its running and
// waiting tasks.
type teamShare struct {
	team       string
	used, want float64
}

func (m *metrics) shares(fleet model.Resources) []teamShare {
	var list []teamShare
	for _, o := range m.sim.day.config.Organisations {
		for _, t := range o.Teams {
			used := m.used[t.Name]
			list = append(list, teamShare{t.Name, used.DominantShare(fleet), used.Add(m.waiting[t.Name]).DominantShare(fleet)})
		}
	}
	slices.SortFunc(list, func(a, b teamShare) int { return cmp.Compare(a.team, b.team) })
	return list
}
