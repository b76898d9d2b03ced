package decide

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// arrival is a job and its real behaviour, which the schedulers do not know.
type arrival struct {
	at      time.Duration // since the start of the day
	job     model.Job
	class   string
	runTime time.Duration   // real run time of each task
	usage   model.Resources // real usage of each task
	fails   bool            // every task fails, on every worker
}

// class is one kind of batch or gang jobs of a user.
type class struct {
	name       string
	policy     model.Policy
	fraction   float64 // share of the batch and gang jobs
	milliCores int64
	memoryMB   int64
	tasks      [2]int
	runTime    [2]time.Duration
}

// jobClasses returns the user's classes of batch and gang jobs.
func jobClasses(user string) []class {
	if user == "himali" {
		return []class{
			{"season", model.PolicyBatch, 0.35, 8000, 32_000, [2]int{5, 40}, [2]time.Duration{40 * time.Second, 160 * time.Second}},
			{"reprint", model.PolicyBatch, 0.60, 4000, 16_000, [2]int{1, 4}, [2]time.Duration{5 * time.Second, 20 * time.Second}},
			{"imposition", model.PolicyGang, 0.05, 8000, 32_000, [2]int{8, 24}, [2]time.Duration{20 * time.Second, 60 * time.Second}},
		}
	}
	return []class{
		{"blend", model.PolicyBatch, 0.35, 4000, 16_000, [2]int{1, 20}, [2]time.Duration{20 * time.Second, 90 * time.Second}},
		{"label", model.PolicyBatch, 0.60, 2000, 8000, [2]int{1, 30}, [2]time.Duration{5 * time.Second, 30 * time.Second}},
		{"tank plan", model.PolicyGang, 0.05, 4000, 16_000, [2]int{8, 32}, [2]time.Duration{20 * time.Second, 60 * time.Second}},
	}
}

// day is the complete input of a simulation.
type day struct {
	cell     cell
	config   *config.Config
	workers  []model.WorkerSpec
	arrivals []arrival
	length   time.Duration
	faults   bool
	failing  map[string]bool // workers on which every task fails from failingFrom until failingUntil
}

// Parameters of the day. Times are fractions of the day's length.
const (
	failingFrom, failingUntil = 0.15, 0.45
	cancelAt                  = 0.35
	azLeaves, azReturns       = 0.55, 0.75
	azGone                    = 0.60 // the workers of the AZ, out of service since azLeaves, are gone
	bigGangAt                 = 0.25
	directAmplitude           = 0.8 // amplitude of the direct rate, relative to its average
	directPeaksPerDay         = 3   // number of peaks in the day
	failingWorkerEvery        = 50  // one worker in 50 fails
	failingJobFraction        = 0.01
	urgentFraction            = 0.15
	maxRunTimeError           = 10.0 // largest ratio between real and declared run time
	memoryErrorDeviation      = 0.35 // standard deviation of log(used / declared memory)
	directMaxWait             = 10 * time.Second
	failingWorkerRunTime      = 200 * time.Millisecond
)

type generator struct {
	rng    *rand.Rand
	day    *day
	lastID int
}

// newDay generates the day from the options.
func newDay(o Options) (*day, error) {
	c, err := o.cell()
	if err != nil {
		return nil, err
	}
	return newDayFor(c, o), nil
}

