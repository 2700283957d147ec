package placement

const (
	// ramp is the share of a limit by which a prediction may be off either way; pauses and first tokens between are
	// late with a chance that grows evenly.
	predictionError = 0.2
	// memoryRamp is the same for memory, of which only the answers are not known.
	memoryPredictionError = 0.05
	// earlyShare is the share of the worth at risk that a first token at the objective costs compared with one at
	// once. It is small beside any chance of being late, and makes the earlier of two good plans win.
	delayCostShare = 0.02
	// partRisk is the share of the worth in time that each helper costs, since one that is gone or refuses fails the
	// prompt. It answers to one in 500 parts.
	helperFailureCost = 0.002
	// meetRisk is what each helper costs besides where all targets read, and less where fewer do: a part that meets one
	// placed by others meanwhile delays the whole prompt, and all that is written there.
	helperContentionCost = 0.012
	// exposedShare is the share of its stake that a prompt loses to long parts to come at a target with nothing at
	// stake, which those choose first: about one short answer in ten is made late so.
	interferenceShare = 0.1
	// shelterSlots is the share of the slots whose writers' stake keeps long parts away. It leaves slots for a burst.
	protectedSlotShare = 0.8
	// spareSlots is how many slots are left free for prompts that other instances send at the same moment.
	spareSlots = 1
	// wholeDelay is the share of the readers that wait for a prompt read in one piece, since only those behind it or in
	// its pass do.
	unsplitDelayShare = 0.5
)

// loss returns what is expected to be lost at a time that the limits are compared with.
func (rl *RiskByLimit) expectedLoss(ns float64) float64 {
	loss := 0.0
	for no := range rl {
		if ns <= softClassLimits[no].from {
			break
		}
		if rl[no] != 0 {
			loss += float64(rl[no]) * softClassLimits[no].exceedProbability(ns)
		}
	}
	return loss
}

// stake is what a prompt has to lose.
type lossModel struct {
	// inTime and atRisk are the worth of an answer in time, and what of it is lost when the answer is late.
	inTimeWorth, worthAtRisk float64
	// used is the nanoseconds that have passed since arrival.
	elapsed float64
	// objective and pause bound the first token since arrival and the pauses.
	objective, longestPause softLimit
	// late is the worth of a late answer, which is lost beyond the patience of the caller.
	lateWorth         float64
	callerIdleTimeout softLimit
	// early is what a nanosecond up to the first token costs.
	delayCost float64
}

// stake returns what the prompt has to lose.
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
		longestPause:      newSoftLimit(float64(pr.LongestPause), predictionError),
		lateWorth:         late,
		callerIdleTimeout: newSoftLimit(float64(max(pr.CallerIdleTimeout, 1)), predictionError),
		delayCost:         delayCostShare * risk / float64(pr.Objective),
	}
}

// firstLoss returns what is expected to be lost by the first token alone.
func (lm *lossModel) firstTokenLoss(first float64) float64 {
	return lm.expectedLoss(first, 1)
}

// loss returns what is expected to be lost by the first token and the pauses, which are in time with a chance.
func (lm *lossModel) expectedLoss(first, pausesInTime float64) float64 {
	inTime := (1 - lm.objective.exceedProbability(first+lm.elapsed)) * pausesInTime
	left := lm.lateWorth * lm.callerIdleTimeout.exceedProbability(first+lm.elapsed)
	return lm.worthAtRisk*(1-inTime) + left + lm.delayCost*first
}

// exposure returns what the prompt is expected to lose to long parts to come, where others have a stake of their own
// that keeps these away.
func (lm *lossModel) interferenceLoss(slots int, sheltered Worth) float64 {
	if lm.worthAtRisk == 0 {
		return 0
	}
	full := protectedSlotShare * float64(slots) * lm.worthAtRisk
	return interferenceShare * lm.worthAtRisk * max(1-float64(sheltered)/full, 0)
}

// fullLoss returns what is expected to be lost to full memory, where the newest request is preempted.
func (lm *lossModel) preemptionLoss(en *Engine, used int64) float64 {
	return lm.inTimeWorth * newSoftLimit(float64(en.MemoryTokens), memoryPredictionError).exceedProbability(float64(used))
}
