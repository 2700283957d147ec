package gateway

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/failure"
)

// heldLookMost is the longest time after which a request that is held back is looked at again: a copy may be answered meanwhile, which
// clears it.
const maxRecheckInterval = 500 * time.Millisecond

// notBlamed refuses a request that ends the targets which run it: nothing else tells a copy under a new id from a new request.
// One that may be judged waits until others that stood under the same ends are known, or until its next trial.
func (gw *Gateway) checkQuarantine(ctx context.Context, rq *request) error {
	for held := false; gw.Blame.HasEvidence(rq.headHash()); held = true {
		vd := gw.Blame.Check(rq.fingerprint())
		switch {
		case vd.Quarantined:
			return gw.quarantinedError(rq, vd.Crashes)
		case vd.Delay <= 0:
			return nil
		case gw.Now().Add(vd.Delay).After(rq.deadline.At):
			return refusal(failure.Overloaded, vd.Delay, "%d targets ended while they ran this request; it is run seldom", vd.Crashes).
				WithOutcome(gw.outcome(rq))
		}
		if !held {
			gw.logDelayed(rq, vd)
		}
		if !sleep(ctx, min(vd.Delay, maxRecheckInterval)) {
			return gw.cancellationError(ctx, rq)
		}
	}
	return nil
}

// endsTargets is the failure of a request that was judged.
func (gw *Gateway) quarantinedError(rq *request, ends int) error {
	return failure.New(failure.EndsTargets, gw.outcome(rq),
		"%d targets ended while they ran this request; it is not sent to another, and should not be sent again", ends)
}

// stillAllowed returns why a request that waits for room may not be sent any more.
func (gw *Gateway) reauthorise(rq *request) error {
	if err := gw.recheckKey(rq); err != nil {
		return err
	}
	if !gw.Blame.HasEvidence(rq.headHash()) {
		return nil
	}
	if ends, judged := gw.Blame.Quarantined(rq.fingerprint()); judged {
		return gw.quarantinedError(rq, ends)
	}
	return nil
}

// clear notes that a request was answered whole, by a target that therefore did not end under it.
func (gw *Gateway) clearEvidence(rq *request) {
	if gw.Blame.HasEvidence(rq.headHash()) {
		gw.Blame.RecordAnswered(rq.fingerprint())
	}
}

// sleep waits, and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
