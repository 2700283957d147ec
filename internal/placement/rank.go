package placement

import "math"

// rank is a sorted list of the candidates with the least keys.
type rank struct {
	ixs  [MaxParts]int
	keys [MaxParts]float64
	size int
}

// add puts a candidate in its place, if it is among the least that the rank has room for.
func (ra *rank) add(ix int, key float64, room int) {
	at := ra.size
	if at == room {
		if key >= ra.keys[at-1] {
			return
		}
		at--
	} else {
		ra.size++
	}
	for at > 0 && key < ra.keys[at-1] {
		ra.ixs[at] = ra.ixs[at-1]
		ra.keys[at] = ra.keys[at-1]
		at--
	}
	ra.ixs[at] = ix
	ra.keys[at] = key
}

// sum returns the sum of the first keys, or infinity when there are too few.
func (ra *rank) sum(first int) float64 {
	if ra.size < first {
		return math.Inf(1)
	}
	sum := 0.0
	for _, key := range ra.keys[:first] {
		sum += key
	}
	return sum
}

// selectLeast chooses the main candidate and its helpers with the least sum of keys. It reports false when there are
// not enough candidates.
func (ch *chooser) selectLeast(pi *pick) bool {
	ra := ch.rankHelpers()
	helpers := pi.parts - 1
	others := ra.sum(helpers)
	withNext := ra.sum(helpers + 1)
	best, main := math.Inf(1), -1
	for ix := range ch.cs {
		ca := &ch.cs[ix]
		sum := ca.mainKey + others
		if ca.ranked {
			sum = ca.mainKey + withNext - ca.helpKey
		}
		if sum < best {
			best, main = sum, ix
		}
	}
	if main < 0 {
		return false
	}
	pi.chosen[0] = main
	ra.take(pi.chosen[1:pi.parts], main)
	return true
}

// rankHelpers returns the best helpers, one more than needed since one of them may become the main target, and marks
// those that are needed.
func (ch *chooser) rankHelpers() rank {
	var ra rank
	for ix := range ch.cs {
		ca := &ch.cs[ix]
		ca.ranked = false
		if ch.parts > 1 && !math.IsInf(ca.helpKey, 1) {
			ra.add(ix, ca.helpKey, ch.parts)
		}
	}
	for _, ix := range ra.ixs[:min(ch.parts-1, ra.size)] {
		ch.cs[ix].ranked = true
	}
	return ra
}

// take copies the first candidates, without one, into a list that the rank can fill.
func (ra *rank) take(to []int, without int) {
	no := 0
	for _, ix := range ra.ixs[:ra.size] {
		if ix != without && no < len(to) {
			to[no] = ix
			no++
		}
	}
}