// newDayFor generates the day for a cell of the given size.
func newDayFor(c cell, o Options) *day {
	d := &day{cell: c, length: o.Duration, faults: o.Faults, failing: map[string]bool{}}
	g := &generator{rng: rand.New(rand.NewPCG(o.Seed, 1)), day: d}
	g.addWorkers()
	g.addTenants()
	g.addServices()
	g.addBigGang()
	g.addDirect(o.User)
	g.addJobs(jobClasses(o.User), o.Load)
	slices.SortStableFunc(d.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return d
}

func (g *generator) addWorkers() {
	c := g.day.cell
	for i := range c.workers {
		az := i % c.azs
		w := model.WorkerSpec{
			ID: fmt.Sprintf("w%04d", i), AZ: fmt.Sprintf("az%d", az), Connections: c.connections,
			Rack:     fmt.Sprintf("az%d-r%d", az, i/c.azs/c.rackSize),
			Capacity: model.Resources{MilliCores: c.milliCores, MemoryMB: c.memoryMB, Slots: c.slots},
		}
		if int64(i) < c.accelerators/4 {
			w.Capacity.Accelerators = 4
		}
		g.day.workers = append(g.day.workers, w)
		g.day.failing[w.ID] = g.day.faults && i%failingWorkerEvery == 7
	}
}

// addTenants adds six organisations with different shares and different numbers of
// teams.
func (g *generator) addTenants() {
	cfg := &config.Config{Cell: "bench"}
	cfg.Policy.PreemptionsPerMinute = max(config.DefaultPreemptionsPerMinute, g.day.cell.workers)
	for i := range g.day.cell.azs {
		cfg.AZs = append(cfg.AZs, config.AZ{Name: fmt.Sprintf("az%d", i), InService: true})
	}
	shares := []int{4, 3, 2, 1, 1, 1}
	for i, s := range shares {
		cfg.Organisations = append(cfg.Organisations, config.Organisation{Name: fmt.Sprintf("org%d", i), Share: s})
	}
	for i := range g.day.cell.teams {
		o := &cfg.Organisations[i%len(shares)]
		o.Teams = append(o.Teams, config.Team{Name: fmt.Sprintf("team%03d", i), Share: 1 + i/len(shares)%3})
	}
	g.day.config = cfg
}

// randomTeam draws a team. Demand follows the shares only loosely, so that some teams
// request far more than their share.
func (g *generator) randomTeam() string {
	n := g.day.cell.teams
	return fmt.Sprintf("team%03d", int(float64(n)*math.Pow(g.rng.Float64(), 1.5)))
}

func (g *generator) job(p model.Policy, kind string, tasks int, size model.Resources, declared time.Duration) model.Job {
	g.lastID++
	return model.Job{
		ID: model.JobID(fmt.Sprintf("j%06d", g.lastID)), Team: g.randomTeam(), Kind: kind, Policy: p, Tasks: tasks,
		Task: model.TaskSpec{Resources: size, RunTime: declared, Idempotent: true},
	}
}

func (g *generator) randomDuration(r [2]time.Duration) time.Duration {
	return r[0] + time.Duration(g.rng.Int64N(int64(r[1]-r[0])))
}

// addEstimateErrors sets the declared run time and the real usage of a job, so that
// they differ from the real run time and the declared size.
func (g *generator) addEstimateErrors(a *arrival) {
	span := math.Log(maxRunTimeError)
	factor := math.Exp((2*g.rng.Float64() - 1) * span / 2)
	a.job.Task.RunTime = time.Duration(float64(a.runTime) * factor * math.Exp((2*g.rng.Float64()-1)*span/2))
	a.usage = a.job.Task.Resources
	a.usage.Slots = 0
	memory := float64(a.usage.MemoryMB) * math.Exp(g.rng.NormFloat64()*memoryErrorDeviation)
	a.usage.MemoryMB = min(int64(memory), 2*a.usage.MemoryMB)
}

func (g *generator) addServices() {
	for i := range 6 {
		size := model.Resources{MilliCores: 2000, MemoryMB: 8000, Slots: 1}
		tasks := 1 + g.day.cell.workers/50*(1+i%3)
		a := arrival{job: g.job(model.PolicyService, "service", tasks, size, 0), class: "service", runTime: 100 * g.day.length}
		a.usage = size
		g.day.arrivals = append(g.day.arrivals, a)
	}
}

// addJobs adds batch and gang jobs until the demand of all arrivals reaches the load on
// the scarcest resource.
func (g *generator) addJobs(classes []class, load float64) {
	capacity, requested := model.Resources{}, model.Resources{}
	for _, w := range g.day.workers {
		capacity = capacity.Add(w.Capacity.Scale(g.day.length.Milliseconds()))
	}
	for i := range g.day.arrivals {
		requested = requested.Add(g.demand(&g.day.arrivals[i]))
	}
	for requested.DominantShare(capacity) < load {
		a := g.newJob(classes)
		requested = requested.Add(g.demand(&a))
		g.day.arrivals = append(g.day.arrivals, a)
	}
}

// demand returns the declared resources of a job, times the milliseconds that it runs
// within the day.
func (g *generator) demand(a *arrival) model.Resources {
	ran := min(a.runTime, g.day.length)
	return a.job.Task.Resources.Scale(int64(a.job.Tasks) * ran.Milliseconds())
}

func (g *generator) newJob(classes []class) arrival {
	c := classes[0]
	for pick, i := g.rng.Float64(), 0; pick > c.fraction && i < len(classes)-1; i++ {
		pick -= c.fraction
		c = classes[i+1]
	}
	size := model.Resources{MilliCores: c.milliCores, MemoryMB: c.memoryMB, Slots: 1}
	if g.day.cell.accelerators > 0 && g.rng.Float64() < 0.1 {
		size.Accelerators = 1
	}
	tasks := c.tasks[0] + g.rng.IntN(c.tasks[1]-c.tasks[0]+1)
	a := arrival{job: g.job(c.policy, c.name, tasks, size, 0), class: c.name, runTime: g.randomDuration(c.runTime)}
	a.at = time.Duration(g.rng.Int64N(int64(g.day.length)))
	a.fails = g.day.faults && g.rng.Float64() < failingJobFraction
	if a.fails {
		a.runTime, a.job.Kind = 2*time.Second, c.name+" broken"
	}
	g.addEstimateErrors(&a)
	return a
}

// addBigGang adds a gang that needs a third of the cell's slots.
func (g *generator) addBigGang() {
	c := g.day.cell
	size := model.Resources{MilliCores: 4000, MemoryMB: 16_000, Slots: 1}
	a := arrival{job: g.job(model.PolicyGang, "big gang", c.workers*int(c.slots)/3, size, time.Minute), class: "big gang", runTime: 40 * time.Second}
	a.at = time.Duration(bigGangAt * float64(g.day.length))
	a.usage = size
	g.day.arrivals = append(g.day.arrivals, a)
}

// addDirect adds direct requests, whose rate rises and falls through the day.
func (g *generator) addDirect(user string) {
	kind, size := "slip", model.Resources{MilliCores: 250, MemoryMB: 512}
	runTime := [2]time.Duration{40 * time.Millisecond, 300 * time.Millisecond}
	if user == "himali" {
		kind, size = "proof", model.Resources{MilliCores: 500, MemoryMB: 1024, Slots: 1}
		runTime = [2]time.Duration{100 * time.Millisecond, 800 * time.Millisecond}
	}
	at := 0.0
	for {
		phase := 2 * math.Pi * directPeaksPerDay * at / g.day.length.Seconds()
		at += g.rng.ExpFloat64() / (g.day.cell.directRate * (1 + directAmplitude*math.Sin(phase)))
		if at >= g.day.length.Seconds() {
			return
		}
		a := arrival{job: g.job(model.PolicyDirect, kind, 1, size, 0), class: kind, runTime: g.randomDuration(runTime)}
		a.at = time.Duration(at * float64(time.Second))
		a.job.Task.Idempotent = user == "himali"
		a.job.MaxWait = directMaxWait
		if g.rng.Float64() < urgentFraction {
			a.job.Urgent, a.class = true, "urgent "+kind
		}
		a.usage = size
		g.day.arrivals = append(g.day.arrivals, a)
	}
}
