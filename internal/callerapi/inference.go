package callerapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/claim"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/lifecycle"
	"github.com/silvermount/silvermount/internal/outcome"
	"github.com/silvermount/silvermount/internal/retry"
	"github.com/silvermount/silvermount/internal/router"
)

// runFunc runs an admitted request: it makes its attempts and writes the response.
type runFunc func(ctx context.Context, rq *request, sk *sink) error

// handleInference serves chat and text completions.
func (sv *Server) handleInference(w http.ResponseWriter, r *http.Request) {
	sv.serveRequest(w, r, func(ctx context.Context, rq *request, sk *sink) error {
		if err := rq.parse(); err != nil {
			return sv.refuse(ctx, rq, err)
		}
		return sv.runInference(ctx, rq, sk)
	})
}

// serveRequest does what all requests have in common: admission, reading of the body, deduplication by ticket or key, the
// final error and metrics.
func (sv *Server) serveRequest(w http.ResponseWriter, r *http.Request, run runFunc) {
	sk := newSink(w)
	rq, err := sv.newRequest(r)
	if err != nil {
		sv.countError(err)
		sk.writeError(err)
		return
	}
	w.Header().Set(HeaderRequestID, rq.id)
	w.Header().Set(HeaderBundle, strconv.FormatInt(rq.inForce.Version, 10))
	if sv.Stopping() {
		w.Header().Set("Connection", "close")
	}
	ctx, release, err := sv.admit(r, rq, sk)
	if err != nil {
		sv.countError(err)
		sk.writeError(err)
		return
	}
	defer release()
	body, free, err := sv.readBody(r)
	defer free()
	if err == nil {
		sv.logDeadlineError(rq, rq.deadline.ClearReadDeadline(sk.Controller()))
		rq.body = body
		err = sv.runDeduplicated(ctx, r, rq, sk, run)
	}
	sv.recordObjective(rq, err)
	if err != nil {
		sv.countError(err)
		sk.writeError(err)
	}
}

// runDeduplicated runs a request under its ticket or idempotency key, if it has one.
func (sv *Server) runDeduplicated(ctx context.Context, r *http.Request, rq *request, sk *sink, run runFunc) error {
	if tk := r.Header.Get(HeaderTicket); tk != "" {
		return sv.runWithTicket(ctx, r, tk, rq, sk, run)
	}
	if key := r.Header.Get(HeaderIdempotencyKey); key != "" {
		return sv.runWithKey(ctx, key, rq, sk, run)
	}
	return run(ctx, rq, sk)
}

// runWithKey claims an idempotency key and runs the request, or replays the recorded response of an earlier request with the
// key.
func (sv *Server) runWithKey(ctx context.Context, key string, rq *request, sk *sink, run runFunc) error {
	cl, resp, err := sv.Claims.Acquire(ctx, claim.ObjectName(rq.org.Name, rq.path+"\x00"+key), rq.body)
	if err != nil {
		return err
	}
	if resp != nil {
		sk.replay(resp)
		return nil
	}
	rq.atMostOnce = true
	sk.recording = &claim.Response{}
	err = run(ctx, rq, sk)
	sv.writeClaimResult(ctx, cl, sk.recording, err)
	return err
}

// writeClaimResult writes the result of a request with a key to its claim, also if the caller is gone. If the store is slow,
// the write continues in the background after recordWait, so that the end of the caller's response does not wait for it.
func (sv *Server) writeClaimResult(ctx context.Context, cl *claim.Claim, resp *claim.Response, err error) {
	done := make(chan struct{})
	endPending := sv.pendingRecords.Begin()
	go func() {
		defer close(done)
		defer endPending()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		defer cancel()
		switch {
		case err == nil:
			cl.Complete(ctx, *resp)
		case failure.FromError(err).Outcome == failure.NotRun:
			cl.Release(ctx)
		default:
			cl.MarkLost(ctx)
		}
	}()
	select {
	case <-done:
	case <-time.After(recordWait):
	}
}

// WaitForRecords waits until the results of all requests with a key are written to their claims. Without the wait, a shutdown
// could leave a claim without a result although the caller has received the response.
func (sv *Server) WaitForRecords(ctx context.Context) error { return sv.pendingRecords.Wait(ctx) }

// refuse ends a request of which nothing was sent to a target. It returns err.
func (sv *Server) refuse(ctx context.Context, rq *request, err error) error {
	if fireErr := sv.machine.Fire(ctx, &rq.life, lifecycle.Refuse); fireErr != nil {
		return fireErr
	}
	return err
}

