package dispatch

// The ranks of prompts at an engine, most urgent first. Short prompts have the shortest objectives; a stream that goes
// on elsewhere has a caller who already reads.
const (
	rankResumed = 0
	rankShort   = 1
	rankMiddle  = 3
	rankLong    = 5
	rankGiant   = 6

	shortTokens  = 16_000
	middleTokens = 80_000
	longTokens   = 200_000
)

// rankMost is the least urgent rank.
const rankMost = 9

// priority is the rank at the engine: that of the caller's organisation or route, and within about the same rank short
// prompts before long ones.
func priority(as Ask) int {
	if as.Resumed {
		return rankResumed
	}
	return min(rankMost, max(0, as.Priority)+lengthRank(as))
}

func lengthRank(as Ask) int {
	switch {
	case as.PromptTokens <= shortTokens:
		return rankShort
	case as.PromptTokens <= middleTokens:
		return rankMiddle
	case as.PromptTokens <= longTokens:
		return rankLong
	default:
		return rankGiant
	}
}
