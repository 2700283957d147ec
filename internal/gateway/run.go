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
	"github.com/silvermount/silvermount/internal/lifecycle"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/retry"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/tunnel"
	"github.com/silvermount/silvermount/internal/upstream"
)

// maxDialRetries is the maximum number of times that a request moves to another target because nothing could be sent to the
// chosen one. These do not count as retries, since no target has received the request.
const maxDialRetries = 6

// run makes attempts for an admitted request until one succeeds or no further one is allowed.
func (gw *Gateway) run(ctx context.Context, rq *request, rw *responseWriter) error {
	ctx, cancel := rq.deadline.Context(ctx)
	defer cancel()
	ctx, rq.cancel = context.WithCancel(ctx)
	defer rq.cancel()
	ctx, cancelEnd := gw.withAbort(ctx)
	defer cancelEnd()
	if err := gw.transition(ctx, rq, lifecycle.Admit); err != nil {
		return err
	}
	rq.service = rq.route.PickService(gw.Random())
	gw.RetryBudget.Deposit(rq.service)
	var last *failure.Error
	for dialRetries := 0; ; {
		err := gw.attempt(ctx, rq, rw)
		if err == nil && rq.memory.Ended() {
			// The connection was closed during the last write.
			err = gw.slowTransferError(rq)
		}
		if err == nil {
			return gw.transition(ctx, rq, lifecycle.Finish)
		}
		last = failure.FromError(err)
		if isUnsent(last) && !isIsolated(last) && dialRetries < maxDialRetries && !gw.isOver(ctx, rq) {
			dialRetries++
			continue
		}
		if !gw.shouldRetry(ctx, rq, rw, last) {
			return last
		}
		if err := gw.transition(ctx, rq, lifecycle.Retry); err != nil {
			return err
		}
	}
}

// isUnsent reports whether an attempt ended before anything was sent to the chosen target.
func isUnsent(fe *failure.Error) bool { return fe.Code == failure.TargetUnreachable }

// isIsolated reports whether an attempt failed because no target can be reached at all.
func isIsolated(fe *failure.Error) bool {
	var de *upstream.DialError
	return errors.As(fe.Cause, &de) && de.Isolated
}

