package dispatch

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/targets"
)

// This file handles requests whose targets are all closed by back-offs or for lack of permits.

// reopening is when a closed target may be tried again.
type blockedTarget struct {
	target targets.Target
	until  time.Time
	// phase is that of the back-off that closes the target; Open if something else closes it.
	phase backoff.Phase
}

// earliestReopening returns which of the request's targets reopens first. It reports false unless all of them are closed.
func (ds *Dispatcher) firstToUnblock(rq Request) (first blockedTarget, allClosed bool) {
	for i, tg := range ds.usable(rq) {
		at, ph, closed := ds.blocked(rq, tg.ID)
		if !closed {
			return blockedTarget{}, false
		}
		if i == 0 || at.Before(first.until) {
			first = blockedTarget{target: tg, until: at, phase: ph}
		}
		allClosed = true
	}
	return first, allClosed
}

// waitForReopening handles a request whose targets are all closed. Depending on the target that reopens first, it lets the
// request probe that target, waits for the end of its back-off, or reserves the next permit and waits until that is due. It
// returns the request updated accordingly. If no target reopens in time, it refuses the request at once, with the time after
// which to retry. It reports false if a target is open.
func (ds *Dispatcher) waitUntilUnblocked(ctx context.Context, rq Request) (Request, bool, error) {
	rq.permitTarget = ""
	for attempt := 0; ; attempt++ {
		first, allClosed := ds.firstToUnblock(rq)
		switch {
		case !allClosed:
			return rq, false, nil
		case rq.Caution != targets.RequireReachable:
			// Targets that failed recently may be open, or those in other availability zones than the one being probed.
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
		an := ds.requestPermit(ctx, rq, first.target, maxWait)
		if ctx.Err() != nil {
			return rq, false, ctx.Err()
		}
		if !an.Granted {
			continue
		}
		dueAt := ds.opts.Now().Add(an.Delay)
		if err := sleep(ctx, an.Delay); err != nil {
			return rq, false, err
		}
		if ds.opts.Now().Sub(dueAt) < maxPermitLateness {
			rq.permitTarget = first.target.ID
			return rq, true, nil
		}
	}
}

// maxPermitWait bounds how far ahead a request reserves a permit. Otherwise requests with long objectives would reserve all
// permits ahead of those with short ones, and a caller facing a longer wait is better told at once when to retry. It is
// about the time that the shortest objectives allow for waiting.
const maxPermitWait = 250 * time.Millisecond

// maxPermitLateness is how late a reserved permit may be used. A longer delay means that the process was suspended, and it
// must not send all requests at once whose permits fell due meanwhile.
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
