package gossip

import "time"

// activeClock measures only time during which this process was running. A suspended process receives nothing, so peers must
// not count as silent for that time.
type activeClock struct {
	// maxStep is the interval between two calls of advance, and the maximum time counted between them.
	maxStep time.Duration
	// elapsed is the active time up to last.
	elapsed time.Duration
	last    time.Time
}

// advance returns the clock moved on to now.
func (ac activeClock) advance(now time.Time) activeClock {
	return activeClock{maxStep: ac.maxStep, elapsed: ac.elapsedAt(now), last: now}
}

// elapsedAt returns the active time up to now.
func (ac activeClock) elapsedAt(now time.Time) time.Duration {
	return ac.elapsed + max(0, min(now.Sub(ac.last), ac.maxStep))
}
