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

// Election.
const (
	// heartbeat is how often the holder commits at least.
	heartbeat = 150 * time.Millisecond
	// probePause is the pause between two probes of a holder that answers, and
	// probeTimeout how long an answer may take.
	probePause   = 200 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// A host that stands far back in rank probes less often: it takes the seat
	// only when those before it do not.
	farRank  = 8
	farProbe = time.Second
	// lateCommit is the age of the holder's last commit from which the seat is
	// watched in the store, though the holder answers; commitSlack times what a call
	// of the store usually takes is added.
	lateCommit  = 350 * time.Millisecond
	commitSlack = 4
	// seatPoll is the pause between two reads of the seat while the holder does
	// not answer, seatReread while it does.
	seatPoll   = 100 * time.Millisecond
	seatReread = 5 * time.Second
	// silence is how long the seat may stay unchanged, by this host's steady
	// clock, before it is taken; silenceProbed if the holder does not answer probes
	// either; silenceLate if it says itself that it cannot commit. The last two are
	// longer than a heartbeat. Slow answers of the store are added.
	silence       = 1100 * time.Millisecond
	silenceProbed = 250 * time.Millisecond
	silenceLate   = 200 * time.Millisecond
	missedProbes  = 2
	// silenceBack is added to the silence after a time in which the seat could not be
	// read: the holder could not commit either, and goes on within so long.
	silenceBack = 300 * time.Millisecond
	// readSlack times the latest read's duration is added to the silence.
	readSlack = 3
	// rankStep and takeSlack times the latest read's duration spread the hosts'
	// attempts, so that mostly one tries: each waits in the seat's partition.
	rankStep  = 25 * time.Millisecond
	takeSlack = 2
	mostRank  = 40
	// dwarfedDelay is how much longer a host waits that is much smaller than others.
	// These may notice the silence later, by the pause between two probes and the
	// time that a probe may take.
	dwarfedDelay = time.Second
	// blindRest is how long a host that could not read the jobs leaves the seat to
	// others.
	blindRest = 5 * time.Second
)

// Elector keeps track of who coordinates and takes the seat when its holder
// falls silent.
type Elector struct {
	Store   platform.Store
	Host    string
	Address string
	Log     logr.Logger
	// Rank is this host's place among those that may take the seat, from 0.
	Rank func() int
	// Undersized reports whether another live host is much better suited.
	Undersized func() bool
	// Lead runs while this host holds the seat. It returns when the seat is lost
	// or ctx ends.
	Lead func(ctx context.Context, term *Term) error
	// Probe asks the holder at an address for its epoch and the age of its last
	// commit.
	Probe func(ctx context.Context, address string) (epoch int64, commitAge time.Duration, err error)

	mu      sync.Mutex
	seen    seatRow
	changed time.Time // when seen changed
	leading bool
	resign  bool
	rest    time.Time // until when this host does not take the seat
	missed  int       // probes in a row without an answer
	late    bool      // the holder says that its last commit is long ago
	blind   bool      // the latest read of the seat failed
}

// ErrConnectionRefused is a probe's error when the holder's process is gone: its
// address refuses connections.
var ErrConnectionRefused = errors.New("nobody listens at the coordinator's address")

// Term is one period of holding the seat.
type Term struct {
	Epoch int64
	// Since is when the seat was taken.
	Since time.Time
	seat  LeaderRecord
	chain *chain
}

// Partition returns the partition that holds the progress of jobs.
func (t *Term) Partition() string { return jobstore.ProgressPartitions[t.chain.last.part] }

// Commit stores changes of the progress partition. It returns errPartRefuses when the
// partition takes no commits; then the progress of all jobs is to be stored by Rebase.
func (t *Term) Commit(ctx context.Context, puts, removes []platform.PartitionRow) error {
	return t.chain.commitPatiently(ctx, t.seat, puts, removes, refusedPatience)
}

// MovePartition stores the progress of all jobs in the partition that takes it first, the
// present one last.
func (t *Term) MovePartition(ctx context.Context, rows []platform.PartitionRow) error {
	for {
		for i := range jobstore.ProgressPartitions {
			part := (t.chain.last.part + 1 + i) % len(jobstore.ProgressPartitions)
			err := t.chain.rebase(ctx, part, t.seat, rows)
			switch {
			case err == nil:
				return nil
			case errors.Is(err, errDeposed) && part != t.chain.last.part:
				// Another host has begun to take the seat. It has it with the active row.
			case !errors.Is(err, errPartRefuses):
				return err
			}
		}
	}
}

// resignTerm gives the seat up, so that another host takes it at once. A commit
// that was under way when the term ended may have landed; then the seat is still
// this term's, one number further.
func (t *Term) resignTerm(ctx context.Context) error {
	seat := t.seat
	seat.Holder, seat.Address = "", ""
	err := t.chain.commit(ctx, seat, nil)
	if !errors.Is(err, errDeposed) {
		return err
	}
	now, readErr := readSeat(ctx, t.chain.store)
	if readErr != nil || now.active().Holder != t.seat.Holder || now.active().Epoch != t.seat.Epoch {
		return err
	}
	t.chain.last = now
	return t.chain.commit(ctx, seat, nil)
}

