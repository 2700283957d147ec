package placement

// Worth is a count of millionths of one point of worth. It is a whole number so that sums of it are exact.
type Worth int64

// point is the number of millionths in one point of worth.
const point = 1_000_000

// WorthOf returns the worth of a number of points.
func WorthOf(points float64) Worth {
	return Worth(points * point)
}

// Points returns the worth in points.
func (wo Worth) Points() float64 {
	return float64(wo) / point
}
