/* Two operators concurrently accept a bundle. Instances learn of the accepted version from watches of the store, which may be
 * stale, and from each other. They restart, and one of them cannot reach the store for a while. This models bundlestate.Holder, the
 * bundles duty and heartbeats.
 * Properties: each version is accepted once; no instance returns to an older version within one run, or goes below a version that
 * a peer told it of; a ready instance always has a bundle; all reachable instances eventually have the newest version. */
#define INSTANCES 3

byte accepted_version = 1;        /* accepted version in the store */
byte acceptances = 0;             /* number of successful conditional updates */
byte version[INSTANCES] = 0;      /* bundle version in force; 0: instance not ready */
byte restarts = 0;
bool store_unreachable = false;   /* for instance 0 */

#ifdef FAULT
#define should_apply(v) (v != version[i])
#else
#define should_apply(v) (v > version[i])
#endif

inline apply(i, v) {
  if
#ifdef FAULT
  :: v != version[i] -> version[i] = v        /* also goes back to an older version */
#else
  :: v > version[i] -> version[i] = v
#endif
  :: else
  fi
}

proctype Operator() {
  byte read_version = accepted_version;
  atomic {
    if
    :: accepted_version == read_version ->                   /* conditional update */
         accepted_version = read_version + 1; acceptances++
    :: else                                                  /* version conflict */
    fi;
    assert(accepted_version == 1 + acceptances)
  }
}

proctype Instance(byte i) {
  byte watched, before;                                      /* watched: newest version from the watch */
  byte peer = (i + 1) % INSTANCES;
  watched = 0;
end:
  do
  :: atomic { !(store_unreachable && i == 0) && watched != accepted_version ->
       watched = accepted_version }                          /* the watch returns; the version is applied later */
  :: atomic { watched > 0 && should_apply(watched) ->
       before = version[i]; apply(i, watched); assert(version[i] >= before) }
  :: atomic { version[peer] > 0 && should_apply(version[peer]) ->
       before = version[i]; apply(i, version[peer]); assert(version[i] >= before) }
  :: atomic { restarts < 1 && version[i] > 0 -> restarts++; version[i] = 0; watched = 0 }
  od
}

proctype StoreOutage() {
  store_unreachable = true;
  store_unreachable = false
}

init {
  atomic {
    run Operator(); run Operator(); run StoreOutage();
    run Instance(0); run Instance(1); run Instance(2)
  }
}

#define all_newest (version[0] == accepted_version && version[1] == accepted_version && version[2] == accepted_version)
/* Under weak fairness, all instances eventually have the newest version for good. */
ltl all_converge { <>[] all_newest }
