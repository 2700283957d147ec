package placement

const (
	// predictionError is the share of a latency limit by which a prediction may be off in either direction. Within this
	// range the probability that a pause or first token is late grows linearly.
	predictionError = 0.2
	// memoryPredictionError is the same for the use of memory. It is smaller because only the length of answers is unknown.
	memoryPredictionError = 0.05
	// delayCostShare is the share of the worth at risk that a first token at the objective costs compared with an
	// immediate one. It is small compared with any probability of being late, and makes the earlier of two good plans win.
	delayCostShare = 0.02
	// helperFailureCost is the share of the worth in time that each helper costs, since the prompt fails when a helper is
	// lost or refuses its part. It corresponds to a failure of one part in 500.
	helperFailureCost = 0.002
	// helperContentionCost is the further share that each helper costs when all targets have prefill to do; it falls in
	// proportion to the share of such targets. A part that contends with one that another instance has just placed delays
	// the whole prompt and all requests that decode at this target.
	helperContentionCost = 0.012
	// interferenceShare is the share of its worth at risk that a prompt is expected to lose to later parts of long
	// prompts at a target with no other worth at risk. Long prompts choose such targets first, which makes about
	// one short answer in ten late.
	interferenceShare = 0.1
	// protectedSlotShare is the share of the slots that requests with equal worth at risk must take to keep long prompts
	// away. It is below 1 to leave slots for a burst.
	protectedSlotShare = 0.8
	// spareSlots is the number of slots that are kept free for prompts that other instances send at the same moment.
	spareSlots = 1
	// unsplitDelayShare is the share of the prefilling requests that a prompt without split delays. Only requests behind
	// it or in the same pass wait for it.
	unsplitDelayShare = 0.5
)

// expectedLoss returns the worth that is expected to be lost when a latency of ns nanoseconds is predicted.
func (rl *RiskByLimit) expectedLoss(ns float64) float64 {
	loss := 0.0
	for cl := range rl {
		if ns <= softClassLimits[cl].start {
			break
		}
		if rl[cl] != 0 {
			loss += float64(rl[cl]) * softClassLimits[cl].exceedProbability(ns)
		}
	}
	return loss
}

// lossModel gives the worth that a prompt is expected to lose for predicted latencies.
type lossModel struct {
	// inTimeWorth is the worth of an answer in time, and worthAtRisk the part of it that a late answer loses.
	inTimeWorth, worthAtRisk float64
	// elapsed is the nanoseconds since arrival.
	elapsed float64
	// objective limits the time from arrival to the first token, and longestPause the pauses between events.
	objective, longestPause softLimit
	// lateWorth is the worth of a late answer, which is lost when the caller times out; it is 0 without such a timeout.
	lateWorth         float64
	callerIdleTimeout softLimit
	// delayCost is the cost of each nanosecond up to the first token.
	delayCost float64
}

func (pr *Prompt) lossModel() lossModel {
	risk := float64(pr.worthAtRisk())
	late := float64(pr.LateWorth)
	if pr.CallerIdleTimeout <= 0 {
		late = 0
	}
	return lossModel{
		inTimeWorth:       float64(pr.InTimeWorth),
		worthAtRisk:       risk,
		elapsed:           float64(pr.Elapsed),
		objective:         newSoftLimit(float64(pr.Objective), predictionError),
		longestPause:      newSoftLimit(float64(pr.MaxPause), predictionError),
		lateWorth:         late,
		callerIdleTimeout: newSoftLimit(float64(max(pr.CallerIdleTimeout, 1)), predictionError),
		delayCost:         delayCostShare * risk / float64(pr.Objective),
	}
}

// firstTokenLoss returns the expected loss due to the time to the first token, if all pauses are in time.
func (lm *lossModel) firstTokenLoss(timeToFirstToken float64) float64 {
	return lm.expectedLoss(timeToFirstToken, 1)
}

// expectedLoss returns the expected loss due to the time to the first token and to the pauses, which are in time with the
// given probability.
func (lm *lossModel) expectedLoss(timeToFirstToken, pausesInTimeProbability float64) float64 {
	inTime := (1 - lm.objective.exceedProbability(timeToFirstToken+lm.elapsed)) * pausesInTimeProbability
	abandoned := lm.lateWorth * lm.callerIdleTimeout.exceedProbability(timeToFirstToken+lm.elapsed)
	return lm.worthAtRisk*(1-inTime) + abandoned + lm.delayCost*timeToFirstToken
}

// interferenceLoss returns the expected loss due to parts of long prompts that are placed at the same target later. The
// worth at risk of other requests there reduces it, since long prompts avoid it.
func (lm *lossModel) interferenceLoss(slots int, protection Worth) float64 {
	if lm.worthAtRisk == 0 {
		return 0
	}
	full := protectedSlotShare * float64(slots) * lm.worthAtRisk
	return interferenceShare * lm.worthAtRisk * max(1-float64(protection)/full, 0)
}

// preemptionLoss returns the expected loss due to full memory, at which an engine preempts its newest request.
func (lm *lossModel) preemptionLoss(en *Engine, usedMemory int64) float64 {
	return lm.inTimeWorth * newSoftLimit(float64(en.MemoryTokens), memoryPredictionError).exceedProbability(float64(usedMemory))
}
