package dispatch

// The ranks of prompts at an engine, most urgent first. A stream that goes on elsewhere has a caller who already reads.
// Prompts of different lengths have the same rank: long ones give way before they are sent.
const (
	rankResumed = 0
	rankUsual   = 1
	// rankMost is the least urgent rank.
	rankMost = 9
)

// shortTokens is the size of a prompt up to which it counts as short: it is read within a pass and never waits for others.
const shortTokens = 16_000

// long reports whether a prompt is read in parts that others wait for.
func (rq Request) long() bool { return rq.PromptTokens > shortTokens }

// priority is the rank at the engine: that of the caller's organisation or route.
func priority(as Request) int {
	if as.Resumed {
		return rankResumed
	}
	return min(rankMost, max(0, as.Priority)+rankUsual)
}
