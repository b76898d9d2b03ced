package owner

import "time"

// Intervals, timeouts and limits of an owner.
const (
	aliveInterval        = 2 * time.Second        // interval of signs of life in the table
	ownerRowRetryDelay   = 100 * time.Millisecond // delay before writing the owner row again
	inboxSize            = 1024                   // capacity, in messages
	housekeepingInterval = 250 * time.Millisecond // maximum sleep of the event loop
	minSleep             = time.Millisecond       // prevents busy looping
	digestInterval       = 50 * time.Millisecond  // minimum time between two digests
	fleetInterval        = time.Second            // interval of reading the other shards' usage

	// writeSpacing is the minimum time between two journal rows. It keeps all owners
	// together under the table's write budget.
	writeSpacing = 60 * time.Millisecond
	// lazyDelay is how long records for which no caller waits are collected before
	// they are written together.
	lazyDelay         = 200 * time.Millisecond
	writeBackoff      = 500 * time.Millisecond // delay after a failed write
	maxBatchRecords   = 1000
	maxBatchBytes     = 1 << 20
	maxQueuedRecords  = 20_000 // records that wait to be written
	retryAfterRefusal = 5 * time.Second

	// workerLostAfter is the time without a response after which a worker is lost.
	workerLostAfter  = 2 * time.Second
	commandTimeout   = 2 * time.Second
	fenceTimeout     = time.Second
	fenceRetry       = 250 * time.Millisecond
	maxHeartbeatWait = 5 * time.Second        // maximum wait of a heartbeat
	renewalDivisor   = 4                      // leases are renewed after 1/renewalDivisor of their length
	heartbeatPause   = 50 * time.Millisecond  // between two heartbeats
	noNewsPause      = 250 * time.Millisecond // delay after a reply that contains nothing new
	leaseMargin      = 2 * time.Second        // added to the lease and the start window
	maxStopTries     = 5
	throttlePercent  = 25
	// abandonDelay is how long the owner waits for the report of a non-idempotent task
	// after the leases on its worker have expired. Then the outcome of the task is
	// unknown.
	abandonDelay = 10 * time.Minute

	// renewWithoutTable bounds how long an owner without the table renews the leases
	// of tasks with a start record. A successor that cannot reach their worker waits
	// for the same time.
	renewWithoutTable = 15 * time.Minute
	// handOverTimeout bounds the end of Run: writing the pending entries, and the
	// release of the owner row.
	handOverTimeout = 5 * time.Second

	historyRetention   = time.Hour // of ended jobs
	maxHistoryJobs     = 20_000    // ended jobs
	adoptBatchSize     = 100       // jobs moved in one transaction
	maxRemovalsPerTick = 50        // ended jobs removed per tick

	maxTasks              = 10_000    // of a job
	maxPayload            = 256 << 10 // bytes of a task
	maxListed             = 500       // jobs in one reply
	maxListedTasks        = 1000      // tasks in one reply
	maxLongPoll           = time.Minute
	minReserveWait        = 50 * time.Millisecond // enough to reserve capacity that is free now
	maxReserveWait        = 10 * time.Minute
	tableUnreachableAfter = 10 * time.Second // without a successful write the table counts as unreachable
	aliveTimeout          = 8 * time.Second  // of writing one sign of life; covers a slow table
	// maxSubmitQueueTime is how long a submission may wait for its write to start.
	maxSubmitQueueTime = 5 * time.Second
)
