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
const dialTries = 6

// run takes an admitted request through its attempts.
func (gw *Gateway) run(ctx context.Context, rq *request, sk *sink) error {
	ctx, cancel := rq.due.Context(ctx)
	defer cancel()
	ctx, cancelEnd := gw.untilEnd(ctx)
	defer cancelEnd()
	if err := gw.fire(ctx, rq, life.Admit); err != nil {
		return err
	}
	gw.Retries.Deposit()
	rq.service = rq.route.PickService(gw.Random())
	var last *failure.Error
	for dials := 0; ; {
		err := gw.attempt(ctx, rq, sk)
		if err == nil {
			return gw.fire(ctx, rq, life.Finish)
		}
		last = failure.FromError(err)
		if unsent(last) && dials < dialTries && ctx.Err() == nil {
			dials++
			continue
		}
		if !gw.mayRetry(ctx, rq, sk, last) {
			return last
		}
		if err := gw.fire(ctx, rq, life.Retry); err != nil {
			return err
		}
	}
}

// unsent reports whether an attempt ended before anything was sent to the target it was meant for.
func unsent(fe *failure.Error) bool { return fe.Code == failure.TargetUnreachable }

// attempt finds a target, sends the request there and passes the answer on.
func (gw *Gateway) attempt(ctx context.Context, rq *request, sk *sink) error {
	if len(rq.tried) == 0 {
		// The configuration may have changed while earlier targets were not reached, or the process may have been frozen.
		if err := gw.allow(rq); err != nil {
			return err
		}
	}
	if err := gw.notBlamed(ctx, rq); err != nil {
		return err
	}
	sl, err := gw.Dispatcher.Acquire(reservation.WithRequestID(ctx, rq.RequestID), gw.ask(rq))
	if err != nil {
		return gw.noTarget(ctx, rq, err)
	}
	defer sl.Release()
	var ce *ClosedTargetError
	if errors.As(gw.mayLeave(sl), &ce) {
		return gw.passOver(rq, sl, ce)
	}
	if rq.life.State == life.Waiting {
		if err := gw.fire(ctx, rq, life.Dispatch); err != nil {
			return err
		}
	}
	err = gw.exchangeWith(ctx, rq, sk, sl)
	if err != nil && ofTarget(failure.FromError(err)) {
		sl.RecordFailure()
	}
	return err
}

// ofTarget reports whether an attempt failed by its target's doing.
func ofTarget(fe *failure.Error) bool {
	return fe.Code == failure.TargetLost || fe.Code == failure.TargetRefused
}

// exchangeWith sends a request to the target that was found, and passes its answer on.
func (gw *Gateway) exchangeWith(ctx context.Context, rq *request, sk *sink, sl *dispatch.Slot) error {
	an, err := gw.send(ctx, rq, sl)
	if err != nil {
		return err
	}
	defer an.Close()
	return gw.receive(ctx, rq, sk, sl, an)
}

func (gw *Gateway) ask(rq *request) dispatch.Request {
	sv, _ := rq.table.Service(rq.service)
	sv.Name = rq.service
	return dispatch.Request{
		ID: rq.RequestID, Service: sv, Exclude: rq.avoid,
		PromptTokens: rq.PromptTokens, MaxAnswerTokens: rq.MostAnswerTokens, AnswerTokensHint: rq.AnswerHint, EventsForwarded: rq.events,
		Objective: rq.route.Objective, MaxPause: rq.route.MaxPause, CallerIdleTimeout: rq.route.CallerIdleTimeout,
		Arrived: rq.arrived, Deadline: rq.due.At, Priority: rq.priority(), Resumed: rq.lastEvent >= 0,
		Caution: rq.caution(), Authorise: func() error { return gw.stillAllowed(rq) },
		CanRetry: len(rq.tried) == 0 && rq.route.MaxAttempts > 1 && gw.Retries.Available(), Retried: len(rq.tried) > 0,
	}
}

// caution is how sure the request must be of its target: one that may run only once shuns all that failed lately, and
// one that lost an attempt already is no probe.
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

