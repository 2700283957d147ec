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

// exchange sends the call, and gives a silent target up where another one may still answer.
func (gw *Gateway) sendWithSilenceTimeout(ctx context.Context, rq *request, sl *dispatch.Slot, ca upstream.Call) (*upstream.Answer, error) {
	most := gw.silenceTimeout(rq, sl)
	if most <= 0 {
		return gw.Pool.Do(ctx, ca)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	tried := append(slices.Clone(rq.tried), sl.Target.ID)
	sw := startSilenceWatch(most, func() bool {
		gw.recordSilence(sl.Target)
		if !gw.takeFailoverRetry(rq.route, rq.service, tried) {
			return false
		}
		cancel(&SilentTargetError{After: most})
		return true
	})
	ca.Sending = sw.setReceived
	an, err := gw.Pool.Do(ctx, ca)
	rq.retryTaken = sw.stop()
	if err != nil {
		return nil, errors.Wrap(withSilenceCause(ctx, err), "wait for answer")
	}
	return an, nil
}

// silenceWatch gives a target up that sends nothing for some time before its answer.
type silenceWatch struct {
	timeout time.Duration
	// giveUp reports whether it gave the target up.
	giveUp func() bool

	mu    sync.Mutex
	timer *time.Timer
	// came reports whether something has come since it was last asked; nil until the request is sent.
	received func() bool
	// ended is set when the answer is there, or will not come; gaveUp when the target was given up before.
	stopped, gaveUp bool
}

func startSilenceWatch(most time.Duration, giveUp func() bool) *silenceWatch {
	sw := &silenceWatch{timeout: most, giveUp: giveUp}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.timer = time.AfterFunc(most, sw.fire)
	return sw
}

// sending takes how to learn whether something came.
func (sw *silenceWatch) setReceived(came func() bool) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.received = came
}

func (sw *silenceWatch) fire() {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.stopped {
		return
	}
	// What has come already shows that it was this process which was held up, not the target.
	if sw.received != nil && sw.received() || !sw.giveUp() {
		sw.timer.Reset(sw.timeout)
		return
	}
	sw.gaveUp = true
}

// stop ends the watch, and reports whether the target was given up.
func (sw *silenceWatch) stop() (gaveUp bool) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.stopped = true
	sw.timer.Stop()
	return sw.gaveUp
}

func withSilenceCause(ctx context.Context, err error) error {
	var se *SilentTargetError
	if errors.As(context.Cause(ctx), &se) {
		return &upstream.SendError{Sent: true, Cause: se}
	}
	return err
}

// SilentTargetError says that a target gave no answer while another could still give one.
type SilentTargetError struct{ After time.Duration }

// Error says how long it was silent.
func (se *SilentTargetError) Error() string { return "no answer within " + se.After.String() }

const (
	// silenceShare is how many objectives a repeatable request waits for one target: by then the answer is late and
	// another target can still give it.
	silenceObjectives = 2
	// silencePredictions is how many times the predicted wait a stream's head may take.
	silencePredictionFactor = 3
)

// silenceMost is how long a target may be silent before its answer; zero for no bound.
func (gw *Gateway) silenceTimeout(rq *request, sl *dispatch.Slot) time.Duration {
	most := silenceObjectives * rq.route.Objective
	switch {
	case rq.route.Exclusive() || len(rq.tried) > 0 || rq.route.MaxAttempts < 2:
		return 0
	case rq.route.Streaming:
		return max(minStallTimeout, most, silencePredictionFactor*sl.PredictedFirstToken)
	default:
		return most
	}
}

// unanswered notes that nothing came until the end of a request's time, or until its caller went away.
func (gw *Gateway) recordUnanswered(rq *request, sl *dispatch.Slot, waited time.Duration) {
	if waited < max(minStallTimeout, silenceObjectives*rq.route.Objective, silencePredictionFactor*sl.PredictedFirstToken) {
		return
	}
	gw.recordSilence(sl.Target)
	gw.recordTargetFailure(sl.Target)
}

// silent notes that a target said nothing for longer than it should.
func (gw *Gateway) recordSilence(tg targets.Target) {
	if gw.Targets.Silent(tg.ID) {
		gw.logZoneLeftOut(tg, "silence")
	}
}
