package fault

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// HeaderLeaving is set in all answers of a target that leaves.
	HeaderLeaving = "Server-Leaving"
	// HeaderRetryAfter is how many seconds a target that turns a request away wants no more of them.
	HeaderRetryAfter = "Retry-After"
)

// Exchange is one request that came, run or not, and what its answer said. Requests that take no slot are left out.
type Exchange struct {
	AttemptID string
	// Instance is the incarnation that answered.
	InstanceID string
	// Came is when the request came, and Answered when the head of its answer was made; zero without one.
	ReceivedAt, AnsweredAt time.Time
	// Leaving and BackOff are what the answer said; zero for nothing.
	Leaving bool
	BackOff time.Duration
}

// word is what a target says of itself in its answers.
type selfReport struct {
	leaving bool
	// backOff is what each request is turned away with; zero turns none away.
	backOff time.Duration
	// unpromised leaves out the mark that a request which is turned away has not run.
	omitNotExecuted bool
	exchanges       []*Exchange
}

// SayLeaving makes all answers say that the target leaves; it goes on serving, and its entry is not changed.
func (sv *Server) SetLeaving(leaving bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.selfReport.leaving = leaving
}

// TurnAway makes the target turn all requests away and ask for a back-off, with or without the promise that they have not run; zero ends
// that.
func (sv *Server) SetBackOff(backOff time.Duration, promise bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.selfReport.backOff, sv.selfReport.omitNotExecuted = backOff, !promise
}

// Exchanges returns the requests that came so far, in order.
func (sv *Server) Exchanges() []Exchange {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	all := make([]Exchange, 0, len(sv.selfReport.exchanges))
	for _, ex := range sv.selfReport.exchanges {
		all = append(all, *ex)
	}
	return all
}

// turnedAway returns the refusal of a target that asks for a back-off.
func (sv *Server) backOffRefusal() (Response, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.selfReport.backOff == 0 {
		return Response{}, false
	}
	an := Refusal(http.StatusServiceUnavailable).WithHeader(HeaderRetryAfter, strconv.FormatFloat(sv.selfReport.backOff.Seconds(), 'f', -1, 64))
	if sv.selfReport.omitNotExecuted {
		an = an.withoutHeader(HeaderNotExecuted)
	}
	return an, true
}

// came notes a request.
func (sv *Server) recordExchange(rq *http.Request) *Exchange {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	ex := &Exchange{AttemptID: rq.Header.Get(HeaderAttempt), ReceivedAt: time.Now()}
	sv.selfReport.exchanges = append(sv.selfReport.exchanges, ex)
	return ex
}

// say adds what the target says of itself to the answer of an exchange; nil for one that takes no slot.
func (sv *Server) addSelfReport(an Response, ex *Exchange) Response {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.selfReport.leaving {
		an = an.WithHeader(HeaderLeaving, "1")
	}
	if ex == nil {
		return an
	}
	ex.InstanceID, ex.AnsweredAt, ex.Leaving = sv.instanceID, time.Now(), sv.selfReport.leaving
	if an.Header.Get(HeaderRetryAfter) != "" {
		ex.BackOff = sv.selfReport.backOff
	}
	return an
}
