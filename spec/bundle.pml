/* Two operators race to accept a bundle; instances learn of it from stale watches of the store and from each other,
 * restart, and are cut off for a while. The model stands for rollout.Holder, the bundles duty and beats.
 * Properties: each version is accepted once; no instance goes back within one run or below what any peer told it;
 * a ready instance always has a bundle; in the end all reachable instances have the newest. */
#define INSTANCES 3

byte pointer = 1;                 /* accepted version in the store */
byte accepted = 0;                /* sign-offs that won */
byte version[INSTANCES] = 0;      /* in force; 0 is not ready */
byte restarts = 0;
bool cut = false;                 /* instance 0 cannot reach the store */

#ifdef FAULT
#define wanted(v) (v != version[i])
#else
#define wanted(v) (v > version[i])
#endif

inline apply(i, v) {
  if
#ifdef FAULT
  :: v != version[i] -> version[i] = v        /* forgets the floor */
#else
  :: v > version[i] -> version[i] = v
#endif
  :: else
  fi
}

proctype Operator() {
  byte read = pointer;
  atomic {
    if
    :: pointer == read -> pointer = read + 1; accepted++     /* conditional update */
    :: else                                                  /* typed conflict */
    fi;
    assert(pointer == 1 + accepted)
  }
}

proctype Instance(byte i) {
  byte seen, before;
  byte peer = (i + 1) % INSTANCES;
  seen = 0;
end:
  do
  :: atomic { !(cut && i == 0) && seen != pointer -> seen = pointer }      /* the watch fires, applied later */
  :: atomic { seen > 0 && wanted(seen) -> before = version[i]; apply(i, seen); assert(version[i] >= before) }
  :: atomic { version[peer] > 0 && wanted(version[peer]) ->
       before = version[i]; apply(i, version[peer]); assert(version[i] >= before) }
  :: atomic { restarts < 1 && version[i] > 0 -> restarts++; version[i] = 0; seen = 0 }
  od
}

proctype Zone() {
  cut = true;
  cut = false
}

init {
  atomic {
    run Operator(); run Operator(); run Zone();
    run Instance(0); run Instance(1); run Instance(2)
  }
}

#define newest (version[0] == pointer && version[1] == pointer && version[2] == pointer)
/* Under weak fairness all instances come to the newest version and stay there. */
ltl spread { <>[] newest }
