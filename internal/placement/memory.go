package placement

import "slices"

// fill spreads the memory of a prompt as evenly as the free memory of the chosen candidates allows, since each step
// pays for the largest share. It reports false when their memory is not enough.
func (ch *chooser) divideMemory(pi *selection) bool {
	var order [MaxParts]int
	by := order[:pi.parts]
	for no := range by {
		by[no] = no
	}
	slices.SortFunc(by, func(aa, bb int) int {
		return int(ch.candidates[pi.chosen[aa]].freeMemory - ch.candidates[pi.chosen[bb]].freeMemory)
	})
	need := ch.pr.memoryNeed()
	for no, at := range by {
		even := ceilDiv(need, int64(len(by)-no))
		pi.shares[at] = min(even, ch.candidates[pi.chosen[at]].freeMemory)
		need -= pi.shares[at]
	}
	return need == 0
}
