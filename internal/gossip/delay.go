package gossip

import "time"

// delayForget is the part of elapsed time by which a link may become slower for good: the clocks of two machines that drift
// apart, or one that stood still, must not make all that the link tells seem old for ever. A reader that stays behind for ten
// seconds is told a tenth of a second too little.
const minOffsetRiseDivisor = 100

// delays finds by how much longer a frame was under way than the quickest on its link, by the sender's clock and the
// receiver's. A state that lay for 3 s in the buffers of a slow reader seemed as young as when it was written without it, and
// with it the proof of a configuration that was no longer the newest.
type delayEstimator struct {
	// least is the smallest difference of the two clocks lately; it means nothing before the first frame.
	minOffset time.Duration
	// at is when the newest frame came, by the receiver's clock, and zero before the first.
	lastFrame time.Time
}

// of takes a frame that was made a time after its sender began and came now, and returns by how much it was delayed.
func (de *delayEstimator) observe(sent time.Duration, now, began time.Time) time.Duration {
	if sent == 0 {
		// The sender does not tell.
		return 0
	}
	difference := now.Sub(began) - sent
	if de.lastFrame.IsZero() {
		de.minOffset, de.lastFrame = difference, now
	}
	de.minOffset = min(difference, de.minOffset+now.Sub(de.lastFrame)/minOffsetRiseDivisor)
	de.lastFrame = now
	return difference - de.minOffset
}
