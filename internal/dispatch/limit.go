package dispatch

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/targets"
)

// The load that permits answer: a target in need names how many requests a second it takes from all instances together. Each of them is
// sent with a permit, so that the sum keeps to it. A target without permits to give is closed, as one without a slot is: the choice looks
// at the others in the first place.

// noPermitError says that the chosen target has no permit to give, and is closed now.
type noPermitError struct{}

// Error says so.
func (*noPermitError) Error() string { return "the target has no permit to give" }

// permitTries bounds the permits that one request is refused before it looks for targets without a limit alone: each takes a round trip
// to another instance, all of them well within the shortest objective.
const permitTries = 8

// closed reports whether a target takes no request of this one's now, and when it may be asked again.
// The phase is that of the back-off that closes it; Open where it lacks permits.
func (ds *Dispatcher) closed(as Ask, id string) (opens time.Time, by backoff.Phase, closed bool) {
	if opens, by, closed = ds.backedOff(as, id); closed {
		return opens, by, true
	}
	opens, closed = ds.unpermitted(as, id)
	return opens, backoff.Available, closed
}

// unpermitted reports whether a target has no permit for a request now, and when it may be asked again.
func (ds *Dispatcher) unpermitted(as Ask, id string) (opens time.Time, closed bool) {
	if ds.opts.Permits == nil || as.permitted == id {
		return time.Time{}, false
	}
	if opens, closed = ds.opts.Permits.Closed(id); closed {
		return opens, true
	}
	return ds.opts.Now(), as.refusals >= permitTries && ds.opts.Permits.Limited(id)
}

// permit asks for what the chosen target needs, before anything else is spent on it. Without a permit it fails with a noPermitError, and
// the slot is released.
func (ds *Dispatcher) permit(ctx context.Context, as Ask, sl *Slot) error {
	if ds.opts.Permits == nil || as.permitted == sl.Target.ID {
		return nil
	}
	if an := ds.take(ctx, as, sl.Target, 0); an.Granted {
		return nil
	}
	sl.Release()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &noPermitError{}
}

// take asks for a permit, and tells of a refusal.
func (ds *Dispatcher) take(ctx context.Context, as Ask, tg targets.Target, wait time.Duration) permit.Answer {
	an := ds.opts.Permits.Take(ctx, tg, wait)
	if !an.Granted && ds.opts.TurnedElsewhere != nil {
		ds.opts.TurnedElsewhere(as.Request, tg, an.After)
	}
	return an
}
