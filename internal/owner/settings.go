package owner

import "time"

// Periods and bounds of an owner.
const (
	aliveEvery    = 2 * time.Second        // between signs of life in the table
	ownerRowRetry = 100 * time.Millisecond // between tries to write the owner row
	inboxSize     = 1024                   // messages
	housekeeping  = 250 * time.Millisecond // longest sleep of the event loop
	shortestSleep = time.Millisecond       // keeps the event loop from spinning
	digestEvery   = 50 * time.Millisecond  // least time between two digests
	fleetEvery    = time.Second            // between reads of the other shards' use

	// A journal row is written at most every writeSpacing, so that all owners
	// together stay under the table's budget.
	writeSpacing = 60 * time.Millisecond
	// Records that nobody waits for are written together after lazyDelay.
	lazyDelay       = 200 * time.Millisecond
	writeBackoff    = 500 * time.Millisecond // after the table refused a write
	maxBatchRecords = 1000
	maxBatchBytes   = 1 << 20
	maxBuffered     = 20_000 // records that wait for the table
	refusedRetry    = 5 * time.Second

	// A worker is lost after lostAfter without an answer.
	lostAfter       = 2 * time.Second
	commandTimeout  = 2 * time.Second
	fenceTimeout    = time.Second
	fenceRetry      = 250 * time.Millisecond
	beatWait        = 5 * time.Second        // longest wait of a heartbeat
	renewPart       = 4                      // of a lease, as a divisor
	heartbeatPause  = 50 * time.Millisecond  // between two heartbeats
	knownPause      = 250 * time.Millisecond // after a reply without news
	leaseMargin     = 2 * time.Second        // on top of lease and start window
	stopTries       = 5
	throttlePercent = 25
	// abandonAfter is how long a task that is not idempotent is waited for on a
	// worker whose leases have lapsed, before it is given up as unknown.
	abandonAfter = 10 * time.Minute

	// renewWithoutTable bounds how long an owner without the table renews the
	// leases of tasks with a start record. A successor that cannot reach their
	// worker waits as long.
	renewWithoutTable = 15 * time.Minute
	// handOverTimeout bounds the end of Run: writing what is pending, and the
	// release of the owner row.
	handOverTimeout = 5 * time.Second

	historyKeep = time.Hour // ended jobs
	historyMax  = 20_000    // ended jobs
	adoptBatch  = 100       // jobs moved in one transaction
	forgetBatch = 50        // ended jobs forgotten in one pass

	maxTasks       = 10_000    // of a job
	maxPayload     = 256 << 10 // bytes of a task
	maxListed      = 500       // jobs in one reply
	maxListedTasks = 1000      // tasks in one reply
	maxLongPoll    = time.Minute
	minReserveWait = 50 * time.Millisecond // for room that is free now
	maxReserveWait = 10 * time.Minute
	tableSilence   = 10 * time.Second // without a sign the table counts as unreachable
	aliveTimeout   = 8 * time.Second  // of one sign of life; a slow table still counts
	// submitPatience is how long a submission waits for its write to begin.
	submitPatience = 5 * time.Second
)
