/*
 * Lease bounds across takeovers: three coordinators that follow one another, two
 * workers, one service task, which runs until its lease is over.
 *
 * Time is a tick that may come at any moment. Every time is kept as the number of ticks
 * that are left, so a search covers days of any length. A lease lasts LEASE ticks. A
 * coordinator gives leases until UNCONFIRMED ticks after the begin of the last commit
 * that it knows to be applied. It places the task anew if the worker's inventory lacks
 * it, or once the bound of the worker's leases is over: the bound in the leader record
 * if the worker is listed there, otherwise TAKEOVER ticks after the takeover, and LEASE
 * ticks after each lease of its own. Bounds are exact, without a margin.
 *
 * Any coordinator may reach any worker at any time, or not. A commit is sent, applied
 * and answered in three steps; it may never be applied, or never be answered. It applies
 * only under the current epoch. Nothing forces a process to take its next step, and a
 * coordinator that was replaced does not notice it. The second coordinator may be of a
 * build without lease bounds (old). Any takeover record may come without the list, which
 * is safe. The last coordinator only restarts the task. The record lists the worker that
 * the task is on, or none.
 *
 * Each of GRANT_LISTED, EARLY_RELEASE, OLD_KEEPS, NO_CHAIN, LATE_TERM, QUEUED_START,
 * SHORT_BOUND and SHORT_TAKEOVER removes one safeguard; a check of that variant must find
 * a violation. DROP_LIST and OLD_WAIT keep the assertion that no wait starts anew where a
 * list is dropped, and must violate it. With SUSPEND there are two coordinators, and the
 * clock of one may miss a tick, at most one between two readings of the store's clock;
 * STALE_CLOCK and SUSPENDED_RENEWAL must violate then.
 */

#ifdef SUSPEND
#define COORDINATORS 2
#else
#define COORDINATORS 3
#endif
#define LAST (COORDINATORS - 1)
#define LEASE 2
#define UNCONFIRMED 1
#ifdef SHORT_TAKEOVER
#define TAKEOVER (UNCONFIRMED + LEASE - 1)
#else
#define TAKEOVER (UNCONFIRMED + LEASE)
#endif
#define NONE 255
#define AT(c, w) ((c) * 2 + (w))
#define OLD(c) (c == 1 && old)

/* The store: the current epoch, the worker that may run the task, and, if it is listed,
 * the bound of its leases. */
byte epoch, place;
byte listed = NONE;

/* The workers. */
byte fence[2];
byte lease[2];
bool runs[2];

/* The coordinators, by epoch. */
bool old;                            /* the second one has no lease bounds */
byte may[COORDINATORS];              /* ticks in which leases may be given, with this one */
byte at[COORDINATORS] = NONE;        /* the worker that may run the task */
byte bound[COORDINATORS];            /* until all leases there are over */
byte lists[COORDINATORS] = NONE;     /* the bound to be stored next */
bool withheld[6];                    /* by coordinator and worker: no leases are given */
byte start[COORDINATORS] = NONE;     /* the worker to send a start order to */

/* Their commits. */
byte commit[COORDINATORS];           /* 0: none, 1: sent, 2: applied */
byte commitMay[COORDINATORS];
byte commitAt[COORDINATORS] = NONE;
byte commitLists[COORDINATORS] = NONE;
bool places[COORDINATORS];           /* a start order follows */

#ifdef SUSPEND
byte lag[COORDINATORS];              /* ticks missed since the latest reading of the store's clock */
bool fresh[COORDINATORS];            /* the reading was made after the last lease was given */
#define EARLY(c) lag[c]              /* ticks by which a bound in the store's clock comes early */
#else
#ifdef SHORT_BOUND
#define EARLY(c) 1
#else
#define EARLY(c) 0
#endif
#endif
#if defined(SUSPEND) && !defined(STALE_CLOCK)
#define FRESH(c) fresh[c]
#else
#define FRESH(c) true
#endif
#ifdef NO_CHAIN
byte readListed[COORDINATORS] = NONE;
#endif
byte first = NONE;                   /* what is left of the bound that was stored first */

#define MAYGIVE(c, w) (!withheld[AT(c, w)] && may[c] > 0 && fence[w] <= c)

