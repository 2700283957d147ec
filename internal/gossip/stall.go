package gossip

import "time"

const (
	// stallLeast is the time lost at once from which this process counts as having been frozen. Less is a busy machine,
	// and well within the margins of those who use the ages of states.
	stallLeast = 100 * time.Millisecond
	// stallDrain is how long after a freeze what is read may have come during it: the buffers of all links are read
	// within milliseconds, also on a tenth of a core within this.
	stallDrain = time.Second
)

// stalls is the time that this process lost lately. What came in meanwhile lay in the buffers of its links, and its
// sender's word on its age does not count that.
type stalls struct {
	// began is when the clock that counts the lost time began, seen how much of it was noticed.
	began time.Time
	seen  time.Duration
	// woke is when the newest freeze was noticed, lost what was lost in it and others shortly before.
	woke time.Time
	lost time.Duration
}

// noticed takes the time for which the process was awake, and returns by how much longer what is read now may have been
// under way.
func (sl *stalls) noticed(awake time.Duration, now time.Time) time.Duration {
	if now.Sub(sl.woke) > stallDrain {
		sl.lost = 0
	}
	lost := now.Sub(sl.began) - awake
	if lost-sl.seen >= stallLeast {
		sl.woke = now
		sl.lost += lost - sl.seen
	}
	sl.seen = lost
	return sl.lost
}
