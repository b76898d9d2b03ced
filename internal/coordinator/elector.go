package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
)

// Timing of the election.
const (
	// renewInterval is the longest time between two commits of the leader; a commit
	// without changes renews the leadership.
	renewInterval = 150 * time.Millisecond
	// probePause is the pause between two probes of a leader that answers, and
	// probeTimeout the time limit of one probe.
	probePause   = 200 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// A host whose rank is beyond farRank probes every farProbePause: it takes the
	// leadership only when all hosts of better rank do not.
	farRank       = 8
	farProbePause = time.Second
	// lateCommitAge is the age of the leader's last commit from which the leader record
	// is polled although the leader answers probes. It grows by lateCommitFactor times
	// the typical latency of the store.
	lateCommitAge    = 350 * time.Millisecond
	lateCommitFactor = 4
	// recordPollPause is the pause between two reads of the leader record while the
	// leader does not answer, recordRereadPause while it does.
	recordPollPause   = 100 * time.Millisecond
	recordRereadPause = 5 * time.Second
	// silenceTimeout is how long the leader record may stay unchanged, by this host's
	// monotonic clock, before this host takes the leadership. silenceTimeoutUnreachable
	// applies if the leader does not answer probes either, silenceTimeoutLate if the
	// leader reports a last commit that is too old (lateCommitAge). Both are longer than
	// renewInterval. Slow answers of the store are added.
	silenceTimeout            = 1100 * time.Millisecond
	silenceTimeoutUnreachable = 250 * time.Millisecond
	silenceTimeoutLate        = 200 * time.Millisecond
	maxMissedProbes           = 2
	// storeRecoveryGrace is added to the silence timeout after the leader record could
	// not be read: the leader could not commit either, and commits again within that
	// time.
	storeRecoveryGrace = 300 * time.Millisecond
	// readTimeFactor times the duration of the latest read is added to the silence
	// timeout.
	readTimeFactor = 3
	// rankDelay and rankReadFactor times the duration of the latest read spread the
	// hosts' attempts, so that in most cases only one host tries: all attempts queue in
	// the same partition.
	rankDelay      = 25 * time.Millisecond
	rankReadFactor = 2
	maxRank        = 40
	// undersizedDelay is the extra delay of a host that is much smaller than others.
	// The larger hosts may notice the silence later than this host, by probePause plus
	// probeTimeout.
	undersizedDelay = time.Second
	// loadFailurePause is how long a host that could not read the jobs does not take
	// the leadership again.
	loadFailurePause = 5 * time.Second
)

// Elector tracks the leader and takes the leadership when the leader stops renewing it.
type Elector struct {
	Store   platform.Store
	Host    string
	Address string
	Log     logr.Logger
	// Rank returns this host's position among the candidates, from 0.
	Rank func() int
	// Undersized reports whether another live host has a much larger share of a core.
	Undersized func() bool
	// Lead runs while this host is the leader. It returns when the leadership is lost
	// or ctx ends.
	Lead func(ctx context.Context, term *Term) error
	// Probe asks the leader at an address for its epoch and the age of its last commit.
	Probe func(ctx context.Context, address string) (epoch int64, commitAge time.Duration, err error)

	mu           sync.Mutex
	observed     leaderRow
	changedAt    time.Time // when observed changed; later if the record could not be read since
	leading      bool
	resigned     bool      // this host no longer takes the leadership
	pausedUntil  time.Time // this host does not take the leadership before
	missedProbes int       // consecutive probes without an answer
	leaderEnded  bool      // the leader's address refuses connections
	leaderLate   bool      // the leader reported an old last commit
	readFailed   bool      // the latest read of the leader record failed
}

// ErrConnectionRefused is a probe's error if the leader's address refuses connections:
// its process has ended.
var ErrConnectionRefused = errors.New("connection refused at the coordinator's address")

// Term is one period of leadership.
type Term struct {
	Epoch int64
	// Since is when the leadership was taken.
	Since time.Time
	// earlierLeasesEnd is when all leases of earlier leaders have expired.
	earlierLeasesEnd time.Time
	// firstLeasesEnd is when the leases have to end that this leader gives before its first
	// commit after the load. It is no later than the time that the record announces for
	// those of earlier leaders.
	firstLeasesEnd time.Time
	record         LeaderRecord
	renewal        renewal
	chain          *commitChain
}

// firstFence returns the lowest fence of the term's orders.
func (t *Term) firstFence() int64 { return t.Epoch - fencesPerTerm + 1 }