// attempt chooses a target, sends the request to it and forwards the response.
func (gw *Gateway) attempt(ctx context.Context, rq *request, rw *responseWriter) error {
	if len(rq.tried) == 0 {
		// The configuration may have changed while earlier targets could not be reached or the process was frozen.
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
	var ue *UnavailableTargetError
	if errors.As(gw.checkAvailable(sl), &ue) {
		return gw.skipTarget(rq, sl, ue)
	}
	if rq.lifecycle.State == lifecycle.Waiting {
		if err := gw.transition(ctx, rq, lifecycle.Dispatch); err != nil {
			return err
		}
	}
	err = gw.sendAndForward(ctx, rq, rw, sl)
	if err != nil && isTargetFault(failure.FromError(err)) {
		sl.RecordFailure()
	}
	return err
}

// isTargetFault reports whether the target is to blame for the failure of an attempt.
func isTargetFault(fe *failure.Error) bool {
	return (fe.Code == failure.TargetLost || fe.Code == failure.TargetRefused) && !isBlameless(fe.Cause)
}

// sendAndForward sends a request to the chosen target and forwards the response.
func (gw *Gateway) sendAndForward(ctx context.Context, rq *request, rw *responseWriter, sl *dispatch.Slot) error {
	rq.attempt = gw.beginAttempt(ctx, rq, sl)
	defer rq.attempt.end()
	rs, err := gw.send(ctx, rq, sl)
	if err != nil {
		return err
	}
	// The connection can be used again only if it is returned before the attempt ends.
	defer rs.Close()
	return gw.handleResponse(ctx, rq, rw, sl, rs)
}

// dispatchRequest returns the request for a target to the dispatcher.
func (gw *Gateway) dispatchRequest(rq *request) dispatch.Request {
	sv, _ := rq.table.Service(rq.service)
	sv.Name = rq.service
	if rq.PromptTokens > 0 && rq.admission.Caller == 0 && gw.Dispatcher.PromisesReturns() {
		rq.admission.Caller = rq.caller()
	}
	return dispatch.Request{
		ID: rq.RequestID, Service: sv, Exclude: rq.excluded,
		PromptTokens: rq.PromptTokens, MaxAnswerTokens: rq.MaxAnswerTokens, AnswerTokensHint: rq.AnswerTokensHint,
		EventsForwarded: rq.eventsForwarded,
		Objective:       rq.route.Objective, MaxPause: rq.route.MaxPause, CallerIdleTimeout: rq.route.CallerIdleTimeout,
		Arrived: rq.arrived, Deadline: rq.deadline.At, Organisation: rq.org.Name, Priority: rq.priority(), Resumed: rq.forwardedEventID >= 0,
		Caution: rq.caution(), Authorise: func() error { return gw.reauthorise(rq) },
		CanRetry: len(rq.tried) == 0 && rq.route.MaxAttempts > 1 && gw.RetryBudget.Available(rq.service), Retried: len(rq.tried) > 0,
		AttemptLost: rq.lostAttempt, LastEventAt: rq.lastEventAt, Admission: &rq.admission,
		BodyBytes: int64(len(rq.body)),
	}
}

// caution returns how certain the request must be that its target works. A request that may run only once avoids all targets
// that failed recently, and a request that has already lost an attempt is not used as a probe.
func (rq *request) caution() targets.Caution {
	switch {
	case rq.route.AtMostOnce():
		return targets.RequireHealthy
	case len(rq.tried) > 0:
		return targets.RequireReachable
	default:
		return targets.AllowProbe
	}
}

// priority returns the organisation's priority if it has one of its own, else the route's.
func (rq *request) priority() int {
	if rq.org.OverridesPriority {
		return rq.org.Priority
	}
	return rq.route.Priority
}

// acquireError returns the failure of a request for which the dispatcher returned an error.
func (gw *Gateway) acquireError(ctx context.Context, rq *request, err error) error {
	if gw.isOver(ctx, rq) {
		return gw.cancellationError(ctx, rq)
	}
	var fe *failure.Error
	if errors.As(err, &fe) {
		return fe.WithOutcome(gw.outcome(rq))
	}
	return failure.New(failure.NoTarget, gw.outcome(rq), "no target can take the request").
		WithCause(err).WithRetryAfter(overloadRetryAfter)
}

// outcome returns what is known so far about whether the request ran.
func (gw *Gateway) outcome(rq *request) failure.Outcome {
	return rq.outcomes.Outcome()
}

// isOver reports whether the deadline of a request has passed, its caller has disconnected or the instance stops. The clock is asked as
// well as the context: after a pause of the process, an attempt that the deadline cut off can be seen to fail before the context's timer
// has fired. Its target is not to blame then.
func (gw *Gateway) isOver(ctx context.Context, rq *request) bool {
	return ctx.Err() != nil || !gw.Now().Before(rq.deadline.At)
}

// cancellationError returns the failure of a request whose deadline passed, whose caller disconnected, or that was aborted
// because the instance stops.
func (gw *Gateway) cancellationError(ctx context.Context, rq *request) *failure.Error {
	switch {
	case gw.aborted.Err() != nil:
		// Aborting requests sets a read deadline on the connections, which also looks as if the caller had disconnected.
		return gw.abortedError(rq)
	case rq.memory.Ended():
		return gw.slowTransferError(rq)
	case ctx.Err() != nil && gw.Now().Before(rq.deadline.At):
		return failure.New(failure.CallerGone, gw.outcome(rq), "the caller went away")
	default:
		return failure.New(failure.DeadlineExceeded, gw.outcome(rq), "the time is over").WithRetryAfter(overloadRetryAfter)
	}
}

// send sends a request to the chosen target and returns the head of its response.
func (gw *Gateway) send(ctx context.Context, rq *request, sl *dispatch.Slot) (*upstream.Response, error) {
	h := rq.header.Clone()
	remaining := rq.deadline.At.Sub(gw.Now())
	at := Attempt{
		TargetName: sl.Target.NameOrID(), Organisation: rq.org.Name, Timeout: remaining, Priority: sl.Priority,
		LastEventID: rq.forwardedEventID,
	}
	for _, hp := range sl.Helpers {
		at.Helpers = append(at.Helpers, Helper{Address: hp.Address, Reservation: hp.Reservation})
	}
	gw.Protocol.WriteAttempt(h, at)
	ca := upstream.Call{
		Address: sl.Target.Address, Method: rq.method, RequestURI: rq.requestURI, Host: rq.host, Header: h, Body: rq.body,
		NewConnection: rq.route.AtMostOnce() || rq.lostAttempt,
		OnConnection:  rq.setVia,
		OnMonitor:     gw.observeConnection(rq, sl, rq.attempt),
		HeadTimeout:   gw.headTimeout(rq, sl),
		OnWrite:       rq.trackRequestTransfer,
		BeforeSend: func() error {
			// The target counts from the arrival of the request, which is later.
			rq.targetDeadline = gw.Now().Add(remaining)
			return gw.checkSend(ctx, rq, sl)
		},
		AcceptResponse: func(resp *http.Response) bool { return gw.recordHead(rq, sl.Target, resp) },
	}
	gw.logSent(rq, sl)
	rq.excluded = append(rq.excluded, sl.Target.ID)
	rq.sentAt, rq.headAt = gw.Now(), time.Time{}
	pauses := newPauseMeter(gw.Paused)
	rq.via.Store(nil)
	rs, err := gw.sendWithSilenceTimeout(tunnel.WithRequestID(rq.attempt.ctx, rq.RequestID), rq, sl, ca)
	rq.attempt.acks.stop()
	rq.memory.EndTransfer()
	if err != nil {
		// No retry can be taken for the attempt after this.
		rq.retryTaken = rq.attempt.handle.End() || rq.retryTaken
		err = rq.attempt.endReason(err)
		if ctx.Err() != nil {
			gw.recordUnanswered(rq, sl, gw.Now().Sub(rq.sentAt)-pauses.sinceLast())
		}
		return nil, gw.handleExchangeError(ctx, rq, sl, err)
	}
	rq.framing, rq.end = rs.Framing(), ""
	answeredAt := rq.headAt
	rq.attempt.answeredAt.Store(&answeredAt)
	// No retry is taken for an attempt that was answered, so that this is final.
	rq.retryTaken = rq.attempt.handle.RetryTaken() || rq.retryTaken
	gw.Targets.RecordReachable(sl.Target.ID)
	gw.observe("silvermount_target_answer_seconds", rq.headAt.Sub(rq.sentAt))
	return rs, nil
}

// recordHead records the head of a response that was received on the connection to a target, and reports whether it belongs to
// the request. A surplus response to an earlier request also holds valid information about the target.
func (gw *Gateway) recordHead(rq *request, tg targets.Target, resp *http.Response) bool {
	rp := feedback.Report{
		Source: feedback.RequestAnswer, RequestID: rq.RequestID, Target: tg, Head: gw.Protocol.ReadHead(resp), ReceivedAt: gw.Now(),
	}
	matches := rp.Head.RequestID == rq.RequestID
	if matches {
		rq.head, rq.headAt = rp.Head, rp.ReceivedAt
		rp.SentAt = rq.sentAt
	}
	if rp.Head.Verdict != responsehead.Misdirected {
		gw.Losses.RecordAnswer(tg.ID)
	}
	gw.Feedback.Record(rp)
	return matches
}

// handleExchangeError records an attempt that received no response, and returns its failure.
func (gw *Gateway) handleExchangeError(ctx context.Context, rq *request, sl *dispatch.Slot, err error) error {
	var ue *UnavailableTargetError
	if errors.As(err, &ue) && !gw.isOver(ctx, rq) {
		return gw.skipTarget(rq, sl, ue)
	}
	var fe *failure.Error
	if errors.As(err, &fe) && fe.Code == failure.EndsTargets {
		return fe
	}
	var ee *upstream.ExchangeError
	if errors.As(err, &ee) && !ee.Sent {
		if gw.isOver(ctx, rq) {
			return gw.cancellationError(ctx, rq)
		}
		if gw.recordEnded(rq, sl, err, false) {
			return gw.unsentLostError(rq, err)
		}
		return gw.unsentError(rq, sl.Target, err)
	}
	rq.tried = append(rq.tried, sl.Target.ID)
	rq.outcomes.Add(failure.Unknown)
	rq.lostAttempt = true
	if gw.isOver(ctx, rq) {
		fe := gw.cancellationError(ctx, rq)
		gw.recordCancelled(rq, sl.Target, fe)
		return fe
	}
	if ee != nil && ee.StaleConnection {
		// The loss of an idle connection says nothing about the health of the target. If the target has crashed, it accepts no
		// new connection.
		gw.logAttemptFailed(rq, sl.Target, err, true)
	} else if !gw.recordEnded(rq, sl, err, true) {
		gw.recordFailedAttempt(rq, sl.Target, err)
	}
	gw.recordInterrupted(rq, sl.Target, err)
	return failure.New(failure.TargetLost, failure.Unknown, "the target broke off before it answered").WithCause(err)
}

// setVia records the peer that the latest attempt is sent through; empty for a direct connection.
func (rq *request) setVia(peer string) {
	if peer != "" {
		rq.via.Store(&peer)
	}
}

// unsentError records that no connection to a target was established, and returns the failure of the attempt.
func (gw *Gateway) unsentError(rq *request, tg targets.Target, err error) error {
	var de *upstream.DialError
	if errors.As(err, &de) && de.Isolated {
		return failure.New(failure.TargetUnreachable, gw.outcome(rq), "no target can be reached from here").
			WithCause(err).WithRetryAfter(dispatch.RetryElsewhereAfter)
	}
	gw.logAttemptFailed(rq, tg, err, false)
	gw.recordUnreachable(tg, err)
	gw.Losses.RecordDialFailure(tg, err)
	return failure.New(failure.TargetUnreachable, gw.outcome(rq), "the target took no connection").
		WithCause(err).WithRetryAfter(overloadRetryAfter)
}

// UnavailableTargetError means that a request may not be sent to the target that was chosen for it, because that target or one
// of its helpers takes no requests now.
type UnavailableTargetError struct {
	// Target is the incarnation of the main target or of a helper. Cause completes the error message.
	Target, Cause string
}

// Error names the target and the cause.
func (ue *UnavailableTargetError) Error() string { return "target " + ue.Target + " " + ue.Cause }

// checkSend returns an error if a request may not be sent any more: it is over or quarantined, or a target of the slot takes no requests
// now.
func (gw *Gateway) checkSend(ctx context.Context, rq *request, sl *dispatch.Slot) error {
	if gw.isOver(ctx, rq) {
		return gw.cancellationError(ctx, rq)
	}
	if err := gw.recheckQuarantine(rq); err != nil {
		return err
	}
	return gw.checkAvailable(sl)
}

// checkAvailable returns an UnavailableTargetError if a target of the slot takes no requests now. The state of a target may
// have changed since it was chosen, because the request had to wait.
func (gw *Gateway) checkAvailable(sl *dispatch.Slot) error {
	for _, id := range sl.TargetIDs() {
		if !gw.Targets.TakesWork(id) {
			return &UnavailableTargetError{Target: id, Cause: "is leaving or gone"}
		}
		if gw.Targets.IsEvacuated(id) {
			return &UnavailableTargetError{Target: id, Cause: "is in an evacuated availability zone"}
		}
		if _, backedOff := gw.BackOffs.Until(id); backedOff {
			return &UnavailableTargetError{Target: id, Cause: "is backed off"}
		}
	}
	return nil
}

// skipTarget ends an attempt that was not sent because one of its targets takes no requests now. The target may be chosen
// again once it takes requests.
func (gw *Gateway) skipTarget(rq *request, sl *dispatch.Slot, ue *UnavailableTargetError) error {
	rq.excluded = slices.DeleteFunc(rq.excluded, func(id string) bool { return id == sl.Target.ID })
	gw.logSkipped(rq, sl.Target, ue.Error())
	return failure.New(failure.TargetUnreachable, gw.outcome(rq), "the target takes no requests now").
		WithRetryAfter(gw.Dispatcher.RetryAfter(rq.service))
}

// recordFailedAttempt logs a failed attempt and records it against the target.
func (gw *Gateway) recordFailedAttempt(rq *request, tg targets.Target, err error) {
	gw.logAttemptFailed(rq, tg, err, true)
	if !gw.Paths.IsLost(tg.Address) {
		gw.recordTargetFailure(tg)
	}
}

// recordTargetFailure records a failure against a target, which may eject it.
func (gw *Gateway) recordTargetFailure(tg targets.Target) {
	if gw.Targets.RecordFailure(tg.ID) {
		gw.Log.WithField("target", tg.ID).WithField("service", tg.Service).Warn("target left out after failed attempts")
	}
}

// shouldRetry decides whether a failed attempt is retried, and if so takes the retry from the budget.
func (gw *Gateway) shouldRetry(ctx context.Context, rq *request, rw *responseWriter, fe *failure.Error) bool {
	retryTaken := rq.retryTaken
	rq.retryTaken = false
	retried, reason := retry.FailedAttempt{
		Code: fe.Code, Cancelled: gw.isOver(ctx, rq), AtMostOnce: rq.route.AtMostOnce(), MayHaveRun: rq.outcomes.MayHaveRun(),
		Attempts: gw.countAvailable(rq.tried), MaxAttempts: rq.route.MaxAttempts, ResponseStarted: rw.Started(),
		TryResume: func() bool { return rq.route.Resumable && !rq.plainStarted }, BudgetTaken: retryTaken,
	}.Decide(func() bool { return gw.withdrawRetry(rq.RequestID, rq.service) })
	rq.noRetryReason = reason
	return retried
}

// countAvailable counts the tried targets that still take work. An attempt does not count towards the route's maximum if its
// target has since gone or is leaving.
func (gw *Gateway) countAvailable(tried []string) int {
	n := 0
	for _, id := range tried {
		if gw.Targets.TakesWork(id) {
			n++
		}
	}
	return n
}
