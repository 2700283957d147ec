package placement

import "slices"

// divideMemory divides the memory for a prompt as evenly over the selected candidates as their free memory allows, since
// the largest share determines the step time. It reports false when their free memory is not sufficient.
func (ch *chooser) divideMemory(se *selection) bool {
	var order [MaxParts]int
	by := order[:se.parts]
	for no := range by {
		by[no] = no
	}
	slices.SortFunc(by, func(a, b int) int {
		return int(ch.candidates[se.chosen[a]].freeMemory - ch.candidates[se.chosen[b]].freeMemory)
	})
	need := ch.pr.memoryNeed()
	for no, at := range by {
		even := ceilDiv(need, int64(len(by)-no))
		se.shares[at] = min(even, ch.candidates[se.chosen[at]].freeMemory)
		need -= se.shares[at]
	}
	return need == 0
}
