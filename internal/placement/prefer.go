package placement

import "math"

// preferFree orders the candidates by free memory alone.
func (ch *chooser) preferFree() {
	for ix := range ch.cs {
		ca := &ch.cs[ix]
		free := float64(ca.free)
		ca.prefer(-free, -free)
	}
}

// preferFast orders the candidates by when they are done alone.
func (ch *chooser) preferFast() {
	for ix := range ch.cs {
		ca := &ch.cs[ix]
		ca.prefer(ca.first+ch.writing(ca), ca.ready)
	}
}

// prefer sets the keys, unless the target cannot be chosen.
func (ca *candidate) prefer(mainKey, helpKey float64) {
	if !math.IsInf(ca.mainKey, 1) {
		ca.mainKey = mainKey
	}
	if !math.IsInf(ca.helpKey, 1) {
		ca.helpKey = helpKey
	}
}
