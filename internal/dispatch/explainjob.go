package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cuminloft/internal/workload"
)

// maxCandidates limits the workers that JobExplanation lists for a step.
const maxCandidates = 10

// retryWithoutCell is when to retry while no configuration has been read. Reading it takes
// one poll of the store.
const retryWithoutCell = time.Second

// JobExplanation is what would happen to a job if it were accepted now.
type JobExplanation struct {
	// Refused is why the job would be refused, empty if it would be accepted.
	Refused string `json:"refused,omitempty"`
	// RetryAfterMS is the time in milliseconds after which a refused job may be accepted;
	// 0 if a retry does not help, or if the job is not refused.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Group is the group of the job's rank; Tight is set if it ranks last there.
	Group string `json:"group,omitempty"`
	Tight bool   `json:"tight,omitempty"`
	// LatestStartMS is how many milliseconds the job can wait without leaving its group.
	LatestStartMS int64 `json:"latest_start_ms,omitempty"`
	// StepsAhead and TasksAhead count the waiting work that is placed before the job.
	StepsAhead int               `json:"steps_ahead"`
	TasksAhead int               `json:"tasks_ahead"`
	Steps      []StepExplanation `json:"steps,omitempty"`
}

// StepExplanation is where the tasks of a step that could start now would go.
type StepExplanation struct {
	Step  int  `json:"step"`
	Tasks int  `json:"tasks"`
	Gang  bool `json:"gang,omitempty"`
	// WaitsFor is what the next task, or the gang as a whole, would wait for once the work
	// ahead is placed. It is WaitsForPass if nothing prevents its placement.
	WaitsFor WaitReason `json:"waits_for"`
	// Excluded counts the workers that can take no task of the step, by the first reason.
	Excluded map[string]int `json:"excluded,omitempty"`
	// Candidates are the best of the workers that can take a task, best first, and
	// CandidateCount is the number of all.
	Candidates     []Candidate `json:"candidates,omitempty"`
	CandidateCount int         `json:"candidate_count"`
}

// Candidate is a worker that can take tasks of a step.
type Candidate struct {
	Worker string  `json:"worker"`
	AZ     string  `json:"az"`
	Fits   int     `json:"fits"`  // tasks that fit
	Score  float64 `json:"score"` // lower is better
}

// groupNames are the names of the groups of ranks for operators.
var groupNames = [...]string{
	groupUrgent: "urgent", groupOnTime: "on time", groupLate: "late", groupOverRate: "over the team's rate", groupExpired: "expired",
}

// ExplainJob returns what would happen to a job that is accepted now, in its queue and for
// its team; its ID is not used. ExplainJob changes nothing. It uses the
// waiting steps as of the latest scheduling pass. Load pattern: operators ask one call at a
// time, also while the cell is full.
func (c *Core) ExplainJob(submitted *workload.Job, now time.Time) JobExplanation {
	if c.cell == nil {
		return JobExplanation{Refused: "no configuration has been read yet", RetryAfterMS: retryWithoutCell.Milliseconds()}
	}
	if refused := c.refusal(submitted); refused != "" {
		return JobExplanation{Refused: refused}
	}
	spec := *submitted
	spec.Policy = *c.cell.Queue(spec.Queue)
	// The first occurrence of a job that repeats is explained as if it were due now.
	spec.ID, spec.AcceptedAt, spec.Repeats = "", now.UnixMilli(), 0
	defer c.preservePass()()
	c.pass = c.newPass(now)
	j := &job{spec: &spec, state: workload.Queued, storedState: workload.Queued, overRate: c.wouldExceedRate(&spec)}
	o := newOccurrence(j, 0)
	j.occurrences = []*occurrence{o}
	r := c.rankOf(j, o, now)
	out := JobExplanation{Group: groupNames[r.group], Tight: r.tight, LatestStartMS: r.latestStart.Sub(now).Milliseconds()}
	for _, other := range c.ready {
		if other.step.startable() && !r.before(other.rank) {
			out.StepsAhead++
			out.TasksAhead += other.step.pending
		}
	}
	for i, s := range o.steps {
		if o.dependenciesDone(s) {
			out.Steps = append(out.Steps, c.explainStep(rankedStep{s, stepRank(s, r, now)}, i))
		}
	}
	return out
}

