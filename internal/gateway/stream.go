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
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/lifecycle"
	"github.com/silvermount/silvermount/internal/readahead"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

const (
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
	// minStallTimeout is the minimum silence within a stream after which it moves to another target. A target that depends on
	// a lost target stalls for 1.5 s before it reports this, and callers give up after 2 s.
	minStallTimeout = 1700 * time.Millisecond
	// stallPauseFactor is the same minimum as a multiple of the route's longest pause. The greater of the two applies.
	stallPauseFactor = 3
	// maxReadAheadBytes is how much of a stream is held for a slow caller. Most answers fit into it whole.
	maxReadAheadBytes = 64 << 10
	// slowWriteDelay is the duration of a write to a caller after which the stream is read ahead. Targets break off a stream that is
	// left unread for some seconds.
	slowWriteDelay = 250 * time.Millisecond
)

var idField = []byte("id:")

// event is one complete server-sent event of a stream.
type event struct {
	raw []byte
	// id is negative if the event has none.
	id int64
}

// TruncatedEventError means that a stream ended in the middle of an event.
type TruncatedEventError struct{}

// Error implements the error interface.
func (*TruncatedEventError) Error() string { return "stream ended in the middle of an event" }

// EventTooLargeError means that an event exceeds the maximum size.
type EventTooLargeError struct{}

// Error implements the error interface.
func (*EventTooLargeError) Error() string { return "event is larger than the maximum of 1 MiB" }

// eventReader reads the events of a stream.
type eventReader struct {
	br *bufio.Reader
	// reserve reserves memory for an event beyond freeEventBytes, and reports whether there is enough.
	reserve func(bytes int64) bool
	// reserved is the memory that is reserved for the present event.
	reserved int64
	// partial is set once the stream has ended in the middle of an event, for whatever reason.
	partial bool
}

const (
	// freeEventBytes is the size up to which no memory is reserved for an event. Nearly all events are smaller.
	freeEventBytes = 64 << 10
	// eventPartBytes is the number of bytes by which the reserved memory grows.
	eventPartBytes = 64 << 10
)

// NoMemoryError means that there is no memory for a large event.
type NoMemoryError struct{}

// Error implements the error interface.
func (*NoMemoryError) Error() string { return "no memory for a large event" }

// next returns the next complete event, or io.EOF if the stream ended after a complete event.
func (er *eventReader) next() (event, error) {
	ev := event{id: -1}
	// lineStart is where the current line begins in the event, skipped the number of bytes in empty lines before the event.
	lineStart, skipped := 0, 0
	for {
		part, err := er.br.ReadSlice('\n')
		if sizeErr := er.checkSize(skipped + len(ev.raw) + len(part)); sizeErr != nil {
			return event{}, sizeErr
		}
		ev.raw = append(ev.raw, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			er.partial = len(bytes.TrimSpace(ev.raw)) > 0
			if er.partial && errors.Is(err, io.EOF) {
				err = &TruncatedEventError{}
			}
			return event{}, err
		}
		trimmed := bytes.TrimRight(ev.raw[lineStart:], "\r\n")
		ev.parseID(trimmed)
		if len(trimmed) == 0 && lineStart > 0 {
			return ev, nil
		}
		if len(trimmed) == 0 {
			skipped += len(ev.raw)
			ev.raw = ev.raw[:0]
		}
		lineStart = len(ev.raw)
	}
}

// checkSize returns an error if an event of n bytes is too large, or if there is no memory for it.
func (er *eventReader) checkSize(n int) error {
	if n > maxEventBytes {
		return &EventTooLargeError{}
	}
	for int64(n) > freeEventBytes+er.reserved {
		if !er.reserve(eventPartBytes) {
			return &NoMemoryError{}
		}
		er.reserved += eventPartBytes
	}
	return nil
}

// takeReserved returns the memory to release after the present event.
func (er *eventReader) takeReserved() int64 {
	n := er.reserved
	er.reserved = 0
	return n
}

// parseID sets the id if the line holds one.
func (ev *event) parseID(line []byte) {
	v, ok := bytes.CutPrefix(line, idField)
	if !ok {
		return
	}
	if n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err == nil {
		ev.id = n
	}
}

