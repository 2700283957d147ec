package gateway

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/failure"
)

// maxRecheckInterval is the maximum time between two checks of a delayed request. Another request with the same fingerprint
// may be answered meanwhile, which clears this one too.
const maxRecheckInterval = 500 * time.Millisecond

// checkQuarantine refuses a quarantined request. The check uses the fingerprint, since the caller may send the request again
// under a new id. A request under evidence is delayed until it is known which other requests the same crashes interrupted,
// or until its next probe.
func (gw *Gateway) checkQuarantine(ctx context.Context, rq *request) error {
	for logged := false; gw.Quarantine.HasEvidence(rq.headHash()); logged = true {
		dc := gw.Quarantine.Check(rq.fingerprint())
		switch {
		case dc.Quarantined:
			return gw.quarantinedError(rq, dc.Crashes)
		case dc.Delay <= 0:
			return nil
		case gw.Now().Add(dc.Delay).After(rq.deadline.At):
			return refusal(failure.Overloaded, dc.Delay, "%d targets ended while they ran this request; it is run seldom", dc.Crashes).
				WithOutcome(gw.outcome(rq))
		}
		if !logged {
			gw.logDelayed(rq, dc)
		}
		if !sleep(ctx, min(dc.Delay, maxRecheckInterval)) {
			return gw.cancellationError(ctx, rq)
		}
	}
	return nil
}

// quarantinedError returns the failure of a quarantined request.
func (gw *Gateway) quarantinedError(rq *request, crashes int) error {
	return failure.New(failure.EndsTargets, gw.outcome(rq),
		"%d targets ended while they ran this request; it is not sent to another, and should not be sent again", crashes)
}

// reauthorise returns an error if a request that waits for capacity may no longer be sent: its key was revoked, or it was
// quarantined.
func (gw *Gateway) reauthorise(rq *request) error {
	if err := gw.recheckKey(rq); err != nil {
		return err
	}
	if !gw.Quarantine.HasEvidence(rq.headHash()) {
		return nil
	}
	if crashes, quarantined := gw.Quarantine.Quarantined(rq.fingerprint()); quarantined {
		return gw.quarantinedError(rq, crashes)
	}
	return nil
}

// clearEvidence records that a request was answered completely, which shows that it does not crash its targets.
func (gw *Gateway) clearEvidence(rq *request) {
	if gw.Quarantine.HasEvidence(rq.headHash()) {
		gw.Quarantine.RecordAnswered(rq.fingerprint())
	}
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
