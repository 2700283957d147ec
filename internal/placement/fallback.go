package placement

import "math"

// preferFree orders the candidates by free memory alone.
func (ch *chooser) rankByFreeMemory() {
	for ix := range ch.candidates {
		ca := &ch.candidates[ix]
		free := float64(ca.freeMemory)
		ca.setKeys(-free, -free)
	}
}

// preferFast orders the candidates by when they are done alone.
func (ch *chooser) rankBySpeed() {
	for ix := range ch.candidates {
		ca := &ch.candidates[ix]
		ca.setKeys(ca.timeToFirstToken+ch.decodeTime(ca), ca.timeToPrefilled)
	}
}

// prefer sets the keys, unless the target cannot be chosen.
func (ca *candidate) setKeys(mainKey, helpKey float64) {
	if !math.IsInf(ca.mainKey, 1) {
		ca.mainKey = mainKey
	}
	if !math.IsInf(ca.helperKey, 1) {
		ca.helperKey = helpKey
	}
}
