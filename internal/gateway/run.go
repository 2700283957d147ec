package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/life"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/retry"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// dialTries bounds the targets that are tried in a row because they take no connection: nothing is sent there, so no
// retry is spent.
const maxDialRetries = 6

// run takes an admitted request through its attempts.
func (gw *Gateway) run(ctx context.Context, rq *request, sk *responseWriter) error {
	ctx, cancel := rq.deadline.Context(ctx)
	defer cancel()
	ctx, cancelEnd := gw.withAbort(ctx)
	defer cancelEnd()
	if err := gw.transition(ctx, rq, life.Admit); err != nil {
		return err
	}
	gw.RetryBudget.First()
	rq.service = rq.route.Pick(gw.Random())
	var last *failure.Error
	for dials := 0; ; {
		err := gw.attempt(ctx, rq, sk)
		if err == nil {
			return gw.transition(ctx, rq, life.Finish)
		}
		last = failure.FromError(err)
		if isUnsent(last) && dials < maxDialRetries && ctx.Err() == nil {
			dials++
			continue
		}
		if !gw.shouldRetry(ctx, rq, sk, last) {
			return last
		}
		if err := gw.transition(ctx, rq, life.Retry); err != nil {
			return err
		}
	}
}

// unsent reports whether an attempt ended before anything was sent to the target it was meant for.
func isUnsent(fe *failure.Error) bool { return fe.Code == failure.TargetUnreachable }

// attempt finds a target, sends the request there and passes the answer on.
func (gw *Gateway) attempt(ctx context.Context, rq *request, sk *responseWriter) error {
	if len(rq.tried) == 0 {
		// The configuration may have changed while earlier targets were not reached, or the process may have been frozen.
		if err := gw.authorise(rq); err != nil {
			return err
		}
	}
	if err := gw.checkQuarantine(ctx, rq); err != nil {
		return err
	}
	sl, err := gw.Dispatcher.Acquire(reservation.WithRequestID(ctx, rq.RequestID), gw.dispatchRequest(rq))
	if err != nil {
		return gw.acquireError(ctx, rq, err)
	}
	defer sl.Release()
	var ce *UnavailableTargetError
	if errors.As(gw.checkAvailable(sl), &ce) {
		return gw.skipTarget(rq, sl, ce)
	}
	if rq.lifecycle.State == life.Waiting {
		if err := gw.transition(ctx, rq, life.Dispatch); err != nil {
			return err
		}
	}
	err = gw.sendAndForward(ctx, rq, sk, sl)
	if err != nil && isTargetFault(failure.FromError(err)) {
		sl.RecordFailure()
	}
	return err
}

// ofTarget reports whether an attempt failed by its target's doing.
func isTargetFault(fe *failure.Error) bool {
	return fe.Code == failure.TargetLost || fe.Code == failure.TargetRefused
}

// exchangeWith sends a request to the target that was found, and passes its answer on.
func (gw *Gateway) sendAndForward(ctx context.Context, rq *request, sk *responseWriter, sl *dispatch.Slot) error {
	an, err := gw.send(ctx, rq, sl)
	if err != nil {
		return err
	}
	defer an.Close()
	return gw.handleResponse(ctx, rq, sk, sl, an)
}

func (gw *Gateway) dispatchRequest(rq *request) dispatch.Request {
	sv, _ := rq.table.Service(rq.service)
	sv.Name = rq.service
	return dispatch.Request{
		ID: rq.RequestID, Service: sv, Exclude: rq.excluded,
		PromptTokens: rq.PromptTokens, MaxAnswerTokens: rq.MaxAnswerTokens, AnswerTokensHint: rq.AnswerTokensHint, EventsForwarded: rq.eventsForwarded,
		Objective: rq.route.Objective, MaxPause: rq.route.LongestPause, CallerIdleTimeout: rq.route.Patience,
		Arrived: rq.arrived, Deadline: rq.deadline.At, Priority: rq.priority(), Resumed: rq.forwardedEventID >= 0,
		Caution: rq.caution(), Authorise: func() error { return gw.reauthorise(rq) },
		CanRetry: len(rq.tried) == 0 && rq.route.MaxAttempts > 1 && gw.RetryBudget.Left(), Retried: len(rq.tried) > 0,
	}
}

