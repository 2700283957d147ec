package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/life"
	"github.com/silvermount/silvermount/internal/upstream"
)

// receive passes a target's answer on.
func (gw *Gateway) receive(ctx context.Context, rq *request, sk *sink, sl *dispatch.Slot, an *upstream.Answer) error {
	verdict := rq.head.Verdict
	if verdict != answer.Misdirected {
		rq.tried = append(rq.tried, sl.Target.ID)
	}
	if rq.head.BackOff > 0 {
		sl.RecordBackOff(rq.head.BackOff)
	}
	switch verdict {
	case answer.Shed:
		return gw.shed(rq, sl, an)
	case answer.Misdirected:
		gw.Blame.RecordCrash(sl.Target.ID)
		gw.Targets.MarkLeaving(sl.Target.ID)
		gw.logBelief(sl.Target, "gone", "another incarnation has the address")
		gw.logPassedOver(rq, sl.Target, "another incarnation has the address")
		return failure.New(failure.TargetUnreachable, gw.outcome(rq), "another target has the address").WithRetryAfter(comeBackFull)
	case answer.Unproven:
		rq.known.Add(failure.Unknown)
		err := &UnprovenAnswerError{Status: an.StatusCode}
		if rq.head.BackOff > 0 {
			// A target that says when to come back is no sick one.
			gw.logAttemptFailed(rq, sl.Target, err, true)
		} else {
			gw.failed(rq, sl.Target, err)
		}
		return failure.New(failure.TargetLost, failure.Unknown, "the answer cannot be passed on").WithCause(err)
	}
	rq.known.Add(failure.Unknown)
	if verdict == answer.Answered && rq.route.Streaming && an.StatusCode == http.StatusOK {
		return gw.stream(ctx, rq, sk, sl, an)
	}
	if sk.Started() {
		// The caller has the beginning of a stream: nothing but its next events may follow.
		err := &TargetFailureError{Status: an.StatusCode}
		gw.failed(rq, sl.Target, err)
		return failure.New(failure.TargetLost, failure.Unknown, "the stream does not go on there").WithCause(err)
	}
	return gw.plain(ctx, rq, sk, sl, an, verdict)
}

// UnprovenAnswerError says that an answer lacks what shows that it is whole and the target's own.
type UnprovenAnswerError struct{ Status int }

// Error gives the status.
func (ue *UnprovenAnswerError) Error() string {
	return "answer with status " + strconv.Itoa(ue.Status) + " is not provably the target's own"
}

func (gw *Gateway) shed(rq *request, sl *dispatch.Slot, an *upstream.Answer) error {
	// The body is short; reading it lets the connection be used again.
	if _, err := io.CopyN(io.Discard, an.Body, bufferMost); errors.Is(err, io.EOF) {
		an.Whole()
	}
	atFault := rq.head.AtFault
	sl.RecordShed(atFault)
	gw.logAttemptFailed(rq, sl.Target, &ShedError{Status: an.StatusCode, AtFault: atFault}, true)
	return failure.New(failure.TargetShed, gw.outcome(rq), "the target has no room").
		WithRetryAfter(gw.Dispatcher.RetryAfter(rq.service))
}

// ShedError says that a target turned a request away without running it.
type ShedError struct {
	Status int
	// AtFault is the address of the helper that the target names as the cause; empty when it names none.
	AtFault string
}

// Error gives the status and the cause.
func (se *ShedError) Error() string {
	text := "the target turned the request away with status " + strconv.Itoa(se.Status)
	if se.AtFault != "" {
		text += " for its helper " + se.AtFault
	}
	return text
}

// bufferMost is how much of an answer is held back until it is whole; larger ones are passed on as they come.
const bufferMost = 256 << 10

// plain passes on an answer that is no stream. Short ones are passed on when they are whole, so that a broken one can
// still be asked for elsewhere.
func (gw *Gateway) plain(ctx context.Context, rq *request, sk *sink, sl *dispatch.Slot, an *upstream.Answer, v answer.Verdict) error {
	body, err := io.ReadAll(io.LimitReader(an.Body, bufferMost))
	if err != nil {
		return gw.brokenOff(ctx, rq, sl, err)
	}
	if len(body) < bufferMost {
		an.Whole()
	}
	if v == answer.Failed && gw.retryFailed(ctx, rq, sk) {
		gw.failed(rq, sl.Target, &TargetFailureError{Status: an.StatusCode})
		return failure.New(failure.TargetRefused, failure.Failed, "the target answered %d", an.StatusCode)
	}
	if v == answer.Answered {
		gw.Targets.RecordSuccess(sl.Target.ID)
	} else {
		gw.held(sl.Target)
	}
	sl.RecordFirstToken()
	if err := gw.fire(ctx, rq, life.FirstToken); err != nil {
		return err
	}
	rest := io.Reader(bytes.NewReader(nil))
	if len(body) == bufferMost {
		rest = an.Body
	}
	return gw.passPlain(ctx, rq, sk, an, body, rest)
}

func (gw *Gateway) passPlain(ctx context.Context, rq *request, sk *sink, an *upstream.Answer, body []byte, rest io.Reader) error {
	copyHeader(sk.w.Header(), an.Header)
	if len(body) < bufferMost {
		sk.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	sk.start(an.StatusCode)
	// The end of the exchange with the target must not hold the answer back.
	if err := sk.Pass(body, true); err != nil {
		return err
	}
	if _, err := io.Copy(sk.w, rest); err != nil {
		return gw.timeUp(ctx, rq).WithCause(err)
	}
	if len(body) == bufferMost {
		an.Whole()
	}
	return nil
}

// TargetFailureError is a failure that a target answered with.
type TargetFailureError struct{ Status int }

// Error gives the status.
func (te *TargetFailureError) Error() string { return "the target answered " + strconv.Itoa(te.Status) }

// retryFailed reports whether a failure that a target answered is to be tried elsewhere in place of being passed on.
func (gw *Gateway) retryFailed(ctx context.Context, rq *request, sk *sink) bool {
	return ctx.Err() == nil && !rq.route.AtMostOnce() && !sk.Started() &&
		gw.another(rq.route, rq.service, rq.tried) && gw.Retries.Available()
}

func (gw *Gateway) brokenOff(ctx context.Context, rq *request, sl *dispatch.Slot, err error) error {
	if ctx.Err() != nil {
		fe := gw.timeUp(ctx, rq).WithCause(err)
		gw.logGivenUp(rq, sl.Target, fe)
		return fe
	}
	gw.failed(rq, sl.Target, err)
	gw.broke(rq, sl.Target, err)
	return failure.New(failure.TargetLost, failure.Unknown, "the target broke off").WithCause(err)
}
