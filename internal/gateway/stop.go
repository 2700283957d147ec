package gateway

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
)

// EndsAt tells when this instance ends: from now on a request is sent to a target only if its answer can be whole by then.
func (gw *Gateway) SetShutdownTime(at time.Time) { gw.Dispatcher.SetShutdownTime(at) }

// StopTaking makes the gateway refuse new requests from now on: one that comes late in a stop might not end in time.
func (gw *Gateway) RefuseNewRequests() { gw.refusing.Store(true) }

// End ends every request that is still being served, and those that come. Each is answered while its connection is still
// open, but for answers that have begun: closed without one, a caller would know neither that its request has not run nor
// when to come back.
func (gw *Gateway) AbortRequests() {
	gw.refusing.Store(true)
	gw.abort()
}

// untilEnd returns a context that also ends with the instance. cancel frees it.
func (gw *Gateway) withAbort(ctx context.Context) (bound context.Context, cancel func()) {
	ctx, end := context.WithCancel(ctx)
	if gw.aborted.Err() != nil {
		// At once: what is done in the background comes too late for a request that is just being sent.
		end()
	}
	detach := context.AfterFunc(gw.aborted, end)
	return ctx, func() {
		detach()
		end()
	}
}

// cutShort is the failure of a request that the end of the instance ended.
func (gw *Gateway) abortedError(rq *request) *failure.Error {
	return failure.New(failure.Stopping, gw.outcome(rq), "the instance has ended; another takes the request").
		WithRetryAfter(dispatch.RetryElsewhereAfter)
}
