package serve

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/life"
	"github.com/silvermount/silvermount/internal/outcome"
	"github.com/silvermount/silvermount/internal/retry"
	"github.com/silvermount/silvermount/internal/router"
)

// runFunc takes an admitted request through its attempts.
type runFunc func(ctx context.Context, rq *request, sk *sink) error

// inference serves a chat or text completion.
func (sv *Server) inference(w http.ResponseWriter, r *http.Request) {
	sv.serveRequest(w, r, func(ctx context.Context, rq *request, sk *sink) error {
		if err := rq.parse(); err != nil {
			return sv.refuse(ctx, rq, err)
		}
		return sv.run(ctx, rq, sk)
	})
}

// serveRequest does what all requests share: admission, body, run at most once, final error, accounts.
func (sv *Server) serveRequest(w http.ResponseWriter, r *http.Request, run runFunc) {
	sk := newSink(w)
	rq, err := sv.open(r)
	if err != nil {
		sv.countError(err)
		sk.fail(err)
		return
	}
	w.Header().Set(HeaderRequestID, rq.id)
	w.Header().Set(HeaderBundle, strconv.FormatInt(rq.inForce.Version, 10))
	if sv.Stopping() {
		w.Header().Set("Connection", "close")
	}
	ctx, end, err := sv.begin(r, rq, sk)
	if err != nil {
		sv.countError(err)
		sk.fail(err)
		return
	}
	defer end()
	body, free, err := sv.readBody(r)
	defer free()
	if err == nil {
		sv.logDeadline(rq, rq.due.BodyRead(sk.Control()))
		rq.body = body
		err = sv.once(ctx, r, rq, sk, run)
	}
	if err != nil {
		sv.countError(err)
		sk.fail(err)
	}
	sv.account(rq, err)
}

// once runs a request under its ticket or idempotency key, when it has one.
func (sv *Server) once(ctx context.Context, r *http.Request, rq *request, sk *sink, run runFunc) error {
	if tk := r.Header.Get(HeaderTicket); tk != "" {
		return sv.withTicket(ctx, r, tk, rq, sk, run)
	}
	if key := r.Header.Get(HeaderKey); key != "" {
		return sv.withKey(ctx, key, rq, sk, run)
	}
	return run(ctx, rq, sk)
}

func (sv *Server) withKey(ctx context.Context, key string, rq *request, sk *sink, run runFunc) error {
	cl, ans, err := sv.Claims.Acquire(ctx, claim.ObjectName(rq.org.Name, rq.path+"\x00"+key), rq.body)
	if err != nil {
		return err
	}
	if ans != nil {
		sk.replay(ans)
		return nil
	}
	rq.never = true
	sk.record = &claim.Response{}
	err = run(ctx, rq, sk)
	sv.settle(ctx, cl, sk.record, err)
	return err
}

// settle records how a request with a key ended. The record is written also when the caller is gone; when the store is
// slow it goes on behind, so that the end of the caller's answer does not wait for it.
func (sv *Server) settle(ctx context.Context, cl *claim.Claim, ans *claim.Response, err error) {
	done := make(chan struct{})
	settled := sv.settling.Begin()
	go func() {
		defer close(done)
		defer settled()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
		defer cancel()
		switch {
		case err == nil:
			cl.Complete(ctx, *ans)
		case failure.FromError(err).Outcome == failure.NotRun:
			cl.Release(ctx)
		default:
			cl.MarkLost(ctx)
		}
	}()
	select {
	case <-done:
	case <-time.After(settleWait):
	}
}

// Settled waits until the results of all requests with a key are recorded. A stop that did not wait would leave a claim
// whose result nobody knows, though its caller has the answer.
func (sv *Server) Settled(ctx context.Context) error { return sv.settling.Wait(ctx) }

// refuse ends a request that nothing was sent of.
func (sv *Server) refuse(ctx context.Context, rq *request, err error) error {
	if ferr := sv.machine.Fire(ctx, &rq.life, life.Refuse); ferr != nil {
		return ferr
	}
	return err
}

