/* Roll-out of a version (docs/design/rollouts.md).
 *
 * Hosts send requests to the old or the new version. Knowledge of the order
 * (phase, verdict) only grows and passes between hosts by messages that may be
 * lost. A host stops by itself when it learns of the verdict. The new version
 * may be condemned at any time. A host that restarts knows nothing and waits
 * to hear of the order. The status in the store is written on the condition of
 * its revision, by a call that may be executed late.
 *
 * Defining one of MUTANT_NO_CONDITION, MUTANT_COMPLETE_UNHEARD,
 * MUTANT_VERDICT_IGNORED, MUTANT_SHARE_UNBOUNDED, MUTANT_FINAL_REWRITTEN or
 * MUTANT_RESTART_UNINFORMED removes a guard; the model must then fail.
 */
#define HOSTS 2
/* Trial requests that one host's own share permits. */
#define SHARE 1

#ifdef MUTANT_SHARE_UNBOUNDED
#define LIMIT 3
#else
#define LIMIT SHARE
#endif
#ifdef MUTANT_COMPLETE_UNHEARD
#define ALL_MOVED true
#else
#define ALL_MOVED (heard_moved[0] && heard_moved[1])
#endif
#ifdef MUTANT_NO_CONDITION
#define CONDITION(id) true
#else
#define CONDITION(id) (write_revision[id] == revision)
#endif

#define TRIAL 0
#define SHIFT 1
#define COMPLETE 2

#define RUNNING 0
#define COMPLETED 1
#define ROLLED_BACK 2

/* The status in the store. */
byte outcome = RUNNING;
byte revision = 0;
byte finals = 0;

/* What each host knows. */
byte phase[HOSTS];
bool bad[HOSTS];
bool informed[HOSTS];
byte restarts = 0;
/* Its requests at the old version, and its trial requests. */
byte old_running[HOSTS];
byte trials[HOSTS];
/* What host 0 has last heard of each host: phase and requests there. */
bool heard_moved[HOSTS];

/* One write under way for each host: what, and on which revision. */
byte write_outcome[HOSTS];
byte write_revision[HOSTS];
bool writing[HOSTS];

inline Learn(to, from) {
  if
  :: phase[from] > phase[to] -> phase[to] = phase[from]
  :: else
  fi;
  bad[to] = bad[to] || bad[from]
}

proctype Host(byte id) {
end:
  do
  :: atomic { /* A message of the other host. */
      informed[1 - id] && (!informed[id] || phase[1 - id] > phase[id] ||
                           (bad[1 - id] && !bad[id])) ->
      Learn(id, 1 - id);
      informed[id] = true
    }
  :: atomic { /* A request to the old version. */
      old_running[id] == 0 && outcome != COMPLETED && informed[id] &&
        (phase[id] == TRIAL || bad[id]) ->
      old_running[id] = 1;
      heard_moved[id] = false
    }
  :: atomic { /* Its end. */
      old_running[id] == 1 -> old_running[id] = 0
    }
  :: atomic { /* A trial request. */
      trials[id] < LIMIT && phase[id] == TRIAL && !bad[id] &&
        outcome == RUNNING ->
      trials[id]++;
      assert(trials[0] + trials[1] <= HOSTS * SHARE)
    }
  :: atomic { /* Enough bad answers. */
      !bad[id] && outcome == RUNNING -> bad[id] = true
    }
  :: atomic { /* A good trial. */
      phase[id] == TRIAL && !bad[id] && outcome == RUNNING -> phase[id] = SHIFT
    }
  :: atomic { /* Host 0 hears that a host has moved. */
      !heard_moved[id] && phase[id] != TRIAL && !bad[id] &&
        old_running[id] == 0 ->
      heard_moved[id] = true
    }
  :: atomic { /* All have moved. */
      phase[id] == SHIFT && !bad[id] && ALL_MOVED ->
      phase[id] = COMPLETE
    }
  :: atomic { /* Sends a write. */
      !writing[id] && outcome == RUNNING && (bad[id] || phase[id] == COMPLETE) ->
      writing[id] = true;
      write_revision[id] = revision;
#ifdef MUTANT_VERDICT_IGNORED
      write_outcome[id] = (phase[id] == COMPLETE -> COMPLETED : ROLLED_BACK);
      assert(!(bad[id] && write_outcome[id] == COMPLETED))
#else
      write_outcome[id] = (bad[id] -> ROLLED_BACK : COMPLETED);
      assert(!(bad[id] && write_outcome[id] == COMPLETED))
#endif
    }
  :: atomic { /* The store executes it, now or late. */
      writing[id] ->
      writing[id] = false;
      if
      :: CONDITION(id) ->
        finals++;
        assert(finals == 1);
        revision++;
        outcome = write_outcome[id];
        /* Completion stops the old upstreams: nothing runs there, unless a host
         * has turned back on a verdict that was not known to the writer. */
        assert(outcome != COMPLETED || bad[0] || bad[1] ||
               old_running[0] + old_running[1] == 0)
      :: else
      fi
    }
  :: atomic { /* The call is lost. */
      writing[id] -> writing[id] = false
    }
#ifdef MUTANT_FINAL_REWRITTEN
  :: atomic { /* Writes although the status is final. */
      outcome != RUNNING && !writing[id] && bad[id] ->
      writing[id] = true;
      write_revision[id] = revision;
      write_outcome[id] = ROLLED_BACK
    }
#endif
  :: atomic { /* A restart: its requests have ended with the process. */
      restarts == 0 && outcome == RUNNING && informed[id] ->
      restarts = 1;
#ifndef MUTANT_RESTART_UNINFORMED
      informed[id] = false;
#endif
      phase[id] = TRIAL;
      bad[id] = false;
      old_running[id] = 0;
      heard_moved[id] = false;
      /* Its share counts from now, on requests that come after. */
      trials[id] = SHARE
    }
  od
}

init {
  atomic {
    byte it;
    for (it : 0 .. HOSTS - 1) {
      informed[it] = true;
      run Host(it)
    }
  }
}
