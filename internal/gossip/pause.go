package gossip

import "time"

const (
	// minPause is the inactive time between two observations that counts as a pause of this process. Less occurs on a busy
	// machine, and is well within the margins of the code that uses the ages of states.
	minPause = 100 * time.Millisecond
	// pauseDrainTime is how long after a pause a frame that is read may have arrived during it. The buffers of all links are
	// read within milliseconds, and within this time even on a tenth of a core.
	pauseDrainTime = time.Second
)

// pauseDetector measures recent pauses of this process, in which it was not running. Frames that arrive during a pause wait in
// the buffers of the links, and the age that the sender put on them does not include that wait.
type pauseDetector struct {
	// start is when the measurement began, inactive the total inactive time at the last call of observe.
	start    time.Time
	inactive time.Duration
	// resumedAt is when the newest pause was detected, recentPause the length of it and of others shortly before.
	resumedAt   time.Time
	recentPause time.Duration
}

// observe takes the total active time of the process, and returns the extra delay that a frame read now may have had.
func (pd *pauseDetector) observe(active time.Duration, now time.Time) time.Duration {
	if now.Sub(pd.resumedAt) > pauseDrainTime {
		pd.recentPause = 0
	}
	inactive := now.Sub(pd.start) - active
	if inactive-pd.inactive >= minPause {
		pd.resumedAt = now
		pd.recentPause += inactive - pd.inactive
	}
	pd.inactive = inactive
	return pd.recentPause
}
