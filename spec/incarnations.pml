/*
 * Incarnations of workers: a coordinator and its successor, two workers, of which
 * one restarts under its ID, one service task, which runs until its lease is over.
 *
 * Time is kept as in leases.pml: a tick may come at any moment, and every time is the
 * number of ticks that are left. A coordinator gives leases of LEASE ticks, by the clock
 * of an incarnation. On the clock of a later one, which starts anew, the same lease ends
 * later: the worker shortens it to its longest, LONGEST. A worker has one lease for all
 * that runs there; an order extends it also if its run is refused, unless its fence is.
 *
 * A worker may restart at any time, forgetting fence, runs and lease. A start order is
 * stored, then sent to the incarnation that was known when it was decided. It may be
 * carried out at once, held back (carried out at any later time, by whichever incarnation
 * runs then, or never) or lost, and repeated after each of them. Heartbeats that renew
 * the lease may be held back as well. A coordinator that was replaced may still send its
 * order.
 *
 * The first answer of a later incarnation is to a call under the old fence. The fence is
 * then raised by a second call, and only its inventory counts. Nothing is started or
 * renewed there before. The coordinator places the task anew if an inventory that counts
 * lacks it, or if the bound of the worker's leases is over.
 *
 * Calls that are held back may reach a later incarnation whose fence is not above theirs.
 * What is assumed of them there:
 * - A run is begun only if it counted as there when that incarnation was born (not
 *   SETTLED_ORDER), and the fence is raised before the coordinator gives the worker up (not
 *   LOST_WORKER). Any such call may extend the lease. So the bound is at least LONGEST after
 *   each raise, each first contact of a term, and a takeover.
 * - With QUIET: no run is begun; calls may extend the lease. The bound is that of the leases
 *   given, and nothing is started for the difference to LONGEST after a raise or a first
 *   contact.
 * - With RAISED_FIRST: they have no effect there. The bound is that of the leases given.
 *
 * Each of UNBOUND_START, NO_FENCE, FIRST_INVENTORY, SMALL_STEP, NEW_LINK, GIVEN_BOUND,
 * SHORT_TAKEOVER and NO_QUIET removes one safeguard, and each of SETTLED_ORDER and
 * LOST_WORKER a part of the assumption; a check of that variant must find a violation.
 */

#define LEASE 2
#define LONGEST 3
#define MAXRUN 2
#define RESTARTS(w) (w == 0 -> 2 : 0)
#define NONE 255
#ifdef SMALL_STEP
#define STEP 1
#else
#define STEP 3                   /* more than the fences of a term */
#endif
#if defined(RAISED_FIRST) || defined(QUIET) || defined(GIVEN_BOUND)
#define UNKNOWN LEASE
#else
#define UNKNOWN LONGEST          /* what a lease may have left at a first contact */
#endif
#if defined(QUIET) && !defined(NO_QUIET)
#define PAUSE (LONGEST - LEASE)
#else
#define PAUSE 0
#endif
#ifdef SHORT_TAKEOVER
#define AFTER LEASE              /* what a lease may have left at a takeover */
#else
#define AFTER UNKNOWN
#endif
#ifdef NO_FENCE
#define FENCE(w) (epoch * STEP)
#else
#define FENCE(w) (epoch * STEP + met[w])
#endif
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* The workers. */
byte life[2];                    /* restarts */
byte fence[2];
byte lease[2];
byte runs[2];                    /* run at work; 0: none */
byte highest[2];                 /* highest run that ended or was stopped */

/* The store: the epoch, the worker that the task is on, and its latest run. */
byte epoch;
byte place = NONE;
byte latest;

/* The coordinator of the epoch. */
byte known[2] = NONE;            /* the incarnation that answered last */
bool raised[2];                  /* it has answered under its own fence */
byte met[2];                     /* later incarnations met in this term */
byte bound[2];                   /* until all leases there are over */
byte pause[2];                   /* until the next start may be decided */
byte placeLife = NONE;           /* the incarnation that the start of this term was for */

/* The start orders of each coordinator that may still be sent. */
byte orderWorker[2] = NONE;
byte orderRun[2], orderFence[2], orderLife[2], orderLeft[2];

/* A call that is held back. A heartbeat has run 0. */
byte heldWorker = NONE;
byte heldRun, heldFence, heldLife, heldLeft;

