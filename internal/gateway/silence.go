package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// sendWithSilenceTimeout sends the call. It cancels the call if the target stays silent while another target could still
// respond in time.
func (gw *Gateway) sendWithSilenceTimeout(
	ctx context.Context, rq *request, sl *dispatch.Slot, ca upstream.Call,
) (*upstream.Response, error) {
	timeout := gw.silenceTimeout(rq, sl)
	if timeout <= 0 {
		return gw.Pool.Do(ctx, ca)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	tried := append(slices.Clone(rq.tried), sl.Target.ID)
	sw := startSilenceWatch(timeout, func() bool {
		gw.recordSilence(sl.Target)
		if !gw.takeFailoverRetry(rq.route, rq.service, tried) {
			return false
		}
		cancel(&SilentTargetError{After: timeout})
		return true
	})
	ca.OnSend = sw.setReceived
	rs, err := gw.Pool.Do(ctx, ca)
	rq.retryTaken = sw.stop()
	if err != nil {
		return nil, errors.Wrap(withSilenceCause(ctx, err), "wait for response")
	}
	return rs, nil
}

// silenceWatch calls giveUp if nothing is received from a target for the timeout before the head of its response. It is safe
// for concurrent use.
type silenceWatch struct {
	timeout time.Duration
	// giveUp cancels the call if the request can move to another target. It reports whether it did.
	giveUp func() bool

	mu    sync.Mutex
	timer *time.Timer
	// received reports whether data was received since its last call; nil until the request is sent.
	received func() bool
	// stopped is set once the head was received or the call failed, gaveUp if giveUp succeeded before.
	stopped, gaveUp bool
}

func startSilenceWatch(timeout time.Duration, giveUp func() bool) *silenceWatch {
	sw := &silenceWatch{timeout: timeout, giveUp: giveUp}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.timer = time.AfterFunc(timeout, sw.fire)
	return sw
}

// setReceived sets the function that reports whether data was received since its last call.
func (sw *silenceWatch) setReceived(received func() bool) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.received = received
}

// fire is called by the timer.
func (sw *silenceWatch) fire() {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.stopped {
		return
	}
	// Data that was received but not read shows that this process was stalled, not the target.
	if sw.received != nil && sw.received() || !sw.giveUp() {
		sw.timer.Reset(sw.timeout)
		return
	}
	sw.gaveUp = true
}

// stop ends the watch. It reports whether the call was cancelled.
func (sw *silenceWatch) stop() (gaveUp bool) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.stopped = true
	sw.timer.Stop()
	return sw.gaveUp
}

// withSilenceCause returns a SendError with the SilentTargetError that cancelled ctx, or err if there is none.
func withSilenceCause(ctx context.Context, err error) error {
	var se *SilentTargetError
	if errors.As(context.Cause(ctx), &se) {
		return &upstream.ExchangeError{Sent: true, Cause: se}
	}
	return err
}

// SilentTargetError means that an attempt was ended because its target was silent while another target could still respond.
type SilentTargetError struct{ After time.Duration }

// Error includes the timeout.
func (se *SilentTargetError) Error() string { return "no data from target within " + se.After.String() }

const (
	// silenceObjectives is how many times the route's objective a repeatable request waits for one target. By then the response
	// is late, but another target can still give one.
	silenceObjectives = 2
	// silencePredictionFactor is how many times the predicted time to the first token the head of a stream may take.
	silencePredictionFactor = 3
)

// silenceTimeout returns how long a target may be silent before the head of its response; zero means no limit.
func (gw *Gateway) silenceTimeout(rq *request, sl *dispatch.Slot) time.Duration {
	timeout := silenceObjectives * rq.route.Objective
	switch {
	case rq.route.AtMostOnce() || len(rq.tried) > 0 || rq.route.MaxAttempts < 2:
		return 0
	case rq.route.Streaming:
		return max(minStallTimeout, timeout, silencePredictionFactor*sl.PredictedFirstToken)
	default:
		return timeout
	}
}

// recordUnanswered records a failure against a target that sent nothing until the request was cancelled, unless the wait was
// too short to tell.
func (gw *Gateway) recordUnanswered(rq *request, sl *dispatch.Slot, waited time.Duration) {
	if waited < max(minStallTimeout, silenceObjectives*rq.route.Objective, silencePredictionFactor*sl.PredictedFirstToken) {
		return
	}
	gw.recordSilence(sl.Target)
	gw.recordTargetFailure(sl.Target)
}

// recordSilence records that a target was silent for longer than a healthy one.
func (gw *Gateway) recordSilence(tg targets.Target) {
	if gw.Targets.RecordSilence(tg.ID) {
		gw.logZoneLeftOut(tg, "silence")
	}
}
