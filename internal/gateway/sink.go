package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/reply"
)

// hopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies all headers that do not concern one connection only.
func copyEndToEndHeaders(to, from http.Header) {
	dropped := from.Values("Connection")
	for k, vs := range from {
		if !slices.Contains(hopByHopHeaders, k) && !listsHeader(dropped, k) {
			to[k] = vs
		}
	}
}

// listed reports whether a Connection header names a header.
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

// sink passes an answer on to the caller.
type responseWriter struct {
	*reply.Writer
	w http.ResponseWriter
	// stopping reports whether a stop was asked for.
	stopping func() bool
}

func (rw *responseWriter) start(status int) {
	if rw.stopping() {
		rw.w.Header().Set("Connection", "close")
	}
	rw.Start(status)
}

// finish ends a request: it answers a failure, closes the request's life and writes its last log line.
func (gw *Gateway) finish(rq *request, sk *responseWriter, err error) {
	if err == nil {
		gw.logServed(rq, sk)
		return
	}
	fe := failure.FromError(err)
	// The state that the request ended in tells what it was waiting for.
	rq.stateBeforeEnd = rq.lifecycle.State
	gw.endLifecycle(rq, sk, fe)
	gw.logFailed(rq, sk, fe)
	if sk.Started() {
		// Half an answer must not look whole: the connection is broken off.
		panic(http.ErrAbortHandler)
	}
	if err := sk.writeError(fe); err != nil {
		gw.logNotDelivered(rq, err)
	}
}

func (gw *Gateway) endLifecycle(rq *request, sk *responseWriter, fe *failure.Error) {
	from := rq.lifecycle.State
	err := gw.lifecycle.Abort(&rq.lifecycle, fe.Outcome == failure.NotRun && !sk.Started())
	gw.stateCounts.move(from, rq.lifecycle.State)
	if err != nil {
		gw.Log.WithError(err).WithField("request", rq.RequestID).Error("life of the request broken")
	}
}

// fail answers a failure in place of an answer.
func (rw *responseWriter) writeError(fe *failure.Error) error {
	if fe.Code == failure.CallerGone {
		// Nobody reads an answer; the connection is closed so that it looks like none.
		panic(http.ErrAbortHandler)
	}
	if fe.Outcome == failure.NotRun && fe.RetryAfter > 0 {
		rw.w.Header().Set("Retry-After", strconv.FormatFloat(fe.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body := string(fe.Code) + ": " + fe.Message + "\n"
	rw.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	rw.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.start(statusCode(fe))
	// Sent at once, so that a caller that has gone shows here: else a refusal that nobody got looks like one in the log.
	return rw.Forward([]byte(body), true)
}

// finalStatus is the status of a failure. The statuses that promise that a request has not run and will not are
// answered only where that is known.
func statusCode(fe *failure.Error) int {
	status := fe.Status()
	if fe.Code == failure.EndsTargets {
		// It promises nothing of earlier attempts, and callers do not come again after it.
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

// since rounds a time for a log line.
func roundedSince(from, to time.Time) time.Duration {
	return to.Sub(from).Round(100 * time.Microsecond)
}
