package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/blame"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// probeAt are the times after a run was broken off at which its target is asked for a connection. A process that ends may reset
// its connections some time before it stops listening; later its address may be another's.
var probeAt = []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// probes are the targets that are being asked whether they have ended. Its methods may be called by any goroutine.
type probes struct {
	mu sync.Mutex
	// asked holds incarnations.
	asked []string
}

// begin reports whether nobody asks the target yet.
func (pr *probes) begin(id string) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if slices.Contains(pr.asked, id) {
		return false
	}
	pr.asked = append(pr.asked, id)
	return true
}

func (pr *probes) end(id string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.asked = slices.DeleteFunc(pr.asked, func(asked string) bool { return asked == id })
}

// broke notes that a target broke off a request. It is held against the request if the target has ended, but for one that had begun
// to leave, which ends as planned.
func (gw *Gateway) broke(rq *request, tg targets.Target, cause error) {
	if !gw.Targets.TakesWork(tg.ID) {
		return
	}
	now := gw.Now()
	began := rq.sentAt
	if !rq.headAt.IsZero() {
		began = rq.headAt
	}
	gw.Blame.RecordInterrupted(blame.InterruptedRun{Request: rq.fingerprint(), Incarnation: tg.ID, Elapsed: now.Sub(began), At: now})
	var silent *SilentTargetError
	if !errors.As(cause, &silent) {
		gw.probeEnd(tg)
	}
}

// probeEnd finds out, in the background, whether a target that broke off a run has ended: a connection that is refused tells it
// seconds before the entry of the target goes.
func (gw *Gateway) probeEnd(tg targets.Target) {
	if !gw.probes.begin(tg.ID) {
		return
	}
	go func() {
		defer gw.probes.end(tg.ID)
		began := gw.Now()
		for _, at := range probeAt {
			time.Sleep(at - gw.Now().Sub(began))
			if gw.refuses(tg) {
				gw.logEnded(tg, "connection refused", gw.Now().Sub(began))
				gw.Blame.RecordCrash(tg.ID)
				return
			}
		}
	}()
}

// refuses reports whether nothing listens at a target's address.
func (gw *Gateway) refuses(tg targets.Target) bool {
	return connectionRefused(gw.Pool.Probe(context.Background(), tg.Address))
}

// noticeEnd notes the end of a target that refused a connection and had not begun to leave.
func (gw *Gateway) noticeEnd(tg targets.Target, err error) {
	if connectionRefused(err) && gw.Targets.TakesWork(tg.ID) {
		gw.Blame.RecordCrash(tg.ID)
	}
}

// notReached notes that a target took no connection, unless this process stood still meanwhile.
func (gw *Gateway) notReached(tg targets.Target, err error) {
	var de *upstream.DialError
	if errors.As(err, &de) && de.ProcessStalled {
		return
	}
	if gw.Targets.RecordUnreachable(tg.ID) {
		gw.logZoneOut(tg, "connections not taken")
	}
	gw.logLeftOut(tg)
	gw.noticeEnd(tg, err)
}

// connectionRefused reports whether a failure says that nothing listens at the address.
func connectionRefused(err error) bool {
	var de *upstream.DialError
	return errors.As(err, &de) && de.Refused()
}
