package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/responsewriter"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEndHeaders copies all headers except hop-by-hop headers and those that the Connection header lists.
func copyEndToEndHeaders(to, from http.Header) {
	connection := from.Values("Connection")
	for k, vs := range from {
		if !slices.Contains(hopByHopHeaders, k) && !listsHeader(connection, k) {
			to[k] = vs
		}
	}
}

// listsHeader reports whether the values of a Connection header list a header.
func listsHeader(values []string, name string) bool {
	for _, v := range values {
		for _, part := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// responseWriter writes the response to the caller.
type responseWriter struct {
	*responsewriter.Writer
	w http.ResponseWriter
	r *http.Request
	// turnsCallersAway reports whether callers should open their next connection to another instance.
	turnsCallersAway func() bool
}

// start writes the status line and the headers. While callers are turned away it asks the caller to close the connection.
func (rw *responseWriter) start(status int) {
	if rw.turnsCallersAway() {
		rw.w.Header().Set("Connection", "close")
	}
	rw.Start(status)
}

// finish ends a request: it ends its lifecycle, logs the result and sends an error response to the caller if it failed.
func (gw *Gateway) finish(rq *request, rw *responseWriter, err error) {
	if err == nil {
		gw.logServed(rq, rw)
		return
	}
	fe := failure.FromError(err)
	// The last state shows what the request was waiting for when it failed.
	rq.stateBeforeEnd = rq.lifecycle.State
	gw.endLifecycle(rq, rw, fe)
	gw.logFailed(rq, rw, fe)
	if rw.Started() {
		rw.Abort(rw.r)
	}
	if err := rw.writeError(fe); err != nil {
		gw.logNotDelivered(rq, err)
	}
}

// endLifecycle moves a failed request to its final state.
func (gw *Gateway) endLifecycle(rq *request, rw *responseWriter, fe *failure.Error) {
	from := rq.lifecycle.State
	err := gw.lifecycle.Abort(&rq.lifecycle, fe.Outcome == failure.NotRun && !rw.Started())
	gw.stateCounts.move(from, rq.lifecycle.State)
	if err != nil {
		gw.Log.WithError(err).WithField("request", rq.RequestID).Error("invalid transition of request lifecycle")
	}
}

// writeError writes an error response. It panics with http.ErrAbortHandler if the caller has disconnected.
func (rw *responseWriter) writeError(fe *failure.Error) error {
	if fe.Code == failure.CallerGone {
		// Nobody reads a response. Abort the connection, so that none appears to have been sent.
		panic(http.ErrAbortHandler)
	}
	if fe.Outcome == failure.NotRun && fe.RetryAfter > 0 {
		rw.w.Header().Set("Retry-After", strconv.FormatFloat(fe.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body := string(fe.Code) + ": " + fe.Message + "\n"
	rw.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	rw.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.start(statusCode(fe))
	// Flush, so that a closed connection is detected here. Otherwise the log would show a delivered refusal that nobody received.
	return rw.Forward([]byte(body), true)
}

// statusCode returns the HTTP status of a failure. A status that promises that the request has not run and will not run is used
// only if that is known.
func statusCode(fe *failure.Error) int {
	status := fe.Status()
	if fe.Code == failure.EndsTargets {
		// This status promises nothing about earlier attempts, and callers do not retry after it.
		return status
	}
	if fe.Outcome == failure.NotRun {
		if status >= http.StatusInternalServerError {
			return http.StatusServiceUnavailable
		}
		return status
	}
	if fe.Code == failure.DeadlineExceeded {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// roundedSince returns the time between two instants, rounded for log messages.
func roundedSince(from, to time.Time) time.Duration {
	return to.Sub(from).Round(100 * time.Microsecond)
}
