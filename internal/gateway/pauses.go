package gateway

import "time"

// pauseMeter measures the time that a wait for a target lost to pauses of this process. It is not safe for concurrent use.
type pauseMeter struct {
	// total returns the total time for which this process was paused.
	total func() time.Duration
	// before is that time when the wait began, or when it was last asked for.
	before time.Duration
}

func newPauseMeter(total func() time.Duration) pauseMeter {
	return pauseMeter{total: total, before: total()}
}

// sinceLast returns the time lost since the last call, or since the beginning of the wait.
func (pm *pauseMeter) sinceLast() time.Duration {
	before := pm.before
	pm.before = pm.total()
	return pm.before - before
}
