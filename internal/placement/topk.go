package placement

import "math"

// topK is a bounded list of the candidates with the lowest keys, in ascending order.
type topK struct {
	indices [MaxParts]int
	keys    [MaxParts]float64
	size    int
}

// add inserts a candidate in order, if it is among the capacity candidates with the lowest keys.
func (tk *topK) add(ix int, key float64, capacity int) {
	at := tk.size
	if at == capacity {
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

// sum returns the sum of the count lowest keys, or infinity when there are fewer.
func (tk *topK) sum(count int) float64 {
	if tk.size < count {
		return math.Inf(1)
	}
	sum := 0.0
	for _, key := range tk.keys[:count] {
		sum += key
	}
	return sum
}

// selectLeastKeys selects the main target and the helpers with the lowest sum of keys. It reports false when there are
// not enough candidates.
func (ch *chooser) selectLeastKeys(se *selection) bool {
	tk := ch.bestHelpers()
	helpers := se.parts - 1
	others := tk.sum(helpers)
	withNext := tk.sum(helpers + 1)
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
	se.chosen[0] = main
	tk.copyExcept(se.chosen[1:se.parts], main)
	return true
}

// bestHelpers returns the helpers with the lowest keys and marks as many as are needed. It returns one more than needed,
// because one of them may become the main target.
func (ch *chooser) bestHelpers() topK {
	var tk topK
	for ix := range ch.candidates {
		ca := &ch.candidates[ix]
		ca.bestHelper = false
		if ch.parts > 1 && !math.IsInf(ca.helperKey, 1) {
			tk.add(ix, ca.helperKey, ch.parts)
		}
	}
	for _, ix := range tk.indices[:min(ch.parts-1, tk.size)] {
		ch.candidates[ix].bestHelper = true
	}
	return tk
}

// copyExcept fills dst with the candidates that have the lowest keys, leaving out one. There must be enough of them.
func (tk *topK) copyExcept(dst []int, excluded int) {
	no := 0
	for _, ix := range tk.indices[:tk.size] {
		if ix != excluded && no < len(dst) {
			dst[no] = ix
			no++
		}
	}
}
