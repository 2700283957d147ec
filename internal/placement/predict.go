package placement

import "time"

// passUnderWay is the share of the pass under way that is left on average when a prompt arrives.
const remainingPassShare = 0.5

// PassTime returns the duration of the next pass at a target.
func (en Engine) PassTime(ta Target) time.Duration {
	lo := &ta.Load
	steps := en.stepsPerPass(lo)
	ba := en.capped(lo.prefillBacklog(), steps*en.ChunkTokens)
	ns := float64(steps)*en.stepTime(lo.Decoding, lo.ContextTokens) + en.prefillTime(ba)
	return time.Duration(ta.slowdown() * ns)
}

// Pause returns the longest pause of a writer at a target while a part is read there.
func (en Engine) Pause(ta Target, part Backlog) time.Duration {
	return time.Duration(en.prefillPause(&ta, part, en.stepTimeAt(&ta)))
}

// FirstToken returns the time to the first token of a prompt that is read in even parts at a main target, which comes
// first, and its helpers. It is the time of the last part, since the first token comes after it.
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

// steps returns the number of steps of a pass.
func (en *Engine) stepsPerPass(lo *Load) int64 {
	if lo.Decoding > 0 {
		return int64(en.StepsPerPass)
	}
	return 1
}

// stepAt returns the nanoseconds of one step without reading at a target of pace 1.
func (en *Engine) stepTimeAt(ta *Target) float64 {
	return en.stepTime(ta.Load.Decoding, ta.Load.ContextTokens)
}

// readPause returns the nanoseconds of a pass with writers, of steps that take a time without reading, that reads a
// part and what else waits.
func (en *Engine) prefillPause(ta *Target, part Backlog, step float64) float64 {
	lo := &ta.Load
	ba := en.capped(lo.prefillBacklog().Plus(part), en.passCapacity())
	return ta.slowdown() * (float64(en.StepsPerPass)*step + en.prefillTime(ba))
}

// readTime returns the nanoseconds until a part is read. Split prompts are read ahead of whole ones, which still fill
// the passes up. A part counts as read at the end of its pass. The steps take a time without reading.
func (en *Engine) timeToPrefilled(ta *Target, part Backlog, split bool, step float64) float64 {
	lo := &ta.Load
	own := lo.SplitPrefill.Plus(part)
	behind := lo.WholePrefill
	if !split {
		own = own.Plus(lo.WholePrefill)
		behind = Backlog{}
	}
	steps := en.stepsPerPass(lo)
	room := steps * en.ChunkTokens
	passes := max(ceilDiv(own.Tokens, room), 1)
	rest := passes*room + room/2 - own.Tokens
	reading := en.prefillTime(own) + en.prefillTime(en.backfill(behind, rest, room))
	base := float64(steps) * step
	ns := ta.slowdown() * ((remainingPassShare+float64(passes))*base + reading)
	return ns + en.networkDelay(ta)
}

// fillUp returns what is read of the whole prompts behind a part in the rest of its passes. The bound of the pairs is
// that of a pass, which the rest is on average, as it must not fall when more parts leave less of the pass.
func (en *Engine) backfill(behind Backlog, rest, room int64) Backlog {
	ba := en.capped(behind, room)
	ba.Tokens = min(behind.Tokens, rest)
	return ba
}

// delay returns the nanoseconds of a message to a target.
func (en *Engine) networkDelay(ta *Target) float64 {
	if ta.SameZone {
		return 0
	}
	return float64(en.CrossZoneDelay)
}

// slotWait returns the nanoseconds a prompt waits for a slot at its main target. Full slots come free once in the time
// of a usual answer each.
func (en *Engine) slotWait(ta *Target) float64 {
	lo := &ta.Load
	over := lo.Prefilling + lo.Decoding + 1 - en.Slots
	if over <= 0 {
		return 0
	}
	passes := ceilDiv(en.MeanAnswerTokens, int64(en.StepsPerPass))
	answer := float64(passes) * en.decodePassTime(lo.Decoding, lo.ContextTokens)
	return ta.slowdown() * answer * float64(over) / float64(en.Slots)
}

// writePass returns the nanoseconds of a pass without reading once all readers write, and further writers with them.
func (en *Engine) decodePassTimeAt(ta *Target, writers int, context int64) float64 {
	lo := &ta.Load
	wri := min(lo.Prefilling+lo.Decoding+writers, en.Slots)
	con := lo.ContextTokens + lo.WholePrefill.Tokens + context
	return ta.slowdown() * en.decodePassTime(wri, con)
}