// priority is the organisation's rank where it has one, else the route's.
func (rq *request) priority() int {
	if rq.org.OverridesPriority {
		return rq.org.Priority
	}
	return rq.route.Priority
}

func (gw *Gateway) noTarget(ctx context.Context, rq *request, err error) error {
	if ctx.Err() != nil {
		return gw.timeUp(ctx, rq)
	}
	var fe *failure.Error
	if errors.As(err, &fe) {
		return fe.WithOutcome(gw.outcome(rq))
	}
	return failure.New(failure.NoTarget, gw.outcome(rq), "no target can take the request").WithCause(err).WithRetryAfter(comeBackFull)
}

// outcome is what is known so far about whether the request ran.
func (gw *Gateway) outcome(rq *request) failure.Outcome {
	return rq.known.Outcome()
}

// timeUp is the failure of a request whose time is over, whose caller has gone, or whose instance has ended.
func (gw *Gateway) timeUp(ctx context.Context, rq *request) *failure.Error {
	switch {
	case gw.ended.Err() != nil:
		// The end of the instance also looks like a caller that has gone: it breaks off the reading of connections.
		return gw.cutShort(rq)
	case ctx.Err() != nil && gw.Now().Before(rq.due.At):
		return failure.New(failure.CallerGone, gw.outcome(rq), "the caller went away")
	default:
		return failure.New(failure.DeadlineExceeded, gw.outcome(rq), "the time is over").WithRetryAfter(comeBackFull)
	}
}

// send sends a request to the target that was found.
func (gw *Gateway) send(ctx context.Context, rq *request, sl *dispatch.Slot) (*upstream.Answer, error) {
	h := rq.header.Clone()
	left := rq.due.At.Sub(gw.Now())
	at := Attempt{
		Target: sl.Target.NameOrID(), Organisation: rq.org.Name, Left: left, Priority: sl.Priority,
		ResumeAfter: rq.lastEvent,
	}
	for _, hp := range sl.Helpers {
		at.Helpers = append(at.Helpers, Helper{Address: hp.Address, Reservation: hp.Reservation})
	}
	gw.Protocol.Write(h, at)
	ca := upstream.Call{
		Address: sl.Target.Address, Method: rq.method, Target: rq.target, Host: rq.host, Header: h, Body: rq.body,
		Exclusive: rq.route.AtMostOnce(),
		Leave:     func() error { return gw.mayLeave(sl) },
		Heard:     func(resp *http.Response) bool { return gw.heard(rq, sl.Target, resp) },
	}
	gw.logAttempt(rq, sl)
	rq.avoid = append(rq.avoid, sl.Target.ID)
	rq.sentAt, rq.headAt = gw.Now(), time.Time{}
	an, err := gw.exchange(ctx, rq, sl, ca)
	if err != nil {
		if ctx.Err() != nil {
			gw.unanswered(rq, sl, gw.Now().Sub(rq.sentAt))
		}
		return nil, gw.sendFailed(ctx, rq, sl, err)
	}
	gw.Targets.RecordReachable(sl.Target.ID)
	gw.observe("silvermount_target_answer_seconds", rq.headAt.Sub(rq.sentAt))
	return an, nil
}

// heard takes the head of an answer that came over the connection to a target, and reports whether it answers the request: a surplus answer
// to an earlier one speaks for the target too.
func (gw *Gateway) heard(rq *request, tg targets.Target, resp *http.Response) bool {
	rp := feedback.Report{
		Source: feedback.Request, Request: rq.RequestID, Target: tg, Head: gw.Protocol.Head(resp), Came: gw.Now(),
	}
	mine := rp.Head.Request == rq.RequestID
	if mine {
		rq.head, rq.headAt = rp.Head, rp.Came
		rp.Sent = rq.sentAt
	}
	gw.Feedback.Record(rp)
	return mine
}

