package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/life"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

const (
	// eventMost bounds one event.
	eventMost = 1 << 20
	// stallFloor is the least silence inside a stream after which it is taken up elsewhere: a target that depends on a
	// lost one stands still for 1.5 s before it says so, and callers give up after two seconds.
	stallFloor = 1700 * time.Millisecond
	// stallPauses is the same in longest pauses of the route.
	stallPauses = 3
)

var idField = []byte("id:")

// event is one whole event of a stream.
type event struct {
	raw []byte
	// id is negative when the event has none.
	id int64
}

// CutEventError says that a stream ended inside an event.
type CutEventError struct{}

// Error says what happened.
func (*CutEventError) Error() string { return "the stream ended inside an event" }

// EventTooLargeError says that an event is larger than the bound.
type EventTooLargeError struct{}

// Error says what happened.
func (*EventTooLargeError) Error() string { return "an event is too large" }

// readEvent returns the next whole event, or io.EOF at the proper end of a stream.
func readEvent(br *bufio.Reader) (event, error) {
	ev := event{id: -1}
	for {
		line, err := br.ReadBytes('\n')
		ev.raw = append(ev.raw, line...)
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.raw)) > 0 {
			return event{}, &CutEventError{}
		}
		if err != nil {
			return event{}, err
		}
		if len(ev.raw) > eventMost {
			return event{}, &EventTooLargeError{}
		}
		text := bytes.TrimRight(line, "\r\n")
		if v, ok := bytes.CutPrefix(text, idField); ok {
			if n, perr := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); perr == nil {
				ev.id = n
			}
		}
		if len(text) == 0 && len(ev.raw) > len(line) {
			return ev, nil
		}
		if len(text) == 0 {
			ev.raw = ev.raw[:0]
		}
	}
}

// stream passes on the events of an answer as they come.
func (gw *Gateway) stream(ctx context.Context, rq *request, sk *sink, sl *dispatch.Slot, an *upstream.Answer) error {
	ru := gw.Blame.BeginRun(rq.origin(), rq.fingerprint)
	defer ru.End()
	br := bufio.NewReader(an.Body)
	stall := max(stallFloor, stallPauses*rq.route.MaxPause)
	// A copy: the timer may look at it while the next attempt begins.
	tried := slices.Clone(rq.tried)
	wd := newWatchdog(an, stall, func(silence time.Duration) bool {
		if silence <= sl.MaxSilence() {
			return false
		}
		gw.silent(sl.Target)
		return gw.claimMove(rq.route, rq.service, tried)
	})
	defer wd.stop()
	fresh := true
	for {
		ev, err := readEvent(br)
		if errors.Is(err, io.EOF) {
			gw.streamEnded(sk, sl, an)
			return nil
		}
		if err != nil {
			rq.claimed = wd.hasFired()
			return gw.brokenOff(ctx, rq, sl, wd.cause(err))
		}
		if fresh {
			fresh = false
			sl.RecordFirstToken()
			gw.observeFirst(rq, sl)
			if err := gw.fire(ctx, rq, life.FirstToken); err != nil {
				return err
			}
		}
		wd.reset(stall)
		gw.Targets.RecordReachable(sl.Target.ID)
		sl.RecordEvent()
		if ev.id >= 0 && ev.id <= rq.lastEvent {
			// The event was passed on before the stream moved here.
			continue
		}
		if err := gw.passEvent(rq, sk, an, ev); err != nil {
			return err
		}
	}
}

// claimMove reports whether a request can go on at another target now, and takes the retry for it: the streams of
// one silent target all ask at once, and there may be a retry for some of them only.
func (gw *Gateway) claimMove(rt routes.Route, service string, tried []string) bool {
	return !rt.AtMostOnce() && gw.another(rt, service, tried) && gw.Retries.TryWithdraw()
}

// another reports whether the route allows a further target and one is there.
func (gw *Gateway) another(rt routes.Route, service string, tried []string) bool {
	untried := func(tg targets.Target) bool { return !slices.Contains(tried, tg.ID) }
	return gw.stillThere(tried) < rt.MaxAttempts && slices.ContainsFunc(gw.Targets.Usable(service, targets.RequireReachable), untried)
}

func (gw *Gateway) passEvent(rq *request, sk *sink, an *upstream.Answer, ev event) error {
	if !sk.Started() {
		copyHeader(sk.w.Header(), an.Header)
		sk.w.Header().Del("Content-Length")
		sk.start(an.StatusCode)
	}
	if err := sk.Pass(ev.raw, true); err != nil {
		return err
	}
	rq.lastEvent = max(rq.lastEvent, ev.id)
	rq.events++
	rq.timed(gw.Now())
	return nil
}

// timed notes that an event was passed on.
func (rq *request) timed(now time.Time) {
	if rq.eventAt.IsZero() {
		rq.first = now.Sub(rq.arrived)
	} else {
		rq.pause = max(rq.pause, now.Sub(rq.eventAt))
	}
	rq.eventAt = now
}

// streamEnded notes that a stream is whole. That holds also when its time is over just now.
func (gw *Gateway) streamEnded(sk *sink, sl *dispatch.Slot, an *upstream.Answer) {
	an.Whole()
	gw.Targets.RecordSuccess(sl.Target.ID)
	if !sk.Started() {
		copyHeader(sk.w.Header(), an.Header)
		sk.start(an.StatusCode)
	}
}

// watchdog closes an answer that stays silent for too long, but only while the stream can go on elsewhere: silence
// alone is no reason to end an answer before its time.
type watchdog struct {
	an    *upstream.Answer
	limit time.Duration
	// claim reports whether the stream may be ended, as its continuation elsewhere is paid for.
	claim func(silence time.Duration) bool
	// heard is when the last event came.
	heard time.Time

	mu    sync.Mutex
	timer *time.Timer
	// ended is set when the stream is over: its connection may then serve another request.
	ended bool
	// fired is set when silence ended the stream.
	fired bool
}

func newWatchdog(an *upstream.Answer, limit time.Duration, claim func(silence time.Duration) bool) *watchdog {
	wd := &watchdog{an: an, limit: limit, claim: claim, heard: time.Now()}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.timer = time.AfterFunc(firstEventMost, wd.fire)
	return wd
}

// firstEventMost bounds the silence between the head of a stream and its first event. The head comes with the first
// token.
const firstEventMost = 3 * time.Second

func (wd *watchdog) fire() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.ended {
		return
	}
	if wd.an.Waits() {
		// It is not the target that was silent: this process, or the caller, takes no more at present.
		wd.timer.Reset(askAgain)
		return
	}
	if !wd.claim(time.Since(wd.heard)) {
		wd.timer.Reset(askAgain)
		return
	}
	wd.fired = true
	wd.an.Break()
}

// askAgain is how soon a silent stream that could not move is looked at again: a few passes of an engine.
const askAgain = 250 * time.Millisecond

func (wd *watchdog) reset(d time.Duration) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.heard = time.Now()
	wd.timer.Reset(d)
}

func (wd *watchdog) stop() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.ended = true
	wd.timer.Stop()
}

func (wd *watchdog) hasFired() bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.fired
}

// cause returns the silence as the cause of a broken stream, if it was.
func (wd *watchdog) cause(err error) error {
	if wd.hasFired() {
		return &SilentTargetError{After: wd.limit}
	}
	return err
}
