package upstream

import (
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/pauseclock"
)

// headRecheckInterval is the time until a head is checked again whose target is not to blame for the delay.
const headRecheckInterval = 50 * time.Millisecond

// headWatch closes a connection if a head that has begun, or the body of a response that is skipped, does not end in time. It is safe for
// concurrent use.
type headWatch struct {
	cn      *conn
	timeout time.Duration
	// paused returns the total time for which the process was paused.
	paused func() time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// dueAt is when the timer is due, pausedBefore the total of the pauses when it was set.
	dueAt        time.Time
	pausedBefore time.Duration
	// stopped is set once the head has ended. Its connection must not be closed then, because another request may use it.
	stopped bool
	// fired is set if the connection was closed.
	fired bool
}

// start starts the watch unless it is running.
func (hw *headWatch) start() {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	if hw.timer != nil || hw.stopped {
		return
	}
	hw.timer = time.AfterFunc(hw.timeout, func() { hw.fire(time.Now()) })
	hw.setDue(time.Now(), hw.timeout)
}

// setDue records when the timer is due. The lock is held.
func (hw *headWatch) setDue(now time.Time, d time.Duration) {
	hw.dueAt, hw.pausedBefore = now.Add(d), hw.paused()
}

// fire is called by the timer.
func (hw *headWatch) fire(now time.Time) {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	if hw.stopped {
		return
	}
	// The target gets the time again that pauses of this process took.
	wait := min(hw.timeout, hw.pausedSinceSet(now))
	if wait == 0 && hw.cn.hasUnreadData() {
		// This process is slow to read. What it may still read is bounded in bytes.
		wait = headRecheckInterval
	}
	if wait > 0 {
		hw.setDue(now, wait)
		hw.timer.Reset(wait)
		return
	}
	hw.fired = true
	hw.cn.closeIgnoringError()
}

// pausedSinceSet returns for how long the process was paused since the timer was set, as pauses or the lateness of the timer show. The lock is
// held.
func (hw *headWatch) pausedSinceSet(now time.Time) time.Duration {
	paused := hw.paused() - hw.pausedBefore
	if late := now.Sub(hw.dueAt); late >= pauseclock.MinPause {
		paused = max(paused, late)
	}
	return paused
}

// stop ends the watch. It returns a SlowHeadError if the connection was closed, else err.
func (hw *headWatch) stop(err error) error {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	hw.stopped = true
	if hw.timer != nil {
		hw.timer.Stop()
	}
	if hw.fired {
		return &SlowHeadError{After: hw.timeout}
	}
	return err
}
