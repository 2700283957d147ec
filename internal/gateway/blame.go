package gateway

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/failure"
)

// notBlamed refuses a request that ends the targets which run it: nothing else tells a copy under a new id from a new request.
// One that is about to be judged waits until others that stood under the same ends are known.
func (gw *Gateway) notBlamed(ctx context.Context, rq *request) error {
	for {
		hold, err := gw.blamed(rq)
		if err != nil || hold <= 0 {
			return err
		}
		if !sleep(ctx, hold) {
			return gw.timeUp(ctx, rq)
		}
	}
}

// blamed returns the refusal of a request that was judged, or how long one that may be judged is to wait.
func (gw *Gateway) blamed(rq *request) (hold time.Duration, refusal error) {
	if !gw.Blame.Knows(rq.origin()) {
		return 0, nil
	}
	vd := gw.Blame.Check(rq.fingerprint())
	if vd.Judged {
		return 0, failure.New(failure.EndsTargets, gw.outcome(rq),
			"%d targets ended while they ran this request; it is not sent to another, and should not be sent again", vd.Ends)
	}
	return vd.Hold, nil
}

// stillAllowed returns why a request that waits for room may not be sent any more.
func (gw *Gateway) stillAllowed(rq *request) error {
	if err := gw.keyHolds(rq); err != nil {
		return err
	}
	_, err := gw.blamed(rq)
	return err
}

// clear notes that a request was answered whole, by a target that therefore did not end under it.
func (gw *Gateway) clear(rq *request) {
	if gw.Blame.Knows(rq.origin()) {
		gw.Blame.Served(rq.fingerprint())
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
