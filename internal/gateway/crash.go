package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/inflightattempts"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// crashProbeDelays are the times after the interruption of a run at which a connection to its target is probed. A process
// that crashes may reset its connections some time before it stops listening. After the last probe its address may already
// belong to another process.
var crashProbeDelays = []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// replacementCheckDelays are the times after the interruption of a run at which the list of targets is asked whether its target was
// replaced. A process that restarts at once refuses no connection.
var replacementCheckDelays = []time.Duration{time.Second, 2 * time.Second}

// probeSet is the set of targets that are being probed for a crash. It is safe for concurrent use.
type probeSet struct {
	mu sync.Mutex
	// running holds the incarnations of these targets.
	running []string
}

// start adds a target. It reports false if the target is being probed already.
func (ps *probeSet) start(id string) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if slices.Contains(ps.running, id) {
		return false
	}
	ps.running = append(ps.running, id)
	return true
}

// end removes a target.
func (ps *probeSet) end(id string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.running = slices.DeleteFunc(ps.running, func(other string) bool { return other == id })
}

// recordInterrupted records that a target interrupted a request, which counts against the request if the target proves to
// have crashed. A target that was leaving is ignored, since its process ends as planned. A target that was only silent is
// not probed.
func (gw *Gateway) recordInterrupted(rq *request, tg targets.Target, cause error) {
	if !gw.Targets.TakesWork(tg.ID) && !gw.Targets.Replaced(tg.ID) {
		return
	}
	var ue *UnacknowledgedRequestError
	var le *inflightattempts.LostTargetError
	if errors.As(cause, &ue) || isBlameless(cause) || errors.As(cause, &le) && le.Evidence.Target != tg.ID {
		// The target did not run the request, a peer or another target is the one that is lost, or this instance did not renew memory.
		return
	}
	gw.Quarantine.RecordInterrupted(gw.endedRun(rq, tg))
	if !isSilence(cause) {
		gw.probeForCrash(tg)
	}
}

// recordCancelled logs and records an attempt that was cancelled, which counts against the request if the target crashes right after.
func (gw *Gateway) recordCancelled(rq *request, tg targets.Target, fe *failure.Error) {
	gw.logCancelled(rq, tg, fe)
	if gw.Targets.TakesWork(tg.ID) {
		gw.Quarantine.RecordCancelled(gw.endedRun(rq, tg))
	}
}

// endedRun describes the run of a request at a target that has just ended.
func (gw *Gateway) endedRun(rq *request, tg targets.Target) quarantine.InterruptedRun {
	now := gw.Now()
	startedAt := rq.sentAt
	if !rq.headAt.IsZero() {
		startedAt = rq.headAt
	}
	return quarantine.InterruptedRun{
		Fingerprints: rq.fingerprints.All(), Incarnation: tg.ID, Elapsed: now.Sub(startedAt), Answering: !rq.headAt.IsZero(), At: now,
	}
}

// isSilence reports whether an attempt was ended because its target was silent. Other evidence that a target is lost is silence too, or
// has shown already that its process has ended.
func isSilence(cause error) bool {
	var se *SilentTargetError
	var le *inflightattempts.LostTargetError
	return errors.As(cause, &se) || errors.As(cause, &le)
}

// probeForCrash checks in the background whether a target that interrupted a run has crashed. A refused connection shows this
// seconds before the target's entry disappears from the store.
func (gw *Gateway) probeForCrash(tg targets.Target) {
	if !gw.crashProbes.start(tg.ID) {
		return
	}
	go func() {
		startedAt := gw.Now()
		cause := gw.crashCause(tg, startedAt)
		// A later interruption must be probed at once, also while this one waits for a replacement.
		gw.crashProbes.end(tg.ID)
		if cause == "" && gw.isReplacedSoon(tg, startedAt) {
			cause = causeReplaced
		}
		if cause != "" {
			gw.logCrashed(tg, cause, gw.Now().Sub(startedAt))
			gw.Quarantine.RecordCrash(tg.ID)
		}
	}()
}

// The causes that are logged for a crash.
const (
	causeRefused  = "connection refused"
	causeReplaced = "replaced by another incarnation"
)

// crashCause probes a target that interrupted a run at a time, and returns how it is known that it has crashed; empty if it is not.
func (gw *Gateway) crashCause(tg targets.Target, interruptedAt time.Time) string {
	for _, delay := range crashProbeDelays {
		time.Sleep(delay - gw.Now().Sub(interruptedAt))
		if gw.refusesConnections(context.Background(), tg) {
			return causeRefused
		}
		if gw.Targets.Replaced(tg.ID) {
			return causeReplaced
		}
	}
	return ""
}

// isReplacedSoon reports whether a target that interrupted a run at a time is replaced soon after.
func (gw *Gateway) isReplacedSoon(tg targets.Target, interruptedAt time.Time) bool {
	for _, delay := range replacementCheckDelays {
		time.Sleep(delay - gw.Now().Sub(interruptedAt))
		if gw.Targets.Replaced(tg.ID) {
			return true
		}
	}
	return false
}

// refusesConnections reports whether no process listens on a target's address.
func (gw *Gateway) refusesConnections(ctx context.Context, tg targets.Target) bool {
	return isConnectionRefused(gw.Pool.Probe(ctx, tg.Address))
}

// recordCrashIfRefused records the crash of a target that refused a connection and was not leaving.
func (gw *Gateway) recordCrashIfRefused(tg targets.Target, err error) {
	if isConnectionRefused(err) && gw.Targets.TakesWork(tg.ID) {
		gw.Quarantine.RecordCrash(tg.ID)
	}
}

// recordUnreachable records that no connection to a target could be opened, unless this process was paused meanwhile.
func (gw *Gateway) recordUnreachable(tg targets.Target, err error) {
	var de *upstream.DialError
	if errors.As(err, &de) && de.ProcessPaused {
		return
	}
	if gw.Targets.RecordUnreachable(tg.ID) {
		gw.logZoneLeftOut(tg, "connections failed")
	}
	gw.logLeftOut(tg)
	gw.recordCrashIfRefused(tg, err)
}

// isConnectionRefused reports whether an error shows that no process listens on the address.
func isConnectionRefused(err error) bool {
	var de *upstream.DialError
	return errors.As(err, &de) && de.Refused()
}