inline give(c, w) {
  fence[w] = c;
  lease[w] = LEASE;
  if
  :: at[c] == w ->
     bound[c] = (bound[c] > LEASE -> bound[c] : LEASE)
#ifdef SUSPEND
     ; fresh[c] = false
#endif
  :: else
  fi
}

inline release(c, w) {
  if
  :: (commitAt[c] != w || commitLists[c] == NONE) && (at[c] != w || lists[c] == NONE) -> withheld[AT(c, w)] = false
  :: else
  fi
}

inline send(c, starts) {
  commit[c] = 1; commitMay[c] = UNCONFIRMED + 1; commitAt[c] = at[c]; commitLists[c] = lists[c]; places[c] = starts
#ifdef EARLY_RELEASE
  ; release(c, 0); release(c, 1)
#endif
}

inline endCommit(c) {
  commit[c] = 0; commitMay[c] = 0; commitAt[c] = NONE; commitLists[c] = NONE; places[c] = false
}

inline store(c) {
  commit[c] = 2; place = commitAt[c];
#ifdef OLD_KEEPS
  if :: OLD(c) :: else -> listed = commitLists[c] fi
#else
  listed = commitLists[c]
#endif
  ; if
  :: listed == NONE -> first = NONE
  :: listed != NONE && first == NONE -> first = listed
  :: else
  fi
}

/* forget drops what a coordinator that was replaced does not need any more. */
inline forget(c) {
  at[c] = NONE; bound[c] = 0; lists[c] = NONE;
  if :: commit[c] == 1 -> endCommit(c) :: else fi
}

/* takeOver follows a record that listed the bound stored of the worker on. */
inline takeOver(c, on, stored) {
  epoch = c; at[c] = place;
  forget(c - 1);
  if
  :: place != NONE && !OLD(c) && stored != NONE && on == place ->
     bound[c] = (stored < TAKEOVER -> stored : TAKEOVER);
     lists[c] = stored
#ifndef GRANT_LISTED
     ; withheld[AT(c, place)] = true
#endif
  :: else -> bound[c] = (place != NONE -> TAKEOVER : 0)
  fi;
#ifndef OLD_WAIT
  if :: OLD(c) -> first = NONE :: else fi;
#endif
#if !defined(SUSPEND) && !defined(NO_CHAIN)
  assert(place == NONE || first == NONE || bound[c] <= first);   /* the wait does not start anew */
#endif
#ifdef OLD_KEEPS
  if :: OLD(c) :: else -> listed = lists[c] fi;
#else
  listed = lists[c];
#endif
#ifdef DROP_LIST
  listed = NONE;
#endif
#ifndef SUSPEND
  /* A takeover record without the list is safe, but the next wait starts anew. */
  if :: true :: listed != NONE -> listed = NONE; first = NONE fi;
#endif
  if
  :: c == LAST ->
     old = false; place = NONE; listed = NONE; lists[c] = NONE; withheld[AT(c, 0)] = false; withheld[AT(c, 1)] = false;
     first = NONE
  :: else ->
     may[c] = UNCONFIRMED + 1
#ifdef SUSPEND
     ; lag[c] = 0; fresh[c] = true
#endif
  fi
}

inline begin(c, w) {
  assert(!runs[1 - w]);   /* never two runs at a time */
  runs[w] = true;
  give(c, w)
}

