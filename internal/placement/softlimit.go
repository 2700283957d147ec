package placement

// softLimit is a limit on a value that is predicted with an error. Between start and the value at which the probability
// of exceeding the limit reaches 1, that probability grows linearly.
type softLimit struct {
	// start is the largest predicted value at which the limit is certain to be kept.
	start float64
	// slope is the probability that each unit above start adds; it is above 0.
	slope float64
}

// newSoftLimit returns a limit for predictions with an error of up to a share of the limit in either direction.
func newSoftLimit(limit, relativeError float64) softLimit {
	return softLimit{
		start: limit * (1 - relativeError),
		slope: 1 / (2 * relativeError * limit),
	}
}

// exceedProbability returns the probability that the actual value exceeds the limit, given its prediction.
func (sl softLimit) exceedProbability(predicted float64) float64 {
	if predicted <= sl.start {
		return 0
	}
	return min((predicted-sl.start)*sl.slope, 1)
}

// softClassLimits holds classLimits as soft limits.
var softClassLimits = newSoftClassLimits()

func newSoftClassLimits() [numClasses]softLimit {
	var sls [numClasses]softLimit
	for cl, lim := range classLimits {
		sls[cl] = newSoftLimit(float64(lim), predictionError)
	}
	return sls
}
