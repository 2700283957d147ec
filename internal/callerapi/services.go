package callerapi

import (
	"bytes"
	"context"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/policy"
	"github.com/silvermount/silvermount/internal/responsecheck"
	"github.com/silvermount/silvermount/internal/router"
)

// handleService forwards a request to a plain service.
func (sv *Server) handleService(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	path := "/" + chi.URLParam(r, "*")
	sv.serveRequest(w, r, func(ctx context.Context, rq *request, sk *sink) error {
		if !slices.Contains(rq.inForce.Services, name) {
			return sv.refuse(ctx, rq, failure.New(failure.NotFound, failure.NotRun, "no service %q", name))
		}
		rq.atMostOnce = rq.atMostOnce || !isIdempotent(r.Method)
		return sv.runService(ctx, r, rq, sk, name, path)
	})
}

// isIdempotent reports whether HTTP defines a method as idempotent, so that its requests may be sent again.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// runService makes the attempts of a request to a plain service.
func (sv *Server) runService(ctx context.Context, r *http.Request, rq *request, sk *sink, name, path string) error {
	newRequest := func(tried []string) router.Request {
		return router.Request{
			Prompt:   policy.Prompt{Tokens: 1},
			Filter:   fleet.Filter{Service: name, Exclude: tried, IncludePeerLoad: sv.Router.Policy().UsesPeerLoad},
			Priority: rq.class.Priority, Deadline: rq.deadline.At,
		}
	}
	return sv.runAttempts(ctx, rq, sk, newRequest, func(sl *router.Slot) error { return sv.callService(ctx, r, rq, sk, sl, path) })
}

// callService sends a request to one instance of a plain service and relays the response to the caller.
func (sv *Server) callService(ctx context.Context, r *http.Request, rq *request, sk *sink, sl *router.Slot, path string) error {
	if rq.isOver(ctx) {
		return failureFromContext(ctx).WithOutcome(failure.NotRun)
	}
	u := sl.Target.URL + path
	if r.URL.RawQuery != "" {
		u += "?" + r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, u, bytes.NewReader(rq.body))
	if err != nil {
		return failure.New(failure.BadRequest, failure.NotRun, "the path cannot be passed on").WithCause(err)
	}
	if rq.atMostOnce {
		// Without GetBody, http.Transport cannot resend the request by itself.
		req.GetBody = nil
	}
	copyServiceHeaders(req.Header, r.Header, rq)
	resp, err := sv.Service(sl.Target, req)
	if err != nil {
		return sv.handleServiceError(ctx, rq, sl, err)
	}
	defer resp.Body.Close()
	if err := responsecheck.Check(resp); err != nil {
		return sv.handleServiceError(ctx, rq, sl, err)
	}
	sv.Fleet.ConfirmReachable(sl.Target.Name)
	sl.RecordFirstToken(0)
	ew := sv.watchEnd(ctx, sl.Target.Name, resp)
	defer ew.close()
	return copyResponse(sk, resp, ew)
}

// strippedHeaders are the headers that are not forwarded to plain services: those of the protocol for callers and those of a
// single connection.
var strippedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	HeaderIdempotencyKey, "X-Idempotency-Key", HeaderClass, HeaderTimeout, HeaderRepeat, HeaderTicket, headerForwarded,
}

// copyServiceHeaders copies the headers that a plain service gets, and adds the request ID and the idempotency key.
func copyServiceHeaders(to, from http.Header, rq *request) {
	for k, vs := range from {
		if !slices.Contains(strippedHeaders, k) {
			to[k] = vs
		}
	}
	to.Set(HeaderRequestID, rq.id)
	if key := from.Get(HeaderIdempotencyKey); key != "" {
		to.Set(HeaderForwardedKey, key)
	}
}

// handleServiceError returns the failure of a call that got no response, and updates the state of its target.
func (sv *Server) handleServiceError(ctx context.Context, rq *request, sl *router.Slot, err error) error {
	if engine.IsDialError(err) {
		sv.Fleet.MarkUnreachable(sl.Target.Name)
		return failure.New(failure.TargetLost, failure.NotRun, "the target could not be reached").WithCause(err)
	}
	if rq.isOver(ctx) {
		return failureFromContext(ctx).WithOutcome(failure.Unknown)
	}
	sv.Fleet.RecordFailure(sl.Target.Name)
	return failure.New(failure.TargetLost, failure.Unknown, "the target broke off before it answered").WithCause(err)
}
