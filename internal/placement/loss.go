package placement

const (
	// ramp is the share of a limit by which a prediction may be off either way; pauses and first tokens between are
	// late with a chance that grows evenly.
	ramp = 0.2
	// memoryRamp is the same for memory, of which only the answers are not known.
	memoryRamp = 0.05
	// earlyShare is the share of the worth at risk that a first token at the objective costs compared with one at
	// once. It is small beside any chance of being late, and makes the earlier of two good plans win.
	earlyShare = 0.02
	// partRisk is the share of the worth in time that each helper costs, since one that is gone or refuses fails the
	// prompt. It answers to one in 500 parts.
	partRisk = 0.002
	// meetRisk is what each helper costs besides where all targets read, and less where fewer do: a part that meets one
	// placed by others meanwhile delays the whole prompt, and all that is written there.
	meetRisk = 0.012
	// exposedShare is the share of its stake that a prompt loses to long parts to come at a target with nothing at
	// stake, which those choose first: about one short answer in ten is made late so.
	exposedShare = 0.1
	// shelterSlots is the share of the slots whose writers' stake keeps long parts away. It leaves slots for a burst.
	shelterSlots = 0.8
	// spareSlots is how many slots are left free for prompts that other instances send at the same moment.
	spareSlots = 1
	// wholeDelay is the share of the readers that wait for a prompt read in one piece, since only those behind it or in
	// its pass do.
	wholeDelay = 0.5
)

// loss returns what is expected to be lost at a time that the limits are compared with.
func (rl *RiskByLimit) loss(ns float64) float64 {
	loss := 0.0
	for no := range rl {
		if ns <= classBounds[no].from {
			break
		}
		if rl[no] != 0 {
			loss += float64(rl[no]) * classBounds[no].chance(ns)
		}
	}
	return loss
}

// stake is what a prompt has to lose.
type stake struct {
	// inTime and atRisk are the worth of an answer in time, and what of it is lost when the answer is late.
	inTime, atRisk float64
	// used is the nanoseconds that have passed since arrival.
	used float64
	// objective and pause bound the first token since arrival and the pauses.
	objective, pause bound
	// late is the worth of a late answer, which is lost beyond the patience of the caller.
	late     float64
	patience bound
	// early is what a nanosecond up to the first token costs.
	early float64
}

// stake returns what the prompt has to lose.
func (pr *Prompt) stake() stake {
	risk := float64(pr.atRisk())
	late := float64(pr.LateWorth)
	if pr.CallerIdleTimeout <= 0 {
		late = 0
	}
	return stake{
		inTime:    float64(pr.InTimeWorth),
		atRisk:    risk,
		used:      float64(pr.Elapsed),
		objective: boundOf(float64(pr.Objective), ramp),
		pause:     boundOf(float64(pr.LongestPause), ramp),
		late:      late,
		patience:  boundOf(float64(max(pr.CallerIdleTimeout, 1)), ramp),
		early:     earlyShare * risk / float64(pr.Objective),
	}
}

// firstLoss returns what is expected to be lost by the first token alone.
func (st *stake) firstLoss(first float64) float64 {
	return st.loss(first, 1)
}

// loss returns what is expected to be lost by the first token and the pauses, which are in time with a chance.
func (st *stake) loss(first, pausesInTime float64) float64 {
	inTime := (1 - st.objective.chance(first+st.used)) * pausesInTime
	left := st.late * st.patience.chance(first+st.used)
	return st.atRisk*(1-inTime) + left + st.early*first
}

// exposure returns what the prompt is expected to lose to long parts to come, where others have a stake of their own
// that keeps these away.
func (st *stake) exposure(slots int, sheltered Worth) float64 {
	if st.atRisk == 0 {
		return 0
	}
	full := shelterSlots * float64(slots) * st.atRisk
	return exposedShare * st.atRisk * max(1-float64(sheltered)/full, 0)
}

// fullLoss returns what is expected to be lost to full memory, where the newest request is preempted.
func (st *stake) fullLoss(en *Engine, used int64) float64 {
	return st.inTime * boundOf(float64(en.MemoryTokens), memoryRamp).chance(float64(used))
}