// caution is how sure the request must be of its target: one that may run only once shuns all that failed lately, and
// one that lost an attempt already is no probe.
func (rq *request) caution() targets.Caution {
	switch {
	case rq.route.Exclusive():
		return targets.Sure
	case len(rq.tried) > 0:
		return targets.Proven
	default:
		return targets.Any
	}
}

// priority is the organisation's rank where it has one, else the route's.
func (rq *request) priority() int {
	if rq.org.RanksItself {
		return rq.org.Priority
	}
	return rq.route.Priority
}

func (gw *Gateway) acquireError(ctx context.Context, rq *request, err error) error {
	if ctx.Err() != nil {
		return gw.cancellationError(ctx, rq)
	}
	var fe *failure.Error
	if errors.As(err, &fe) {
		return fe.WithOutcome(gw.outcome(rq))
	}
	return failure.New(failure.NoTarget, gw.outcome(rq), "no target can take the request").WithCause(err).WithRetryAfter(overloadRetryAfter)
}

// outcome is what is known so far about whether the request ran.
func (gw *Gateway) outcome(rq *request) failure.Outcome {
	return rq.outcomes.Outcome()
}

// timeUp is the failure of a request whose time is over, whose caller has gone, or whose instance has ended.
func (gw *Gateway) cancellationError(ctx context.Context, rq *request) *failure.Error {
	switch {
	case gw.aborted.Err() != nil:
		// The end of the instance also looks like a caller that has gone: it breaks off the reading of connections.
		return gw.abortedError(rq)
	case ctx.Err() != nil && gw.Now().Before(rq.deadline.At):
		return failure.New(failure.CallerGone, gw.outcome(rq), "the caller went away")
	default:
		return failure.New(failure.DeadlineExceeded, gw.outcome(rq), "the time is over").WithRetryAfter(overloadRetryAfter)
	}
}

// send sends a request to the target that was found.
func (gw *Gateway) send(ctx context.Context, rq *request, sl *dispatch.Slot) (*upstream.Answer, error) {
	h := rq.header.Clone()
	left := rq.deadline.At.Sub(gw.Now())
	at := Attempt{
		TargetName: sl.Target.OwnName(), Organisation: rq.org.Name, Timeout: left, Priority: sl.Priority,
		LastEventID: rq.forwardedEventID,
	}
	for _, hp := range sl.Helpers {
		at.Helpers = append(at.Helpers, Helper{Address: hp.Address, Reservation: hp.Reservation})
	}
	gw.Protocol.WriteAttempt(h, at)
	ca := upstream.Call{
		Address: sl.Target.Address, Method: rq.method, Target: rq.requestURI, Host: rq.host, Header: h, Body: rq.body,
		Exclusive: rq.route.Exclusive(),
		Leave:     func() error { return gw.checkAvailable(sl) },
		Heard:     func(resp *http.Response) bool { return gw.recordHead(rq, sl.Target, resp) },
	}
	gw.logSent(rq, sl)
	rq.excluded = append(rq.excluded, sl.Target.ID)
	rq.sentAt, rq.headAt = gw.Now(), time.Time{}
	an, err := gw.sendWithSilenceTimeout(ctx, rq, sl, ca)
	if err != nil {
		if ctx.Err() != nil {
			gw.recordUnanswered(rq, sl, gw.Now().Sub(rq.sentAt))
		}
		return nil, gw.handleSendError(ctx, rq, sl, err)
	}
	gw.Targets.Reached(sl.Target.ID)
	gw.observe("silvermount_target_answer_seconds", rq.headAt.Sub(rq.sentAt))
	return an, nil
}

// heard takes the head of an answer that came over the connection to a target, and reports whether it answers the request: a surplus answer
// to an earlier one speaks for the target too.
func (gw *Gateway) recordHead(rq *request, tg targets.Target, resp *http.Response) bool {
	rp := feedback.Report{
		Source: feedback.Request, Request: rq.RequestID, Target: tg, Head: gw.Protocol.ReadHead(resp), Came: gw.Now(),
	}
	mine := rp.Head.RequestID == rq.RequestID
	if mine {
		rq.head, rq.headAt = rp.Head, rp.Came
		rp.Sent = rq.sentAt
	}
	gw.Feedback.Record(rp)
	return mine
}

