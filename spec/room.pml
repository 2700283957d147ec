/* Two prompts, each too large for one engine, reserve memory on two of three engines, all or nothing. This models memoryreservation.Reserver.
 * Properties: no engine reserves more memory than it has; both prompts finish; no reservation is left over. */
#define ENGINES 3
#define ENGINES_PER_PROMPT 2

byte used[ENGINES];
byte finished = 0;

proctype Prompt(byte first; byte stride) {
  byte reserved = 0;                       /* number of engines reserved */
  byte engine = first;
  bool reserved_here[ENGINES];
retry:
  reserved = 0;
  engine = first;
  do
  :: reserved == ENGINES_PER_PROMPT -> break
  :: reserved < ENGINES_PER_PROMPT ->
       if
       :: atomic { used[engine] == 0 -> used[engine]++; reserved_here[engine] = true; reserved++ }
       :: used[engine] > 0 ->
#ifdef FAULT
          used[engine] == 0                     /* waits without releasing its reservations */
#else
          goto release
#endif
       fi;
       engine = (engine + stride) % ENGINES
  od;
  /* the prompt runs */
  atomic { assert(used[0] <= 1 && used[1] <= 1 && used[2] <= 1) };
  finished++;
  reserved = ENGINES_PER_PROMPT + 1;        /* marks the prompt as finished */
release:
  engine = 0;
  do
  :: engine < ENGINES ->
       atomic { if :: reserved_here[engine] -> reserved_here[engine] = false; used[engine]-- :: else fi };
       engine++
  :: engine == ENGINES -> break
  od;
  if
  :: reserved == ENGINES_PER_PROMPT + 1 -> skip
  :: else -> goto retry
  fi
}

init {
  atomic {
#ifdef FAULT
    run Prompt(0, 1); run Prompt(1, 2)      /* in different orders, which allows a deadlock */
#else
    run Prompt(0, 1); run Prompt(0, 1)      /* in the same order */
#endif
  }
  (finished == 2 && used[0] == 0 && used[1] == 0 && used[2] == 0)
}

ltl both_finish { <> (finished == 2) }
