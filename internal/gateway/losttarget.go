package gateway

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/inflightattempts"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/tunnel"
	"github.com/silvermount/silvermount/internal/upstream"
)

// Losses receives evidence that targets are lost, or that they are not. All fields are required.
type Losses struct {
	// RecordDialFailure records that no connection to a target could be opened.
	RecordDialFailure func(tg targets.Target, err error)
	// RecordAddressTaken records that another incarnation answered at the address of a target.
	RecordAddressTaken func(target string)
	// RecordAnswer records that a target answered.
	RecordAnswer func(target string)
}

// inFlightAttempt is the attempt of a request that is in flight.
type inFlightAttempt struct {
	// ctx is cancelled when the attempt is to end, with the reason as its cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	handle *inflightattempts.Handle
	acks   *ackWatchdog
	// answeredAt is when the head of the response was received; nil before.
	answeredAt atomic.Pointer[time.Time]
	// monitor observes the connection; nil until the request is sent.
	monitor atomic.Pointer[upstream.Monitor]
}

// beginAttempt registers an attempt, so that evidence about its targets can end it. end must be called.
func (gw *Gateway) beginAttempt(ctx context.Context, rq *request, sl *dispatch.Slot) *inFlightAttempt {
	ia := &inFlightAttempt{}
	tried := append(append([]string{}, rq.tried...), sl.Target.ID)
	requestID, rt, service := rq.RequestID, rq.route, rq.service
	ctx, ia.cancel = context.WithCancelCause(ctx)
	ia.ctx, ia.handle = gw.Attempts.Begin(ctx, inflightattempts.Attempt{
		Target: sl.Target.ID, Memory: sl.MemoryTargets(), AtMostOnce: rt.AtMostOnce(), Status: ia.status,
		MaxSilence: func() time.Duration { return max(minStallTimeout, rt.MaxPause, sl.MaxSilence()) },
		HasOther:   func() bool { return !rt.AtMostOnce() && gw.hasUntriedTarget(rt, service, tried) },
		TryRetry:   func() bool { return gw.takeFailoverRetry(requestID, rt, service, tried) },
	})
	return ia
}

// status returns what the attempt has received so far.
func (ia *inFlightAttempt) status() inflightattempts.Status {
	var st inflightattempts.Status
	if at := ia.answeredAt.Load(); at != nil {
		st.Answered, st.LastDataAt = true, *at
	}
	if mo := ia.monitor.Load(); mo != nil {
		st.Sent = true
		st.HasUnreadData = mo.HasUnreadData()
		if at := mo.LastReadAt(); at.After(st.LastDataAt) {
			st.LastDataAt = at
		}
	}
	return st
}

// end removes the attempt.
func (ia *inFlightAttempt) end() {
	ia.acks.stop()
	ia.handle.End()
	ia.cancel(nil)
}

// endReason returns the error that the attempt was ended with, or err if it was not ended.
func (ia *inFlightAttempt) endReason(err error) error {
	cause := context.Cause(ia.ctx)
	var le *inflightattempts.LostTargetError
	var ue *UnacknowledgedRequestError
	if !errors.As(cause, &le) && !errors.As(cause, &ue) {
		return err
	}
	var ee *upstream.ExchangeError
	if errors.As(err, &ee) {
		return &upstream.ExchangeError{Sent: ee.Sent, Cause: cause}
	}
	return cause
}

// isBlameless reports whether an attempt failed for a cause that says nothing about its target: a tunnel ended, or memory was not renewed.
func isBlameless(err error) bool {
	var me *LapsedMemoryError
	return isTunnelCut(err) || errors.As(err, &me)
}

// isTunnelCut reports whether an attempt failed because a peer's tunnel ended, which says nothing about the target.
func isTunnelCut(err error) bool {
	var ce *tunnel.CutError
	return errors.As(err, &ce)
}

