package fault

import "time"

// HeaderLimit names the requests a second that a target takes from all instances together.
const HeaderLimit = "Server-Limit"

// limited is what a target says of the requests that it takes, and the requests that came.
type rateLimits struct {
	// values are those of HeaderLimit in its answers.
	values []string
	// named is when it first named the present limits; zero before.
	sentAt time.Time
	// arrivals holds when each request came, run or not; those that take no slot are left out.
	arrivals []time.Time
}

// SetLimit makes all answers from now on name these limits; without any they name none.
func (sv *Server) SetLimit(values ...string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.limits.values, sv.limits.sentAt = values, time.Time{}
}

// LimitNamed returns when an answer first named the present limits; zero before.
func (sv *Server) LimitSentAt() time.Time {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.limits.sentAt
}

// Arrivals returns when each request came, in order.
func (sv *Server) ArrivalTimes() []time.Time {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]time.Time(nil), sv.limits.arrivals...)
}

func (sv *Server) recordArrival() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.limits.arrivals = append(sv.limits.arrivals, time.Now())
}

// nameLimit adds the limits to an answer.
func (sv *Server) addLimits(an Response) Response {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if len(sv.limits.values) == 0 {
		return an
	}
	if sv.limits.sentAt.IsZero() {
		sv.limits.sentAt = time.Now()
	}
	an.Header = an.Header.Clone()
	an.Header[HeaderLimit] = sv.limits.values
	return an
}