// run takes an inference request through its attempts.
func (sv *Server) run(ctx context.Context, rq *request, sk *sink) error {
	ask := func(tried []string) router.Request {
		return router.Request{
			Prompt:   rq.policyRequest(sv.limits.LongTokens),
			Filter:   fleet.Filter{Model: rq.fields.Model, Exclude: tried, IncludePeerLoad: sv.Router.Policy().UsesPeerLoad},
			Priority: rq.class.Priority, Sheddable: rq.class.Yields, Deadline: rq.due.At,
		}
	}
	return sv.attempts(ctx, rq, sk, ask, func(pl *router.Slot) error { return sv.attempt(ctx, rq, sk, pl) })
}

// attempts finds places and calls targets until an answer is whole or no further attempt is allowed.
func (sv *Server) attempts(ctx context.Context, rq *request, sk *sink, ask func(tried []string) router.Request, call func(*router.Slot) error) error {
	if err := sv.machine.Fire(ctx, &rq.life, life.Admit); err != nil {
		return err
	}
	sv.Retries.Deposit()
	var tried []string
	var known outcome.Aggregate
	for {
		pl, err := sv.Router.Acquire(ctx, ask(tried))
		if err != nil && len(tried) > 0 && failure.FromError(err).Code == failure.NoTarget {
			// All were tried: any may be tried again.
			tried = nil
			pl, err = sv.Router.Acquire(ctx, ask(tried))
		}
		if err != nil {
			return sv.end(rq, sk, noPlace(ctx, known, err))
		}
		if sv.over.Err() != nil {
			// A request that was given up left its place to this one, which is told of the end a moment later.
			pl.Release()
			return sv.end(rq, sk, noPlace(sv.over, known, sv.over.Err()))
		}
		if err := sv.machine.Fire(ctx, &rq.life, life.Dispatch); err != nil {
			pl.Release()
			return err
		}
		err = call(pl)
		pl.Release()
		if err == nil {
			return sv.machine.Fire(ctx, &rq.life, life.Finish)
		}
		fe := failure.FromError(err)
		known.Add(fe.Outcome)
		if !sv.mayRetry(ctx, rq, sk, fe, known) {
			return sv.end(rq, sk, known.Apply(fe))
		}
		tried = append(tried, pl.Target.Name)
		if err := sv.machine.Fire(ctx, &rq.life, life.Retry); err != nil {
			return err
		}
	}
}

// noPlace is the failure of a request that found no place. One that was given up before anything was sent may come back at
// once, over a new connection.
func noPlace(ctx context.Context, known outcome.Aggregate, err error) *failure.Error {
	var ge *GivenUpError
	switch {
	case !errors.As(context.Cause(ctx), &ge):
		return known.Apply(failure.FromError(err))
	case known.MayHaveRun():
		return known.Apply(contextFailure(ctx))
	default:
		return failure.New(failure.Stopping, failure.NotRun, "the instance ends before a place came free").
			WithCause(ge).WithRetryAfter(time.Second)
	}
}

// mayRetry decides whether a failed attempt is followed by another.
func (sv *Server) mayRetry(ctx context.Context, rq *request, sk *sink, fe *failure.Error, known outcome.Aggregate) bool {
	return retry.FailedAttempt{
		Code: fe.Code, Cancelled: ctx.Err() != nil, AtMostOnce: rq.never, MayHaveRun: known.MayHaveRun(),
		Attempts: rq.life.Attempts, MaxAttempts: sv.limits.MaxAttempts, ResponseStarted: sk.Started(),
		TryResume: func() bool { return rq.class.ContinueElsewhere && sv.rebuild(rq, sk) },
	}.ShouldRetry(sv.Retries)
}

// end closes the life of a request that gets no whole answer, and says what is known.
func (sv *Server) end(rq *request, sk *sink, fe *failure.Error) error {
	notRun := fe.Outcome == failure.NotRun
	if err := sv.machine.Abort(&rq.life, notRun && !sk.Started()); err != nil {
		return err
	}
	if notRun && sk.Started() {
		return fe.WithOutcome(failure.Failed)
	}
	return fe
}
