package fault

import "time"

// HeaderLimit names the requests a second that a target takes from all instances together.
const HeaderLimit = "Server-Limit"

// limited is what a target says of the requests that it takes, and the requests that came.
type limited struct {
	// values are those of HeaderLimit in its answers.
	values []string
	// named is when it first named the present limits; zero before.
	named time.Time
	// arrivals holds when each request came, run or not; those that take no slot are left out.
	arrivals []time.Time
}

// SetLimit makes all answers from now on name these limits; without any they name none.
func (sv *Server) SetLimit(values ...string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.limit.values, sv.limit.named = values, time.Time{}
}

// LimitNamed returns when an answer first named the present limits; zero before.
func (sv *Server) LimitSentAt() time.Time { sv.mu.Lock(); defer sv.mu.Unlock(); return sv.limit.named }

// Arrivals returns when each request came, in order.
func (sv *Server) ArrivalTimes() []time.Time {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]time.Time(nil), sv.limit.arrivals...)
}

func (sv *Server) arrived() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.limit.arrivals = append(sv.limit.arrivals, time.Now())
}

// nameLimit adds the limits to an answer.
func (sv *Server) nameLimit(an Response) Response {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if len(sv.limit.values) == 0 {
		return an
	}
	if sv.limit.named.IsZero() {
		sv.limit.named = time.Now()
	}
	an.Header = an.Header.Clone()
	an.Header[HeaderLimit] = sv.limit.values
	return an
}
