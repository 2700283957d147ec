package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/lifecycle"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/upstream"
)

// handleResponse forwards a target's response to the caller, or returns why it cannot be forwarded.
func (gw *Gateway) handleResponse(ctx context.Context, rq *request, rw *responseWriter, sl *dispatch.Slot, rs *upstream.Response) error {
	vd := rq.head.Verdict
	if vd != responsehead.Misdirected {
		rq.tried = append(rq.tried, sl.Target.ID)
	}
	if rq.head.BackOff > 0 {
		sl.RecordBackOff(rq.head.BackOff)
	}
	switch vd {
	case responsehead.Shed:
		return gw.handleShed(rq, sl, rs)
	case responsehead.Misdirected:
		gw.Quarantine.RecordCrash(sl.Target.ID)
		gw.Targets.MarkLeaving(sl.Target.ID)
		gw.Losses.RecordAddressTaken(sl.Target.ID)
		gw.logTargetState(sl.Target, "gone", "its address now belongs to another incarnation")
		gw.logSkipped(rq, sl.Target, "its address now belongs to another incarnation")
		// The process at the address has received the request, so that another attempt is a retry.
		return failure.New(failure.TargetShed, gw.outcome(rq), "another target has the address").WithRetryAfter(overloadRetryAfter)
	case responsehead.Unverified:
		rq.outcomes.Add(failure.Unknown)
		err := &UnverifiedResponseError{Status: rs.StatusCode}
		if rq.head.BackOff > 0 {
			// A target that states when to retry is overloaded, not failing.
			gw.logAttemptFailed(rq, sl.Target, err, true)
		} else {
			gw.recordFailedAttempt(rq, sl.Target, err)
		}
		return failure.New(failure.TargetLost, failure.Unknown, "the answer cannot be passed on").WithCause(err)
	}
	rq.outcomes.Add(failure.Unknown)
	rq.endWatch = gw.watchEnd(sl, rs)
	defer rq.endWatch.close()
	if vd == responsehead.Answered && rq.route.Streaming && rs.StatusCode == http.StatusOK {
		return gw.forwardStream(ctx, rq, rw, sl, rs)
	}
	if rw.Started() {
		// The caller already has part of a stream, so that only further events of it may follow.
		err := &TargetFailureError{Status: rs.StatusCode}
		gw.recordFailedAttempt(rq, sl.Target, err)
		return failure.New(failure.TargetLost, failure.Unknown, "the stream does not go on there").WithCause(err)
	}
	return gw.handlePlain(ctx, rq, rw, sl, rs, vd)
}

// UnverifiedResponseError means that a response carries no evidence that it is complete and comes from the target itself.
type UnverifiedResponseError struct{ Status int }

// Error names the status.
func (ue *UnverifiedResponseError) Error() string {
	return "response with status " + strconv.Itoa(ue.Status) + " cannot be verified as complete and from the target"
}

// handleShed handles the rejection of a request by a target that did not run it.
func (gw *Gateway) handleShed(rq *request, sl *dispatch.Slot, rs *upstream.Response) error {
	// The body is short. Reading it to the end allows the connection to be reused.
	if _, err := io.CopyN(io.Discard, rs.Body, maxBufferedBytes); errors.Is(err, io.EOF) {
		rs.MarkComplete()
	}
	causeAddress := rq.head.CauseAddress
	sl.RecordShed(causeAddress)
	gw.logAttemptFailed(rq, sl.Target, &ShedError{Status: rs.StatusCode, CauseAddress: causeAddress}, true)
	return failure.New(failure.TargetShed, gw.outcome(rq), "the target has no room").
		WithRetryAfter(gw.Dispatcher.RetryAfter(rq.service))
}

// ShedError means that a target rejected a request without running it.
type ShedError struct {
	Status int
	// CauseAddress is the address of the helper that the target names as the cause; empty if it names none.
	CauseAddress string
}

// Error names the status and the helper that caused the rejection.
func (se *ShedError) Error() string {
	text := "target rejected the request with status " + strconv.Itoa(se.Status)
	if se.CauseAddress != "" {
		text += " because of helper " + se.CauseAddress
	}
	return text
}

// maxBufferedBytes is the maximum size of a response that is buffered until it is complete. Larger ones are forwarded as they
// are received.
const maxBufferedBytes = 256 << 10

// handlePlain forwards a response that is not a stream. A short response is forwarded only when it is complete, so that the
// request can still be retried on another target if the response breaks off.
func (gw *Gateway) handlePlain(
	ctx context.Context, rq *request, rw *responseWriter, sl *dispatch.Slot, rs *upstream.Response, vd responsehead.Verdict,
) error {
	if err := gw.checkResponseBytes(rs.ContentLength); err != nil {
		return gw.handleInterrupted(ctx, rq, sl, err)
	}
	body, whole, err := readBuffered(rq, rs.Body)
	if whole {
		err = gw.checkEnd(rq, sl, rs)
	}
	if err != nil {
		return gw.handleInterrupted(ctx, rq, sl, err)
	}
	if whole {
		rs.MarkComplete()
	}
	if vd == responsehead.Failed && gw.takeFailureRetry(ctx, rq, rw) {
		gw.recordFailedAttempt(rq, sl.Target, &TargetFailureError{Status: rs.StatusCode})
		return failure.New(failure.TargetRefused, failure.Failed, "the target answered %d", rs.StatusCode)
	}
	if vd == responsehead.Answered {
		gw.Targets.RecordSuccess(sl.Target.ID)
	} else {
		gw.recordTargetFailure(sl.Target)
		sl.RecordFailedAnswer()
	}
	sl.RecordFirstToken()
	if err := gw.transition(ctx, rq, lifecycle.FirstToken); err != nil {
		return err
	}
	return gw.forwardPlain(ctx, rq, rw, sl, rs, body, whole)
}

