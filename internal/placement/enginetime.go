package placement

import "time"

// EngineTime returns the time of one engine that a prompt with an answer takes at a slowdown of 1, split into the prefill and each pass of
// the answer. A pass counts by the request's part of a pass with all slots in use, since that is what it takes from other requests
// in overload.
func (en Engine) EngineTime(tokens int64) (prefill, perPass time.Duration) {
	pr := Prompt{Tokens: tokens}
	shared := float64(en.StepTime) / float64(max(1, en.Slots))
	own := en.decodeStepTime(1, tokens) - float64(en.StepTime)
	return time.Duration(en.prefillTime(pr.Part(1))), time.Duration(float64(en.StepsPerPass) * (shared + own))
}

// EngineTimeOf returns the time of one engine that a prompt with an answer of a number of tokens takes at a slowdown of 1.
func (en Engine) EngineTimeOf(tokens, answerTokens int64) time.Duration {
	prefill, perPass := en.EngineTime(tokens)
	return prefill + time.Duration(ceilDiv(answerTokens, int64(max(1, en.StepsPerPass))))*perPass
}
