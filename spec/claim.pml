/* A request with an idempotency key reaches two instances. Each of them creates a claim in the store before it sends anything to
 * a target. Writes can take effect late and their answers can be lost, and an instance can crash. This models Claimer.Acquire and
 * Claimer.resolve of package claim, and the dispatch after them.
 * Properties: the request runs at most once; an instance that answers not_run has not run it; no instance waits for ever. */
#define INSTANCES 2
#define NONE 255

byte holder = NONE;          /* token of the instance in the claim object */
byte runs = 0;
bool ran[INSTANCES];
bool answered_not_run[INSTANCES];
chan writes = [4] of { byte };                  /* create calls in flight to the store */
chan answers[INSTANCES] = [4] of { bool };      /* true: created; false: conflict */

active proctype Store() {
  byte token;
  bool created;
end:
  do
  :: atomic { writes ? token ->
       if
       :: holder == NONE -> holder = token; created = true
       :: else -> created = false
       fi;
       if
       :: answers[token] ! created
       :: skip                                   /* the answer is lost */
       fi }
  od
}

active [INSTANCES] proctype Instance() {
  byte me = _pid - 1;
  bool created;
  byte attempts = 0;
create:
  writes ! me;
  attempts++;
  if
  :: answers[me] ? created ->
       if
       :: created -> goto dispatch
       :: else -> goto resolve
       fi
  :: skip -> goto resolve                        /* no answer within the timeout */
  fi;
resolve:                                         /* reads the claim back and compares the tokens */
  if
#ifdef FAULT
  :: holder == NONE -> goto dispatch                  /* treats a missing answer as success */
#endif
  :: holder == me -> goto dispatch
  :: holder != me && holder != NONE -> goto held_by_other
  :: holder == NONE && attempts < 2 -> goto create
  :: goto give_up                                /* the store is unavailable until the deadline */
  fi;
dispatch:
  if
  :: skip
  :: goto crash
  fi;
  atomic { runs++; ran[me] = true; assert(runs <= 1) };
  goto done;
give_up:
  answered_not_run[me] = true;
  assert(!ran[me]);
  goto done;
held_by_other:
crash:
done:
  assert(!(answered_not_run[me] && ran[me]))
}
