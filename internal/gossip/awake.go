package gossip

import "time"

// awakeClock counts only time in which this process ran. A process that was frozen could hear nobody, so the silence
// of that time tells nothing about others.
type awakeClock struct {
	// step is the interval of advances, and the most that one counts for.
	step time.Duration
	// sum is the time counted up to last.
	sum  time.Duration
	last time.Time
}

// advanced returns the clock at the next tick.
func (ac awakeClock) advanced(now time.Time) awakeClock {
	return awakeClock{step: ac.step, sum: ac.at(now), last: now}
}

// at returns the time counted up to now.
func (ac awakeClock) at(now time.Time) time.Duration {
	return ac.sum + max(0, min(now.Sub(ac.last), ac.step))
}
