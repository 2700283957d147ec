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
func (gw *Gateway) exchange(ctx context.Context, rq *request, sl *dispatch.Slot, ca upstream.Call) (*upstream.Answer, error) {
	most := gw.silenceMost(rq, sl)
	if most <= 0 {
		return gw.Pool.Do(ctx, ca)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	tried := append(slices.Clone(rq.tried), sl.Target.ID)
	sw := watchSilence(most, func() bool {
		gw.silent(sl.Target)
		if !gw.claimMove(rq.route, rq.service, tried) {
			return false
		}
		cancel(&SilentTargetError{After: most})
		return true
	})
	ca.Sending = sw.sending
	an, err := gw.Pool.Do(ctx, ca)
	rq.claimed = sw.stop()
	if err != nil {
		return nil, errors.Wrap(withCause(ctx, err), "wait for answer")
	}
	return an, nil
}

// silenceWatch gives a target up that sends nothing for some time before its answer.
type silenceWatch struct {
	most time.Duration
	// giveUp reports whether it gave the target up.
	giveUp func() bool

	mu    sync.Mutex
	timer *time.Timer
	// came reports whether something has come since it was last asked; nil until the request is sent.
	came func() bool
	// ended is set when the answer is there, or will not come; gaveUp when the target was given up before.
	ended, gaveUp bool
}

func watchSilence(most time.Duration, giveUp func() bool) *silenceWatch {
	sw := &silenceWatch{most: most, giveUp: giveUp}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.timer = time.AfterFunc(most, sw.fire)
	return sw
}

// sending takes how to learn whether something came.
func (sw *silenceWatch) sending(came func() bool) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.came = came
}

func (sw *silenceWatch) fire() {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.ended {
		return
	}
	// What has come already shows that it was this process which was held up, not the target.
	if sw.came != nil && sw.came() || !sw.giveUp() {
		sw.timer.Reset(sw.most)
		return
	}
	sw.gaveUp = true
}

// stop ends the watch, and reports whether the target was given up.
func (sw *silenceWatch) stop() (gaveUp bool) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.ended = true
	sw.timer.Stop()
	return sw.gaveUp
}

func withCause(ctx context.Context, err error) error {
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
	silenceShare = 2
	// silencePredictions is how many times the predicted wait a stream's head may take.
	silencePredictions = 3
)

// silenceMost is how long a target may be silent before its answer; zero for no bound.
func (gw *Gateway) silenceMost(rq *request, sl *dispatch.Slot) time.Duration {
	most := silenceShare * rq.route.Objective
	switch {
	case rq.route.AtMostOnce() || len(rq.tried) > 0 || rq.route.MaxAttempts < 2:
		return 0
	case rq.route.Streaming:
		return max(stallFloor, most, silencePredictions*sl.PredictedFirstToken)
	default:
		return most
	}
}

// unanswered notes that nothing came until the end of a request's time, or until its caller went away.
func (gw *Gateway) unanswered(rq *request, sl *dispatch.Slot, waited time.Duration) {
	if waited < max(stallFloor, silenceShare*rq.route.Objective, silencePredictions*sl.PredictedFirstToken) {
		return
	}
	gw.silent(sl.Target)
	gw.held(sl.Target)
}

// silent notes that a target said nothing for longer than it should.
func (gw *Gateway) silent(tg targets.Target) {
	if gw.Targets.RecordSilence(tg.ID) {
		gw.logZoneOut(tg, "silence")
	}
}
