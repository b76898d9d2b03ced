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
	maxWait         = 2 * time.Hour // longest wait that the histograms hold
	waitDigits      = 3             // significant digits of the histograms
	fullFrom        = 0.90          // used over usable from which the cell counts as full
	microsPerSecond = 1e6
)

// point is one sample of the day.
type point struct {
	at       time.Duration
	usable   float64 // parts of the fleet
	used     float64 // parts of the fleet
	distance float64 // average over the teams, parts of the fleet
	moved    float64 // half the sum over the teams, parts of the fleet
	pending  int
}

// measures collects what a run shows.
type measures struct {
	r         *runner
	waits     map[string]*hdrhistogram.Histogram // microseconds from arrival to the first start
	classes   []string
	counts    map[string]*Count
	points    []point
	used      map[string]model.Resources // per team
	waiting   map[string]model.Resources
	total     model.Resources // used
	teamMiss  map[string]float64
	fullTimes int
	preempted int
	overused  float64 // worker-seconds with more memory in use than there is
	suspects  int
	cancelled int
	refused   map[sched.RefusalCode]int

	usefulMilliCoreSeconds float64 // of tasks that ended well, all day
	absence                absence
}

// absence is the work done while the AZ is away, in resource-seconds.
type absence struct {
	done     work // by attempts that ended well or saved their progress
	possible work // by the room that is left
}

// work is an amount of millicore-seconds, megabyte-seconds and slot-seconds.
type work [3]float64

func (w *work) add(r model.Resources, seconds float64) {
	w[0] += float64(r.MilliCores) * seconds
	w[1] += float64(r.MemoryMB) * seconds
	w[2] += float64(r.Slots) * seconds
}

// part returns how much of the possible work was done of the resource that was
// used most: no scheduler can do more than all of one resource.
func (a *absence) part() float64 {
	best := 0.0
	for i := range a.done {
		if a.possible[i] > 0 {
			best = max(best, a.done[i]/a.possible[i])
		}
	}
	return best
}

// Count tells how the jobs of a class ended.
type Count struct {
	Class                                              string
	Arrived, Done, Failed, NotRun, Unknown, Unfinished int
}

func newMeasures(r *runner) *measures {
	return &measures{
		r: r, waits: map[string]*hdrhistogram.Histogram{}, counts: map[string]*Count{},
		used: map[string]model.Resources{}, waiting: map[string]model.Resources{},
		teamMiss: map[string]float64{}, refused: map[sched.RefusalCode]int{},
	}
}

func (m *measures) arrived(a *arrival) {
	if m.waits[a.class] == nil {
		m.waits[a.class] = hdrhistogram.New(1, maxWait.Microseconds(), waitDigits)
		m.counts[a.class] = &Count{Class: a.class}
		m.classes = append(m.classes, a.class)
	}
	m.counts[a.class].Arrived++
}

func (m *measures) wait(team string, size model.Resources, n int) {
	m.waiting[team] = m.waiting[team].Add(size.Scale(int64(n)))
}

func (m *measures) use(x *run, n int64) {
	size := x.job.job.Task.Resources.Scale(n)
	m.used[x.job.job.Team] = m.used[x.job.job.Team].Add(size)
	m.total = m.total.Add(size)
}

// started records the wait of a job for its first start.
func (m *measures) started(x *run) {
	m.use(x, 1)
	x.job.started++
	if x.job.started == 1 {
		m.recordWait(x.job)
	}
}

func (m *measures) recordWait(j *runJob) {
	wait := max(m.r.now.Sub(epoch.Add(j.at)).Microseconds(), 1)
	if err := m.waits[j.class].RecordValue(wait); err != nil {
		panic(err) // longer than maxWait: the day is shorter
	}
}

// ended counts the work of an attempt that ended well or saved its progress.
func (m *measures) ended(x *run, end sched.End) {
	m.use(x, -1)
	if end != sched.EndDone && !x.saves {
		return
	}
	if end == sched.EndDone {
		x.job.over++
	}
	size := x.job.job.Task.Resources
	m.usefulMilliCoreSeconds += float64(size.MilliCores) * m.secondsBetween(x, epoch, m.r.now)
	if m.r.az[x.worker] != leavingAZ {
		m.absence.done.add(size.Max(x.job.usage), m.secondsBetween(x, m.r.part(azLeaves), m.r.part(azReturns)))
	}
}

