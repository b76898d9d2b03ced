/*
 * The job path on the platform: coordinators that follow one another, two
 * workers, one task.
 *
 * Each of two partitions of the store holds a row of the seat (epoch, number of
 * the last write, number of moves) and the task's record: the worker that it was
 * placed on, its run, and whether it is done. The partition whose row counts more
 * moves is the active one. A commit applies only if the row is as the coordinator
 * left it. Its answer may be lost; it may also land late, after the coordinator
 * went on. A coordinator claims the other row, then takes the active one. With
 * MOVES the first one may move at any time: it writes its record to the other
 * partition, which becomes the active one. That search leaves out restarts of
 * workers and late starts, which the search without moves has.
 *
 * Orders to workers: a start may be delayed without bound (late) and arrive
 * after newer calls. A worker may restart at any time, forgetting fence, runs
 * and ends. A run may lapse when its worker is cut off.
 *
 * Each of NO_CHAIN, NO_CLAIM, NO_FENCE, NO_LIFE, NO_INVENTORY, ACK_FIRST and
 * START_FIRST removes one safeguard; a check of that variant must find a violation.
 *
 * Nothing forces a process to take its next step, so a coordinator that dies or
 * is frozen is one that takes none: searches ignore invalid end states.
 */

#define COORDINATORS 2
#define WORKERS 2
#define MAXRUN 2
#define NONE 255

/* The store. */
typedef Partition {
  byte epoch; byte seq; byte moves;
  byte worker = NONE; byte number; bool ended
};
Partition part[2];
#define ACTIVE (part[1].moves > part[0].moves -> 1 : 0)

/* The workers. */
byte fence[WORKERS];
byte life[WORKERS];          /* restarts; a coordinator names the life it knows */
byte runs[WORKERS];          /* run at work; 0: none */
byte highest[WORKERS];       /* highest run that ended or was stopped */
byte endRun[WORKERS];        /* ended with success, not acknowledged; 0: none */
bool lapsed[WORKERS];        /* no lease can hold there any more */
bool acked = false;          /* a success was acknowledged */

/* One start order under way that was not answered. */
bool lateOpen = false;
byte lateWorker, lateRun, lateEpoch, lateLife;

/* One commit under way that was not answered. */
bool heldOpen = false;
byte heldPart, heldEpoch, heldSeq, heldNew, heldMoves, heldWorker, heldRun;
bool heldDone;

#define FENCED(w, e) (e < fence[w])

inline begin(w, r, e, l) {
  /* The worker's checks of a start order. */
  if
#ifndef NO_LIFE
  :: l != life[w] -> skip
  :: l == life[w] ->
#else
  :: true ->
#endif
     if
#ifndef NO_FENCE
     :: FENCED(w, e) -> skip
     :: !FENCED(w, e) && r > highest[w] && runs[w] == 0 ->
        fence[w] = e;
#else
     :: r > highest[w] && runs[w] == 0 ->
#endif
        assert(runs[1 - w] == 0);  /* never two runs at a time */
        assert(!acked);            /* never after an acknowledged success */
        runs[w] = r;
        lapsed[w] = false
     :: else -> skip
     fi
  fi
}

inline store(sp, se, ss, sm, sw, sr, sd) {
  part[sp].epoch = se; part[sp].seq = ss; part[sp].moves = sm;
  part[sp].worker = sw; part[sp].number = sr; part[sp].ended = sd
}

/* commit tries to store (worker, run, done) in a partition, under epoch ce if its
 * row is as (fe, fs); ok tells whether it applied. */
inline commit(cp, fe, fs, ce, cm, cw, cr, cd) {
  if
#ifndef NO_CHAIN
  :: part[cp].epoch == fe && part[cp].seq == fs ->
#else
  :: true ->
#endif
     if
     :: store(cp, ce, fs + 1, cm, cw, cr, cd); ok = true
     :: !heldOpen ->  /* held back by the network: its repeat lands first */
        heldOpen = true; heldPart = cp; heldEpoch = fe; heldSeq = fs; heldNew = ce; heldMoves = cm;
        heldWorker = cw; heldRun = cr; heldDone = cd;
        store(cp, ce, fs + 1, cm, cw, cr, cd); ok = true
     fi
#ifndef NO_CHAIN
  :: else -> ok = false
#endif
  fi
}

