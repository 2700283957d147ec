package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/quarantine"
)

// maxRecheckInterval is the maximum time between two checks of a delayed request. Another request with the same fingerprint
// may be answered meanwhile, which clears this one too.
const maxRecheckInterval = 500 * time.Millisecond

// checkQuarantine refuses a request that is quarantined, or has something in common with others that is. The check uses fingerprints,
// since the caller may send the request again under a new id. A request under evidence is delayed until it is known what else the
// same crashes interrupted, or until its next probe.
func (gw *Gateway) checkQuarantine(ctx context.Context, rq *request) error {
	for logged := false; gw.Quarantine.HasEvidence(rq.fingerprints); logged = true {
		dc := gw.Quarantine.Check(rq.fingerprints)
		switch {
		case dc.Quarantined:
			return gw.quarantinedError(rq, dc.Quarantine)
		case dc.Delay <= 0:
			return nil
		case gw.Now().Add(dc.Delay).After(rq.deadline.At):
			return refusal(failure.Overloaded, dc.Delay, "%d targets ended while they ran this request or a part of it; it is run seldom", dc.Crashes).
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
func (gw *Gateway) quarantinedError(rq *request, qu quarantine.Quarantine) error {
	rq.quarantine = qu
	gw.countQuarantined(qu)
	return failure.New(failure.EndsTargets, gw.outcome(rq),
		"%d targets ended while they ran %s; it is not sent to another, and should not be sent again", qu.Crashes, rq.describe(qu))
}

// describe returns what a request is quarantined for, in words for its caller.
func (rq *request) describe(qu quarantine.Quarantine) string {
	var parts []string
	for _, id := range rq.PromptParts {
		if slices.Contains(qu.Members, fingerprint.OfPart(id)) {
			parts = append(parts, id)
		}
	}
	switch {
	case qu.ID().Kind == fingerprint.WholeRequest:
		return "this request"
	case len(parts) > 0:
		return "requests with prompt part " + strings.Join(parts, ", ")
	default:
		return "requests like this one"
	}
}

// reauthorise returns an error if a request that waits for capacity may no longer be sent: its key was revoked, or it was
// quarantined.
func (gw *Gateway) reauthorise(rq *request) error {
	if err := gw.recheckKey(rq); err != nil {
		return err
	}
	return gw.recheckQuarantine(rq)
}

// recheckQuarantine returns an error if a request was quarantined since it was checked.
func (gw *Gateway) recheckQuarantine(rq *request) error {
	if !gw.Quarantine.HasEvidence(rq.fingerprints) {
		return nil
	}
	if qu, refused := gw.Quarantine.Refused(rq.fingerprints); refused {
		return gw.quarantinedError(rq, qu)
	}
	return nil
}

// clearEvidence records that a request was answered completely, which shows that nothing in it crashes its targets. An answer without
// success may have been given before the target processed the request, and a stream without an event too.
func (gw *Gateway) clearEvidence(rq *request, status int) {
	if status < http.StatusOK || status >= http.StatusMultipleChoices || rq.route.Streaming && rq.eventsOfAttempt == 0 {
		return
	}
	gw.Quarantine.RecordAnswered(rq.fingerprints)
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
