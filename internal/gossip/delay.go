package gossip

import "time"

// minOffsetRiseDivisor limits the rise of the minimum clock offset to this fraction of the elapsed time. The rise keeps clock
// drift, or a clock that stood still, from making everything on the link seem old for ever. In return, the delay of a reader
// that stays behind for ten seconds is underestimated by a tenth of a second.
const minOffsetRiseDivisor = 100

// delayEstimator estimates how much longer a frame took than the fastest recent frame on its link, from the clocks of sender
// and receiver. Without it, a state that waits 3 s in the buffers of a slow reader seems as recent as when it was written, and
// so does the proof in it of a configuration that is no longer the newest.
type delayEstimator struct {
	// minOffset is the smallest recent offset between the two clocks; it is undefined before the first frame.
	minOffset time.Duration
	// lastFrame is when the last frame arrived, on the receiver's clock; zero before the first.
	lastFrame time.Time
}

// observe records a frame that arrives now and was created when its sender had been up for uptime, and returns its extra
// delay. The receiver started at start.
func (de *delayEstimator) observe(uptime time.Duration, now, start time.Time) time.Duration {
	if uptime == 0 {
		// The sender does not report its uptime.
		return 0
	}
	offset := now.Sub(start) - uptime
	if de.lastFrame.IsZero() {
		de.minOffset, de.lastFrame = offset, now
	}
	de.minOffset = min(offset, de.minOffset+now.Sub(de.lastFrame)/minOffsetRiseDivisor)
	de.lastFrame = now
	return offset - de.minOffset
}