proctype Coordinator(byte epoch) {
  byte at, seq, otherSeq, w, r, l;
  bool ok, done, moved;
  bool holds[WORKERS];   /* inventory of this epoch is in */

  /* Read the rows, claim the other one, take the active one, load. */
  byte otherEpoch;
  atomic {
    part[ACTIVE].epoch == epoch - 1;
    at = ACTIVE;
    seq = part[at].seq; otherSeq = part[1 - at].seq; otherEpoch = part[1 - at].epoch
  }
#ifndef NO_CLAIM
  atomic {
    if
    :: part[1 - at].epoch == otherEpoch && part[1 - at].seq == otherSeq ->
       part[1 - at].epoch = epoch; part[1 - at].seq = 0; otherSeq = 0; otherEpoch = epoch
    :: else -> goto stop
    fi
  }
#endif
  atomic {
    if
    :: part[at].epoch == epoch - 1 && part[at].seq == seq ->
       part[at].epoch = epoch; part[at].seq = 0; seq = 0;
       w = part[at].worker; r = part[at].number; done = part[at].ended
    :: else -> goto stop
    fi
  }
  do
  /* The first hold raises the fence and takes the inventory. */
  :: atomic { !holds[0] && epoch >= fence[0] -> fence[0] = epoch; holds[0] = true }
  :: atomic { !holds[1] && epoch >= fence[1] -> fence[1] = epoch; holds[1] = true }

  /* The inventory does not list the run: it is not there and never comes. */
  :: atomic { w != NONE && !done && holds[w] && epoch == fence[w] && runs[w] != r && endRun[w] != r ->
       commit(at, epoch, seq, epoch, part[at].moves, NONE, r, false);
       if :: ok -> seq++; w = NONE :: else -> break fi }
#ifdef NO_INVENTORY
  :: atomic { w != NONE && !done -> w = NONE }
#endif
  /* The worker is out of reach and no lease can hold. */
  :: atomic { w != NONE && !done && lapsed[w] && runs[w] == 0 && endRun[w] == 0 ->
       commit(at, epoch, seq, epoch, part[at].moves, NONE, r, false);
       if :: ok -> seq++; w = NONE :: else -> break fi }

  /* An end: stored first, acknowledged after. */
  :: w != NONE && !done && holds[w] && endRun[w] == r && epoch == fence[w] ->
#ifdef ACK_FIRST
       atomic { if :: endRun[w] == r -> endRun[w] = 0; acked = true :: else fi }
       atomic { commit(at, epoch, seq, epoch, part[at].moves, w, r, true);
       if :: ok -> seq++; done = true :: else -> break fi }
#else
       atomic { commit(at, epoch, seq, epoch, part[at].moves, w, r, true);
       if :: ok -> seq++; done = true :: else -> break fi }
       atomic { if :: endRun[w] == r && epoch == fence[w] -> endRun[w] = 0; acked = true :: else fi }
#endif

  /* Move: the record as it is known here, under the other row. */
#ifdef MOVES
  :: atomic { !moved && epoch == 1 && part[1 - at].epoch == otherEpoch && part[1 - at].seq == otherSeq ->
       moved = true;
       commit(1 - at, otherEpoch, otherSeq, epoch, part[at].moves + 1, w, r, done);
       if
       :: ok -> l = seq; seq = otherSeq + 1; otherSeq = l; l = 0; otherEpoch = epoch; at = 1 - at
       :: else -> break
       fi }
#endif

  /* Place the task: stored first, sent after, maybe late. */
  :: w == NONE && !done && r < MAXRUN ->
       byte target;
       if :: holds[0] -> target = 0 :: holds[1] -> target = 1 :: !holds[0] && !holds[1] -> goto next fi;
       l = life[target];
#ifdef START_FIRST
       atomic { begin(target, r + 1, epoch, l) }
#endif
       atomic { commit(at, epoch, seq, epoch, part[at].moves, target, r + 1, false);
       if :: ok -> seq++; w = target; r++ :: else -> break fi }
#ifndef START_FIRST
       if
       :: atomic { begin(w, r, epoch, l) }
#ifndef MOVES
       :: atomic { !lateOpen -> lateOpen = true; lateWorker = w; lateRun = r; lateEpoch = epoch; lateLife = l }
#endif
       :: skip                     /* lost */
       fi;
       /* Its answer came, or a stop barred it: only then is an inventory final. */
       atomic { if
       :: lateOpen && lateRun == r && lateWorker == w ->
          if :: epoch >= fence[w] && highest[w] < r && runs[w] != r -> highest[w] = r :: else fi
       :: else
       fi;
       l = 0; target = 0 }
#endif
next:  skip
  :: done -> break
  :: r >= MAXRUN && w == NONE -> break
  od;
stop: skip
}

/* The world: runs end, workers restart, leases lapse, late calls land. */
proctype World(byte w) {
end:
  do
  :: atomic { runs[w] != 0 -> endRun[w] = runs[w]; highest[w] = runs[w]; runs[w] = 0 }
  :: atomic { runs[w] != 0 -> highest[w] = runs[w]; runs[w] = 0; lapsed[w] = true }
#ifndef MOVES
  :: atomic { life[w] < 1 -> life[w]++; fence[w] = 0; runs[w] = 0; highest[w] = 0; endRun[w] = 0 }
#endif
  :: atomic { lateOpen && lateWorker == w -> begin(w, lateRun, lateEpoch, lateLife); lateOpen = false }
  od
}

proctype Late() {
end:
  do
  :: atomic { heldOpen ->
       if
#ifndef NO_CHAIN
       :: part[heldPart].epoch == heldEpoch && part[heldPart].seq == heldSeq ->
#else
       :: true ->
#endif
          store(heldPart, heldNew, heldSeq + 1, heldMoves, heldWorker, heldRun, heldDone)
#ifndef NO_CHAIN
       :: else
#endif
       fi;
       heldOpen = false }
  od
}

init {
  atomic {
    run World(0); run World(1); run Late();
    run Coordinator(1); run Coordinator(2)
  }
}