// ResponseTooLargeError means that the body of a response exceeds the maximum size.
type ResponseTooLargeError struct{ MaxBytes int64 }

// Error includes the maximum.
func (re *ResponseTooLargeError) Error() string {
	return "response is larger than the maximum of " + strconv.FormatInt(re.MaxBytes, 10) + " bytes"
}

// checkResponseBytes returns a ResponseTooLargeError if a body of n bytes exceeds the maximum.
func (gw *Gateway) checkResponseBytes(n int64) error {
	if limit := gw.limits.Load().MaxResponseBytes; limit > 0 && n > limit {
		return &ResponseTooLargeError{MaxBytes: limit}
	}
	return nil
}

// bufferPartBytes is the number of bytes by which the memory for a buffered response grows.
const bufferPartBytes = 16 << 10

// acquireBuffer acquires memory for the next part of a buffered response. Short responses are buffered as long as there is any memory.
func (rq *request) acquireBuffer(buffered int) bool {
	if buffered == 0 {
		return rq.memory.TryAcquire(bufferPartBytes)
	}
	return rq.memory.TryAcquireSpare(bufferPartBytes)
}

// readBuffered reads a response up to maxBufferedBytes, or less if there is no memory for it. whole is set if it was read to its end.
func readBuffered(rq *request, src io.Reader) (body []byte, whole bool, err error) {
	for len(body) < maxBufferedBytes && rq.acquireBuffer(len(body)) {
		part, err := io.ReadAll(io.LimitReader(src, bufferPartBytes))
		if err != nil {
			return nil, false, err
		}
		body = append(body, part...)
		if len(part) < bufferPartBytes {
			return body, true, nil
		}
	}
	return body, false, nil
}

// forwardPlain forwards the buffered beginning of a response, and then the rest as it is received.
func (gw *Gateway) forwardPlain(
	ctx context.Context, rq *request, rw *responseWriter, sl *dispatch.Slot, rs *upstream.Response, body []byte, whole bool,
) error {
	copyEndToEndHeaders(rw.w.Header(), rs.Header)
	if whole {
		rw.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	rw.start(rs.StatusCode)
	rq.plainStarted = true
	rt := gw.beginResponseTransfer(rq, rw)
	defer rt.end()
	// Flush now, so that the response is not delayed until the exchange with the target has ended.
	if err := rt.forward(body, true); err != nil || whole {
		return err
	}
	return gw.forwardRest(ctx, sl, rs, rt)
}

// forwardRest forwards the rest of a response as it is received.
func (gw *Gateway) forwardRest(ctx context.Context, sl *dispatch.Slot, rs *upstream.Response, rt *responseTransfer) error {
	buf := make([]byte, forwardPartBytes)
	for {
		n, err := rs.Body.Read(buf)
		if sizeErr := gw.checkResponseBytes(rt.taken.Load() + int64(n)); sizeErr != nil {
			return gw.handleInterrupted(ctx, rt.rq, sl, sizeErr)
		}
		if n > 0 {
			if err := rt.forward(buf[:n], false); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			err = gw.checkEnd(rt.rq, sl, rs)
			if err == nil {
				rs.MarkComplete()
				return nil
			}
		}
		if err != nil {
			return gw.handleInterrupted(ctx, rt.rq, sl, err)
		}
	}
}

// TargetFailureError means that a target responded with a failure.
type TargetFailureError struct{ Status int }

// Error names the status.
func (te *TargetFailureError) Error() string {
	return "target responded with status " + strconv.Itoa(te.Status)
}

// takeFailureRetry reports whether a request is to be retried on another target instead of forwarding the target's failure, and takes the
// retry from the budget: once the failure is dropped, the retry must not be denied.
func (gw *Gateway) takeFailureRetry(ctx context.Context, rq *request, rw *responseWriter) bool {
	if gw.isOver(ctx, rq) || rw.Started() {
		return false
	}
	rq.retryTaken = gw.takeFailoverRetry(rq.RequestID, rq.route, rq.service, rq.tried)
	return rq.retryTaken
}

// handleInterrupted handles a response that broke off.
func (gw *Gateway) handleInterrupted(ctx context.Context, rq *request, sl *dispatch.Slot, err error) error {
	var xe *ExpiredTargetError
	if gw.isOver(ctx, rq) || errors.As(err, &xe) {
		fe := gw.cancellationError(ctx, rq).WithCause(err)
		gw.recordCancelled(rq, sl.Target, fe)
		return fe
	}
	rq.lostAttempt = true
	err = rq.attempt.endReason(err)
	if !gw.recordEnded(rq, sl, err, true) {
		gw.recordFailedAttempt(rq, sl.Target, err)
	}
	gw.recordInterrupted(rq, sl.Target, err)
	return failure.New(failure.TargetLost, failure.Unknown, "the target broke off").WithCause(err)
}