/* For the assumption. */
byte counted[2];                 /* the run that counted as there when the incarnation was born */
bool early[2];                   /* a run was begun before the fence was raised */
bool given[2];                   /* the incarnation was given up before the fence was raised */

#define SETTLED(w) (known[w] == life[w] && raised[w])
#ifdef QUIET
#define COUNTED(w) false
#elif defined(SETTLED_ORDER)
#define COUNTED(w) true
#else
#define COUNTED(w) (heldRun == counted[w])
#endif
#ifdef LOST_WORKER
#define EARLY(w) false
#define GIVEN(w) false
#else
#define EARLY(w) early[w]
#define GIVEN(w) given[w]
#endif

inline clearOrder(c) { orderWorker[c] = NONE; orderRun[c] = 0; orderFence[c] = 0; orderLife[c] = 0; orderLeft[c] = 0 }
inline clearHeld() { heldWorker = NONE; heldRun = 0; heldFence = 0; heldLife = 0; heldLeft = 0 }

/* carryOut makes the worker's checks of a call that has ticks left on its clock. */
inline carryOut(w, r, f, ticks) {
  if
  :: f < fence[w] || ticks == 0 -> skip
  :: else ->
     fence[w] = f;
     lease[w] = MAX(lease[w], ticks);
     if
     :: r > highest[w] && runs[w] != r ->
        assert(runs[0] == 0 && runs[1] == 0);   /* never two runs at a time */
        runs[w] = r
     :: else
     fi
  fi
}

/* arrive carries out a call that was held back. */
inline arrive(w) {
  if
  :: heldLife == life[w] -> carryOut(w, heldRun, heldFence, heldLeft)
  :: heldLife != life[w] && SETTLED(w) -> carryOut(w, heldRun, heldFence, LONGEST)
#ifndef RAISED_FIRST
  :: heldLife != life[w] && !SETTLED(w) ->
     if
     :: heldRun != 0 && heldFence >= fence[w] && heldRun > highest[w] && COUNTED(w) && !GIVEN(w) ->
        early[w] = true; carryOut(w, heldRun, heldFence, LONGEST)
     :: carryOut(w, 0, heldFence, LONGEST)     /* refused for another reason */
     fi
#endif
  fi;
  clearHeld()
}

/* hold has a call held back. */
inline hold(w, r, f, l, ticks) {
  heldWorker = w; heldRun = r; heldFence = f; heldLife = l; heldLeft = ticks
}

/* settle records an incarnation that has answered under its own fence. */
inline settle(w) {
  raised[w] = true; early[w] = false; given[w] = false;
  bound[w] = MAX(bound[w], UNKNOWN);
  pause[w] = PAUSE
}

inline unplace() {
  place = NONE; placeLife = NONE;
  if :: orderWorker[epoch] != NONE -> clearOrder(epoch) :: else fi
}

proctype Coordinator() {
  byte w;
end:
  do
  :: atomic {
     if :: w = 0 :: w = 1 fi;
     if
     /* The first answer of an incarnation. */
     :: known[w] != life[w] && FENCE(w) >= fence[w] ->
        fence[w] = FENCE(w);
        if
        :: known[w] == NONE -> known[w] = life[w]; settle(w)   /* no order of this term is under way */
        :: else ->
           known[w] = life[w]; raised[w] = false; met[w]++
#ifdef FIRST_INVENTORY
           ; if :: place == w && runs[w] != latest -> unplace() :: else fi
#endif
        fi

#ifdef NEW_LINK
     /* A new link to the worker does not know what was met in this term. */
     :: known[w] != NONE -> known[w] = NONE; raised[w] = false; met[w] = 0
#endif

     /* The answer to the call that raises the fence. */
     :: known[w] == life[w] && !raised[w] && FENCE(w) >= fence[w] -> fence[w] = FENCE(w); settle(w)

     /* The inventory lacks the run. A start for this incarnation is barred by a stop. */
     :: place == w && known[w] == life[w] && FENCE(w) >= fence[w] && raised[w] && runs[w] != latest ->
        fence[w] = FENCE(w);
        if :: placeLife == life[w] -> highest[w] = MAX(highest[w], latest) :: else fi;
        unplace()

     /* All leases are over. */
     :: place == w && bound[w] == 0 && !EARLY(w) ->
        if :: !SETTLED(w) -> given[w] = true :: else fi;
        unplace()

     /* A lease given by a heartbeat or by an order for another task. */
     :: raised[w] && known[w] == life[w] && place == w ->
        bound[w] = MAX(bound[w], LEASE); carryOut(w, 0, FENCE(w), LEASE)
     :: raised[w] && known[w] == life[w] && heldWorker == NONE && life[w] < RESTARTS(w) ->
        bound[w] = MAX(bound[w], LEASE); hold(w, 0, FENCE(w), known[w], LEASE)

     /* A placement is stored first, and sent after. */
     :: place == NONE && latest < MAXRUN && raised[w] && pause[w] == 0 ->
        latest++; place = w; placeLife = known[w];
        bound[w] = MAX(bound[w], LEASE);
        orderWorker[epoch] = w; orderRun[epoch] = latest; orderFence[epoch] = FENCE(w);
        orderLife[epoch] = known[w]; orderLeft[epoch] = LEASE
     fi;
     w = 0 }

  /* A takeover. */
  :: atomic { epoch == 0 ->
       epoch = 1; placeLife = NONE;
       known[0] = NONE; raised[0] = false; met[0] = 0; bound[0] = AFTER; pause[0] = 0;
       known[1] = NONE; raised[1] = false; met[1] = 0; bound[1] = AFTER; pause[1] = 0 }
  od
}

