package dispatch

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/targets"
)

// This file handles requests whose targets are all blocked by back-offs or for lack of permits.

// blockedTarget is a target that is blocked for a request, with the time at which it may be tried again.
type blockedTarget struct {
	target targets.Target
	until  time.Time
	// phase is that of the back-off that blocks the target, or backoff.Available if it lacks permits instead.
	phase backoff.Phase
}

// firstToUnblock returns the target of the request whose block ends first. It reports false unless all of them are blocked.
func (ds *Dispatcher) firstToUnblock(rq Request) (first blockedTarget, allBlocked bool) {
	for i, tg := range ds.usable(rq) {
		until, ph, blocked := ds.blocked(rq, tg.ID)
		if !blocked {
			return blockedTarget{}, false
		}
		if i == 0 || until.Before(first.until) {
			first = blockedTarget{target: tg, until: until, phase: ph}
		}
		allBlocked = true
	}
	return first, allBlocked
}

// waitUntilUnblocked handles a request whose targets are all blocked. Depending on the target whose block ends first, it lets
// the request probe that target, waits for the end of its back-off, or acquires the next permit in advance and waits until
// that is due. It returns the request updated accordingly. If no block ends in time, it refuses the request at once, with the
// time after which to retry. It reports false if a target is not blocked.
func (ds *Dispatcher) waitUntilUnblocked(ctx context.Context, rq Request) (Request, bool, error) {
	rq.permitTarget = ""
	for attempt := 0; ; attempt++ {
		first, allBlocked := ds.firstToUnblock(rq)
		switch {
		case !allBlocked:
			return rq, false, nil
		case rq.Caution != targets.RequireReachable:
			// Targets that failed recently, or are in other availability zones than the one being probed, may be available.
			rq.Caution = targets.RequireReachable
			return rq, true, nil
		case first.phase == backoff.HalfOpen:
			rq.mayProbe = true
			return rq, true, nil
		case first.phase == backoff.Blocked:
			return rq, true, ds.waitForBackOff(ctx, rq, first)
		}
		now := ds.opts.Now()
		maxWait := min(maxPermitWait, rq.roomWaitDeadline().Sub(now))
		if first.until.Sub(now) > maxWait || attempt >= maxPermitTries {
			return rq, false, failure.New(failure.Overloaded, failure.NotRun, "all targets name a rate limit that is used up").
				WithRetryAfter(max(first.until.Sub(now), roomRetryAfter))
		}
		dc := ds.requestPermit(ctx, rq, first.target, maxWait)
		if ctx.Err() != nil {
			return rq, false, ctx.Err()
		}
		if !dc.Granted {
			continue
		}
		dueAt := ds.opts.Now().Add(dc.Delay)
		if err := sleep(ctx, dc.Delay); err != nil {
			return rq, false, err
		}
		if ds.opts.Now().Sub(dueAt) < maxPermitLateness {
			rq.permitTarget = first.target.ID
			return rq, true, nil
		}
	}
}

// maxPermitWait bounds how far in advance a request acquires a permit. Otherwise requests with long objectives would acquire
// all permits before those with short ones. A request that would have to wait longer is refused at once, so that its caller
// can retry at the right time. It is about the time that the shortest objectives allow for waiting.
const maxPermitWait = 250 * time.Millisecond

// maxPermitLateness is how late a permit acquired in advance may be used. A longer delay means that the process was suspended,
// and it must not send all requests at once whose permits fell due meanwhile.
const maxPermitLateness = 250 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
