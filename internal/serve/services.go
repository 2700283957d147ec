package serve

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
	"github.com/silvermount/silvermount/internal/router"
)

// service serves a call of a plain service.
func (sv *Server) service(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	path := "/" + chi.URLParam(r, "*")
	sv.serveRequest(w, r, func(ctx context.Context, rq *request, sk *sink) error {
		if !slices.Contains(rq.inForce.Services, name) {
			return sv.refuse(ctx, rq, failure.New(failure.NotFound, failure.NotRun, "no service %q", name))
		}
		rq.never = rq.never || !repeatable(r.Method)
		return sv.runService(ctx, r, rq, sk, name, path)
	})
}

// repeatable reports whether a call with the method may be sent twice, as HTTP defines it.
func repeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func (sv *Server) runService(ctx context.Context, r *http.Request, rq *request, sk *sink, name, path string) error {
	ask := func(tried []string) router.Request {
		return router.Request{
			Prompt:   policy.Prompt{Tokens: 1},
			Filter:   fleet.Filter{Service: name, Exclude: tried, IncludePeerLoad: sv.Router.Policy().UsesPeerLoad},
			Priority: rq.class.Priority, Deadline: rq.due.At,
		}
	}
	return sv.attempts(ctx, rq, sk, ask, func(pl *router.Slot) error { return sv.callService(ctx, r, rq, sk, pl, path) })
}

func (sv *Server) callService(ctx context.Context, r *http.Request, rq *request, sk *sink, pl *router.Slot, path string) error {
	u := pl.Target.URL + path
	if r.URL.RawQuery != "" {
		u += "?" + r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, u, bytes.NewReader(rq.body))
	if err != nil {
		return failure.New(failure.BadRequest, failure.NotRun, "the path cannot be passed on").WithCause(err)
	}
	if rq.never {
		// Without GetBody the transport cannot send the call a second time by itself.
		req.GetBody = nil
	}
	serviceHeaders(req.Header, r.Header, rq)
	resp, err := sv.Service(pl.Target, req)
	if err != nil {
		return sv.serviceFailed(ctx, pl, err)
	}
	defer resp.Body.Close()
	sv.Fleet.ConfirmReachable(pl.Target.Name)
	pl.RecordFirstToken(0)
	return copyAnswer(sk, resp)
}

// notPassed are headers of this protocol or of one connection only.
var notPassed = []string{
	"Authorization", "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	HeaderKey, "X-Idempotency-Key", HeaderClass, HeaderTimeout, HeaderRepeat, HeaderTicket, headerPassed,
}

func serviceHeaders(to, from http.Header, rq *request) {
	for k, vs := range from {
		if !slices.Contains(notPassed, k) {
			to[k] = vs
		}
	}
	to.Set(HeaderRequestID, rq.id)
	if key := from.Get(HeaderKey); key != "" {
		to.Set(HeaderServiceKey, key)
	}
}

func (sv *Server) serviceFailed(ctx context.Context, pl *router.Slot, err error) error {
	if engine.NeverConnected(err) {
		sv.Fleet.MarkUnreachable(pl.Target.Name)
		return failure.New(failure.TargetLost, failure.NotRun, "the target could not be reached").WithCause(err)
	}
	if ctx.Err() != nil {
		return contextFailure(ctx).WithOutcome(failure.Unknown)
	}
	sv.Fleet.RecordFailure(pl.Target.Name)
	return failure.New(failure.TargetLost, failure.Unknown, "the target broke off before it answered").WithCause(err)
}
