package placement

import "math"

// rank is a sorted list of the candidates with the least keys.
type topK struct {
	indices [MaxParts]int
	keys    [MaxParts]float64
	size    int
}

// add puts a candidate in its place, if it is among the least that the rank has room for.
func (tk *topK) add(ix int, key float64, room int) {
	at := tk.size
	if at == room {
		if key >= tk.keys[at-1] {
			return
		}
		at--
	} else {
		tk.size++
	}
	for at > 0 && key < tk.keys[at-1] {
		tk.indices[at] = tk.indices[at-1]
		tk.keys[at] = tk.keys[at-1]
		at--
	}
	tk.indices[at] = ix
	tk.keys[at] = key
}

// sum returns the sum of the first keys, or infinity when there are too few.
func (tk *topK) sum(first int) float64 {
	if tk.size < first {
		return math.Inf(1)
	}
	sum := 0.0
	for _, key := range tk.keys[:first] {
		sum += key
	}
	return sum
}

// selectLeast chooses the main candidate and its helpers with the least sum of keys. It reports false when there are
// not enough candidates.
func (ch *chooser) selectLeastKeys(pi *selection) bool {
	ra := ch.bestHelpers()
	helpers := pi.parts - 1
	others := ra.sum(helpers)
	withNext := ra.sum(helpers + 1)
	best, main := math.Inf(1), -1
	for ix := range ch.candidates {
		ca := &ch.candidates[ix]
		sum := ca.mainKey + others
		if ca.bestHelper {
			sum = ca.mainKey + withNext - ca.helperKey
		}
		if sum < best {
			best, main = sum, ix
		}
	}
	if main < 0 {
		return false
	}
	pi.chosen[0] = main
	ra.copyExcept(pi.chosen[1:pi.parts], main)
	return true
}

// rankHelpers returns the best helpers, one more than needed since one of them may become the main target, and marks
// those that are needed.
func (ch *chooser) bestHelpers() topK {
	var ra topK
	for ix := range ch.candidates {
		ca := &ch.candidates[ix]
		ca.bestHelper = false
		if ch.parts > 1 && !math.IsInf(ca.helperKey, 1) {
			ra.add(ix, ca.helperKey, ch.parts)
		}
	}
	for _, ix := range ra.indices[:min(ch.parts-1, ra.size)] {
		ch.candidates[ix].bestHelper = true
	}
	return ra
}

// take copies the first candidates, without one, into a list that the rank can fill.
func (tk *topK) copyExcept(to []int, without int) {
	no := 0
	for _, ix := range tk.indices[:tk.size] {
		if ix != without && no < len(to) {
			to[no] = ix
			no++
		}
	}
}
