package placement

import "time"

// MemoryShare is memory to reserve at one target.
type MemoryShare struct {
	// Target is the name of a target.
	Target string
	// Tokens is above 0 and at most the free memory of the target.
	Tokens int64
}

// Plan names the targets of a prompt, with the predicted latencies and cost.
type Plan struct {
	// Main is the name of the target that decodes the answer.
	Main string
	// Helpers holds the names of the targets that prefill the other parts. It does not contain Main.
	Helpers []string
	// Part is the prefill of each target.
	Part Backlog
	// MemoryShares is empty when the memory of Main is sufficient. Otherwise it starts with Main, names each helper once,
	// and adds up to the memory for the prompt and its expected answer.
	MemoryShares []MemoryShare
	// TimeToFirstToken is predicted from the time of the choice.
	TimeToFirstToken time.Duration
	// PredictedPause is the longest predicted pause that the plan causes at any of its targets.
	PredictedPause time.Duration
	// Loss is the worth that the prompt and the other requests at its targets are expected to lose.
	Loss Worth
	// OthersLoss is the part of Loss that the other requests lose.
	OthersLoss Worth
}

// Options configures Choose.
type Options struct {
	// Seed breaks ties at random. It differs by instance and request, so that instances with the same view of the targets
	// do not all choose the same one.
	Seed uint64
	// ArrivalsPerSecond is the load that begins to decode at an average target each second; zero if unknown. A part that
	// makes pauses too long for these arrivals costs more the longer its prefill takes.
	ArrivalsPerSecond Load
	// PrefillShare is the share of the targets that have prefill to do, from 0 to 1. The cost of a helper grows with it.
	PrefillShare float64
}

// PrefillShareOf returns the share of the targets that have prefill to do, from 0 to 1.
func PrefillShareOf(ts []Target) float64 {
	if len(ts) == 0 {
		return 0
	}
	prefilling := 0
	for ix := range ts {
		if ts[ix].Load.prefillBacklog().Tokens > 0 {
			prefilling++
		}
	}
	return float64(prefilling) / float64(len(ts))
}
