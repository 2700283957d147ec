package placement

// Worth is the value of answers in millionths of a point. It is an integer so that sums are exact.
type Worth int64

// point is the Worth of one point.
const point = 1_000_000

// WorthOf converts points to a Worth.
func WorthOf(points float64) Worth {
	return Worth(points * point)
}

// Points converts the worth to points.
func (wo Worth) Points() float64 {
	return float64(wo) / point
}
