package placement

import "time"

// Prompt is a request that has to be placed.
type Prompt struct {
	// Tokens is the number of tokens in the prompt.
	Tokens int64
	// Answer is the number of tokens expected in the answer.
	AnswerTokens int64
	// Objective is the time from arrival to first token within which the answer has its full worth; it is above 0.
	Objective time.Duration
	// Used is the time that has passed since arrival.
	Elapsed time.Duration
	// LongestPause is the longest pause between events at which the answer has its full worth; it is above 0.
	LongestPause time.Duration
	// InTime is the worth of an answer in time.
	InTimeWorth Worth
	// Late is the worth of a late answer; it is at most InTime.
	LateWorth Worth
	// Patience is the longest time without an event, before the first one too, for which the caller waits; zero is no
	// bound.
	CallerIdleTimeout time.Duration
	// Left is the time until the deadline.
	UntilDeadline time.Duration
}

// Reading returns the load at the main target until the first token, when the prompt is read in a number of parts.
func (pr Prompt) PrefillLoad(parts int) Load {
	lo := Load{Prefilling: 1, Memory: pr.memoryNeed()}
	lo.FirstTokenRisk = pr.riskByLimit(pr.Objective-pr.Elapsed, pr.CallerIdleTimeout-pr.Elapsed)
	if parts > 1 {
		lo.SplitPrefill = pr.Part(parts)
		return lo
	}
	lo.WholePrefill = pr.Part(1)
	return lo
}

// Helping returns the load at each helper until the first token, when the prompt is read in a number of parts.
func (pr Prompt) HelperLoad(parts int) Load {
	return Load{SplitPrefill: pr.Part(parts)}
}

// Writing returns the load at the main target from the first token on, when the whole prompt is held there.
func (pr Prompt) DecodeLoad() Load {
	lo := Load{Decoding: 1, ContextTokens: pr.Tokens, Memory: pr.memoryNeed()}
	lo.PauseRisk = pr.riskByLimit(pr.LongestPause, pr.CallerIdleTimeout)
	return lo
}

// risk returns what is lost beyond the limit that an answer in time keeps, and beyond the patience of its caller: an
// answer that its caller has left is worth nothing, and the caller's next attempt is read once more.
func (pr *Prompt) riskByLimit(inTime, patience time.Duration) RiskByLimit {
	var cl RiskByLimit
	cl[classOf(inTime)] = pr.worthAtRisk()
	if pr.CallerIdleTimeout > 0 {
		cl[classOf(patience)] += pr.LateWorth
	}
	return cl
}

// Overdue returns the prompt of an answer that is late in any case: only the caller's patience is left to lose.
func (pr Prompt) AsLate() Prompt {
	pr.InTimeWorth = pr.LateWorth
	return pr
}

// need returns the memory that the prompt and its answer take.
func (pr *Prompt) memoryNeed() int64 {
	return pr.Tokens + pr.AnswerTokens
}

// atRisk returns what is lost when the answer is late.
func (pr *Prompt) worthAtRisk() Worth {
	return pr.InTimeWorth - pr.LateWorth
}

// Part returns what each of a number of even parts reads; each has an equal share of the pairs of the whole prompt.
func (pr *Prompt) Part(parts int) Backlog {
	pa := int64(parts)
	return Backlog{
		Tokens: ceilDiv(pr.Tokens, pa),
		Pairs:  ceilDiv(pr.Tokens*pr.Tokens/2, pa),
	}
}

// ceilDiv returns the quotient of two whole numbers that are not negative, rounded up.
func ceilDiv(num, den int64) int64 {
	if num <= den {
		// This spares the division, which is slow beside the rest of a prediction.
		return min(num, 1)
	}
	return (num + den - 1) / den
}
