package placement

// Target is an engine at which a prompt can run.
type Target struct {
	// Name is unique among the targets of a choice.
	Name string
	// SameZone is set when the target is in the availability zone of the choosing instance.
	SameZone bool
	Load     Load
	// Slowdown is the factor by which the target is slower than Engine says; values below 1 count as 1.
	Slowdown float64
	// HelperParts is the number of parts that the target prefills for other main targets.
	HelperParts int
	// CanHelp is set when the target may become a helper.
	CanHelp bool
	// Blocked is set when the target cannot be a main target at present. It may still be a helper.
	Blocked bool
}

// slowdown returns Slowdown, but at least 1.
func (ta *Target) slowdown() float64 {
	return max(ta.Slowdown, 1)
}

// freeMemory returns the tokens of memory that are not in use.
func (ta *Target) freeMemory(en *Engine) int64 {
	return max(en.MemoryTokens-ta.Load.MemoryTokens, 0)
}

// canTakePart reports whether the target can prefill another part as a helper.
func (ta *Target) canTakePart(en *Engine) bool {
	return ta.CanHelp && ta.HelperParts < en.Slots
}
