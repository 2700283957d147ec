// Package serve is the callers' side: it admits requests, runs their attempts and passes answers on.
package serve

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
	"github.com/silvermount/silvermount/internal/burn"
	"github.com/silvermount/silvermount/internal/cancel"
	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/life"
	"github.com/silvermount/silvermount/internal/pending"
	"github.com/silvermount/silvermount/internal/rollout"
	"github.com/silvermount/silvermount/internal/router"
	"github.com/silvermount/silvermount/internal/ticket"
)

// The headers of the callers' protocol.
const (
	HeaderClass          = "Silvermount-Class"
	HeaderTimeout        = "Silvermount-Timeout"
	HeaderRepeat         = "Silvermount-Repeat"
	HeaderTicket         = "Silvermount-Ticket"
	HeaderRequestID      = "Silvermount-Request-Id"
	HeaderBundle         = "Silvermount-Bundle"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderServiceKey is the name under which a plain service gets the key: the HTTP transport does not know it,
	// and so does not send the request a second time by itself.
	HeaderForwardedKey = "Silvermount-Key"

	repeatNever = "never"
)

// Deps are the parts that the callers' side works with.
type Deps struct {
	// Incarnation is that of this instance.
	Incarnation string
	Fleet       *fleet.Fleet
	Router      *router.Router
	Bundles     *rollout.Holder
	Retries     *budget.Retries
	Bodies      *budget.Memory
	Claims      *claim.Claimer
	Tickets     *ticket.Ledger
	Burn        *burn.Recorder
	Canceller   *cancel.Canceller
	Metrics     *metrics.Set
	Log         log.Interface
	// Stopping reports whether a stop was asked for.
	Stopping func() bool
	// Engine returns the client of an engine, Service the client for plain services.
	Engine  func(t fleet.Target) *engine.Client
	Service func(t fleet.Target, r *http.Request) (*http.Response, error)
}

// Limits are the bounds of the callers' side.
type Limits struct {
	// MaxBodyBytes bounds one body.
	MaxBodyBytes int64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// LongTokens is the length from which a prompt is long.
	LongTokens int
}

// Server serves callers. It is safe for use by any goroutine.
type Server struct {
	Deps
	limits  Limits
	machine *life.Machine
	// over ends when the requests that are left are given up, with GivenUpError as its cause.
	over     context.Context
	giveUp   context.CancelCauseFunc
	inFlight atomic.Int64
	// settling counts the results that are being recorded, also behind answers that have ended.
	settling pending.Counter

	mu sync.Mutex
	// byOrganisation counts requests in flight; entries at zero are removed.
	byOrganisation map[string]int
	// mounted are handlers of other duties, by the start of their path. The map is replaced, never changed.
	mounted map[string]http.Handler
}

// New returns a server.
func New(d Deps, l Limits) *Server {
	over, giveUp := context.WithCancelCause(context.Background())
	return &Server{
		Deps: d, limits: l, machine: life.New(), over: over, giveUp: giveUp,
		byOrganisation: map[string]int{}, mounted: map[string]http.Handler{},
	}
}

// GivenUpError is the cause of the end of a request that was left at the end of a stop.
type ShutdownError struct{}

// Error says why.
func (*ShutdownError) Error() string { return "the instance ends" }

// GiveUp ends the requests that are left, each with an answer that says what is known: the process would end their
// connections without a word.
func (sv *Server) AbortInFlight() { sv.giveUp(&ShutdownError{}) }

// Handler serves the callers' protocol.
func (sv *Server) Handler() http.Handler {
	rt := chi.NewRouter()
	rt.Use(boundWrites)
	rt.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	rt.Get("/readyz", sv.ready)
	rt.Post("/v1/completions", sv.inference)
	rt.Post("/v1/chat/completions", sv.inference)
	rt.Get("/v1/models", sv.models)
	rt.Post("/v1/tickets", sv.issueTicket)
	rt.HandleFunc("/services/{service}/*", sv.service)
	rt.NotFound(sv.other)
	return rt
}

// Mount adds the handler of another duty under a path.
func (sv *Server) Mount(path string, h http.Handler) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	// Requests read the old map meanwhile.
	mounted := maps.Clone(sv.mounted)
	mounted[path] = h
	sv.mounted = mounted
}

// other serves mounted paths.
func (sv *Server) other(w http.ResponseWriter, r *http.Request) {
	sv.mu.Lock()
	mounted := sv.mounted
	sv.mu.Unlock()
	for path, h := range mounted {
		if rest, ok := strings.CutPrefix(r.URL.Path, path); ok && (rest == "" || rest[0] == '/') {
			inner := r.Clone(context.WithValue(r.Context(), chi.RouteCtxKey, nil))
			inner.URL.Path = "/" + strings.TrimPrefix(rest, "/")
			h.ServeHTTP(w, inner)
			return
		}
	}
	newSink(w).fail(failure.New(failure.NotFound, failure.NotRun, "no such path"))
}

// smallAnswerLimit bounds the writing of answers that belong to no admitted request.
const smallAnswerLimit = 30 * time.Second

// boundWrites gives every request a write deadline of its own: one left by an earlier request on the same connection
// would cut the answer off.
func boundWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// It fails only where the writer is not a connection, as in tests.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(smallAnswerLimit))
		next.ServeHTTP(w, r)
	})
}

// InFlight returns how many requests are being served.
func (sv *Server) InFlight() int64 { return sv.inFlight.Load() }

// Ready reports whether the instance can take requests.
func (sv *Server) Ready() bool { return sv.Bundles.Current() != nil && !sv.Stopping() }

func (sv *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !sv.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