proctype Coordinator(byte c) {
  byte w;
#ifdef NO_CHAIN
  byte readPlace = NONE;
  if
  :: c > 0 -> atomic { epoch == c - 1 -> readPlace = place; readListed[c] = listed }
  :: c == 0
  fi;
#endif
  if
  :: c == 0
  :: c > 0 -> atomic {
     epoch == c - 1 ->
#ifndef SUSPEND
     if :: c == 1 -> old = true :: true fi;
#endif
#ifdef NO_CHAIN
     takeOver(c, readPlace, readListed[c]);
     readListed[c] = NONE; readPlace = NONE
#else
     takeOver(c, place, listed)
#endif
     }
  fi;
#ifdef LATE_TERM
  /* The answer comes late, and the time counts from then on. */
  atomic { may[c] = (c != LAST -> UNCONFIRMED + 1 : 0) }
#endif
  do
  :: atomic {
     if :: w = 0 :: w = 1 fi;
     if
     /* The inventory lacks the run. No start is under way. */
     :: fence[w] <= c && at[c] == w && !runs[w] && start[c] == NONE && !places[c] ->
        fence[w] = c; at[c] = NONE; lists[c] = NONE; bound[c] = 0

     /* All leases are over. */
     :: at[c] == w && bound[c] == 0 ->
        at[c] = NONE; lists[c] = NONE; places[c] = false;
#ifndef QUEUED_START
        start[c] = NONE
#endif

     /* The worker is out of reach, and is back in reach. */
     :: c != LAST && epoch == c && !OLD(c) && at[c] == w && lists[c] == NONE && FRESH(c) ->
        lists[c] = (bound[c] > EARLY(c) -> bound[c] - EARLY(c) : 0);
#ifndef GRANT_LISTED
        withheld[AT(c, w)] = true
#endif
     :: fence[w] <= c && at[c] == w && lists[c] != NONE -> fence[w] = c; lists[c] = NONE

     /* A lease. */
     :: c != LAST && MAYGIVE(c, w) && runs[w] -> give(c, w)

     /* A placement is stored first, and sent after. */
     :: c != LAST && epoch == c && commit[c] == 0 && at[c] == NONE && start[c] == NONE -> at[c] = w; bound[c] = 0; send(c, true)
     :: start[c] == w && MAYGIVE(c, w) -> begin(c, w); start[c] = NONE
     :: start[c] == w && withheld[AT(c, w)] && at[c] == w -> start[c] = NONE; at[c] = NONE; lists[c] = NONE
     :: c == LAST && at[c] == NONE && fence[w] <= c -> at[c] = w; begin(c, w); break
     fi;
     w = 0 }

  /* A commit, also without changes. */
  :: atomic { c != LAST && epoch == c && commit[c] == 0 -> send(c, false) }
  :: atomic { commit[c] == 1 && epoch == c -> store(c) }
  :: atomic { commit[c] == 2 ->
       may[c] = commitMay[c];
       if :: places[c] -> start[c] = commitAt[c] :: else fi;
       release(c, 0); release(c, 1);
       endCommit(c) }
#ifdef SUSPEND
  :: atomic { c != LAST && epoch == c -> lag[c] = 0; fresh[c] = true }
#endif
  od
}

#define LOWER(t) t = (t != NONE && t > 0 -> t - 1 : t)

/* retire drops the state of a replaced coordinator that gives no leases any more. */
inline retire(c) {
  if
  :: epoch > c && may[c] == 0 && commitMay[c] == 0 ->
     endCommit(c); start[c] = NONE; withheld[AT(c, 0)] = false; withheld[AT(c, 1)] = false
  :: else
  fi
}

inline tickWorker(w) {
  LOWER(lease[w]);
  if :: lease[w] == 0 -> runs[w] = false :: else fi
}

inline tickCoordinator(c) {
  LOWER(lists[c]); LOWER(commitLists[c]);
#ifdef NO_CHAIN
  LOWER(readListed[c]);
#endif
#ifndef SUSPENDED_RENEWAL
  LOWER(may[c]); LOWER(commitMay[c]);
#endif
  if
#ifdef SUSPEND
  :: lag[c] == 0 && c != LAST -> lag[c] = 1
#endif
  :: true ->
     LOWER(bound[c]);
#ifdef SUSPENDED_RENEWAL
     LOWER(may[c]); LOWER(commitMay[c])
#endif
  fi
}

proctype Clock() {
end:
  do
  :: atomic {
     true -> tickWorker(0); tickWorker(1); LOWER(listed); LOWER(first);
     tickCoordinator(0); tickCoordinator(1); retire(0);
#ifndef SUSPEND
     tickCoordinator(2); retire(1);
#endif
     skip }
  od
}

init {
  atomic {
    /* The first coordinator leads; the task runs on the first worker. */
    at[0] = 0; may[0] = UNCONFIRMED + 1; runs[0] = true; give(0, 0);
    run Coordinator(0); run Coordinator(1);
#ifndef SUSPEND
    run Coordinator(2);
#endif
    run Clock()
  }
}
