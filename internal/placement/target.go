package placement

// Target is an engine at which a prompt can run, and what is known of it.
type Target struct {
	// Name tells the target from the others.
	Name string
	// Near is true in the availability zone of the instance that chooses.
	SameZone bool
	// Load is what is in flight there.
	Load Load
	// Pace is the factor by which it is slower than its figures; values below 1 count as 1.
	Slowdown float64
	// Helps is the number of parts it reads for main targets elsewhere.
	HelperParts int
	// Helper is true while it may be asked to help.
	CanHelp bool
	// Closed targets take no request of their own now; they may still help.
	Closed bool
}

// pace returns the factor by which the target is slower than its figures.
func (ta *Target) slowdown() float64 {
	return max(ta.Slowdown, 1)
}

// free returns the memory that is left there.
func (ta *Target) freeMemory(en *Engine) int64 {
	return max(en.MemoryTokens-ta.Load.Memory, 0)
}

// helps reports whether the target accepts another part.
func (ta *Target) canTakePart(en *Engine) bool {
	return ta.CanHelp && ta.HelperParts < en.Slots
}