// recordEnded records an attempt that was ended because a target of it is lost, its request was not acknowledged, its tunnel was cut or its
// memory may have lapsed. It reports false for any other error.
func (gw *Gateway) recordEnded(rq *request, sl *dispatch.Slot, err error, sent bool) bool {
	var le *inflightattempts.LostTargetError
	var ue *UnacknowledgedRequestError
	var me *LapsedMemoryError
	switch {
	case isTunnelCut(err):
		gw.recordTunnelCut(rq, sl, err)
	case errors.As(err, &me):
		gw.recordLapsedMemory(rq, sl, me)
	case errors.As(err, &le):
		gw.recordLostTarget(rq, sl, le, sent)
	case errors.As(err, &ue):
		gw.logAttemptEnded(rq, sl, log.Fields{"evidence": "unacknowledged", "evidence_age": ue.For.Round(time.Millisecond).String(), "sent": sent})
		gw.Paths.Check(sl.Target.Address)
	default:
		return false
	}
	return true
}

// recordTunnelCut records an attempt whose tunnel was cut. The target may be chosen again.
func (gw *Gateway) recordTunnelCut(rq *request, sl *dispatch.Slot, err error) {
	fs := log.Fields{"evidence": "tunnel_cut", "cause": err.Error(), "sent": true}
	if !rq.headAt.IsZero() {
		fs["answered_for"] = roundedSince(rq.headAt, gw.Now()).String()
	}
	gw.logAttemptEnded(rq, sl, fs)
	rq.excluded = slices.DeleteFunc(rq.excluded, func(id string) bool { return id == sl.Target.ID })
	if peer := rq.via.Load(); peer != nil {
		gw.Paths.AvoidPeer(*peer)
	}
}

// recordLapsedMemory records an attempt that may have been cut since its memory had lapsed, and keeps the request away from the target that
// held it: renewals do not reach it. No target is to blame.
func (gw *Gateway) recordLapsedMemory(rq *request, sl *dispatch.Slot, me *LapsedMemoryError) {
	gw.logAttemptEnded(rq, sl, log.Fields{
		"evidence": "memory_lapsed", "lost_target": me.Target, "sent": true, "answered_for": roundedSince(rq.headAt, gw.Now()).String(),
	})
	rq.excluded = append(rq.excluded, me.Target)
}

// recordLostTarget records an attempt that was ended because a target of it is lost, and keeps the request away from that target.
func (gw *Gateway) recordLostTarget(rq *request, sl *dispatch.Slot, le *inflightattempts.LostTargetError, sent bool) {
	ev := le.Evidence
	gw.logAttemptEnded(rq, sl, log.Fields{
		"evidence": string(ev.Kind), "lost_target": ev.Target, "orders": ev.Orders, "sent": sent,
		"evidence_age": roundedSince(ev.Since, gw.Now()).String(), "certain_for": roundedSince(ev.At, gw.Now()).String(),
	})
	if ev.Target == sl.Target.ID {
		if !gw.Paths.IsLost(sl.Target.Address) {
			gw.recordTargetFailure(sl.Target)
		}
		return
	}
	rq.excluded = append(rq.excluded, ev.Target)
	for _, hp := range sl.Helpers {
		if hp.ID == ev.Target {
			sl.RecordShed(hp.Address)
		}
	}
}

// logAttemptEnded logs and counts an attempt that was ended on evidence, with the given fields about the evidence.
func (gw *Gateway) logAttemptEnded(rq *request, sl *dispatch.Slot, evidence log.Fields) {
	fs := gw.logFields(rq)
	for k, v := range evidence {
		fs[k] = v
	}
	fs["target"] = sl.Target.ID
	fs["memory_at"] = strconv.Itoa(len(sl.MemoryTargets()))
	fs["events"] = rq.eventsForwarded
	rq.addVia(fs)
	gw.Log.WithFields(fs).Warn("attempt ended")
	kind, _ := fs["evidence"].(string)
	gw.Metrics.GetOrCreateCounter(`silvermount_attempts_ended_total{evidence="` + kind + `"}`).Inc()
}

