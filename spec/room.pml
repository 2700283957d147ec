/* Two prompts, each larger than one engine, reserve room on two of three engines, all or nothing. The model stands
 * for room.Lender. Properties: no engine holds more than it has; both prompts end; no room is left over. */
#define ENGINES 3
#define NEED 2

byte used[ENGINES];
byte done = 0;

proctype Prompt(byte first; byte step) {
  byte held = 0;
  byte at = first;
  bool mine[ENGINES];
again:
  held = 0;
  at = first;
  do
  :: held == NEED -> break
  :: held < NEED ->
       if
       :: atomic { used[at] == 0 -> used[at]++; mine[at] = true; held++ }
       :: used[at] > 0 ->
#ifdef FAULT
          used[at] == 0                     /* waits while it holds the rest */
#else
          goto give_back
#endif
       fi;
       at = (at + step) % ENGINES
  od;
  /* the prompt runs */
  atomic { assert(used[0] <= 1 && used[1] <= 1 && used[2] <= 1) };
  done++;
  held = NEED + 1;
give_back:
  at = 0;
  do
  :: at < ENGINES ->
       atomic { if :: mine[at] -> mine[at] = false; used[at]-- :: else fi };
       at++
  :: at == ENGINES -> break
  od;
  if
  :: held == NEED + 1 -> skip
  :: else -> goto again
  fi
}

init {
  atomic {
#ifdef FAULT
    run Prompt(0, 1); run Prompt(1, 2)      /* each in its own order */
#else
    run Prompt(0, 1); run Prompt(0, 1)      /* one fixed order */
#endif
  }
  (done == 2 && used[0] == 0 && used[1] == 0 && used[2] == 0)
}

ltl both_end { <> (done == 2) }
