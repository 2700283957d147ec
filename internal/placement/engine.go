// Package placement predicts the latency of prompts at batching model engines, and chooses for each prompt the targets
// with the lowest expected loss of worth.
//
// A prompt has one main target, which decodes the answer. Its prefill can be split into equal parts, one at the main
// target and one at each of several helpers. An engine runs its batch in passes of one or more steps.
//
// The package reads no clock, does no I/O and keeps no state.
package placement

import "time"

// Engine describes the performance of one kind of model engine. It is not changed after it is built.
type Engine struct {
	// Slots is the maximum number of requests that decode at the same time; it is at least 1.
	Slots int
	// StepsPerPass is the number of steps in a pass with decoding requests; it is at least 1.
	StepsPerPass int
	// ChunkTokens is the maximum number of prompt tokens that one step prefills; it is at least 1.
	ChunkTokens int64
	// MemoryTokens is the capacity of the KV cache in tokens.
	MemoryTokens int64
	// StepTime is the duration of a step without prefill and without decoding requests.
	StepTime time.Duration
	// StepTimePerRequest is the time that each decoding request adds to a step.
	StepTimePerRequest time.Duration
	// StepTimePerThousandContext is the time that 1,000 context tokens of the decoding requests add to a step.
	StepTimePerThousandContext time.Duration
	// PrefillTimePerThousand is the time for the prefill of 1,000 tokens, not including their pairs.
	PrefillTimePerThousand time.Duration
	// PrefillTimePerMillionPairs is the time for the attention between a million pairs of a token and an earlier one.
	PrefillTimePerMillionPairs time.Duration
	// HopTime is the time that a request with memory at other targets adds to each step at its main target.
	HopTime time.Duration
	// CrossZoneDelay is the network delay of a message to another availability zone.
	CrossZoneDelay   time.Duration
	MeanPromptTokens int64
	MeanAnswerTokens int64
}

// Backlog is prefill that is not done yet.
type Backlog struct {
	// Tokens is the number of prompt tokens without prefill.
	Tokens int64
	// Pairs is the number of pairs of such a token and an earlier one, which the cost of attention is proportional to.
	Pairs int64
}

// Plus adds a backlog field by field.
func (ba Backlog) Plus(ot Backlog) Backlog {
	return Backlog{Tokens: ba.Tokens + ot.Tokens, Pairs: ba.Pairs + ot.Pairs}
}

// Minus subtracts a backlog field by field.
func (ba Backlog) Minus(ot Backlog) Backlog {
	return Backlog{Tokens: ba.Tokens - ot.Tokens, Pairs: ba.Pairs - ot.Pairs}
}

// capped limits a backlog to maxTokens tokens. All its pairs may belong to these tokens, so the pairs are limited only
// to those that maxTokens tokens have in a prompt that fills the memory of the engine. Neither limit falls when the
// backlog grows, so that more load never leads to a shorter predicted time.
func (en *Engine) capped(ba Backlog, maxTokens int64) Backlog {
	return Backlog{
		Tokens: min(ba.Tokens, maxTokens),
		Pairs:  min(ba.Pairs, maxTokens*(en.MemoryTokens/2)),
	}
}

// prefillTime returns the nanoseconds for the prefill of a backlog at a slowdown of 1.
func (en *Engine) prefillTime(ba Backlog) float64 {
	byTokens := float64(ba.Tokens) * perThousand * float64(en.PrefillTimePerThousand)
	return byTokens + float64(ba.Pairs)*perMillion*float64(en.PrefillTimePerMillionPairs)
}

// PrefillWithin returns the tokens that a target prefills within a duration at a slowdown of 1. It ignores pairs.
func (en Engine) PrefillWithin(d time.Duration) Backlog {
	if en.PrefillTimePerThousand <= 0 {
		return Backlog{}
	}
	return Backlog{Tokens: int64(float64(d) / (perThousand * float64(en.PrefillTimePerThousand)))}
}

// decodeStepTime returns the nanoseconds of one step without prefill.
func (en *Engine) decodeStepTime(requests int, contextTokens int64) float64 {
	byRequests := float64(requests) * float64(en.StepTimePerRequest)
	byContext := float64(contextTokens) * perThousand * float64(en.StepTimePerThousandContext)
	return float64(en.StepTime) + byRequests + byContext
}

// decodePassTime returns the nanoseconds of a pass without prefill that has decoding requests.
func (en *Engine) decodePassTime(requests int, contextTokens int64) float64 {
	return float64(en.StepsPerPass) * en.decodeStepTime(requests, contextTokens)
}

// passCapacity returns the maximum number of prompt tokens that a pass with decoding requests prefills.
func (en *Engine) passCapacity() int64 {
	return int64(en.StepsPerPass) * en.ChunkTokens
}

// perThousand and perMillion convert counts to the units of the fields of Engine. They are factors, because a division
// is slow compared with the rest of a prediction.
const (
	perThousand = 1e-3
	perMillion  = 1e-6
)
