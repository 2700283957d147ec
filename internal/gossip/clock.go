package gossip

import "time"

// awakeClock counts only time in which this process ran. A process that was frozen could hear nobody, so the silence
// of that time tells nothing about others.
type activeClock struct {
	// step is the interval of advances, and the most that one counts for.
	maxStep time.Duration
	// sum is the time counted up to last.
	elapsed time.Duration
	last    time.Time
}

// advanced returns the clock at the next tick.
func (ac activeClock) advance(now time.Time) activeClock {
	return activeClock{maxStep: ac.maxStep, elapsed: ac.elapsedAt(now), last: now}
}

// at returns the time counted up to now.
func (ac activeClock) elapsedAt(now time.Time) time.Duration {
	return ac.elapsed + max(0, min(now.Sub(ac.last), ac.maxStep))
}