// sendFailed tells what is known after an attempt without an answer.
func (gw *Gateway) handleSendError(ctx context.Context, rq *request, sl *dispatch.Slot, err error) error {
	var ce *UnavailableTargetError
	if errors.As(err, &ce) && ctx.Err() == nil {
		return gw.skipTarget(rq, sl, ce)
	}
	var se *upstream.SendError
	if errors.As(err, &se) && !se.Sent {
		if ctx.Err() != nil {
			return gw.cancellationError(ctx, rq)
		}
		gw.logAttemptFailed(rq, sl.Target, err, false)
		gw.recordUnreachable(sl.Target, err)
		return failure.New(failure.TargetUnreachable, gw.outcome(rq), "the target took no connection").
			WithCause(err).WithRetryAfter(overloadRetryAfter)
	}
	rq.tried = append(rq.tried, sl.Target.ID)
	rq.outcomes.Add(failure.Unknown)
	if ctx.Err() != nil {
		fe := gw.cancellationError(ctx, rq)
		gw.logCancelled(rq, sl.Target, fe)
		return fe
	}
	if se != nil && se.Forgotten {
		// That tells nothing of the target's health; a target that has ended takes no new connection.
		gw.logAttemptFailed(rq, sl.Target, err, true)
	} else {
		gw.recordFailedAttempt(rq, sl.Target, err)
	}
	gw.recordInterrupted(rq, sl.Target, err)
	return failure.New(failure.TargetLost, failure.Unknown, "the target broke off before it answered").WithCause(err)
}

// ClosedTargetError says that a target that was chosen may not be sent the request any more.
type UnavailableTargetError struct {
	// Target is the incarnation, the main one or a helper, and Cause a few words.
	Target, Cause string
}

// Error names the target and the cause.
func (ce *UnavailableTargetError) Error() string { return "target " + ce.Target + " " + ce.Cause }

// mayLeave returns a ClosedTargetError when one of the targets of a slot takes no work any more: what was known when it was chosen may have
// changed during the waits since.
func (gw *Gateway) checkAvailable(sl *dispatch.Slot) error {
	for _, id := range sl.TargetIDs() {
		if !gw.Targets.TakesWork(id) {
			return &UnavailableTargetError{Target: id, Cause: "began to leave"}
		}
		if _, backedOff := gw.BackOffs.Until(id); backedOff {
			return &UnavailableTargetError{Target: id, Cause: "wants no requests now"}
		}
	}
	return nil
}

// passOver ends an attempt that was not sent, as one of its targets takes no requests now. Any may be chosen again, as far as it does.
func (gw *Gateway) skipTarget(rq *request, sl *dispatch.Slot, ce *UnavailableTargetError) error {
	rq.excluded = slices.DeleteFunc(rq.excluded, func(id string) bool { return id == sl.Target.ID })
	gw.logSkipped(rq, sl.Target, ce.Error())
	return failure.New(failure.TargetUnreachable, gw.outcome(rq), "the target takes no requests now").
		WithRetryAfter(gw.Dispatcher.RetryAfter(rq.service))
}

// failed notes a failed attempt at a target.
func (gw *Gateway) recordFailedAttempt(rq *request, tg targets.Target, err error) {
	gw.logAttemptFailed(rq, tg, err, true)
	gw.recordTargetFailure(tg)
}

// held holds a failure against a target.
func (gw *Gateway) recordTargetFailure(tg targets.Target) {
	if gw.Targets.Failure(tg.ID) {
		gw.Log.WithField("target", tg.ID).WithField("service", tg.Service).Warn("target left out for failing")
	}
}

// mayRetry decides whether a failed attempt is followed by another, and spends from the retry budget.
func (gw *Gateway) shouldRetry(ctx context.Context, rq *request, sk *responseWriter, fe *failure.Error) bool {
	claimed := rq.retryTaken
	rq.retryTaken = false
	again, why := retry.Case{
		Code: fe.Code, Over: ctx.Err() != nil, Once: rq.route.Exclusive(), MayHaveRun: rq.outcomes.MayHaveRun(),
		Attempts: gw.countAvailable(rq.tried), Most: rq.route.MaxAttempts, Begun: sk.Started(),
		Continues: func() bool { return rq.route.Resumable }, Paid: claimed,
	}.Decide(gw.RetryBudget)
	rq.noRetryReason = why
	return again
}

// stillThere counts the targets that were sent the request and still take work: one that has ended does not use up an
// attempt.
func (gw *Gateway) countAvailable(tried []string) int {
	n := 0
	for _, id := range tried {
		if gw.Targets.TakesWork(id) {
			n++
		}
	}
	return n
}