// secondsBetween returns for how long an attempt that ends now ran within a
// span of time.
func (m *measures) secondsBetween(x *run, from, until time.Time) float64 {
	begin, end := x.start, m.r.now
	if begin.Before(from) {
		begin = from
	}
	if end.After(until) {
		end = until
	}
	return max(0, end.Sub(begin).Seconds())
}

// jobEnded counts a job that is over and what it no longer waits for.
func (m *measures) jobEnded(j *runJob, d sched.JobEnded) {
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
			m.recordWait(j) // a refusal ends the wait, too
		}
	}
}

// sample measures the state of the cell at one moment.
func (m *measures) sample() {
	r := m.r
	fleet, usable := m.capacities()
	if r.out[leavingAZ] {
		m.samplePossible(usable)
	}
	m.overused += m.overcommitted() * sampleEvery.Seconds()
	p := point{at: r.now.Sub(epoch), usable: usable.DominantShare(fleet), used: m.total.DominantShare(fleet)}
	waits := m.recountWaiting()
	p.pending = waits
	shares := m.shares(fleet)
	ideal := idealShares(r.day.config, shares)
	full := p.used >= fullFrom*p.usable && waits > 0
	for _, s := range shares {
		miss := max(s.used-ideal[s.team], ideal[s.team]-s.used)
		p.moved += miss / 2
		p.distance += miss / float64(len(shares))
		if full {
			m.teamMiss[s.team] += miss
		}
	}
	if full {
		m.fullTimes++
	} else {
		p.distance, p.moved = -1, -1
	}
	m.points = append(m.points, p)
}

// samplePossible adds the room of the usable workers that services leave.
func (m *measures) samplePossible(usable model.Resources) {
	for _, x := range m.r.runs {
		if x.job.job.Policy == model.PolicyService && m.r.az[x.worker] != leavingAZ {
			usable = usable.Sub(x.job.job.Task.Resources)
		}
	}
	m.absence.possible.add(usable, sampleEvery.Seconds())
}

// overcommitted returns the number of workers whose tasks use more memory than
// the worker has.
func (m *measures) overcommitted() float64 {
	memory := map[string]int64{}
	for _, x := range m.r.runs {
		memory[x.worker] += x.job.usage.MemoryMB
	}
	n := 0.0
	for _, used := range memory {
		if used > m.r.day.cell.memoryMB {
			n++
		}
	}
	return n
}

// capacities returns the room of all workers, and of those that are usable.
func (m *measures) capacities() (fleet, usable model.Resources) {
	for _, w := range m.r.day.workers {
		fleet = fleet.Add(w.Capacity)
		if m.r.state[w.ID] == sched.WorkerReady && !m.r.out[w.AZ] {
			usable = usable.Add(w.Capacity)
		}
	}
	return fleet, usable
}

// recountWaiting works out what every team waits for, and how many jobs wait.
func (m *measures) recountWaiting() int {
	clear(m.waiting)
	waits := 0
	for _, j := range m.r.jobs {
		if j.job.Policy == model.PolicyDirect {
			continue
		}
		n := j.job.Tasks - j.over
		m.wait(j.job.Team, j.job.Task.Resources, n)
		waits += n
	}
	for _, x := range m.r.runs {
		if x.job.job.Policy != model.PolicyDirect {
			m.wait(x.job.job.Team, x.job.job.Task.Resources, -1)
			waits--
		}
	}
	return waits
}

// teamShare is a team's dominant share of what it runs, and of all it wants.
type teamShare struct {
	team       string
	used, want float64
}

func (m *measures) shares(fleet model.Resources) []teamShare {
	var list []teamShare
	for _, o := range m.r.day.config.Organisations {
		for _, t := range o.Teams {
			used := m.used[t.Name]
			list = append(list, teamShare{t.Name, used.DominantShare(fleet), used.Add(m.waiting[t.Name]).DominantShare(fleet)})
		}
	}
	slices.SortFunc(list, func(a, b teamShare) int { return cmp.Compare(a.team, b.team) })
	return list
}