// forwardStream forwards the events of a response as they are received.
func (gw *Gateway) forwardStream(ctx context.Context, rq *request, rw *responseWriter, sl *dispatch.Slot, rs *upstream.Response) error {
	rq.beginStream()
	ar := gw.Quarantine.BeginRun(rq.fingerprints)
	defer ar.End()
	ahead := readahead.New(rs.Body, maxReadAheadBytes, slowWriteDelay, rq.memory.TryAcquire)
	defer func() { rq.memory.Release(ahead.Close()) }()
	er := &eventReader{br: bufio.NewReader(ahead), reserve: rq.memory.Acquire}
	defer func() { rq.memory.Release(er.takeReserved()) }()
	var received int64
	stallTimeout := max(minStallTimeout, stallPauseFactor*rq.route.MaxPause)
	// Cloned, because the watchdog may read it while the next attempt appends to rq.tried.
	tried := slices.Clone(rq.tried)
	wd := startStallWatchdog(rs, ahead.Pending, gw.Paused, stallTimeout, func(silence time.Duration) bool {
		if silence <= sl.MaxSilence() {
			return false
		}
		gw.recordSilence(rq, sl.Target)
		return gw.takeFailoverRetry(rq.RequestID, rq.route, rq.service, tried)
	})
	defer wd.stop()
	firstEvent := true
	for {
		rq.memory.Release(er.takeReserved())
		ev, err := er.next()
		received += int64(len(ev.raw))
		if err == nil {
			err = gw.checkResponseBytes(received)
		}
		if errors.Is(err, io.EOF) {
			wd.stop()
			if err = gw.finishStream(rq, rw, sl, rs); err == nil {
				return nil
			}
		}
		var ne *NoMemoryError
		if errors.As(err, &ne) {
			// The target is not to blame.
			return failure.New(failure.NoMemory, gw.outcome(rq), "memory is short").WithCause(err).WithRetryAfter(overloadRetryAfter)
		}
		if err != nil {
			rq.recordCut(er.partial)
			rq.retryTaken = wd.hasFired()
			return gw.handleInterrupted(ctx, rq, sl, wd.cause(err))
		}
		if firstEvent {
			firstEvent = false
			sl.RecordFirstToken()
			gw.observeFirstEvent(rq, sl)
			if err := gw.transition(ctx, rq, lifecycle.FirstToken); err != nil {
				return err
			}
		}
		wd.reset(stallTimeout)
		rq.recordEvent(ev)
		gw.Targets.RecordReachable(sl.Target.ID)
		sl.RecordEvent()
		if ev.id >= 0 && ev.id <= rq.forwardedEventID {
			// The event was already forwarded before the stream moved to this target.
			continue
		}
		forwardedFrom := gw.Now()
		err = ahead.During(func() error { return gw.forwardEvent(rq, rw, rs, ev) })
		if err != nil {
			return err
		}
		if gw.Now().Sub(forwardedFrom) > maxUnseenDelay {
			sl.SkipPass()
		}
	}
}

// maxUnseenDelay is how long the forwarding of an event may take without hiding when the next one arrives: a tenth of a short engine pass.
const maxUnseenDelay = 5 * time.Millisecond

// takeFailoverRetry reports whether a request can move to another target now, and takes the retry for it from the budget. All
// streams of a silent target call it at about the same time, and the budget may suffice for only some of them.
func (gw *Gateway) takeFailoverRetry(requestID string, rt routes.Route, service string, tried []string) bool {
	return !rt.AtMostOnce() && gw.hasUntriedTarget(rt, service, tried) && gw.withdrawRetry(requestID, service)
}

// hasUntriedTarget reports whether the route allows another attempt and an untried target is usable.
func (gw *Gateway) hasUntriedTarget(rt routes.Route, service string, tried []string) bool {
	untried := func(tg targets.Target) bool { return !slices.Contains(tried, tg.ID) }
	return gw.countAvailable(tried) < rt.MaxAttempts && slices.ContainsFunc(gw.Targets.Usable(service, targets.RequireReachable), untried)
}

// forwardEvent sends one event to the caller, after the headers if it is the first.
func (gw *Gateway) forwardEvent(rq *request, rw *responseWriter, rs *upstream.Response, ev event) error {
	if !rw.Started() {
		copyEndToEndHeaders(rw.w.Header(), rs.Header)
		rw.w.Header().Del("Content-Length")
		rw.start(rs.StatusCode)
	}
	rt := gw.beginResponseTransfer(rq, rw)
	defer rt.end()
	if err := rt.forward(ev.raw, true); err != nil {
		return err
	}
	rq.forwardedEventID = max(rq.forwardedEventID, ev.id)
	rq.eventsForwarded++
	rq.recordEventTime(gw.Now())
	return nil
}