// setLeaseEnds converts the end of earlier leases in the record to this host's clock.
func (t *Term) setLeaseEnds(store platform.Store) {
	reading, ok := platform.StoreClock(store)
	if !ok || t.record.EarlierLeasesEndMS == 0 {
		t.earlierLeasesEnd = t.Since.Add(olderTakeoverBound)
		return
	}
	end := time.Duration(t.record.EarlierLeasesEndMS) * time.Millisecond
	t.earlierLeasesEnd = reading.Reached(end)
	t.firstLeasesEnd = reading.Sent.Add(end - reading.Clock)
}

// Partition returns the partition that holds the progress of jobs.
func (t *Term) Partition() string { return jobstore.ProgressPartitions[t.chain.last.activeIndex] }

// Commit stores changes of the active partition. It returns errPartitionRefuses if that
// partition accepts no commits; the caller then stores the progress of all jobs with
// MovePartition.
func (t *Term) Commit(ctx context.Context, puts, removes []platform.PartitionRow) error {
	t.renewal.announce(&t.record)
	began := time.Now()
	err := t.chain.commitOrRefuse(ctx, t.record, puts, removes, refusalTimeout)
	now := time.Now()
	t.renewal.record(now.Sub(began), now)
	return err
}

// Loaded records that the leader has loaded the stored jobs.
func (t *Term) Loaded() { t.renewal.loading = false }

// MovePartition stores the progress of all jobs in the first partition that accepts it,
// trying the active one last. While all refuse it, it returns errLeadershipLost once another
// host has taken the leadership.
func (t *Term) MovePartition(ctx context.Context, rows []platform.PartitionRow) error {
	for {
		for i := range jobstore.ProgressPartitions {
			partition := (t.chain.last.activeIndex + 1 + i) % len(jobstore.ProgressPartitions)
			err := t.chain.movePartition(ctx, partition, t.record, rows)
			switch {
			case err == nil:
				return nil
			case errors.Is(err, errLeadershipLost) && partition != t.chain.last.activeIndex:
				// Another host has claimed this row, but is not the leader before it
				// has written the active row.
			case !errors.Is(err, errPartitionRefuses):
				return err
			}
		}
		if err := t.awaitNextMove(ctx); err != nil {
			return err
		}
	}
}

// movePause is the pause after all partitions have refused the progress.
const movePause = 100 * time.Millisecond

// awaitNextMove pauses between two attempts to store the progress anew. It returns
// errLeadershipLost if another host has taken the leadership: a partition that refuses the
// progress does not tell.
func (t *Term) awaitNextMove(ctx context.Context) error {
	read, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	current, err := readLeaderRows(read, t.chain.store)
	if err == nil && current.active().Epoch > t.record.Epoch {
		return errLeadershipLost
	}
	return wait.For(ctx, movePause)
}

// resign clears the leader record, so that another host can take the leadership at
// once. It leaves Loading, which tells whether this leader has given leases. A commit that
// was in progress when the term ended may have been applied; then the record still belongs
// to this term, with a higher sequence number.
func (t *Term) resign(ctx context.Context) error {
	record := t.record
	record.Leader, record.Address, record.RenewMS = "", "", 0
	err := t.chain.commit(ctx, record, nil)
	if !errors.Is(err, errLeadershipLost) {
		return err
	}
	current, readErr := readLeaderRows(ctx, t.chain.store)
	if readErr != nil || current.active().Leader != t.record.Leader || current.active().Epoch != t.record.Epoch {
		return err
	}
	t.chain.last = current
	return t.chain.commit(ctx, record, nil)
}

// Coordinator returns the leader's address, empty if it is not known, and whether this
// host is the leader.
func (e *Elector) Coordinator() (address string, self bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.observed.Address, e.leading
}

// Resign keeps this host from taking the leadership from now on.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
}

// Run takes part in the election until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	e.changedAt = time.Now()
	var read time.Time
	for ctx.Err() == nil {
		pause := recordPollPause
		if e.probe(ctx) {
			pause = probePause
			if e.Rank() > farRank {
				pause = farProbePause
			}
		}
		if pause == recordPollPause || time.Since(read) >= recordRereadPause {
			read = time.Now()
			e.checkRecord(ctx)
		}
		_ = wait.For(ctx, pause) // the loop ends with ctx
	}
	return ctx.Err()
}

