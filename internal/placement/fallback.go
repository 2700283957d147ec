package placement

import "math"

// rankByFreeMemory sets the keys so that candidates with the most free memory come first.
func (ch *chooser) rankByFreeMemory() {
	for ix := range ch.candidates {
		ca := &ch.candidates[ix]
		free := float64(ca.freeMemory)
		ca.setKeys(-free, -free)
	}
}

// rankBySpeed sets the keys so that candidates with the lowest predicted completion time come first.
func (ch *chooser) rankBySpeed() {
	for ix := range ch.candidates {
		ca := &ch.candidates[ix]
		ca.setKeys(ca.timeToFirstToken+ch.decodeTime(ca), ca.timeToPrefilled)
	}
}

// setKeys replaces the keys, except for roles in which the target cannot be chosen.
func (ca *candidate) setKeys(mainKey, helperKey float64) {
	if !math.IsInf(ca.mainKey, 1) {
		ca.mainKey = mainKey
	}
	if !math.IsInf(ca.helperKey, 1) {
		ca.helperKey = helperKey
	}
}
