package placement

import "time"

// remainingPassShare is the share of the current pass that remains on average when a prompt arrives.
const remainingPassShare = 0.5

// PassTime returns the predicted duration of the next pass at a target.
func (en Engine) PassTime(ta Target) time.Duration {
	lo := &ta.Load
	steps := en.stepsInNextPass(lo)
	ba := en.capped(lo.prefillBacklog(), steps*en.ChunkTokens)
	ns := float64(steps)*en.decodeStepTime(lo.Decoding, lo.ContextTokens) + en.prefillTime(ba)
	return time.Duration(ta.slowdown() * ns)
}

// PredictedPause returns the longest predicted pause of a decoding request at a target during the prefill of a part there.
func (en Engine) PredictedPause(ta Target, part Backlog) time.Duration {
	return time.Duration(en.prefillPause(&ta, part, en.stepTimeAt(&ta)))
}

// TimeToFirstToken returns the predicted time to the first token of a prompt that is split evenly over a main target and
// its helpers. It is the time of the slowest part, since the first token needs all of them.
func (en Engine) TimeToFirstToken(pr Prompt, main Target, helpers ...Target) time.Duration {
	parts := 1 + len(helpers)
	pa := pr.Part(parts)
	ns := en.slotWait(&main) + en.timeToPrefilled(&main, pa, parts > 1, en.stepTimeAt(&main))
	for ix := range helpers {
		he := &helpers[ix]
		ns = max(ns, en.timeToPrefilled(he, pa, true, en.stepTimeAt(he)))
	}
	return time.Duration(ns)
}

// stepsInNextPass returns the number of steps of the next pass, which is 1 without decoding requests.
func (en *Engine) stepsInNextPass(lo *Load) int64 {
	if lo.Decoding > 0 {
		return int64(en.StepsPerPass)
	}
	return 1
}

// stepTimeAt returns the nanoseconds of one step without prefill at a target, for a slowdown of 1.
func (en *Engine) stepTimeAt(ta *Target) float64 {
	return en.decodeStepTime(ta.Load.Decoding, ta.Load.ContextTokens)
}

// prefillPause returns the nanoseconds of a pass with decoding requests that prefills a part and the backlog of the
// target. stepTime is the nanoseconds of a step without prefill, from stepTimeAt.
func (en *Engine) prefillPause(ta *Target, part Backlog, stepTime float64) float64 {
	lo := &ta.Load
	ba := en.capped(lo.prefillBacklog().Plus(part), en.passCapacity())
	return ta.slowdown() * (float64(en.StepsPerPass)*stepTime + en.prefillTime(ba))
}

// timeToPrefilled returns the nanoseconds until the prefill of a part ends. Parts of split prompts come before whole
// prompts, which fill the rest of the passes. The prefill of a part ends with its last pass. stepTime is the nanoseconds
// of a step without prefill, from stepTimeAt.
func (en *Engine) timeToPrefilled(ta *Target, part Backlog, split bool, stepTime float64) float64 {
	lo := &ta.Load
	ahead := lo.SplitPrefill.Plus(part)
	behind := lo.WholePrefill
	if !split {
		ahead = ahead.Plus(lo.WholePrefill)
		behind = Backlog{}
	}
	steps := en.stepsInNextPass(lo)
	passTokens := steps * en.ChunkTokens
	passes := max(ceilDiv(ahead.Tokens, passTokens), 1)
	rest := passes*passTokens + passTokens/2 - ahead.Tokens
	prefill := en.prefillTime(ahead) + en.prefillTime(en.backfill(behind, rest, passTokens))
	base := float64(steps) * stepTime
	ns := ta.slowdown() * ((remainingPassShare+float64(passes))*base + prefill)
	return ns + en.networkDelay(ta)
}

// backfill returns the prefill of whole prompts queued behind a part that fits into the rest of its passes. The pairs have
// the limit of one pass, which the rest is on average. A limit that depended on the rest would fall when more parts leave
// less of the pass, so that more load would shorten the predicted time.
func (en *Engine) backfill(behind Backlog, rest, passTokens int64) Backlog {
	ba := en.capped(behind, passTokens)
	ba.Tokens = min(behind.Tokens, rest)
	return ba
}

// networkDelay returns the nanoseconds that a message to a target takes.
func (en *Engine) networkDelay(ta *Target) float64 {
	if ta.SameZone {
		return 0
	}
	return float64(en.CrossZoneDelay)
}

// slotWait returns the nanoseconds that a prompt waits for a slot at its main target. When all slots are taken, each is
// assumed to come free once within the decode time of a mean answer.
func (en *Engine) slotWait(ta *Target) float64 {
	lo := &ta.Load
	excess := lo.Prefilling + lo.Decoding + 1 - en.Slots
	if excess <= 0 {
		return 0
	}
	passes := ceilDiv(en.MeanAnswerTokens, int64(en.StepsPerPass))
	answer := float64(passes) * en.decodePassTime(lo.Decoding, lo.ContextTokens)
	return ta.slowdown() * answer * float64(excess) / float64(en.Slots)
}

// decodePassTimeAt returns the nanoseconds of a pass without prefill at a target once all its prefilling requests decode,
// with moreRequests further requests and moreContext further context tokens.
func (en *Engine) decodePassTimeAt(ta *Target, moreRequests int, moreContext int64) float64 {
	lo := &ta.Load
	requests := min(lo.Prefilling+lo.Decoding+moreRequests, en.Slots)
	contextTokens := lo.ContextTokens + lo.WholePrefill.Tokens + moreContext
	return ta.slowdown() * en.decodePassTime(requests, contextTokens)
}

// EngineTime returns the time for which a prompt and its answer occupy an idle target, whose passes other requests may share.
func (en Engine) EngineTime(pr Prompt) time.Duration {
	passes := ceilDiv(pr.AnswerTokens, int64(en.StepsPerPass))
	return time.Duration(en.prefillTime(pr.Part(1)) + float64(passes)*en.decodePassTime(1, pr.Tokens)/float64(en.Slots))
}