/* Start orders are sent, and repeated, in any order. */
proctype Sender(byte c) {
  byte w;
end:
  do
  :: atomic { orderWorker[c] != NONE ->
       w = orderWorker[c];
       if
       :: orderLife[c] == life[w] -> carryOut(w, orderRun[c], orderFence[c], orderLeft[c])
#ifdef UNBOUND_START
       :: orderLife[c] != life[w] -> carryOut(w, orderRun[c], orderFence[c], LONGEST)
#endif
       :: heldWorker == NONE && orderLife[c] == life[w] -> hold(w, orderRun[c], orderFence[c], orderLife[c], orderLeft[c])
       fi;
       w = 0 }
  od
}

#define LOWER(t) t = (t > 0 -> t - 1 : 0)

inline tickWorker(w) {
  LOWER(lease[w]); LOWER(bound[w]); LOWER(pause[w]);
  if :: lease[w] == 0 && runs[w] != 0 -> highest[w] = runs[w]; runs[w] = 0 :: else fi;
  if :: lease[w] == 0 -> early[w] = false :: else fi
}

/* forget drops an order that can't be sent any more: its incarnation has ended. */
inline forget(c, w) {
#ifndef UNBOUND_START
  if :: orderWorker[c] == w -> clearOrder(c) :: else fi
#else
  skip
#endif
}

/* expire drops an order whose lease is over, if there is no later incarnation. */
inline expire(c) {
  if
  :: orderWorker[c] != NONE && orderLeft[c] == 0 && orderLife[c] == life[orderWorker[c]] && orderLife[c] == RESTARTS(orderWorker[c]) -> clearOrder(c)
  :: else
  fi
}

/* Calls held back arrive or are lost, runs end, workers restart, time passes. */
proctype World() {
  byte w;
end:
  do
  :: atomic { heldWorker != NONE -> arrive(heldWorker) }
  :: atomic { heldWorker != NONE -> clearHeld() }
  :: atomic {
     if :: w = 0 :: w = 1 fi;
     if
     :: runs[w] != 0 -> highest[w] = runs[w]; runs[w] = 0
     :: life[w] < RESTARTS(w) ->
        life[w]++; fence[w] = 0; lease[w] = 0; runs[w] = 0; highest[w] = 0;
        early[w] = false; given[w] = false; counted[w] = (place == w -> latest : 0);
        forget(0, w); forget(1, w)
     fi;
     w = 0 }
  :: atomic { true -> tickWorker(0); tickWorker(1); LOWER(heldLeft); LOWER(orderLeft[0]); LOWER(orderLeft[1]);
       expire(0); expire(1);
       if
       :: heldWorker != NONE && heldLeft == 0 && heldLife == life[heldWorker] && heldLife == RESTARTS(heldWorker) -> clearHeld()
       :: else
       fi }
  od
}

init {
  atomic {
    /* The first coordinator leads and knows both workers. */
    known[0] = 0; known[1] = 0; raised[0] = true; raised[1] = true;
    run Coordinator(); run Sender(0); run Sender(1); run World()
  }
}
