package dispatch

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/targets"
)

// A target under pressure states a limit on the requests per second that it accepts from all instances together. Each request to
// it needs a permit, so that the sum stays within the limit. A target without available permits is blocked: as with a target
// without free slots, other targets are chosen first.

// noPermitError reports that no permit was available for the chosen target, which is now blocked.
type noPermitError struct{}

func (*noPermitError) Error() string { return "no permit granted for the chosen target" }

// maxPermitTries is the number of refused permits after which a request considers only targets without a rate limit. Each
// attempt takes a round trip to another instance; all of them together stay well within the shortest objective.
const maxPermitTries = 8

// blocked reports whether a target is blocked for the request now, and when it may be tried again. The phase is that of the
// back-off that blocks it, or backoff.Available if the target lacks permits instead.
func (ds *Dispatcher) blocked(rq Request, id string) (until time.Time, ph backoff.Phase, blocked bool) {
	if until, ph, blocked = ds.blockedByBackOff(rq, id); blocked {
		return until, ph, true
	}
	until, blocked = ds.blockedByRateLimit(rq, id)
	return until, backoff.Available, blocked
}

// blockedByRateLimit reports whether a target has no permit for the request now, and when it may be tried again.
func (ds *Dispatcher) blockedByRateLimit(rq Request, id string) (until time.Time, blocked bool) {
	if ds.opts.Permits == nil || rq.permitTarget == id {
		return time.Time{}, false
	}
	if until, blocked = ds.opts.Permits.BlockedUntil(id); blocked {
		return until, true
	}
	return ds.opts.Now(), rq.permitRefusals >= maxPermitTries && ds.opts.Permits.Limited(id)
}

// obtainPermit obtains the permit that the chosen target requires, before any other work is done for the request. If none is
// granted, it releases the slot and fails with a noPermitError.
func (ds *Dispatcher) obtainPermit(ctx context.Context, rq Request, sl *Slot) error {
	if ds.opts.Permits == nil || rq.permitTarget == sl.Target.ID {
		return nil
	}
	if dc := ds.requestPermit(ctx, rq, sl.Target, 0); dc.Granted {
		return nil
	}
	sl.Release()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &noPermitError{}
}

// requestPermit asks the issuer for a permit that is due within the given wait, and reports a refusal to OnPermitRefused.
func (ds *Dispatcher) requestPermit(ctx context.Context, rq Request, tg targets.Target, wait time.Duration) permit.Decision {
	dc := ds.opts.Permits.Acquire(ctx, tg, wait)
	if !dc.Granted && ds.opts.OnPermitRefused != nil {
		ds.opts.OnPermitRefused(rq.ID, tg, dc.Delay)
	}
	return dc
}
