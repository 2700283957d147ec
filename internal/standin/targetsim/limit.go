package targetsim

import "time"

// HeaderLimit holds the number of requests per second that a target accepts from all instances together.
const HeaderLimit = "Server-Limit"

// rateLimits holds the rate limits that a target announces, and the arrival times of the requests.
type rateLimits struct {
	// values are the values of HeaderLimit in the responses.
	values []string
	// sentAt is the time at which a response first carried the current limits; it is zero before.
	sentAt time.Time
	// arrivals holds the arrival time of each request, whether it was run or not. Health checks and control requests
	// are left out.
	arrivals []time.Time
}

// SetLimit sets the values of HeaderLimit in all further responses; without values, the header is left out.
func (sv *Server) SetLimit(values ...string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.limits.values, sv.limits.sentAt = values, time.Time{}
}

// LimitSentAt returns the time at which a response first carried the current limits; it is zero before.
func (sv *Server) LimitSentAt() time.Time {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.limits.sentAt
}

// ArrivalTimes returns the arrival times of all requests except health checks and control requests, in order.
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

// addLimits adds the limits to a response.
func (sv *Server) addLimits(rs Response) Response {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if len(sv.limits.values) == 0 {
		return rs
	}
	if sv.limits.sentAt.IsZero() {
		sv.limits.sentAt = time.Now()
	}
	rs.Header = rs.Header.Clone()
	rs.Header[HeaderLimit] = sv.limits.values
	return rs
}
