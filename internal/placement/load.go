package placement

import "time"

// limits are the lower bounds of the classes of requests by longest pause, by objective and by the patience of callers.
// Neighbours differ by at most a factor of two, so that a limit is taken for at least half of itself.
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

// classes is the number of classes.
const numClasses = len(classLimits)

// classOf returns the class whose bound is the largest one that does not exceed a limit, or the first class.
func classOf(limit time.Duration) int {
	cl := 0
	for cl+1 < numClasses && classLimits[cl+1] <= limit {
		cl++
	}
	return cl
}

// Classes is what requests lose together, by the class of the limit that they lose it at.
type RiskByLimit [numClasses]Worth

// Load is what is in flight at one target, over all instances. It is additive: the loads of several requests are summed
// with Plus and taken away again with Minus, without rounding.
type Load struct {
	// Whole is the unread part of prompts that are read in one piece.
	WholePrefill Backlog `json:"Whole"`
	// Parts is the unread part of split prompts, which is read ahead of Whole; the two do not overlap.
	SplitPrefill Backlog `json:"Parts"`
	// Readers is the number of requests whose main target this is and which have no first token yet.
	Prefilling int `json:"Readers"`
	// Writers is the number of requests that write here.
	Decoding int `json:"Writers"`
	// Context is the number of tokens of context that the steps here pay for, with parts held for writers elsewhere.
	ContextTokens int64 `json:"Context"`
	// Memory is the number of tokens held or to be held, with expected answers and reserved memory.
	Memory int64
	// Waiting is what the readers of each class of objective, and of patience, lose together when the first token comes
	// later.
	FirstTokenRisk RiskByLimit `json:"Waiting"`
	// AtRisk is what the writers of each class of longest pause, and of patience, lose together when a pause is longer.
	PauseRisk RiskByLimit `json:"AtRisk"`
}

// Plus returns the sum of two loads.
func (lo Load) Plus(ot Load) Load {
	lo.WholePrefill = lo.WholePrefill.Plus(ot.WholePrefill)
	lo.SplitPrefill = lo.SplitPrefill.Plus(ot.SplitPrefill)
	lo.Prefilling += ot.Prefilling
	lo.Decoding += ot.Decoding
	lo.ContextTokens += ot.ContextTokens
	lo.Memory += ot.Memory
	for cl := range numClasses {
		lo.FirstTokenRisk[cl] += ot.FirstTokenRisk[cl]
		lo.PauseRisk[cl] += ot.PauseRisk[cl]
	}
	return lo
}

// Minus returns the load without another one. It is the inverse of Plus.
func (lo Load) Minus(ot Load) Load {
	lo.WholePrefill = lo.WholePrefill.Minus(ot.WholePrefill)
	lo.SplitPrefill = lo.SplitPrefill.Minus(ot.SplitPrefill)
	lo.Prefilling -= ot.Prefilling
	lo.Decoding -= ot.Decoding
	lo.ContextTokens -= ot.ContextTokens
	lo.Memory -= ot.Memory
	for cl := range numClasses {
		lo.FirstTokenRisk[cl] -= ot.FirstTokenRisk[cl]
		lo.PauseRisk[cl] -= ot.PauseRisk[cl]
	}
	return lo
}

// WithMemory returns the load with other memory, as for a request whose memory is reserved.
func (lo Load) WithMemory(tokens int64) Load {
	lo.Memory = tokens
	return lo
}

// WithContext returns the load with other context, as for a request whose memory is reserved.
func (lo Load) WithContext(tokens int64) Load {
	lo.ContextTokens = tokens
	return lo
}

// sheltered returns what the others here lose together to pauses that a limit does not allow either. It is 0 when the
// slots are taken, as a full target is no shelter.
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

// WithRisk returns the load with other worth at risk, as for an answer that has become late.
func (lo Load) WithPauseRisk(atRisk RiskByLimit) Load {
	lo.PauseRisk = atRisk
	return lo
}

// unread returns all reading that has not been done.
func (lo *Load) prefillBacklog() Backlog {
	return lo.WholePrefill.Plus(lo.SplitPrefill)
}

// Within returns what is lost together at limits that are no longer than one.
func (rl *RiskByLimit) SumUpTo(limit time.Duration) Worth {
	sum := Worth(0)
	for no := range classOf(limit) + 1 {
		sum += rl[no]
	}
	return sum
}
