package dispatch

// The ranks of prompts at an engine, most urgent first. A stream that goes on elsewhere has a caller who already reads.
// Prompts of different lengths have the same rank: long ones give way before they are sent.
const (
	priorityResumed = 0
	priorityUsual   = 1
	// rankMost is the least urgent rank.
	lowestPriority = 9
)

// shortTokens is the size of a prompt up to which it counts as short: it is read within a pass and never waits for others.
const maxShortTokens = 16_000

// long reports whether a prompt is read in parts that others wait for.
func (rq Request) isLong() bool { return rq.PromptTokens > maxShortTokens }

// priority is the rank at the engine: that of the caller's organisation or route.
func enginePriority(rq Request) int {
	if rq.Resumed {
		return priorityResumed
	}
	return min(lowestPriority, max(0, rq.Priority)+priorityUsual)
}
