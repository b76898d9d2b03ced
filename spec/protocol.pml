/*
 * The core protocol of one shard: two owners, two workers, two tasks.
 *
 * ONCE is a task that is not idempotent: its start record is durable before its
 * only start command is sent. AGAIN is a restartable task: its start is sent at
 * once and recorded afterwards, if the table can be reached.
 *
 * Freeze: each step of an owner is atomic and nothing forces the next one, so
 * an owner may wake up late before every step, in particular between the
 * decision to start a task and the send.
 * Cut and outage: every call to the table or to a worker may fail.
 * Lost answer: an append may report that its answer was lost, with or without
 * effect.
 * Time: the only delays that the protocol counts on are bundled in the process
 * Clock; see there.
 *
 * Each of NO_FENCE, NO_READ_BACK, NO_START_RECORD, NO_LEASE_WAIT and NO_WINDOW
 * removes one safeguard; a check of that variant must find a violation.
 */

#define OWNERS  2
#define WORKERS 2
#define TASKS   2
#define ONCE    0
#define AGAIN   1

#define AT(t, w) ((t) * WORKERS + (w))

/* The table. */
byte tableFence = 0;       /* of the owner row */
byte record[TASKS];        /* open start record: worker + 1; 0: none */
bool over[TASKS];          /* an end is recorded after which nothing starts */

/* The workers. */
byte workerFence[WORKERS];
bool running[TASKS * WORKERS];
bool finished[TASKS * WORKERS];  /* ended by itself, not yet recorded */
bool seen[TASKS * WORKERS];      /* a start of ONCE was admitted */
byte unrecorded[TASKS * WORKERS]; /* fence of a start without a record */
byte starts = 0;                 /* of ONCE, admitted by any worker */

/* Time. */
bool waited = false;       /* the first owner's solo window and leases are over */

/* A worker decides on a start that carries fence f and was given its start
 * window before or after the wait (stamp). */
inline admit(t, w, f, stamp) {
  atomic {
    if
#ifndef NO_FENCE
    :: f < workerFence[w] -> skip
#endif
#ifndef NO_WINDOW
    :: stamp != waited -> skip
#endif
    :: running[AT(t, w)] -> skip
    :: t == ONCE && seen[AT(t, w)] -> skip
    :: else ->
       running[AT(t, w)] = true;
       finished[AT(t, w)] = false;
       if
       :: t == ONCE -> seen[AT(t, w)] = true; starts++
       :: else -> unrecorded[AT(t, w)] = f
       fi;
       assert(!(running[AT(t, 0)] && running[AT(t, 1)])); /* one place */
       assert(starts <= 1)                                /* at most once */
    fi
  }
}

/* The outcome of an append, which is guarded by the owner row. */
#define WRITTEN 0
#define DEPOSED 1
#define FAILED  2  /* no effect */
#define LOST    3  /* with or without effect */

inline appendStart(t, w, f, res) {
  atomic {
    if
    :: res = FAILED
    :: tableFence != f -> res = DEPOSED
    :: tableFence == f ->
       record[t] = w + 1;
       unrecorded[AT(t, w)] = 0;
       if
       :: res = WRITTEN
       :: res = LOST
       fi
    :: tableFence == f -> res = LOST
    fi
  }
#ifdef NO_READ_BACK
  if
  :: res == LOST -> res = WRITTEN  /* assumed */
  :: else
  fi
#else
  /* Read back, and write the same row again until it is known to be there. */
  do
  :: res == LOST ->
     atomic {
       if
       :: tableFence != f -> res = DEPOSED
       :: tableFence == f ->
          record[t] = w + 1;
          unrecorded[AT(t, w)] = 0;
          res = WRITTEN
       :: skip  /* the table does not answer */
       fi
     }
  :: else -> break
  od
#endif
}

/* Nothing is known to run or to have ended, and each worker was met, or is not
 * the one that an open record names and was waited for. */
#define quiet(t) (known[t] == 0 && !ended[t])
#ifdef NO_LEASE_WAIT
#define waitedFor(t) true
#else
#define waitedFor(t) (t == ONCE || f == 1 || waited)
#endif
#define clear(t, w) (!finished[AT(t, w)] && (met[w] || (noted[t] != w + 1 && waitedFor(t))))
#define mayStart(t, w) (met[w] && quiet(t) && clear(t, w) && clear(t, 1 - w) && (t == AGAIN || noted[t] == 0))

inline meet(w) {
  if
  :: workerFence[w] > f -> goto deposed
  :: workerFence[w] <= f ->
     workerFence[w] = f;
     met[w] = true;
     if :: running[AT(ONCE, w)] -> known[ONCE] = w + 1 :: else fi;
     if :: running[AT(AGAIN, w)] -> known[AGAIN] = w + 1 :: else fi
  fi
}

/* The record first, then the only command. The start window is given before the
 * solo window is checked; each step may come late. */
inline startOnce() {
#ifndef NO_START_RECORD
  appendStart(ONCE, w, f, res);
  if
  :: res == DEPOSED -> goto deposed
  :: res == FAILED -> skip
  :: res == WRITTEN ->
     atomic { noted[ONCE] = w + 1; known[ONCE] = w + 1; stamp = waited };
     admit(ONCE, w, f, stamp)
  fi;
#else
  atomic { known[ONCE] = w + 1; stamp = waited };
  admit(ONCE, w, f, stamp);
#endif
  atomic { w = 0; res = 0; stamp = false }
}

