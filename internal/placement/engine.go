// Package placement predicts how a batching model engine spends its passes, and chooses the targets at which a prompt
// loses the least worth. It is pure: it reads no clock, does no I/O and keeps no state.
package placement

import "time"

// Engine holds the figures of one kind of model engine. It is a value and is not changed after it was built.
type Engine struct {
	// Slots is the most requests that write at once; it is at least 1.
	Slots int
	// Stride is the number of steps in a pass that has writers; it is at least 1.
	StepsPerPass int
	// Chunk is the most tokens read in one step; it is at least 1.
	ChunkTokens int64
	// Memory is the number of tokens an engine holds.
	MemoryTokens int64
	// Step is the time of one step with neither reading nor writers.
	StepTime time.Duration
	// PerWriter is what each writer adds to a step.
	StepTimePerRequest time.Duration
	// PerThousandContext is what 1,000 tokens of writers' context add to a step.
	StepTimePerThousandContext time.Duration
	// PerThousandRead is what reading 1,000 tokens adds, besides their pairs.
	PrefillTimePerThousand time.Duration
	// PerMillionPairs is what reading a million pairs of a token and one before it adds.
	PrefillTimePerMillionPairs time.Duration
	// Hop is what each step of a writer with memory at other targets adds at its main target.
	HopTime time.Duration
	// ZoneDelay is the delay of a message to another availability zone.
	CrossZoneDelay time.Duration
	// UsualPrompt is the mean number of tokens in a prompt.
	MeanPromptTokens int64
	// UsualAnswer is the mean number of tokens in an answer.
	MeanAnswerTokens int64
}

// Backlog is reading that has not been done.
type Backlog struct {
	// Tokens is the number of tokens to read.
	Tokens int64
	// Pairs is the number of pairs of a token and one before it that come with them.
	Pairs int64
}

// Plus returns the sum of two backlogs.
func (ba Backlog) Plus(ot Backlog) Backlog {
	return Backlog{Tokens: ba.Tokens + ot.Tokens, Pairs: ba.Pairs + ot.Pairs}
}

// Minus returns the backlog without another one.
func (ba Backlog) Minus(ot Backlog) Backlog {
	return Backlog{Tokens: ba.Tokens - ot.Tokens, Pairs: ba.Pairs - ot.Pairs}
}

// within returns at most room tokens of the backlog. All its pairs may lie in them, up to those of room tokens of a
// prompt that fills the engine. Neither bound falls when the backlog grows, so more load never predicts less time.
func (en *Engine) capped(ba Backlog, room int64) Backlog {
	return Backlog{
		Tokens: min(ba.Tokens, room),
		Pairs:  min(ba.Pairs, room*(en.MemoryTokens/2)),
	}
}

// reading returns the nanoseconds it takes to read a backlog at full speed.
func (en *Engine) prefillTime(ba Backlog) float64 {
	tok := float64(ba.Tokens) * perThousand * float64(en.PrefillTimePerThousand)
	return tok + float64(ba.Pairs)*perMillion*float64(en.PrefillTimePerMillionPairs)
}

// ReadWithin returns what a target reads in a time at full speed, without pairs.
func (en Engine) PrefillWithin(d time.Duration) Backlog {
	if en.PrefillTimePerThousand <= 0 {
		return Backlog{}
	}
	return Backlog{Tokens: int64(float64(d) / (perThousand * float64(en.PrefillTimePerThousand)))}
}

// step returns the nanoseconds of one step without reading.
func (en *Engine) stepTime(writers int, context int64) float64 {
	wri := float64(writers) * float64(en.StepTimePerRequest)
	con := float64(context) * perThousand * float64(en.StepTimePerThousandContext)
	return float64(en.StepTime) + wri + con
}

// pass returns the nanoseconds of a pass with writers and without reading.
func (en *Engine) decodePassTime(writers int, context int64) float64 {
	return float64(en.StepsPerPass) * en.stepTime(writers, context)
}

// passRoom returns the most tokens read in one pass with writers.
func (en *Engine) passCapacity() int64 {
	return int64(en.StepsPerPass) * en.ChunkTokens
}

// perThousand and perMillion turn counts into those that the figures of an engine are stated for. They are factors, as
// divisions are slow beside the rest of a prediction.
const (
	perThousand = 1e-3
	perMillion  = 1e-6
)