// recordEventTime records when an event was forwarded.
func (rq *request) recordEventTime(now time.Time) {
	if rq.lastEventAt.IsZero() {
		rq.timeToFirst = now.Sub(rq.arrived)
	} else {
		rq.longestPause = max(rq.longestPause, now.Sub(rq.lastEventAt))
	}
	rq.lastEventAt = now
}

// finishStream completes a stream that was received to its end, unless the end may be that of its target or is too early. The stream is complete
// even if the deadline passes at this moment.
func (gw *Gateway) finishStream(rq *request, rw *responseWriter, sl *dispatch.Slot, rs *upstream.Response) error {
	if err := rq.checkExtent(rs.Framing()); err != nil {
		return err
	}
	if err := gw.checkEnd(rq, sl, rs); err != nil {
		return err
	}
	rs.MarkComplete()
	gw.Targets.RecordSuccess(sl.Target.ID)
	if !rw.Started() {
		copyEndToEndHeaders(rw.w.Header(), rs.Header)
		rw.start(rs.StatusCode)
	}
	return nil
}

// stallWatchdog breaks off a stream that has stalled, but only while the stream can continue on another target. A stall alone
// is no reason to end a response before its deadline. It is safe for concurrent use.
type stallWatchdog struct {
	rs *upstream.Response
	// pending reports whether data was read ahead that is not forwarded yet.
	pending func() bool
	timeout time.Duration
	// takeRetry reports whether the stream may be broken off, after it has taken the retry to continue it on another target.
	takeRetry func(silence time.Duration) bool
	// lastEventAt is when the last event was received; before the first event, when the head was. It is moved on by pauses of this
	// process since then.
	lastEventAt time.Time
	// pauses measures the pauses of this process.
	pauses pauseMeter

	mu    sync.Mutex
	timer *time.Timer
	// stopped is set once the stream is over. Its connection must not be closed then, because another request may use it.
	stopped bool
	// fired is set if the watchdog broke off the stream.
	fired bool
}

// startStallWatchdog starts a watchdog for a stream whose head has been received.
func startStallWatchdog(
	rs *upstream.Response, pending func() bool, paused func() time.Duration, timeout time.Duration, takeRetry func(silence time.Duration) bool,
) *stallWatchdog {
	wd := &stallWatchdog{
		rs: rs, pending: pending, pauses: newPauseMeter(paused), timeout: timeout, takeRetry: takeRetry, lastEventAt: time.Now(),
	}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.timer = time.AfterFunc(maxFirstEventDelay, wd.fire)
	return wd
}

// maxFirstEventDelay is the maximum time between the head of a stream and its first event. Targets send the head together with
// the first token.
const maxFirstEventDelay = 3 * time.Second

// fire is called by the timer.
func (wd *stallWatchdog) fire() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.stopped {
		return
	}
	if wd.pending() || wd.rs.HasUnreadData() {
		// Data is waiting to be read, so the target is not silent: this process or the caller is slow.
		wd.timer.Reset(stallRecheckInterval)
		return
	}
	if lost := wd.pauses.sinceLast(); lost > 0 {
		// The target gets the time again that it lost.
		wd.lastEventAt = wd.lastEventAt.Add(lost)
		wd.timer.Reset(min(lost, wd.timeout))
		return
	}
	if !wd.takeRetry(time.Since(wd.lastEventAt)) {
		wd.timer.Reset(stallRecheckInterval)
		return
	}
	wd.fired = true
	wd.rs.Abort()
}

// stallRecheckInterval is the time until a stalled stream that could not move is checked again: a few forward passes of an
// engine.
const stallRecheckInterval = 250 * time.Millisecond

// reset records that an event was received and restarts the timer.
func (wd *stallWatchdog) reset(d time.Duration) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.lastEventAt = time.Now()
	// Pauses before this event are no part of the next silence.
	wd.pauses.sinceLast()
	wd.timer.Reset(d)
}

func (wd *stallWatchdog) stop() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.stopped = true
	wd.timer.Stop()
}

func (wd *stallWatchdog) hasFired() bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.fired
}

// cause returns a SilentTargetError if the watchdog broke off the stream, else err.
func (wd *stallWatchdog) cause(err error) error {
	if wd.hasFired() {
		return &SilentTargetError{After: wd.timeout}
	}
	return err
}
