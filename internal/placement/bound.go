package placement

// bound is a limit on a value whose prediction may be off either way.
type bound struct {
	// from is the value from which the limit may be exceeded.
	from float64
	// slope is what each unit above from adds to the chance; it is above 0.
	slope float64
}

// boundOf returns a limit when predictions may be off by a share of it either way.
func boundOf(limit, share float64) bound {
	return bound{
		from:  limit * (1 - share),
		slope: 1 / (2 * share * limit),
	}
}

// chance returns how likely a value exceeds the limit.
func (bo bound) chance(val float64) float64 {
	if val <= bo.from {
		return 0
	}
	return min((val-bo.from)*bo.slope, 1)
}

// classBounds are the bounds of the classes of requests.
var classBounds = newClassBounds()

// newClassBounds returns the bounds of all classes.
func newClassBounds() [classes]bound {
	var bos [classes]bound
	for cl, lim := range limits {
		bos[cl] = boundOf(float64(lim), ramp)
	}
	return bos
}
