package gossip

import "time"

const (
	// stallLeast is the time lost at once from which this process counts as having been frozen. Less is a busy machine,
	// and well within the margins of those who use the ages of states.
	minPause = 100 * time.Millisecond
	// stallDrain is how long after a freeze what is read may have come during it: the buffers of all links are read
	// within milliseconds, also on a tenth of a core within this.
	pauseDrainTime = time.Second
)

// stalls is the time that this process lost lately. What came in meanwhile lay in the buffers of its links, and its
// sender's word on its age does not count that.
type pauseDetector struct {
	// began is when the clock that counts the lost time began, seen how much of it was noticed.
	start    time.Time
	inactive time.Duration
	// woke is when the newest freeze was noticed, lost what was lost in it and others shortly before.
	resumedAt   time.Time
	recentPause time.Duration
}

// noticed takes the time for which the process was awake, and returns by how much longer what is read now may have been
// under way.
func (pd *pauseDetector) observe(awake time.Duration, now time.Time) time.Duration {
	if now.Sub(pd.resumedAt) > pauseDrainTime {
		pd.recentPause = 0
	}
	lost := now.Sub(pd.start) - awake
	if lost-pd.inactive >= minPause {
		pd.resumedAt = now
		pd.recentPause += lost - pd.inactive
	}
	pd.inactive = lost
	return pd.recentPause
}
