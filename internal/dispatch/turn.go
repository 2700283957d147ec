package dispatch

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/targets"
)

// What a request does whose targets are all closed, by back-offs or for want of permits.

// opening is when a closed target may be asked for again.
type opening struct {
	target targets.Target
	at     time.Time
	// phase is how far a back-off closes it; Open where that is not what closes it.
	phase backoff.Phase
}

// firstOpening returns the target of a request that may be asked for again first; it reports false unless all are closed.
func (ds *Dispatcher) firstOpening(as Ask) (first opening, allClosed bool) {
	for no, tg := range ds.usable(as) {
		at, by, closed := ds.closed(as, tg.ID)
		if !closed {
			return opening{}, false
		}
		if no == 0 || at.Before(first.at) {
			first = opening{target: tg, at: at, phase: by}
		}
		allClosed = true
	}
	return first, allClosed
}

// turn gets a request whose targets are all closed to the one that opens first, and returns it changed accordingly: it waits for the end of
// a back-off, is the one to find out whether there is one still, or books the next permit and waits for its turn. Where that does not come in
// time, the request is refused at once with the time at which a target takes requests again. It reports false where a target is open.
func (ds *Dispatcher) turn(ctx context.Context, as Ask) (Ask, bool, error) {
	as.permitted = ""
	for tries := 0; ; tries++ {
		first, allClosed := ds.firstOpening(as)
		switch {
		case !allClosed:
			return as, false, nil
		case as.Caution != targets.RequireReachable:
			// Those that failed lately may be open, or those of other availability zones than the one that a probe was for.
			as.Caution = targets.RequireReachable
			return as, true, nil
		case first.phase == backoff.HalfOpen:
			as.probe = true
			return as, true, nil
		case first.phase == backoff.Blocked:
			return as, true, ds.awaitBackOff(ctx, as, first)
		}
		now := ds.opts.Now()
		ahead := min(turnMost, as.soon().Sub(now))
		if first.at.Sub(now) > ahead || tries >= permitTries {
			return as, false, failure.New(failure.Overloaded, failure.NotRun, "all targets name a rate limit that is used up").
				WithRetryAfter(max(first.at.Sub(now), comeBack))
		}
		an := ds.take(ctx, as, first.target, ahead)
		if ctx.Err() != nil {
			return as, false, ctx.Err()
		}
		if !an.Granted {
			continue
		}
		due := ds.opts.Now().Add(an.After)
		if err := sleep(ctx, an.After); err != nil {
			return as, false, err
		}
		if ds.opts.Now().Sub(due) < turnLateMost {
			as.permitted = first.target.ID
			return as, true, nil
		}
	}
}

// turnMost bounds how far ahead a request books its turn: those with long objectives would book all turns before those with short ones may,
// and a caller that would wait for longer had better know at once when to come back. It is about what the shortest objectives let a
// request wait.
const turnMost = 250 * time.Millisecond

// turnLateMost is how late a turn may be taken: more is a process that was frozen, which must not send at once all that had waited for
// their turns.
const turnLateMost = 250 * time.Millisecond

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
