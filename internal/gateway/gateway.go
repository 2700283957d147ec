// Package gateway takes callers' requests through their life: admission, attempts at targets, and the answer. It knows
// no header or field of the protocol that callers and targets speak; a Protocol translates.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/blame"
	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/life"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/reply"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// Deps are the parts that a gateway works with. All are set.
type Deps struct {
	Protocol    Protocol
	Routes      *routes.Holder
	Targets     *targets.Directory
	Dispatcher  *dispatch.Dispatcher
	Pool        *upstream.Pool
	RetryBudget *budget.Retries
	Blame       *blame.Tracker
	// Feedback takes the head of each answer, and Limits and BackOffs are what follows from them.
	Feedback   *feedback.Recorder
	RateLimits *ratelimit.Book
	BackOffs   *backoff.Book
	BodyMemory *budget.Memory
	Metrics    *metrics.Set
	Log        log.Interface
	// Random is uniform in [0, 1).
	Random func() float64
	// Now is the steady clock.
	Now func() time.Time
	// Stopping reports whether a stop was asked for.
	Stopping func() bool
}

// Limits are the bounds of a gateway.
type Limits struct {
	// MaxBodyBytes bounds one body where the configuration does not.
	MaxBodyBytes int64
	// ProofAge is the age of the newest proof of the configuration from which requests with a key are refused; zero
	// for no bound.
	MaxConfigStaleness time.Duration
}

// Gateway serves callers. It is safe for use by any goroutine.
type Gateway struct {
	Deps
	limits      atomic.Pointer[Limits]
	lifecycle   *life.Machine
	stateCounts stateCounts
	crashProbes probeSet
	// proofOld is set while requests with a key are refused for the age of the proof.
	configStale atomic.Bool
	// closed is set once new requests are refused.
	refusing atomic.Bool
	// ended is done once every request has to end; end makes it so.
	aborted context.Context
	abort   context.CancelFunc
}

// New returns a gateway.
func New(dp Deps, lm Limits) *Gateway {
	gw := &Gateway{Deps: dp, lifecycle: life.New()}
	gw.aborted, gw.abort = context.WithCancel(context.Background())
	gw.SetLimits(lm)
	gw.registerInFlightGauges()
	return gw
}

// SetLimits changes the bounds for requests from now on.
func (gw *Gateway) SetLimits(lm Limits) { gw.limits.Store(&lm) }

// Ready reports whether the instance can take new callers.
func (gw *Gateway) Ready() bool {
	tb, _ := gw.Routes.Current()
	return tb != nil && !gw.Stopping()
}

// ServeHTTP serves one request.
func (gw *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := gw.Now()
	sk := &responseWriter{Writer: reply.New(w), w: w, stopping: gw.Stopping}
	gw.stateCounts.enter(life.Received)
	rq, err := gw.admit(r, sk, began)
	defer func() {
		// A body that was not read to its end has taken memory too.
		rq.freeBody()
		gw.stateCounts.leave(rq.lifecycle.State)
	}()
	if err == nil {
		err = gw.run(r.Context(), rq, sk)
	}
	if err == nil {
		gw.clearEvidence(rq)
	}
	gw.finish(rq, sk, err)
}