// probe probes the leader and reports whether it answers and commits in time.
func (e *Elector) probe(ctx context.Context) bool {
	e.mu.Lock()
	observed := e.observed
	e.mu.Unlock()
	if observed.Address == "" || observed.Leader == e.Host {
		return false
	}
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	epoch, age, err := e.Probe(call, observed.Address)
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case errors.Is(err, ErrConnectionRefused):
		e.missedProbes, e.leaderEnded = max(e.missedProbes, maxMissedProbes), true
		return false
	case err != nil || epoch != observed.Epoch:
		e.missedProbes++
		return false
	}
	if e.missedProbes >= maxMissedProbes {
		e.Log.Info("coordinator answers again", "holder", observed.Leader, "epoch", epoch)
	}
	e.missedProbes, e.leaderEnded = 0, false
	e.leaderLate = age >= lateCommitAge+lateCommitFactor*platform.TypicalLatency(e.Store)
	return !e.leaderLate
}

// checkRecord reads the leader record and takes the leadership if shouldTake allows it.
func (e *Elector) checkRecord(ctx context.Context) {
	began := time.Now()
	rows, err := readLeaderRows(ctx, e.Store)
	if err != nil {
		// The leader's silence counts only while the store answers.
		e.mu.Lock()
		e.changedAt, e.readFailed = time.Now(), true
		e.mu.Unlock()
		return
	}
	if e.shouldTake(*rows.active(), time.Since(began)) {
		e.takeLeadership(ctx, rows)
	}
}

// shouldTake stores the leader record that was read in observed and reports whether this
// host should take the leadership.
func (e *Elector) shouldTake(record leaderRow, readTook time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.readFailed {
		e.readFailed, e.changedAt = false, now.Add(storeRecoveryGrace)
	}
	if record.version != e.observed.version {
		if record.Leader != e.observed.Leader {
			e.Log.Info("coordinator changed", "holder", record.Leader, "epoch", record.Epoch, "version", record.version)
		}
		if record.Epoch != e.observed.Epoch {
			e.missedProbes, e.leaderLate, e.leaderEnded = 0, false, false
		}
		e.observed, e.changedAt = record, now
	}
	if e.resigned || now.Before(e.pausedUntil) {
		return false
	}
	if record.Leader == e.Host {
		return true // an earlier process of this host was the leader
	}
	step := rankDelay
	if readTook > rankDelay {
		step += rankReadFactor * readTook
	}
	rank := time.Duration(min(e.Rank(), maxRank)) * step
	if e.Undersized() {
		rank += undersizedDelay
	}
	if record.Leader == "" {
		return now.Sub(e.changedAt) >= rank
	}
	timeout := silenceTimeout
	switch {
	case e.missedProbes >= maxMissedProbes:
		timeout = silenceTimeoutUnreachable
	case e.leaderLate:
		timeout = silenceTimeoutLate
	}
	if !e.leaderEnded {
		timeout = max(timeout, record.renewWithin())
	}
	return now.Sub(e.changedAt) > timeout+readTimeFactor*readTook+rank
}

// takeLeadership tries to take the leadership and leads until it is lost.
func (e *Elector) takeLeadership(ctx context.Context, from leaderRows) {
	silent := time.Since(e.changedAt)
	c := &commitChain{store: e.Store, last: from}
	record := LeaderRecord{Leader: e.Host, Address: e.Address, Epoch: from.newestEpoch() + fencesPerTerm,
		EarlierLeasesEndMS: ceilMillis(from.active().allLeasesEnd()), LeaseBounds: from.active().LeaseBounds}
	renewal := newRenewal(&from.active().LeaderRecord)
	renewal.announce(&record)
	attempt, cancel := context.WithTimeout(ctx, 2*commitTimeout)
	err := c.take(attempt, record)
	cancel()
	if err != nil {
		e.Log.Info("coordinator's leadership not taken", "epoch", record.Epoch, "cause", err.Error())
		return
	}
	e.Log.Info("coordinator's seat taken", "epoch", record.Epoch, "from", from.active().Leader, "silent for", silent)
	e.setLeading(true, *c.last.active())
	term := &Term{Epoch: record.Epoch, Since: time.Now(), record: record, renewal: renewal, chain: c}
	term.setLeaseEnds(e.Store)
	err = e.Lead(ctx, term)
	e.setLeading(false, *c.last.active())
	if errors.Is(err, errNotLoaded) && !errors.Is(err, errLeadershipLost) && ctx.Err() == nil {
		e.mu.Lock()
		e.pausedUntil = time.Now().Add(loadFailurePause)
		e.mu.Unlock()
	}
	cause := "ended"
	if err != nil {
		cause = err.Error()
	}
	e.Log.Info("coordinator's seat left", "epoch", record.Epoch, "cause", cause)
}

func (e *Elector) setLeading(on bool, observed leaderRow) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading = on
	e.observed, e.changedAt = observed, time.Now()
}
