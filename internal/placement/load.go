package placement

import "time"

// classLimits holds the lower bounds of the classes into which the latency limits of requests are rounded down: longest
// pauses, objectives and idle timeouts of callers. Neighbours differ by at most a factor of two, so that a limit counts
// as at least half of its value.
var classLimits = [...]time.Duration{
	50 * time.Millisecond,
	100 * time.Millisecond,
	150 * time.Millisecond,
	250 * time.Millisecond,
	300 * time.Millisecond,
	400 * time.Millisecond,
	600 * time.Millisecond,
	1000 * time.Millisecond,
	1500 * time.Millisecond,
	2000 * time.Millisecond,
	2500 * time.Millisecond,
	3000 * time.Millisecond,
	4000 * time.Millisecond,
	6000 * time.Millisecond,
	8000 * time.Millisecond,
	12_000 * time.Millisecond,
}

const numClasses = len(classLimits)

// classOf returns the class with the largest lower bound that does not exceed a limit, or the first class if there is
// none.
func classOf(limit time.Duration) int {
	cl := 0
	for cl+1 < numClasses && classLimits[cl+1] <= limit {
		cl++
	}
	return cl
}

// RiskByLimit is the total worth that requests lose when they exceed a latency limit, by the class of this limit.
type RiskByLimit [numClasses]Worth

// Load is the work of all instances that is in flight at one target. The load of several requests is the sum of their
// loads. Plus and Minus are exact, so that Minus removes a request without a rounding error.
//
// The JSON tags keep the names of an earlier JSON form of the peer state, with which its present size is compared.
type Load struct {
	// WholePrefill is the remaining prefill of prompts that are not split.
	WholePrefill Backlog `json:"Whole"`
	// SplitPrefill is the remaining prefill of parts of split prompts, which runs before WholePrefill. No token is in both.
	SplitPrefill Backlog `json:"Parts"`
	// Prefilling is the number of requests without a first token that have this main target.
	Prefilling int `json:"Readers"`
	// Decoding is the number of requests that decode here.
	Decoding int `json:"Writers"`
	// ContextTokens is the number of context tokens that add to the step time. It includes memory that is held here for
	// requests that decode elsewhere.
	ContextTokens int64 `json:"Context"`
	// MemoryTokens is the number of tokens that are or will be held here, including expected answers and reserved memory.
	MemoryTokens int64 `json:"Memory"`
	// FirstTokenRisk is the worth that the prefilling requests lose when their first token comes later than their
	// objective or the idle timeout of their caller.
	FirstTokenRisk RiskByLimit `json:"Waiting"`
	// PauseRisk is the worth that the decoding requests lose when a pause is longer than they allow or than the idle
	// timeout of their caller.
	PauseRisk RiskByLimit `json:"AtRisk"`
}

// Plus adds a load field by field.
func (lo Load) Plus(ot Load) Load {
	lo.WholePrefill = lo.WholePrefill.Plus(ot.WholePrefill)
	lo.SplitPrefill = lo.SplitPrefill.Plus(ot.SplitPrefill)
	lo.Prefilling += ot.Prefilling
	lo.Decoding += ot.Decoding
	lo.ContextTokens += ot.ContextTokens
	lo.MemoryTokens += ot.MemoryTokens
	for cl := range numClasses {
		lo.FirstTokenRisk[cl] += ot.FirstTokenRisk[cl]
		lo.PauseRisk[cl] += ot.PauseRisk[cl]
	}
	return lo
}

// Minus subtracts a load field by field. It is the inverse of Plus.
func (lo Load) Minus(ot Load) Load {
	lo.WholePrefill = lo.WholePrefill.Minus(ot.WholePrefill)
	lo.SplitPrefill = lo.SplitPrefill.Minus(ot.SplitPrefill)
	lo.Prefilling -= ot.Prefilling
	lo.Decoding -= ot.Decoding
	lo.ContextTokens -= ot.ContextTokens
	lo.MemoryTokens -= ot.MemoryTokens
	for cl := range numClasses {
		lo.FirstTokenRisk[cl] -= ot.FirstTokenRisk[cl]
		lo.PauseRisk[cl] -= ot.PauseRisk[cl]
	}
	return lo
}

// WithMemory returns a copy with another value of MemoryTokens, as for a request with reserved memory.
func (lo Load) WithMemory(tokens int64) Load {
	lo.MemoryTokens = tokens
	return lo
}

// WithContext returns a copy with another value of ContextTokens, as for a request with reserved memory.
func (lo Load) WithContext(tokens int64) Load {
	lo.ContextTokens = tokens
	return lo
}

// protection returns the worth at risk here at limits up to the given one. Long prompts avoid a target with much worth at
// risk, which protects a request with such a limit there. It is 0 when the slots are taken, since a full target gives no
// protection.
func (lo *Load) protection(limit time.Duration, slots int) Worth {
	if lo.Prefilling+lo.Decoding+spareSlots >= slots {
		return 0
	}
	sum := Worth(0)
	for cl := range classOf(limit) + 1 {
		sum += lo.FirstTokenRisk[cl] + lo.PauseRisk[cl]
	}
	return sum
}

// WithPauseRisk returns a copy with another value of PauseRisk, as for an answer that has become late.
func (lo Load) WithPauseRisk(atRisk RiskByLimit) Load {
	lo.PauseRisk = atRisk
	return lo
}

// prefillBacklog returns the remaining prefill of whole and split prompts.
func (lo *Load) prefillBacklog() Backlog {
	return lo.WholePrefill.Plus(lo.SplitPrefill)
}

// SumUpTo returns the worth at risk at limits up to the given one.
func (rl *RiskByLimit) SumUpTo(limit time.Duration) Worth {
	sum := Worth(0)
	for cl := range classOf(limit) + 1 {
		sum += rl[cl]
	}
	return sum
}