const (
	// maxUnacknowledged is how long a request with reserved memory may stay without a further byte acknowledged by the machine of its
	// target. Memory that is reserved for 4 s without use counts as lost, and a machine may be silent for two seconds.
	maxUnacknowledged = 2500 * time.Millisecond
	// ackCheckInterval is the time between two checks.
	ackCheckInterval = 250 * time.Millisecond
)

// UnacknowledgedRequestError is the cause with which an attempt is cancelled whose request has not reached the machine of its target.
type UnacknowledgedRequestError struct{ For time.Duration }

// Error includes how long nothing was acknowledged.
func (ue *UnacknowledgedRequestError) Error() string {
	return "request not acknowledged for " + ue.For.String()
}

// ackWatchdog ends an attempt with reserved memory if its request is not acknowledged. It is safe for concurrent use.
type ackWatchdog struct {
	// acknowledged and unacknowledged return the number of bytes of the request that the machine of the target has and has not
	// acknowledged.
	acknowledged   func() int64
	unacknowledged func() int
	// ackSilence returns for how long data in flight or probes of a closed receive window have not been acknowledged; 0 if there are none.
	// A target that reads nothing for a while closes its window, and its machine still acknowledges probes.
	ackSilence func() time.Duration
	// end ends the attempt.
	end func(*UnacknowledgedRequestError)

	mu sync.Mutex
	// pauses measures the pauses of this process.
	pauses pauseMeter
	timer  *time.Timer
	// progress is how many bytes were acknowledged at progressAt. A pause of this process moves progressAt on.
	progress   int64
	progressAt time.Time
	stopped    bool
}

// startAckWatchdog starts a watchdog for a request that is about to be sent.
func startAckWatchdog(
	acknowledged func() int64, unacknowledged func() int, ackSilence, paused func() time.Duration, end func(*UnacknowledgedRequestError),
) *ackWatchdog {
	aw := &ackWatchdog{
		acknowledged: acknowledged, unacknowledged: unacknowledged, ackSilence: ackSilence, end: end, pauses: newPauseMeter(paused),
		progressAt: time.Now(),
	}
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.timer = time.AfterFunc(ackCheckInterval, aw.check)
	return aw
}

// check is called by the timer.
func (aw *ackWatchdog) check() {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	if aw.stopped {
		return
	}
	now := time.Now()
	aw.progressAt = aw.progressAt.Add(aw.pauses.sinceLast())
	if n := aw.acknowledged(); n > aw.progress || aw.unacknowledged() == 0 {
		aw.progress, aw.progressAt = max(n, aw.progress), now
	}
	if silence := now.Sub(aw.progressAt); silence >= maxUnacknowledged && aw.ackSilence() >= maxUnacknowledged {
		aw.end(&UnacknowledgedRequestError{For: silence})
		return
	}
	aw.timer.Reset(ackCheckInterval)
}

// stop stops the watchdog; a nil one is ignored.
func (aw *ackWatchdog) stop() {
	if aw == nil {
		return
	}
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.stopped = true
	aw.timer.Stop()
}

// observeConnection returns a function that starts to observe the connection on which a request is about to be sent.
func (gw *Gateway) observeConnection(rq *request, sl *dispatch.Slot, ia *inFlightAttempt) func(upstream.Monitor) {
	return func(mo upstream.Monitor) {
		ia.monitor.Store(&mo)
		if len(sl.MemoryTargets()) == 0 || rq.route.AtMostOnce() {
			return
		}
		ia.acks = startAckWatchdog(mo.Acknowledged, mo.Unacknowledged, mo.AckSilence, gw.Paused, func(ue *UnacknowledgedRequestError) { ia.cancel(ue) })
	}
}

// unsentLostError returns the failure of an attempt that was ended before anything was sent. Another target follows, and no retry is spent.
func (gw *Gateway) unsentLostError(rq *request, err error) error {
	return failure.New(failure.TargetUnreachable, gw.outcome(rq), "the target is lost").WithCause(err).WithRetryAfter(overloadRetryAfter)
}
