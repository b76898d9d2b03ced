package sched

import (
	"time"

	"cuminloft/internal/model"
)

// taskState is where a task stands.
type taskState uint8

const (
	taskReady   taskState = iota // may start
	taskBackoff                  // waits before it may start again
	taskRunning                  // runs or may run
	taskDone
	taskFailed
	taskAbandoned // may have run and is never started again
	taskDropped   // cancelled
)

// task is one task of a job.
type task struct {
	state       taskState
	lastAttempt int32 // highest attempt number ever used
	restarts    int32 // after its own failures
	checkpoint  string
	running     *attempt
}

// attempt is one start of a task. It takes room from StartTask until it is
// known to run no longer.
type attempt struct {
	job       *job
	index     int // of the task
	number    int
	worker    *worker
	size      vec // the larger of what was admitted and what was measured
	started   time.Time
	confirmed bool
	stopping  bool // asked to give its room back
	step      PreemptStep
	counted   bool   // against the preemption budget
	reason    string // of the preemption
	urgent    bool   // its room is wanted within the urgent bound
	slot      int    // in worker.attempts
	lent      vec    // of the worker's held room, while that is held
}

func (a *attempt) id() model.TaskID { return model.TaskID{Job: a.job.spec.ID, Index: a.index} }

// job is one job and its tasks.
type job struct {
	spec  model.Job
	team  *team
	lane  lane
	size  vec // of one task: declared or learned, the larger
	asked vec // of one task, as declared
	tasks []task
	avoid []string

	// Intrusive list of the lane; in is nil if the job waits for nothing.
	prev, next *job
	in         *jobList

	ready      int   // tasks that may start
	fresh      int   // tasks below this index were ready once already
	again      []int // tasks that are ready again, oldest first
	running    int
	unsettled  int // tasks that are not over
	done       int
	failed     int
	abandoned  int
	partial    bool // known from adopted tasks alone; the rest must not start yet
	over       bool
	wasStarted bool // a task has run, or may have

	cancelled  bool
	code       RefusalCode
	reason     string
	giveUp     time.Time     // zero: never
	est        *estimate     // of its kind; nil if none is kept
	estSamples int           // samples that size already respects
	longest    time.Duration // run time of its tasks that ended well
	measured   vec           // largest that was measured of a task of this job
	waits      time.Time     // since when the head of its tasks is ready
	reserved   *reservation
	gangWait   time.Duration
	lastPlaced string
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

// takeReady returns the next task that may start. There must be one.
func (j *job) takeReady() int {
	if len(j.again) > 0 {
		i := j.again[0]
		j.again = j.again[1:]
		if j.tasks[i].state == taskReady {
			return i
		}
		return j.takeReady()
	}
	for j.tasks[j.fresh].state != taskReady {
		j.fresh++
	}
	j.fresh++
	return j.fresh - 1
}

// jobList is a list of waiting jobs, the oldest first.
type jobList struct {
	head, tail *job
	count      int
}

func (l *jobList) pushBack(j *job) {
	j.in, j.prev, j.next = l, l.tail, nil
	if l.tail == nil {
		l.head = j
	} else {
		l.tail.next = j
	}
	l.tail = j
	l.count++
}

func (l *jobList) pushFront(j *job) {
	j.in, j.prev, j.next = l, nil, l.head
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
	j.in, j.prev, j.next = nil, nil, nil
	l.count--
}
