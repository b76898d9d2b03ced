package sched

import (
	"time"

	"cuminloft/internal/model"
)

// taskState is the state of a task.
type taskState uint8

const (
	taskReady   taskState = iota // may start
	taskBackoff                  // waits out its backoff
	taskRunning                  // runs or may run
	taskDone
	taskFailed
	taskAbandoned // may have run; never started again
	taskWithdrawn // cancelled, refused or stopped; never started again
)

type task struct {
	state       taskState
	lastAttempt int32 // highest attempt number ever used
	restarts    int32 // number of restarts after its own failures
	checkpoint  string
	running     *attempt
}

// attempt is one start of a task. It takes capacity from StartTask until it is known
// to run no longer.
type attempt struct {
	job                 *job
	index               int // of the task
	number              int
	worker              *worker
	size                vec // the larger of the admitted and the measured size
	started             time.Time
	confirmed           bool
	stopping            bool // a PreemptTask was emitted
	preemptStep         PreemptStep
	countsAgainstBudget bool   // counted in preemptionState.forUrgent or forShares
	preemptReason       string // of its preemption
	urgent              bool   // preempted with the shorter step time of urgent requests
	workerPos           int    // index in worker.attempts
	borrowed            vec    // part of the worker's reserved capacity that it uses; zero if none
}

func (a *attempt) id() model.TaskID { return model.TaskID{Job: a.job.spec.ID, Index: a.index} }

// job is one job and its tasks.
type job struct {
	spec         model.Job
	team         *team
	lane         lane
	size         vec // of one task: the larger of the declared and the learned size
	declaredSize vec // of one task, as declared
	tasks        []task
	avoid        []string

	// Links of the lane's intrusive list. list is nil if the job has no ready tasks.
	prev, next *job
	list       *jobList

	ready        int   // tasks that may start
	firstUntaken int   // tasks below this index were taken or skipped by takeReady
	requeued     []int // tasks that are ready again after an attempt, oldest first
	running      int
	unfinished   int // tasks that have not finished
	done         int
	failed       int
	abandoned    int
	adoptedOnly  bool // known only from adopted tasks; the others must not start yet
	finished     bool
	mayHaveRun   bool // a task has run or may have run

	cancelled          bool
	code               RefusalCode
	reason             string
	startDeadline      time.Time     // zero: never
	estimate           *estimate     // of its kind; nil if there are too many kinds
	estSamples         int           // number of samples already included in size
	longestRunTime     time.Duration // longest run time of its successful tasks
	peakUsage          vec           // component-wise maximum measured for its tasks
	waitingSince       time.Time     // time at which the job last entered its lane
	reservation        *reservation
	reservationTimeout time.Duration
	lastPlacement      string
}

func (j *job) task(i int) *task {
	if i < 0 || i >= len(j.tasks) {
		return nil
	}
	return &j.tasks[i]
}

// restartable reports whether a running task may be stopped and run again.
func (j *job) restartable() bool {
	return j.spec.Task.Idempotent && j.spec.Policy != model.PolicyDirect
}

// takeReady removes and returns the index of the next ready task. There must be one.
func (j *job) takeReady() int {
	if len(j.requeued) > 0 {
		i := j.requeued[0]
		j.requeued = j.requeued[1:]
		if j.tasks[i].state == taskReady {
			return i
		}
		return j.takeReady()
	}
	for j.tasks[j.firstUntaken].state != taskReady {
		j.firstUntaken++
	}
	j.firstUntaken++
	return j.firstUntaken - 1
}

// jobList is a list of pending jobs, oldest first.
type jobList struct {
	head, tail *job
	count      int
}

func (l *jobList) pushBack(j *job) {
	j.list, j.prev, j.next = l, l.tail, nil
	if l.tail == nil {
		l.head = j
	} else {
		l.tail.next = j
	}
	l.tail = j
	l.count++
}

func (l *jobList) pushFront(j *job) {
	j.list, j.prev, j.next = l, nil, l.head
	if l.head == nil {
		l.tail = j
	} else {
		l.head.prev = j
	}
	l.head = j
	l.count++
}

func (l *jobList) remove(j *job) {
	if j.prev == nil {
		l.head = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		l.tail = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.list, j.prev, j.next = nil, nil, nil
	l.count--
}
