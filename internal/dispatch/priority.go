package dispatch

// Priorities that are sent to engines; the lowest number is the most urgent. A resumed stream comes first, because its
// caller is already reading. Prompts of different lengths share a priority, since long ones are delayed before they are
// sent.
const (
	priorityResumed = 0
	priorityUsual   = 1
	// lowestPriority is the least urgent.
	lowestPriority = 9
)

// maxShortTokens is the largest prompt that counts as short: it is prefilled within one pass and never waits for other requests.
const maxShortTokens = 16_000

// isLong reports whether the prompt is prefilled in parts that delay other requests.
func (rq Request) isLong() bool { return rq.PromptTokens > maxShortTokens }

// enginePriority returns the priority that is sent to the engine, from that of the caller's organisation or route.
func enginePriority(rq Request) int {
	if rq.Resumed {
		return priorityResumed
	}
	return min(lowestPriority, max(0, rq.Priority)+priorityUsual)
}
