/* Two instances send orders to one engine under a lease. A holder can be paused at any step and then continue. This models
 * lease.Lease and the orders duty. With FENCED, the engine refuses orders of an older epoch. Without it, a holder sends an order
 * only if, by its own clock, the lease outlasts the order. Time is a counter that all clocks read.
 * Property: after an order of an epoch has been applied, no order of an older epoch is applied. */
#define LEASE_TTL 4
#define MAX_ORDER_TIME 1        /* maximum time that an order is in flight */
#define END_TIME 14

byte time = 0;
byte holder = 0;
byte epoch = 0;
byte renewed_at = 0;            /* time of the last change of the lease object */
byte applied_epoch = 0;         /* epoch of the last applied order */

active proctype Clock() {
  do
  :: atomic { time < END_TIME -> time++ }
  :: time == END_TIME -> break
  od
}

proctype Instance(byte me) {
  byte own_epoch = 0;           /* 0: lease not held */
  byte valid_until = 0;
  byte started;
end:
  do
  :: time < END_TIME ->
       started = time;                                       /* before the write */
       atomic {
         if
         :: holder == me -> renewed_at = time; own_epoch = epoch; valid_until = started + LEASE_TTL
         :: holder == 0 -> holder = me; epoch++; renewed_at = time; own_epoch = epoch; valid_until = started + LEASE_TTL
         :: holder != me && time > renewed_at + LEASE_TTL ->
              holder = me; epoch++; renewed_at = time; own_epoch = epoch; valid_until = started + LEASE_TTL
         :: else -> own_epoch = 0
         fi
       };
       /* the instance can be paused here for any time */
       if
       :: own_epoch != 0 ->
#ifdef FAULT
            skip;                                            /* does not check its clock again before it sends */
#else
            if
            :: time + MAX_ORDER_TIME < valid_until -> skip
            :: else -> goto next_round
            fi;
#endif
            atomic {
              /* the order arrives; because it has a timeout, it cannot arrive after the end of the lease that was checked */
#ifdef FENCED
              if
              :: own_epoch >= applied_epoch -> applied_epoch = own_epoch
              :: else
              fi
#else
#ifndef FAULT
              if
              :: time > valid_until -> goto next_round                  /* the order's timeout */
              :: else
              fi;
#endif
              assert(own_epoch >= applied_epoch);
              applied_epoch = own_epoch
#endif
            }
       :: else
       fi;
next_round:
       own_epoch = 0
  :: time == END_TIME -> break
  od
}

init {
  atomic { run Instance(1); run Instance(2) }
}
