package gateway

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
)

// SetShutdownTime sets when this instance stops. From now on, a request is sent to a target only if its response can be
// complete by then.
func (gw *Gateway) SetShutdownTime(at time.Time) { gw.Dispatcher.SetShutdownTime(at) }

// RefuseNewRequests makes the gateway refuse new requests. A request that arrives late in a shutdown might not end in time.
func (gw *Gateway) RefuseNewRequests() { gw.refusing.Store(true) }

// AbortRequests ends all requests in flight and refuses new ones. Each gets an error response while its connection is still
// open, unless its response has begun. If the connection were closed without a response, the caller would know neither that
// its request has not run nor when to retry.
func (gw *Gateway) AbortRequests() {
	gw.refusing.Store(true)
	gw.abort()
}

// withAbort returns a context that is also cancelled by AbortRequests. cancel releases its resources.
func (gw *Gateway) withAbort(ctx context.Context) (bound context.Context, cancel func()) {
	ctx, cancelCtx := context.WithCancel(ctx)
	if gw.aborted.Err() != nil {
		// AfterFunc runs in another goroutine, which may be too late to keep a request from being sent.
		cancelCtx()
	}
	stop := context.AfterFunc(gw.aborted, cancelCtx)
	return ctx, func() {
		stop()
		cancelCtx()
	}
}

// abortedError returns the failure of a request that AbortRequests ended.
func (gw *Gateway) abortedError(rq *request) *failure.Error {
	return failure.New(failure.Stopping, gw.outcome(rq), "the instance has ended; another takes the request").
		WithRetryAfter(dispatch.RetryElsewhereAfter)
}
