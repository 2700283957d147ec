package targetsim

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// HeaderLeaving is set in all responses of a target that announces that it is leaving.
	HeaderLeaving = "Server-Leaving"
	// HeaderRetryAfter holds the back-off, in seconds, that a target asks for when it refuses a request.
	HeaderRetryAfter = "Retry-After"
)

// Exchange records one received request, whether it was run or not, and what its response announced. Health checks and
// control requests are not recorded.
type Exchange struct {
	AttemptID string
	// InstanceID names the incarnation that responded.
	InstanceID string
	// AnsweredAt is the time at which the headers of the response were built; it is zero without a response.
	ReceivedAt, AnsweredAt time.Time
	// Leaving and BackOff are what the response announced; they are zero when it announced nothing.
	Leaving bool
	BackOff time.Duration
}

// selfReport holds what a target announces about itself in its responses, and the exchanges recorded so far.
type selfReport struct {
	leaving bool
	// backOff is the back-off with which all requests are refused; zero refuses none.
	backOff time.Duration
	// omitNotExecuted leaves HeaderNotExecuted out of these refusals.
	omitNotExecuted bool
	exchanges       []*Exchange
}

// SetLeaving sets whether all responses announce, in HeaderLeaving, that the target is leaving. The target goes on
// serving, and its entry in the metadata store is not changed.
func (sv *Server) SetLeaving(leaving bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.selfReport.leaving = leaving
}

// SetBackOff makes the target refuse all requests and ask for a back-off; a back-off of zero ends this.
// markNotExecuted sets whether the refusals carry HeaderNotExecuted.
func (sv *Server) SetBackOff(backOff time.Duration, markNotExecuted bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.selfReport.backOff, sv.selfReport.omitNotExecuted = backOff, !markNotExecuted
}

// Exchanges returns the exchanges so far, in the order in which the requests arrived.
func (sv *Server) Exchanges() []Exchange {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	all := make([]Exchange, 0, len(sv.selfReport.exchanges))
	for _, ex := range sv.selfReport.exchanges {
		all = append(all, *ex)
	}
	return all
}

// backOffRefusal returns the refusal that asks for a back-off; it reports false when no back-off is set.
func (sv *Server) backOffRefusal() (Response, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.selfReport.backOff == 0 {
		return Response{}, false
	}
	rs := Refusal(http.StatusServiceUnavailable).WithHeader(HeaderRetryAfter, strconv.FormatFloat(sv.selfReport.backOff.Seconds(), 'f', -1, 64))
	if sv.selfReport.omitNotExecuted {
		rs = rs.withoutHeader(HeaderNotExecuted)
	}
	return rs, true
}

func (sv *Server) recordExchange(rq *http.Request) *Exchange {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	ex := &Exchange{AttemptID: rq.Header.Get(HeaderAttempt), ReceivedAt: time.Now()}
	sv.selfReport.exchanges = append(sv.selfReport.exchanges, ex)
	return ex
}

// addSelfReport adds the announcements of the target to a response and records them in its exchange. The exchange is nil
// for health checks and control requests.
func (sv *Server) addSelfReport(rs Response, ex *Exchange) Response {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.selfReport.leaving {
		rs = rs.WithHeader(HeaderLeaving, "1")
	}
	if ex == nil {
		return rs
	}
	ex.InstanceID, ex.AnsweredAt, ex.Leaving = sv.instanceID, time.Now(), sv.selfReport.leaving
	if rs.Header.Get(HeaderRetryAfter) != "" {
		ex.BackOff = sv.selfReport.backOff
	}
	return rs
}
