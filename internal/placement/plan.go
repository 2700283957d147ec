package placement

import "time"

// Share is memory to set aside at a target.
type MemoryShare struct {
	// Target is the name of the target.
	Target string
	// Tokens is how much to set aside there; it is above 0 and at most what was free.
	Tokens int64
}

// Plan is where a prompt runs and what that is expected to cost.
type Plan struct {
	// Main is the name of the target that writes the answer.
	Main string
	// Helpers are the names of the targets that read the other parts; it does not hold Main.
	Helpers []string
	// Part is what each of the targets reads.
	Part Backlog
	// Reserve is empty when the memory at Main is enough. Otherwise it starts with Main, names each helper once, and
	// adds up to the prompt and its expected answer.
	MemoryShares []MemoryShare
	// FirstToken is the predicted time from now to the first token.
	TimeToFirstToken time.Duration
	// Pause is the longest predicted pause that the plan causes at any of its targets.
	LongestPause time.Duration
	// Loss is the worth that the plan is expected to lose, for the prompt and the others at its targets.
	Loss Worth
	// Harm is the part of Loss that the others at its targets lose.
	OthersLoss Worth
}

// Options tune Choose.
type Options struct {
	// Seed breaks ties. Instances that see the same targets do not herd when it differs by instance and request.
	Seed uint64
	// Arrivals is what begins to write at a usual target in a second; it is zero when that is not known. A part that
	// makes the pauses too long for it costs the more, the longer it is read.
	ArrivalsPerSecond Load
	// Reading is the share of the targets that read a prompt, from 0 to 1. The more do, the more a helper costs.
	PrefillShare float64
}

// ReadingShare returns the share of some targets that read a prompt.
func PrefillShare(ts []Target) float64 {
	if len(ts) == 0 {
		return 0
	}
	reading := 0
	for ix := range ts {
		if ts[ix].Load.prefillBacklog().Tokens > 0 {
			reading++
		}
	}
	return float64(reading) / float64(len(ts))
}
