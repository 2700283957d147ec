/* A request with an idempotency key reaches two instances. Each creates a claim in the store before it sends
 * anything to a target. Writes can take effect late and their answers can be lost; an instance can crash.
 * The model stands for claim.Take, claim.settle and the dispatch after it.
 * Properties: the request runs at most once; who is told not_run did not run it; nobody waits for ever. */
#define INSTANCES 2
#define NONE 255

byte holder = NONE;          /* token in the claim object */
byte runs = 0;
bool ran[INSTANCES];
bool told_not_run[INSTANCES];
chan writes = [4] of { byte };                  /* creates on their way to the store */
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
  byte tries = 0;
create:
  writes ! me;
  tries++;
  if
  :: answers[me] ? created ->
       if
       :: created -> goto dispatch
       :: else -> goto settle
       fi
  :: skip -> goto settle                         /* no answer in time */
  fi;
settle:                                          /* read the claim back and compare tokens */
  if
#ifdef FAULT
  :: holder == NONE -> goto dispatch                  /* takes silence for success */
#endif
  :: holder == me -> goto dispatch
  :: holder != me && holder != NONE -> goto other
  :: holder == NONE && tries < 2 -> goto create
  :: goto give_up                                /* the store stays away until the deadline */
  fi;
dispatch:
  if
  :: skip
  :: goto crash
  fi;
  atomic { runs++; ran[me] = true; assert(runs <= 1) };
  goto done;
give_up:
  told_not_run[me] = true;
  assert(!ran[me]);
  goto done;
other:
crash:
done:
  assert(!(told_not_run[me] && ran[me]))
}
