package placement

import "slices"

// fill spreads the memory of a prompt as evenly as the free memory of the chosen candidates allows, since each step
// pays for the largest share. It reports false when their memory is not enough.
func (ch *chooser) fill(pi *pick) bool {
	var order [MaxParts]int
	by := order[:pi.parts]
	for no := range by {
		by[no] = no
	}
	slices.SortFunc(by, func(aa, bb int) int {
		return int(ch.cs[pi.chosen[aa]].free - ch.cs[pi.chosen[bb]].free)
	})
	need := ch.pr.need()
	for no, at := range by {
		even := ceilDiv(need, int64(len(by)-no))
		pi.shares[at] = min(even, ch.cs[pi.chosen[at]].free)
		need -= pi.shares[at]
	}
	return need == 0
}
