package gateway

import (
	"time"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// TargetEndedError means that the process of a target or of a helper has ended, and with it the connection that marks the end of the
// response.
type TargetEndedError struct {
	// Target is the incarnation whose process has ended.
	Target string
}

// Error names the target.
func (te *TargetEndedError) Error() string {
	return "target " + te.Target + " ended, so that the response may be incomplete"
}

// ExpiredTargetError means that a response ended with its connection when its target may have stopped at the deadline that it was given.
type ExpiredTargetError struct {
	// Late is how long after that deadline the response ended; negative before, within deadlineTolerance.
	Late time.Duration
}

// Error includes the time.
func (ee *ExpiredTargetError) Error() string {
	return "response ended " + ee.Late.Round(time.Microsecond).String() + " after the deadline given to its target, so that it may be incomplete"
}

// deadlineTolerance is how long before its deadline a target may stop: a target is given whole milliseconds, and may count in them.
const deadlineTolerance = 2 * time.Millisecond

// checkExpired checks when a response ended that was received to its end. A target stops at its deadline by closing the connection in order, which
// cannot be told from the end of the response. It returns an ExpiredTargetError if the end was received at the deadline of the target or later.
func (gw *Gateway) checkExpired(rq *request, rs *upstream.Response) error {
	endedAt := rs.EndedAt()
	if endedAt.IsZero() {
		return nil
	}
	// The clock of the gateway may differ from that of the connection.
	now := gw.Now()
	late := now.Add(-time.Since(endedAt)).Sub(rq.targetDeadline)
	if late < -deadlineTolerance {
		return nil
	}
	return &ExpiredTargetError{Late: late}
}

// LapsedMemoryError means that a response ended with its connection when memory of its request may have lapsed, for which a target cuts it.
type LapsedMemoryError struct {
	// Target is the incarnation that held the memory.
	Target string
}

// Error names the target.
func (le *LapsedMemoryError) Error() string {
	return "memory at " + le.Target + " was not renewed in time, so that the response may be incomplete"
}

// checkMemory checks the reserved memory of a response that was received to its end. It returns a LapsedMemoryError if the response ended with its
// connection when the memory may have lapsed.
func checkMemory(sl *dispatch.Slot, rs *upstream.Response) error {
	endedAt := rs.EndedAt()
	if endedAt.IsZero() {
		return nil
	}
	if id, lapsed := sl.MemoryMayHaveLapsed(endedAt); lapsed {
		return &LapsedMemoryError{Target: id}
	}
	return nil
}

// endWatch finds out whether a response that ends with its connection was ended by its target, or by the kernel because the process of the
// target ended. A target also cuts its response when a helper is lost.
type endWatch struct {
	// sentinels holds a sentinel for each target, keyed by incarnation. It is empty unless the response ends with its connection.
	sentinels map[string]*upstream.Sentinel
}

// watchEnd begins to watch the targets of a response. close must be called.
func (gw *Gateway) watchEnd(sl *dispatch.Slot, rs *upstream.Response) *endWatch {
	ew := &endWatch{sentinels: map[string]*upstream.Sentinel{}}
	if rs.Framing() != upstream.ByConnection {
		return ew
	}
	ew.sentinels[sl.Target.ID] = rs.Watch()
	for _, hp := range sl.Helpers {
		if hp.ID != sl.Target.ID {
			ew.sentinels[hp.ID] = gw.Pool.Watch(hp.Address)
		}
	}
	return ew
}

func (ew *endWatch) close() {
	for _, sn := range ew.sentinels {
		sn.Close()
	}
}

// checkEnd checks a response that was received to its end. It returns an ExpiredTargetError, a LapsedMemoryError or a TargetEndedError if
// that may not be the end that its target gave it.
func (gw *Gateway) checkEnd(rq *request, sl *dispatch.Slot, rs *upstream.Response) error {
	if err := gw.checkExpired(rq, rs); err != nil {
		return err
	}
	if err := checkMemory(sl, rs); err != nil {
		return err
	}
	for _, id := range sl.TargetIDs() {
		sn, watched := rq.endWatch.sentinels[id]
		if !watched {
			continue
		}
		life := sn.AtEnd()
		if id == sl.Target.ID || life == upstream.Ended {
			rq.end = life
		}
		gw.recordEnd(rq, gw.Targets.ByID(id), life)
		if gw.hasEnded(id, life, id == sl.Target.ID) || gw.verifiesElsewhere(rq, id, life) {
			return &TargetEndedError{Target: id}
		}
	}
	return nil
}

// hasEnded reports whether the process of a target has ended before it can have been meant to. A helper that refuses connections holds no memory
// for long, even if it shuts down in order.
func (gw *Gateway) hasEnded(id string, life upstream.Life, isMain bool) bool {
	switch life {
	case upstream.Ended:
		return !isMain || !gw.mayEndAsPlanned(id)
	case upstream.Refused:
		return gw.Targets.TakesWork(id)
	case upstream.ShuttingDown:
		return !isMain && gw.Targets.TakesWork(id)
	default:
		return false
	}
}

// mayEndAsPlanned reports whether a target has been leaving for so long that it may end right after its last response.
func (gw *Gateway) mayEndAsPlanned(id string) bool {
	after := gw.limits.Load().PlannedEndAfter
	return after > 0 && gw.Targets.LeavingFor(id) >= after
}

// verifiesElsewhere reports whether another target is asked for the rest of a response, because nothing shows whether it is whole. If it is, the
// other target has nothing to add. A plain response is asked for again only if there is time for it.
func (gw *Gateway) verifiesElsewhere(rq *request, id string, life upstream.Life) bool {
	switch {
	case life == upstream.Outlived || life == upstream.Accepted || rq.plainStarted:
		return false
	case life == upstream.Unknown && gw.Targets.TakesWork(id):
		// The target may merely have no room for further connections.
		return false
	case !rq.route.Streaming && rq.deadline.At.Sub(gw.Now()) < gw.Now().Sub(rq.sentAt):
		return false
	}
	rq.retryTaken = gw.takeFailoverRetry(rq.RequestID, rq.route, rq.service, rq.tried)
	return rq.retryTaken
}

// recordEnd counts a response that ended with its connection, and logs it unless its target is known to live.
func (gw *Gateway) recordEnd(rq *request, tg targets.Target, life upstream.Life) {
	gw.Metrics.GetOrCreateCounter(`silvermount_unframed_responses_total{target="` + string(life) + `"}`).Inc()
	if life == upstream.Outlived || life == upstream.Accepted {
		return
	}
	fs := gw.logFields(rq)
	fs["target"] = tg.ID
	fs["target_state"] = gw.Targets.State(tg.ID)
	fs["end"] = string(life)
	fs["events"] = rq.eventsForwarded
	fs["answered_for"] = roundedSince(rq.headAt, gw.Now()).String()
	rq.addVia(fs)
	gw.Log.WithFields(fs).Warn("end of response not verified")
}