// runInference makes the attempts of an inference request.
func (sv *Server) runInference(ctx context.Context, rq *request, sk *sink) error {
	newRequest := func(tried []string) router.Request {
		return router.Request{
			Prompt:   rq.policyRequest(sv.limits.LongTokens),
			Filter:   fleet.Filter{Model: rq.fields.Model, Exclude: tried, IncludePeerLoad: sv.Router.Policy().UsesPeerLoad},
			Priority: rq.class.Priority, Sheddable: rq.class.Yields, Deadline: rq.deadline.At,
		}
	}
	return sv.runAttempts(ctx, rq, sk, newRequest, func(sl *router.Slot) error { return sv.runAttempt(ctx, rq, sk, sl) })
}

// runAttempts acquires slots and calls targets until a response is complete or no further attempt is allowed.
func (sv *Server) runAttempts(
	ctx context.Context, rq *request, sk *sink, newRequest func(tried []string) router.Request, call func(*router.Slot) error,
) error {
	if err := sv.machine.Fire(ctx, &rq.life, lifecycle.Admit); err != nil {
		return err
	}
	sv.Retries.Deposit()
	var tried []string
	var outcomes outcome.Aggregate
	for {
		sl, err := sv.Router.Acquire(ctx, newRequest(tried))
		if err != nil && len(tried) > 0 && failure.FromError(err).Code == failure.NoTarget {
			// All targets were tried, so any of them may be tried again.
			tried = nil
			sl, err = sv.Router.Acquire(ctx, newRequest(tried))
		}
		if err != nil {
			return sv.endFailed(rq, sk, noSlotFailure(ctx, outcomes, err))
		}
		if sv.abortCtx.Err() != nil {
			// The slot became free because another request was aborted at shutdown. This request is aborted too, but its own
			// context has not ended yet.
			sl.Release()
			return sv.endFailed(rq, sk, noSlotFailure(sv.abortCtx, outcomes, sv.abortCtx.Err()))
		}
		if err := sv.machine.Fire(ctx, &rq.life, lifecycle.Dispatch); err != nil {
			sl.Release()
			return err
		}
		err = call(sl)
		sl.Release()
		if err == nil {
			return sv.machine.Fire(ctx, &rq.life, lifecycle.Finish)
		}
		fe := failure.FromError(err)
		outcomes.Add(fe.Outcome)
		if !sv.shouldRetry(ctx, rq, sk, fe, outcomes) {
			return sv.endFailed(rq, sk, outcomes.Apply(fe))
		}
		tried = append(tried, sl.Target.Name)
		if err := sv.machine.Fire(ctx, &rq.life, lifecycle.Retry); err != nil {
			return err
		}
	}
}

// noSlotFailure returns the failure of a request that got no slot. If the request was aborted at shutdown before anything
// was sent, the caller may retry it almost immediately over a new connection.
func noSlotFailure(ctx context.Context, outcomes outcome.Aggregate, err error) *failure.Error {
	var se *ShutdownError
	switch {
	case !errors.As(context.Cause(ctx), &se):
		return outcomes.Apply(failure.FromError(err))
	case outcomes.MayHaveRun():
		return outcomes.Apply(failureFromContext(ctx))
	default:
		return failure.New(failure.Stopping, failure.NotRun, "the instance ends before a place came free").
			WithCause(se).WithRetryAfter(time.Second)
	}
}

// shouldRetry reports whether a failed attempt is followed by another one.
func (sv *Server) shouldRetry(ctx context.Context, rq *request, sk *sink, fe *failure.Error, outcomes outcome.Aggregate) bool {
	return retry.FailedAttempt{
		Code: fe.Code, Cancelled: rq.isOver(ctx), AtMostOnce: rq.atMostOnce, MayHaveRun: outcomes.MayHaveRun(),
		Attempts: rq.life.Attempts, MaxAttempts: sv.limits.MaxAttempts, ResponseStarted: sk.Started(),
		TryResume: func() bool { return rq.class.ContinueElsewhere && sv.rebuildForContinuation(rq, sk) },
	}.ShouldRetry(sv.Retries.TryWithdraw)
}

// endFailed moves a request that gets no complete response to its final state, and returns its failure. The outcome "not run"
// becomes "failed" if the caller has received a part of a response.
func (sv *Server) endFailed(rq *request, sk *sink, fe *failure.Error) error {
	notRun := fe.Outcome == failure.NotRun
	if err := sv.machine.Abort(&rq.life, notRun && !sk.Started()); err != nil {
		return err
	}
	if notRun && sk.Started() {
		return fe.WithOutcome(failure.Failed)
	}
	return fe
}
