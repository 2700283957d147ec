package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/pauseclock"
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
	wd := startSilenceWatchdog(timeout, func() bool {
		gw.recordSilence(rq, sl.Target)
		if !gw.takeFailoverRetry(rq.RequestID, rq.route, rq.service, tried) {
			return false
		}
		cancel(&SilentTargetError{After: timeout})
		return true
	}, withPauses(gw.Paused))
	ca.OnSend = wd.setHasActivity
	rs, err := gw.Pool.Do(ctx, ca)
	rq.retryTaken = wd.stop()
	if err != nil {
		return nil, errors.Wrap(withSilenceCause(ctx, err), "wait for response")
	}
	return rs, nil
}

// silenceWatchdog calls tryCancel if nothing is received from a target for the timeout before the head of its response. It is safe
// for concurrent use.
type silenceWatchdog struct {
	timeout time.Duration
	// tryCancel cancels the call if the request can move to another target. It reports whether it did.
	tryCancel func() bool

	mu    sync.Mutex
	timer *time.Timer
	// dueAt is when the timer is due.
	dueAt time.Time
	// hasActivity reports whether data was received since its last call; nil until the request is sent.
	hasActivity func() bool
	// pauses measures the pauses of this process.
	pauses pauseMeter
	// stopped is set once the head was received or the call failed, cancelled if tryCancel succeeded before.
	stopped, cancelled bool
}

// silenceOption configures a silenceWatchdog.
type silenceOption func(*silenceWatchdog)

// withPauses sets the function that returns the total time for which this process was paused.
func withPauses(paused func() time.Duration) silenceOption {
	return func(wd *silenceWatchdog) { wd.pauses = newPauseMeter(paused) }
}

func startSilenceWatchdog(timeout time.Duration, tryCancel func() bool, opts ...silenceOption) *silenceWatchdog {
	wd := &silenceWatchdog{timeout: timeout, tryCancel: tryCancel, dueAt: time.Now().Add(timeout)}
	wd.pauses = newPauseMeter(func() time.Duration { return 0 })
	for _, opt := range opts {
		opt(wd)
	}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.timer = time.AfterFunc(timeout, func() { wd.fire(time.Now()) })
	return wd
}

// maxTimerDelay is how late a timer may fire. A later one shows that the process was paused.
const maxTimerDelay = pauseclock.MinPause

// resetTimer restarts the timer at the given time.
func (wd *silenceWatchdog) resetTimer(now time.Time, d time.Duration) {
	wd.dueAt = now.Add(d)
	wd.timer.Reset(d)
}

// setHasActivity sets the function that reports whether data was received since its last call.
func (wd *silenceWatchdog) setHasActivity(hasActivity func() bool) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.hasActivity = hasActivity
}

// fire is called by the timer.
func (wd *silenceWatchdog) fire(now time.Time) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.stopped {
		return
	}
	lost := wd.pauses.sinceLast()
	if late := now.Sub(wd.dueAt); late > maxTimerDelay {
		lost = max(lost, late)
	}
	if lost > 0 {
		// The process was paused, possibly before the request had left it. The target gets the time again that it lost.
		wd.resetTimer(now, min(lost, wd.timeout))
		return
	}
	// Data that was received but not read shows that this process was stalled, not the target.
	if wd.hasActivity != nil && wd.hasActivity() || !wd.tryCancel() {
		wd.resetTimer(now, wd.timeout)
		return
	}
	wd.cancelled = true
}

// stop stops the watchdog. It reports whether the call was cancelled.
func (wd *silenceWatchdog) stop() (cancelled bool) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.stopped = true
	wd.timer.Stop()
	return wd.cancelled
}

// withSilenceCause returns an ExchangeError with the SilentTargetError that cancelled ctx, or err if there is none.
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

// minHeadTimeout leaves time for two retransmissions of a part of a head.
const minHeadTimeout = 600 * time.Millisecond

// headTimeout returns how long a head may take from its first byte; zero means the maximum. The silence timeout does not end a head that
// trickles.
func (gw *Gateway) headTimeout(rq *request, sl *dispatch.Slot) time.Duration {
	timeout := gw.silenceTimeout(rq, sl)
	if timeout <= 0 {
		return 0
	}
	return max(minHeadTimeout, timeout)
}

// recordUnanswered records a failure against a target that sent nothing until the request was cancelled, unless the wait was
// too short to tell. waited does not include pauses of this process.
func (gw *Gateway) recordUnanswered(rq *request, sl *dispatch.Slot, waited time.Duration) {
	if waited < max(minStallTimeout, silenceObjectives*rq.route.Objective, silencePredictionFactor*sl.PredictedFirstToken) {
		return
	}
	gw.recordSilence(rq, sl.Target)
	if !gw.Paths.IsLost(sl.Target.Address) {
		gw.recordTargetFailure(sl.Target)
	}
}

// recordSilence records that a target was silent for longer than a healthy one. If the request was sent through a peer, that peer may be
// the cause; if it was sent directly, the path may be.
func (gw *Gateway) recordSilence(rq *request, tg targets.Target) {
	if peer := rq.via.Load(); peer != nil {
		gw.Paths.AvoidPeer(*peer)
		return
	}
	if gw.Paths.IsLost(tg.Address) {
		return
	}
	gw.Paths.Check(tg.Address)
	if gw.Targets.RecordSilence(tg.ID) {
		gw.logZoneLeftOut(tg, "silence")
	}
}
