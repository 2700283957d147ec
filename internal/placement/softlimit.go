package placement

// bound is a limit on a value whose prediction may be off either way.
type softLimit struct {
	// from is the value from which the limit may be exceeded.
	from float64
	// slope is what each unit above from adds to the chance; it is above 0.
	slope float64
}

// boundOf returns a limit when predictions may be off by a share of it either way.
func newSoftLimit(limit, share float64) softLimit {
	return softLimit{
		from:  limit * (1 - share),
		slope: 1 / (2 * share * limit),
	}
}

// chance returns how likely a value exceeds the limit.
func (sl softLimit) exceedProbability(val float64) float64 {
	if val <= sl.from {
		return 0
	}
	return min((val-sl.from)*sl.slope, 1)
}

// classBounds are the bounds of the classes of requests.
var softClassLimits = newSoftClassLimits()

// newClassBounds returns the bounds of all classes.
func newSoftClassLimits() [numClasses]softLimit {
	var bos [numClasses]softLimit
	for cl, lim := range classLimits {
		bos[cl] = newSoftLimit(float64(lim), predictionError)
	}
	return bos
}
