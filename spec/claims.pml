/* The claim protocol of non-idempotent requests (docs/verification.md).
 *
 * Attempts with one idempotency key run on different hosts. Each write to the
 * store may be applied and answered, applied without an answer, dropped, or
 * applied later, after the attempt has gone on. A process may stop at any
 * place, which stands for a pause or a crash of its host.
 *
 * Defining one of MUTANT_DISPATCH_UNCONFIRMED, MUTANT_RECLAIM_UNRESOLVED,
 * MUTANT_UNCONDITIONAL_UPDATE or MUTANT_RELEASE_AFTER_DISPATCH removes a guard;
 * the model must then fail.
 */
#define ATTEMPTS 3
#define TRIES 2
#define NOBODY 0

mtype = { ABSENT, CLAIMED, RELEASED, DONE };
mtype = { APPLIED, CONFLICT, LOST };

/* The object in the store. */
mtype state = ABSENT;
byte owner = NOBODY;
byte version = 0;

/* Ground truth. */
byte executions = 0;
bool release_after_execution = false;

/* A write on its way: the state to write and the version it expects, 0 for a
 * create. */
mtype late_state[ATTEMPTS + 1];
byte late_version[ATTEMPTS + 1];
bool late[ATTEMPTS + 1];

inline apply(id, new_state, expected, result) {
  skip;
  if
#ifdef MUTANT_UNCONDITIONAL_UPDATE
  :: expected > 0 || version == 0 ->
#else
  :: version == expected ->
#endif
    if
    :: new_state == RELEASED && executions > 0 -> release_after_execution = true
    :: else
    fi;
    state = new_state;
    owner = id;
    version++;
    result = APPLIED
  :: else -> result = CONFLICT
  fi
}

inline write(id, new_state, expected, result) {
  atomic {
    fate = 0;
    if
    :: fate = 0
    :: fate = 1
    :: fate = 2
    :: !late[id] -> fate = 3
    fi;
    if
    :: fate <= 1 -> apply(id, new_state, expected, result)
    :: fate == 3 ->
      late[id] = true;
      late_state[id] = new_state;
      late_version[id] = expected
    :: else
    fi;
    if
    :: fate >= 1 -> result = LOST
    :: else
    fi;
    fate = 0
  }
}

active proctype Network() {
  mtype ignored;
  byte it = 0;
end:
  do
  :: atomic {
      select(it : 1 .. ATTEMPTS);
      if
      :: late[it] ->
        late[it] = false;
        apply(it, late_state[it], late_version[it], ignored);
        late_state[it] = 0;
        late_version[it] = 0
      :: else
      fi;
      ignored = 0;
      it = 0
    }
  od
}

proctype Attempt(byte id) {
  mtype result;
  mtype seen_state;
  byte seen_owner;
  byte seen_version;
  byte tries = 0;
  /* 0 answered, 1 applied without an answer, 2 dropped, 3 applied later. */
  byte fate = 0;
  bool joined = false;

create:
  skip;
  write(id, CLAIMED, 0, result);
  if
  :: result == APPLIED -> goto owned
#ifdef MUTANT_DISPATCH_UNCONFIRMED
  :: result == LOST -> goto owned
#endif
  :: else
  fi;

read:
  skip;
  if
  :: tries >= TRIES -> goto refused
  :: else -> tries++
  fi;
  atomic {
    seen_state = state;
    seen_owner = owner;
    seen_version = version;
    assert(seen_state != DONE || executions == 1)
  };
  if
  :: seen_state == ABSENT -> goto create
  :: seen_state == DONE -> goto finished
  :: seen_state == CLAIMED && seen_owner == id -> goto owned
  :: seen_state == RELEASED && seen_owner == id -> goto finished
  :: seen_state == CLAIMED && seen_owner != id ->
#ifdef MUTANT_RECLAIM_UNRESOLVED
    goto reclaim
#else
    joined = true;
    goto read
#endif
  :: seen_state == RELEASED && seen_owner != id ->
    if
    :: joined -> goto finished
    :: else
    fi
  fi;

reclaim:
  skip;
  write(id, CLAIMED, seen_version, result);
  if
  :: result == APPLIED -> goto owned
  :: else -> goto read
  fi;

owned:
  seen_version = version;
  if
  :: executions++;
    assert(executions <= 1);
#ifdef MUTANT_RELEASE_AFTER_DISPATCH
    goto release
#else
    write(id, DONE, seen_version, result);
    goto finished
#endif
  :: goto release
  :: goto finished
  fi;

release:
  write(id, RELEASED, seen_version, result);
  /* A confirmed release is answered "not run". */
  assert(result != APPLIED || !release_after_execution);
  goto finished;

refused:
  /* "attempt-not-run": this attempt never reaches `owned`. */
  skip;

finished:
  atomic {
    seen_state = 0;
    seen_owner = 0;
    seen_version = 0;
    result = 0;
    tries = 0;
    joined = false
  }
}

init {
  atomic {
    byte it;
    for (it : 1 .. ATTEMPTS) {
      run Attempt(it)
    }
  }
}