// sendFailed tells what is known after an attempt without an answer.
func (gw *Gateway) sendFailed(ctx context.Context, rq *request, sl *dispatch.Slot, err error) error {
	var ce *ClosedTargetError
	if errors.As(err, &ce) && ctx.Err() == nil {
		return gw.passOver(rq, sl, ce)
	}
	var se *upstream.SendError
	if errors.As(err, &se) && !se.Sent {
		if ctx.Err() != nil {
			return gw.timeUp(ctx, rq)
		}
		gw.logAttemptFailed(rq, sl.Target, err, false)
		gw.notReached(sl.Target, err)
		return failure.New(failure.TargetUnreachable, gw.outcome(rq), "the target took no connection").
			WithCause(err).WithRetryAfter(comeBackFull)
	}
	rq.tried = append(rq.tried, sl.Target.ID)
	rq.known.Add(failure.Unknown)
	if ctx.Err() != nil {
		fe := gw.timeUp(ctx, rq)
		gw.logGivenUp(rq, sl.Target, fe)
		return fe
	}
	if se != nil && se.Forgotten {
		// That tells nothing of the target's health; a target that has ended takes no new connection.
		gw.logAttemptFailed(rq, sl.Target, err, true)
	} else {
		gw.failed(rq, sl.Target, err)
	}
	gw.broke(rq, sl.Target, err)
	return failure.New(failure.TargetLost, failure.Unknown, "the target broke off before it answered").WithCause(err)
}

// ClosedTargetError says that a target that was chosen may not be sent the request any more.
type ClosedTargetError struct {
	// Target is the incarnation, the main one or a helper, and Cause a few words.
	Target, Cause string
}

// Error names the target and the cause.
func (ce *ClosedTargetError) Error() string { return "target " + ce.Target + " " + ce.Cause }

// mayLeave returns a ClosedTargetError when one of the targets of a slot takes no work any more: what was known when it was chosen may have
// changed during the waits since.
func (gw *Gateway) mayLeave(sl *dispatch.Slot) error {
	for _, id := range sl.TargetIDs() {
		if !gw.Targets.TakesWork(id) {
			return &ClosedTargetError{Target: id, Cause: "began to leave"}
		}
		if _, backedOff := gw.BackOffs.Until(id); backedOff {
			return &ClosedTargetError{Target: id, Cause: "wants no requests now"}
		}
	}
	return nil
}

// passOver ends an attempt that was not sent, as one of its targets takes no requests now. Any may be chosen again, as far as it does.
func (gw *Gateway) passOver(rq *request, sl *dispatch.Slot, ce *ClosedTargetError) error {
	rq.avoid = slices.DeleteFunc(rq.avoid, func(id string) bool { return id == sl.Target.ID })
	gw.logPassedOver(rq, sl.Target, ce.Error())
	return failure.New(failure.TargetUnreachable, gw.outcome(rq), "the target takes no requests now").
		WithRetryAfter(gw.Dispatcher.RetryAfter(rq.service))
}

// failed notes a failed attempt at a target.
func (gw *Gateway) failed(rq *request, tg targets.Target, err error) {
	gw.logAttemptFailed(rq, tg, err, true)
	gw.held(tg)
}

// held holds a failure against a target.
func (gw *Gateway) held(tg targets.Target) {
	if gw.Targets.RecordFailure(tg.ID) {
		gw.Log.WithField("target", tg.ID).WithField("service", tg.Service).Warn("target left out for failing")
	}
}

// mayRetry decides whether a failed attempt is followed by another, and spends from the retry budget.
func (gw *Gateway) mayRetry(ctx context.Context, rq *request, sk *sink, fe *failure.Error) bool {
	claimed := rq.claimed
	rq.claimed = false
	again, why := retry.FailedAttempt{
		Code: fe.Code, Cancelled: ctx.Err() != nil, AtMostOnce: rq.route.AtMostOnce(), MayHaveRun: rq.known.MayHaveRun(),
		Attempts: gw.stillThere(rq.tried), MaxAttempts: rq.route.MaxAttempts, ResponseStarted: sk.Started(),
		TryResume: func() bool { return rq.route.Resumable }, BudgetTaken: claimed,
	}.Decide(gw.Retries)
	rq.noRetry = why
	return again
}

// stillThere counts the targets that were sent the request and still take work: one that has ended does not use up an
// attempt.
func (gw *Gateway) stillThere(tried []string) int {
	n := 0
	for _, id := range tried {
		if gw.Targets.TakesWork(id) {
			n++
		}
	}
	return n
}
