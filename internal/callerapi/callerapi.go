// Package callerapi implements the HTTP server for callers: it admits requests, runs their attempts and relays the responses.
package callerapi

import (
	"context"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/cancel"
	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/errorbudget"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/inflight"
	"github.com/silvermount/silvermount/internal/lifecycle"
	"github.com/silvermount/silvermount/internal/router"
	"github.com/silvermount/silvermount/internal/ticket"
)

// The headers of the protocol for callers.
const (
	HeaderClass          = "Silvermount-Class"
	HeaderTimeout        = "Silvermount-Timeout"
	HeaderRepeat         = "Silvermount-Repeat"
	HeaderTicket         = "Silvermount-Ticket"
	HeaderRequestID      = "Silvermount-Request-Id"
	HeaderBundle         = "Silvermount-Bundle"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderForwardedKey carries the idempotency key to plain services. http.Transport resends requests with the standard
	// header by itself, but does not know this one.
	HeaderForwardedKey = "Silvermount-Key"

	repeatNever = "never"
)

// Deps are the dependencies of a Server.
type Deps struct {
	// Incarnation identifies the current run of this instance.
	Incarnation string
	Fleet       *fleet.Fleet
	Router      *router.Router
	Bundles     *bundlestate.Holder
	Retries     *budget.Retries
	Bodies      *budget.Memory
	Claims      *claim.Claimer
	Tickets     *ticket.Ledger
	Burn        *errorbudget.Recorder
	Canceller   *cancel.Canceller
	Metrics     *metrics.Set
	Log         log.Interface
	// Stopping reports whether the shutdown of the instance has begun.
	Stopping func() bool
	// Engine returns the client of an engine.
	Engine func(t fleet.Target) *engine.Client
	// Service sends a request to a plain service.
	Service func(t fleet.Target, r *http.Request) (*http.Response, error)
}

// Limits bound the requests that a Server accepts and runs.
type Limits struct {
	// MaxBodyBytes bounds one body.
	MaxBodyBytes int64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// LongTokens is the minimum length of a long prompt, in tokens.
	LongTokens int
}

// Server serves callers' requests. It is safe for concurrent use.
type Server struct {
	Deps
	limits  Limits
	machine *lifecycle.Machine
	// abortCtx ends when the requests in flight are aborted at shutdown, with ShutdownError as its cause.
	abortCtx context.Context
	abort    context.CancelCauseFunc
	inFlight atomic.Int64
	// pendingRecords counts the claim results being written, also those whose response has already ended.
	pendingRecords inflight.Counter

	mu sync.Mutex
	// inFlightByOrganisation counts the requests in flight by organisation. Entries at zero are removed.
	inFlightByOrganisation map[string]int
	// mounted holds the handlers of other duties by path prefix. The map is replaced as a whole and never modified, so that
	// requests can iterate over it without holding mu.
	mounted map[string]http.Handler
}

// New returns a server.
func New(d Deps, l Limits) *Server {
	abortCtx, abort := context.WithCancelCause(context.Background())
	return &Server{
		Deps: d, limits: l, machine: lifecycle.New(), abortCtx: abortCtx, abort: abort,
		inFlightByOrganisation: map[string]int{}, mounted: map[string]http.Handler{},
	}
}

// ShutdownError is the cause of a request's end if the request was still in flight at the end of a shutdown.
type ShutdownError struct{}

// Error implements the error interface.
func (*ShutdownError) Error() string { return "instance is shutting down" }

// AbortInFlight aborts the requests still in flight. Each gets an error response with the known outcome; otherwise the end of
// the process would close their connections without any response.
func (sv *Server) AbortInFlight() { sv.abort(&ShutdownError{}) }

// Handler returns the HTTP handler of the protocol for callers.
func (sv *Server) Handler() http.Handler {
	rt := chi.NewRouter()
	rt.Use(withWriteDeadline)
	rt.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	rt.Get("/readyz", sv.handleReady)
	rt.Post("/v1/completions", sv.handleInference)
	rt.Post("/v1/chat/completions", sv.handleInference)
	rt.Get("/v1/models", sv.handleModels)
	rt.Post("/v1/tickets", sv.handleIssueTicket)
	rt.HandleFunc("/services/{service}/*", sv.handleService)
	rt.NotFound(sv.serveMounted)
	return rt
}

// Mount adds the handler of another duty under a path prefix.
func (sv *Server) Mount(path string, h http.Handler) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	// The map is cloned because requests may be reading the present one without the lock.
	mounted := maps.Clone(sv.mounted)
	mounted[path] = h
	sv.mounted = mounted
}

// serveMounted passes a request to the mounted handler of its path, with the prefix removed from the path.
func (sv *Server) serveMounted(w http.ResponseWriter, r *http.Request) {
	sv.mu.Lock()
	mounted := sv.mounted
	sv.mu.Unlock()
	for prefix, h := range mounted {
		if rest, ok := strings.CutPrefix(r.URL.Path, prefix); ok && (rest == "" || rest[0] == '/') {
			inner := r.Clone(context.WithValue(r.Context(), chi.RouteCtxKey, nil))
			inner.URL.Path = "/" + strings.TrimPrefix(rest, "/")
			h.ServeHTTP(w, inner)
			return
		}
	}
	newSink(w).writeError(failure.New(failure.NotFound, failure.NotRun, "no such path"))
}

// defaultWriteTimeout bounds the writing of responses that belong to no admitted request.
const defaultWriteTimeout = 30 * time.Second

// withWriteDeadline sets a new write deadline for every request. Otherwise the deadline of an earlier request on the same
// connection could cut the response off.
func withWriteDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The call fails only for writers without a connection, as in tests.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(defaultWriteTimeout))
		next.ServeHTTP(w, r)
	})
}

// InFlight returns the number of admitted requests that have not ended.
func (sv *Server) InFlight() int64 { return sv.inFlight.Load() }

// Ready reports whether the instance accepts requests: a bundle is in force and no shutdown has begun.
func (sv *Server) Ready() bool { return sv.Bundles.Current() != nil && !sv.Stopping() }

func (sv *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !sv.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
