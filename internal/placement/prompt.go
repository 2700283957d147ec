package placement

import "time"

// Prompt is a request to be placed.
type Prompt struct {
	Tokens int64
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int64
	// Objective is the maximum time from arrival to the first token of an answer that is in time; it is above 0.
	Objective time.Duration
	// Elapsed is the time since arrival.
	Elapsed time.Duration
	// MaxPause is the maximum pause between events of an answer that is in time; it is above 0.
	MaxPause    time.Duration
	InTimeWorth Worth
	// LateWorth is at most InTimeWorth.
	LateWorth Worth
	// CallerIdleTimeout is the time without an event, also before the first one, after which the caller disconnects;
	// zero means that it never does.
	CallerIdleTimeout time.Duration
	// UntilDeadline is the time that remains until the deadline.
	UntilDeadline time.Duration
}

// PrefillLoad returns the load at the main target until the first token, for a prompt that is split into parts.
func (pr Prompt) PrefillLoad(parts int) Load {
	lo := Load{Prefilling: 1, MemoryTokens: pr.memoryNeed()}
	lo.FirstTokenRisk = pr.riskByLimit(pr.Objective-pr.Elapsed, pr.CallerIdleTimeout-pr.Elapsed)
	if parts > 1 {
		lo.SplitPrefill = pr.Part(parts)
		return lo
	}
	lo.WholePrefill = pr.Part(1)
	return lo
}

// HelperLoad returns the load at each helper until the first token, for a prompt that is split into parts.
func (pr Prompt) HelperLoad(parts int) Load {
	return Load{SplitPrefill: pr.Part(parts)}
}

// DecodeLoad returns the load at the main target from the first token on, if it holds the memory of the whole prompt.
func (pr Prompt) DecodeLoad() Load {
	lo := Load{Decoding: 1, ContextTokens: pr.Tokens, MemoryTokens: pr.memoryNeed()}
	lo.PauseRisk = pr.riskByLimit(pr.MaxPause, pr.CallerIdleTimeout)
	return lo
}

// riskByLimit returns the worth that is lost beyond the limit for an answer in time and beyond the idle timeout of its
// caller. An answer is worth nothing once its caller has disconnected, and the next attempt of the caller needs another
// prefill.
func (pr *Prompt) riskByLimit(inTimeLimit, idleTimeout time.Duration) RiskByLimit {
	var rl RiskByLimit
	rl[classOf(inTimeLimit)] = pr.worthAtRisk()
	if pr.CallerIdleTimeout > 0 {
		rl[classOf(idleTimeout)] += pr.LateWorth
	}
	return rl
}

// AsLate returns the prompt of an answer that is certain to be late. It can lose worth only to the idle timeout of the
// caller.
func (pr Prompt) AsLate() Prompt {
	pr.InTimeWorth = pr.LateWorth
	return pr
}

// memoryNeed returns the tokens of memory for the prompt and its expected answer.
func (pr *Prompt) memoryNeed() int64 {
	return pr.Tokens + pr.AnswerTokens
}

// worthAtRisk returns the worth that a late answer loses.
func (pr *Prompt) worthAtRisk() Worth {
	return pr.InTimeWorth - pr.LateWorth
}

// Part returns the prefill of each of several equal parts, which also have equal shares of the pairs of the prompt.
func (pr *Prompt) Part(parts int) Backlog {
	pa := int64(parts)
	return Backlog{
		Tokens: ceilDiv(pr.Tokens, pa),
		Pairs:  ceilDiv(pr.Tokens*pr.Tokens/2, pa),
	}
}

// ceilDiv returns num/den rounded up, for num of at least 0 and den above 0.
func ceilDiv(num, den int64) int64 {
	if num <= den {
		// Avoids the division, which is slow compared with the rest of a prediction.
		return min(num, 1)
	}
	return (num + den - 1) / den
}