/* The command at once, within the solo window only. */
inline startAgain() {
  stamp = waited;
  if
  :: atomic { f == 1 && waited -> skip }
  :: atomic { !(f == 1 && waited) -> known[AGAIN] = w + 1 }; admit(AGAIN, w, f, stamp)
  fi;
  atomic { w = 0; stamp = false }
}

#define endAt(t, w) (known[t] == w + 1 && met[w] && !running[AT(t, w)])

/* The end of a task is appended under the guard of the owner row; without the
 * table it stays with the worker. */
inline reportEnd(t, w) {
  if
  :: t == AGAIN && !finished[AT(t, w)] -> known[t] = 0; noted[t] = 0
  :: else ->
     if
     :: tableFence != f -> goto deposed
     :: tableFence == f ->
        record[t] = 0; over[t] = true; ended[t] = true;
        known[t] = 0; noted[t] = 0; finished[AT(t, w)] = false
     fi
  fi
}

inline stopRunning(i) {
  running[i] = false;
  unrecorded[i] = 0;
  if
  :: finished[i] = true
  :: skip
  fi
}

/* Time passes for the first owner, deposed by the second: longer than its solo
 * window, the lease and the start window together. It does not extend leases of
 * unrecorded starts beyond its solo window, so they have lapsed; commands that
 * were given their start window before are void at the worker. */
active proctype Clock() {
  byte t; byte w;
end:
  atomic {
    tableFence == 2 -> waited = true;
    for (t : 0 .. TASKS - 1) {
      for (w : 0 .. WORKERS - 1) {
        if
        :: unrecorded[AT(t, w)] == 1 -> running[AT(t, w)] = false; unrecorded[AT(t, w)] = 0
        :: else
        fi
      }
    }
    t = 0; w = 0
  }
}

/* What runs may end by itself, or its lease may lapse, at any time. ENDS bounds
 * how often. */
#define ENDS 2
active proctype World() {
  byte left = ENDS;
end:
  do
  :: atomic { left > 0 && running[0] -> stopRunning(0); left-- }
  :: atomic { left > 0 && running[1] -> stopRunning(1); left-- }
  :: atomic { left > 0 && running[2] -> stopRunning(2); left-- }
  :: atomic { left > 0 && running[3] -> stopRunning(3); left-- }
  od
}

proctype Owner(byte me) {
  byte f;                /* fence */
  bool met[WORKERS];     /* the fence is raised there */
  byte noted[TASKS];     /* open start record as this owner knows it */
  byte known[TASKS];     /* worker + 1 where the task runs as far as known */
  bool ended[TASKS];
  bool stamp; byte w; byte res;

  /* Take the shard. */
  atomic { tableFence++; f = tableFence }
  /* Load the journal: nobody else can append any more. */
  atomic {
    if
    :: tableFence != f -> goto deposed
    :: else ->
       noted[ONCE] = record[ONCE]; noted[AGAIN] = record[AGAIN];
       ended[ONCE] = over[ONCE]; ended[AGAIN] = over[AGAIN]
    fi
  }

end:
  do
  /* Raise the fence at a worker and learn what runs there. */
  :: atomic { !met[0] -> meet(0) }
  :: atomic { !met[1] -> meet(1) }

  /* Settle the start record of ONCE at a worker that was met: never seen means
   * that it may start again, anything else that it may not. */
  :: atomic {
       noted[ONCE] != 0 && known[ONCE] == 0 && met[noted[ONCE] - 1] ->
       if
       :: seen[AT(ONCE, noted[ONCE] - 1)] -> ended[ONCE] = true
       :: else
       fi;
       noted[ONCE] = 0
     }

  /* A worker that was met reports the end of what it ran. A finished task is
   * over once that is recorded; a lapsed restartable one starts again. */
  :: atomic { endAt(ONCE, 0) -> reportEnd(ONCE, 0) }
  :: atomic { endAt(ONCE, 1) -> reportEnd(ONCE, 1) }
  :: atomic { endAt(AGAIN, 0) -> reportEnd(AGAIN, 0) }
  :: atomic { endAt(AGAIN, 1) -> reportEnd(AGAIN, 1) }

  /* The record of an idempotent start follows, if the table can be reached. A
   * lost answer makes no difference: the record only tells where it runs. */
  :: atomic {
       known[AGAIN] != 0 && noted[AGAIN] != known[AGAIN] ->
       if
       :: tableFence != f -> goto deposed
       :: tableFence == f ->
          w = known[AGAIN] - 1;
          record[AGAIN] = w + 1; noted[AGAIN] = w + 1;
          unrecorded[AT(AGAIN, w)] = 0;
          w = 0
       fi
     }

  /* Start a task on a worker that was met, if it runs nowhere. */
  :: atomic { mayStart(ONCE, 0) -> w = 0 }; startOnce()
  :: atomic { mayStart(ONCE, 1) -> w = 1 }; startOnce()
  :: atomic { mayStart(AGAIN, 0) -> w = 0 }; startAgain()
  :: atomic { mayStart(AGAIN, 1) -> w = 1 }; startAgain()
  od;
deposed:
  skip
}

init {
  atomic { run Owner(0); run Owner(1) }
}
