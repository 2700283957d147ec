// Package gateway implements the request lifecycle: it admits the requests of callers, sends them to targets, retries
// failed attempts and forwards the responses. It is independent of the headers and fields that callers and targets use;
// a Protocol translates them.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/inflightattempts"
	"github.com/silvermount/silvermount/internal/lifecycle"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/responsewriter"
	"github.com/silvermount/silvermount/internal/retrybudget"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// Deps are the dependencies of a Gateway. All fields are required.
type Deps struct {
	Protocol    Protocol
	Routes      *routes.Holder
	Targets     *targets.Directory
	Dispatcher  *dispatch.Dispatcher
	Pool        *upstream.Pool
	RetryBudget *retrybudget.Budget
	Quarantine  *quarantine.Tracker
	// Feedback processes the head of each response from a target. RateLimits and BackOffs hold the state that it derives.
	Feedback   *feedback.Recorder
	RateLimits *ratelimit.Tracker
	BackOffs   *backoff.Tracker
	BodyMemory *budget.Memory
	Metrics    *metrics.Set
	Log        log.Interface
	// Random returns a uniformly distributed number in [0, 1).
	Random func() float64
	// Now returns the time of a monotonic clock.
	Now func() time.Time
	// Paused returns the total time for which the process was paused so far.
	Paused func() time.Duration
	// Paths is what is known of the paths from this instance to the targets.
	Paths Paths
	// Attempts holds the attempts in flight, and Losses receives evidence that ends them.
	Attempts *inflightattempts.Registry
	Losses   Losses
	// PeersHeardAge returns the time since this instance last heard a peer, and false if it is linked to none.
	PeersHeardAge func() (time.Duration, bool)
	// Stopping reports whether shutdown of the instance has been requested.
	Stopping func() bool
}

// Paths is what is known of the paths from this instance to the targets. All fields are required.
type Paths struct {
	// IsLost reports whether connections to the target at an address are made through peers, since this instance does not reach it.
	IsLost func(address string) bool
	// Isolated reports whether neither this instance nor its peers reach any target.
	Isolated func() bool
	// Check finds out in the background whether the target at an address accepts connections of this instance.
	Check func(address string)
	// AvoidPeer makes new connections lead through other peers than this one for a while.
	AvoidPeer func(peer string)
}

// Limits holds the limits that apply to all requests of a Gateway.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body. A lower limit in the configuration takes precedence.
	MaxBodyBytes int64
	// MaxResponseBytes is the maximum size of the body of a response. Zero means no limit.
	MaxResponseBytes int64
	// MaxConfigStaleness is the maximum time since the configuration was last confirmed to be the newest. Beyond it,
	// requests that need a key are refused. Zero means no limit.
	MaxConfigStaleness time.Duration
	// PlannedEndAfter is how long a target goes on serving at least once it leaves. Zero means that this is not known.
	PlannedEndAfter time.Duration
}

// Gateway is the HTTP handler for requests of callers. It is safe for concurrent use.
type Gateway struct {
	Deps
	limits      atomic.Pointer[Limits]
	lifecycle   *lifecycle.Machine
	stateCounts stateCounts
	crashProbes probeSet
	// startedAt is when New was called.
	startedAt time.Time
	// configStale is set while requests that need a key are refused because the configuration is stale.
	configStale atomic.Bool
	// refusing is set once new requests are refused.
	refusing atomic.Bool
	// aborted is cancelled by abort when all requests have to end.
	aborted context.Context
	abort   context.CancelFunc
}

// New returns a Gateway and registers its gauges.
func New(dp Deps, lm Limits) *Gateway {
	gw := &Gateway{Deps: dp, lifecycle: lifecycle.New(), startedAt: dp.Now()}
	gw.aborted, gw.abort = context.WithCancel(context.Background())
	gw.SetLimits(lm)
	gw.registerInFlightGauges()
	return gw
}

// SetLimits replaces the limits. Checks that have already been made are not repeated.
func (gw *Gateway) SetLimits(lm Limits) { gw.limits.Store(&lm) }

// Ready reports whether the instance can accept new callers: a configuration is in force, and the instance is neither stopping nor
// isolated from all targets.
func (gw *Gateway) Ready() bool {
	tb, _ := gw.Routes.Current()
	return tb != nil && !gw.turnsCallersAway()
}

// turnsCallersAway reports whether callers should open their next connection to another instance.
func (gw *Gateway) turnsCallersAway() bool { return gw.Stopping() || gw.Paths.Isolated() }

// ServeHTTP serves one request. It panics with http.ErrAbortHandler to close the connection if the response cannot be
// completed or the caller has disconnected.
func (gw *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := gw.Now()
	rw := &responseWriter{Writer: responsewriter.New(w), w: w, r: r, turnsCallersAway: gw.turnsCallersAway}
	gw.stateCounts.enter(lifecycle.Received)
	rq, err := gw.admit(r, rw, arrived)
	defer func() {
		// A body that was read only in part also holds memory.
		rq.memory.Close()
		gw.stateCounts.leave(rq.lifecycle.State)
	}()
	if err == nil {
		err = gw.run(r.Context(), rq, rw)
	}
	if err == nil {
		gw.clearEvidence(rq, rw.Status())
	}
	gw.finish(rq, rw, err)
}