// Coordinator returns the address of the coordinator and whether it is this
// host; the address is empty if it is not known.
func (e *Elector) Coordinator() (address string, self bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen.Address, e.leading
}

// Resign keeps this host from taking the seat from now on.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resign = true
}

// Run takes part in the election until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	e.changed = time.Now()
	var read time.Time
	for ctx.Err() == nil {
		pause := seatPoll
		if e.probe(ctx) {
			pause = probePause
			if e.Rank() > farRank {
				pause = farProbe
			}
		}
		if pause == seatPoll || time.Since(read) >= seatReread {
			read = time.Now()
			e.look(ctx)
		}
		_ = wait.For(ctx, pause) // the loop ends with ctx
	}
	return ctx.Err()
}

// probe asks the holder whether it works, and reports whether it does.
func (e *Elector) probe(ctx context.Context) bool {
	e.mu.Lock()
	seen := e.seen
	e.mu.Unlock()
	if seen.Address == "" || seen.Holder == e.Host {
		return false
	}
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	epoch, age, err := e.Probe(call, seen.Address)
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case errors.Is(err, ErrConnectionRefused):
		e.missed = max(e.missed, missedProbes)
		return false
	case err != nil || epoch != seen.Epoch:
		e.missed++
		return false
	}
	if e.missed >= missedProbes {
		e.Log.Info("coordinator answers again", "holder", seen.Holder, "epoch", epoch)
	}
	e.missed = 0
	e.late = age >= lateCommit+commitSlack*platform.TypicalLatency(e.Store)
	return !e.late
}

// look reads the seat and takes it if it is due.
func (e *Elector) look(ctx context.Context) {
	began := time.Now()
	seat, err := readSeat(ctx, e.Store)
	if err != nil {
		// Silence is counted only while the store answers.
		e.mu.Lock()
		e.changed, e.blind = time.Now(), true
		e.mu.Unlock()
		return
	}
	if e.due(*seat.active(), time.Since(began)) {
		e.take(ctx, seat)
	}
}

// due takes note of the seat and reports whether this host should take it.
func (e *Elector) due(seat seatRow, readTook time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.blind {
		e.blind, e.changed = false, now.Add(silenceBack)
	}
	if seat.version != e.seen.version {
		if seat.Holder != e.seen.Holder {
			e.Log.Info("coordinator", "holder", seat.Holder, "epoch", seat.Epoch, "version", seat.version)
		}
		if seat.Epoch != e.seen.Epoch {
			e.missed, e.late = 0, false
		}
		e.seen, e.changed = seat, now
	}
	if e.resign || now.Before(e.rest) {
		return false
	}
	if seat.Holder == e.Host {
		return true // an earlier process of this host held it
	}
	step := rankStep
	if readTook > rankStep {
		step += takeSlack * readTook
	}
	rank := time.Duration(min(e.Rank(), mostRank)) * step
	if e.Undersized() {
		rank += dwarfedDelay
	}
	if seat.Holder == "" {
		return now.Sub(e.changed) >= rank
	}
	patience := silence
	switch {
	case e.missed >= missedProbes:
		patience = silenceProbed
	case e.late:
		patience = silenceLate
	}
	return now.Sub(e.changed) > patience+readSlack*readTook+rank
}

// take tries to take the seat and leads while it holds it.
func (e *Elector) take(ctx context.Context, from seats) {
	silent := time.Since(e.changed)
	c := &chain{store: e.Store, last: from}
	seat := LeaderRecord{Holder: e.Host, Address: e.Address, Epoch: from.newestEpoch() + 1}
	attempt, cancel := context.WithTimeout(ctx, 2*commitTimeout)
	err := c.take(attempt, seat)
	cancel()
	if err != nil {
		e.Log.Info("coordinator's seat not taken", "epoch", seat.Epoch, "cause", err.Error())
		return
	}
	e.Log.Info("coordinator's seat taken", "epoch", seat.Epoch, "from", from.active().Holder, "silent for", silent)
	e.setLeading(true, *c.last.active())
	err = e.Lead(ctx, &Term{Epoch: seat.Epoch, Since: time.Now(), seat: seat, chain: c})
	e.setLeading(false, *c.last.active())
	if errors.Is(err, errNotLoaded) && !errors.Is(err, errDeposed) && ctx.Err() == nil {
		e.mu.Lock()
		e.rest = time.Now().Add(blindRest)
		e.mu.Unlock()
	}
	cause := "ended"
	if err != nil {
		cause = err.Error()
	}
	e.Log.Info("coordinator's seat left", "epoch", seat.Epoch, "cause", cause)
}

func (e *Elector) setLeading(on bool, seen seatRow) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading = on
	e.seen, e.changed = seen, time.Now()
}
