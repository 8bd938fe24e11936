/* Acceptance and spread of the document (docs/verification.md).
 *
 * Editors change sections of the manifest by a conditional update whose answer
 * may be lost. Hosts learn revisions from the store or from one another, and
 * are replaced by processes that know nothing.
 *
 * Defining one of MUTANT_UNCONDITIONAL_UPDATE, MUTANT_ASSUME_ACCEPTED,
 * MUTANT_SAME_SECTION_MERGES or MUTANT_ACCEPT_LOWER_REVISION removes a guard;
 * the model must then fail.
 */
#define EDITORS 3
#define HOSTS 2
#define MAX_REVISION 3

/* Editors 1 and 2 edit section 0, editor 3 edits section 1. */
#define SECTION(editor) (editor / 3)

/* The manifest in the store: its revision, and the newest edit of each
 * section. */
byte revision = 0;
byte content[2];

/* The accepted edit that a later accepted edit of its section may replace only
 * if it was based on it. */
byte accepted_revision[EDITORS + 1];
byte section_revision[2];

byte host_revision[HOSTS];

proctype Editor(byte id) {
  byte base;
  byte base_section;
  byte expected = section_revision[SECTION(id)];
  bool lost;

again:
  /* Reads the manifest, merges its own section into it. */
  atomic {
    base = revision;
    base_section = section_revision[SECTION(id)];
#ifndef MUTANT_SAME_SECTION_MERGES
    if
    :: base_section != expected -> goto refused
    :: else
    fi
#endif
  };
  atomic {
    if
#ifdef MUTANT_UNCONDITIONAL_UPDATE
    :: revision < MAX_REVISION ->
#else
    :: revision == base && revision < MAX_REVISION ->
#endif
      /* No accepted edit of the section is replaced unseen. */
      assert(section_revision[SECTION(id)] == expected);
      revision++;
      content[SECTION(id)] = id;
      section_revision[SECTION(id)] = revision;
      if
      :: lost = false
      :: lost = true
      fi
    :: lost = true
    :: revision >= MAX_REVISION -> goto refused
    fi
  };
  if
  :: !lost -> goto accepted
  :: else
  fi;
#ifdef MUTANT_ASSUME_ACCEPTED
  goto accepted;
#endif
  /* The answer was lost: the manifest tells whether the edit is inside. */
  if
  :: content[SECTION(id)] == id -> goto accepted
  :: else -> goto again
  fi;

accepted:
  atomic {
    accepted_revision[id] = section_revision[SECTION(id)];
    assert(content[SECTION(id)] == id ||
           section_revision[SECTION(id)] > expected + 1)
  };
  goto finished;

refused:
  skip;

finished:
  skip
}

proctype Host(byte id) {
  /* A revision that was read and is not in force yet. */
  byte learnt = 0;

end:
  do
  :: learnt == 0 -> /* The answer of a watch on the manifest. */
    learnt = revision
  :: learnt == 0 -> /* A heartbeat of the other host. */
    learnt = host_revision[1 - id]
  :: atomic {
      learnt > 0 ->
      if
#ifdef MUTANT_ACCEPT_LOWER_REVISION
      :: true ->
#else
      :: learnt > host_revision[id] ->
#endif
        assert(learnt >= host_revision[id]);
        assert(learnt <= revision);
        host_revision[id] = learnt
      :: else
      fi;
      learnt = 0
    }
  :: atomic {
      /* Replacement by a process that knows nothing and takes the revision of
       * the other host before it is ready. */
      host_revision[id] != host_revision[1 - id] ->
      learnt = 0;
      host_revision[id] = host_revision[1 - id]
    }
  od
}

init {
  atomic {
    byte it;
    for (it : 1 .. EDITORS) {
      run Editor(it)
    }
    for (it : 0 .. HOSTS - 1) {
      run Host(it)
    }
  }
}