// refusal returns why a job could not be accepted, whatever the load; empty if it could.
func (c *Core) refusal(job *workload.Job) string {
	switch {
	case c.cell.Queue(job.Queue) == nil:
		return fmt.Sprintf("there is no queue %q", job.Queue)
	case c.cell.Team(job.Team) == nil:
		return fmt.Sprintf("there is no team %q", job.Team)
	}
	if err := job.Check(); err != nil {
		return err.Error()
	}
	return ""
}

// preservePass returns a function that restores what a pass over the workers changes.
func (c *Core) preservePass() (restore func()) {
	type position struct {
		pass  *schedulingPass
		index int
	}
	before := make(map[*worker]position, len(c.workers))
	for _, w := range c.workers {
		before[w] = position{w.schedulableIn, w.poolIndex}
	}
	pass, headroom := c.pass, c.urgentHeadroom
	return func() {
		c.pass, c.urgentHeadroom = pass, headroom
		for w, p := range before {
			w.schedulableIn, w.poolIndex = p.pass, p.index
		}
	}
}

// wouldExceedRate reports whether a job that is accepted now would exceed its team's rate.
func (c *Core) wouldExceedRate(spec *workload.Job) bool {
	team := c.cell.Team(spec.Team)
	if team == nil || team.Weight <= 0 {
		return false
	}
	var m rateMeter
	if known := c.rates[team.Name]; known != nil {
		m = *known
	}
	return m.exceeds(team.Weight, spec.AcceptedAt)
}

// explainStep explains a step of a job that is not registered.
func (c *Core) explainStep(r rankedStep, index int) StepExplanation {
	s, q := r.step, c.queueOf(r.step.job)
	speed, avoidsSlow := noPreference, c.avoidsSlow(s, q)
	if !s.spec.Gang {
		speed = c.speedPreference(r)
	}
	out := StepExplanation{Step: index, Tasks: len(s.tasks), Gang: s.spec.Gang, WaitsFor: c.waitReason(r), Excluded: map[string]int{}}
	for _, w := range c.workers {
		reason := c.exclusion(r, q, w)
		if reason == "" && avoidsSlow && w.isSlow() {
			reason = "slow, avoided by gangs"
		}
		if reason != "" {
			out.Excluded[reason]++
			continue
		}
		out.Candidates = append(out.Candidates, Candidate{w.info.ID, w.info.AZ, c.fitBesideOthers(r, w, c.pass.now), c.placeScore(s, w) + speed.score(w)})
	}
	slices.SortFunc(out.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Worker, b.Worker))
	})
	out.CandidateCount = len(out.Candidates)
	out.Candidates = out.Candidates[:min(maxCandidates, len(out.Candidates))]
	return out
}

// exclusion returns why a worker can take no task of the step, without regard to advice,
// which a new job does not have yet; empty if it can.
func (c *Core) exclusion(r rankedStep, q *workload.Queue, w *worker) string {
	s, now := r.step, c.pass.now
	switch {
	case w.info.Pool != q.Pool:
		return "other pool"
	case w.schedulableIn != c.pass:
		return c.unschedulableReason(w, now)
	case !s.matchesLabel(w):
		return "without the required label"
	case fitOnWorker(w, s) == 0:
		return string(WaitsForCapacity)
	case !w.acceptsBesideSuspects(s.isolates()):
		return string(WaitsAfterCrashes)
	case c.reservedForOther(s, w, r.rank, now), c.fitBesideAmounts(r, w, fitOnWorker(w, s), now) == 0:
		return string(WaitsForGangReservation)
	case c.fitBesideOthers(r, w, now) == 0:
		return string(WaitsForUrgentHeadroom)
	}
	return ""
}

// unschedulableReason returns which part of schedulable excludes a worker.
func (c *Core) unschedulableReason(w *worker, now time.Time) string {
	switch {
	case !w.registered:
		return "not registered"
	case !w.reachable:
		return "out of reach"
	case w.info.Draining:
		return "draining"
	case c.evacuated[w.info.AZ]:
		return "AZ evacuated"
	case c.cordoned[w.info.ID]:
		return "cordoned"
	case now.Before(c.suspectAZ[w.info.AZ]):
		return "AZ may be out of reach"
	case now.Before(w.backoffUntil), now.Before(w.quarantineUntil):
		return "failed recently"
	default:
		return "restarted, registration not read yet"
	}
}
