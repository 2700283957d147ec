package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/silvermount/silvermount/internal/body"
	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/deadline"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/lifecycle"
	"github.com/silvermount/silvermount/internal/outcome"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/retry"
	"github.com/silvermount/silvermount/internal/returntimes"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/upstream"
)

const (
	// notReadyRetryAfter is the Retry-After of an instance that has no configuration or a stale one: about the time that
	// one query takes while the store recovers.
	notReadyRetryAfter = 500 * time.Millisecond
	// overloadRetryAfter is the Retry-After of requests that are refused for lack of capacity.
	overloadRetryAfter = 300 * time.Millisecond
	// bodyTimeout is the maximum time from the arrival of a request to the end of its body.
	bodyTimeout = 10 * time.Second
)

// request is the state of a caller's request while it is served. Except for fingerprint, it is not safe for concurrent use.
type request struct {
	RequestInfo
	method     string
	requestURI string
	host       string
	path       string
	header     http.Header
	body       []byte
	route      routes.Route
	table      *routes.Table
	service    string
	org        routes.Organisation
	// needsKey is set if the request runs only with a key that is in force.
	needsKey bool
	arrived  time.Time
	// deadline is the earlier of the caller's deadline and the route's.
	deadline deadline.Deadline
	// memory is what the request holds of the memory for bodies; never nil.
	memory *budget.Account
	// cancel ends the request with a cause. It is set before the first transfer.
	cancel    context.CancelFunc
	lifecycle lifecycle.Record
	// stateBeforeEnd is the lifecycle state in which a failed request ended.
	stateBeforeEnd lifecycle.State
	// outcomes aggregates the outcomes of all attempts. It is failure.Unknown once the request was sent to a target that did
	// not state that it left the request unprocessed.
	outcomes outcome.Aggregate
	// tried holds the incarnations to which the request was sent.
	tried []string
	// excluded holds the incarnations that are not chosen again: those already tried, and those that were unreachable.
	excluded []string
	// lostAttempt is set once an attempt was lost after it was sent. Further ones are not sent on idle connections.
	lostAttempt bool
	// attempt is the attempt in flight; nil before the first.
	attempt *inFlightAttempt
	// via is the peer that the latest attempt was sent through; nil if it was sent directly. A watchdog reads it concurrently.
	via atomic.Pointer[string]
	// responding is set while a part of a response is forwarded. The end of a slow transfer reads it concurrently.
	responding atomic.Bool
	// plainStarted is set once part of a response that is not a stream was forwarded. Nothing can continue it.
	plainStarted bool
	// retryTaken is set if the next retry has already been taken from the retry budget.
	retryTaken bool
	// noRetryReason is why the last failed attempt was not retried; empty before.
	noRetryReason retry.Reason
	// forwardedEventID is the id of the last event that the caller has; negative before the first.
	forwardedEventID int64
	// extent is what is known of how far the stream goes.
	extent extent
	// eventsForwarded is the number of events forwarded to the caller.
	eventsForwarded int
	// eventsOfAttempt is the number of events that were received in the latest attempt.
	eventsOfAttempt int
	// timeToFirst is the time from arrival to the first forwarded event, longestPause the longest time between two forwarded
	// events. Both are zero before, and for responses that are not streams.
	timeToFirst, longestPause time.Duration
	// lastEventAt is when the last event was forwarded.
	lastEventAt time.Time
	// sentAt is when the latest attempt was sent, headAt when the head of its response was received; both are zero before.
	sentAt, headAt time.Time
	// targetDeadline is the earliest time at which the deadline given to the latest target can pass there.
	targetDeadline time.Time
	// head is the head of the latest response. It is valid only while headAt is set.
	head responsehead.Head
	// framing says how the end of the latest response is recognised; empty before.
	framing upstream.Framing
	// endWatch watches the targets of the latest response; it is set once that is forwarded.
	endWatch *endWatch
	// end is what was known of its target when the latest response ended; empty unless it ended with its connection.
	end upstream.Life
	// fingerprints are set once the body has been read.
	fingerprints fingerprint.Set
	// admission is the dispatcher's state of the request.
	admission dispatch.RequestAdmission
	// quarantine is what the request was refused for; it has no members before.
	quarantine quarantine.Quarantine
}

// fingerprint returns the fingerprint that identifies the request when it is sent again under another id. It is safe for
// concurrent use once the body has been read.
func (rq *request) fingerprint() fingerprint.Fingerprint { return rq.fingerprints.Whole() }

// setFingerprints determines what the request has in common with others.
func (rq *request) setFingerprints() {
	rq.fingerprints = fingerprint.SetOf(fingerprint.Request{
		Organisation: rq.org.Name, Method: rq.method, Host: rq.host, RequestURI: rq.requestURI, Body: rq.body,
	}, rq.PromptParts)
}

// caller returns what identifies the caller of a prompt when it returns after a refusal: its organisation, the host and path, and the parts of
// the prompt, or, without parts, the whole request, which takes long for a long body. The id of a request is not part of it, since each attempt of
// a caller has another one; nor is the service, which is picked anew for each request.
func (rq *request) caller() returntimes.Caller {
	parts := rq.PromptParts
	if len(parts) == 0 {
		parts = []string{rq.fingerprint().String()}
	}
	return returntimes.CallerOf(append([]string{rq.org.Name, rq.host, rq.path}, parts...)...)
}

// refusal returns the failure of a request that was not run and that the caller may retry.
func refusal(code failure.Code, retryAfter time.Duration, format string, args ...any) *failure.Error {
	return failure.New(code, failure.NotRun, format, args...).WithRetryAfter(retryAfter)
}

// admit reads a request with its body and checks that the configuration in force allows it. The request is never nil.
func (gw *Gateway) admit(r *http.Request, rw *responseWriter, arrived time.Time) (*request, error) {
	rq := &request{
		method: r.Method, requestURI: r.RequestURI, host: r.Host, path: r.URL.EscapedPath(), header: r.Header,
		arrived: arrived,
	}
	rq.memory = gw.BodyMemory.Open(func(held int64) { gw.endSlowTransfer(rq, rw, held) })
	ri, err := gw.Protocol.ReadRequest(r)
	if err != nil {
		return rq, failure.New(failure.BadRequest, failure.NotRun, "the request cannot be read").WithCause(err)
	}
	rq.RequestInfo = ri
	rq.forwardedEventID, rq.extent.minLastID = ri.LastEventID, ri.LastEventID
	if gw.refusing.Load() {
		return rq, refusal(failure.Stopping, dispatch.RetryElsewhereAfter, "the instance ends soon; another takes the request")
	}
	if err := gw.authorise(rq); err != nil {
		return rq, err
	}
	rq.deadline = deadline.ForRequest(arrived, rq.route.Timeout, ri.Timeout)
	rw.SetDeadline(rq.deadline)
	gw.logDeadlineError(rq, rq.deadline.Apply(rw.Controller(), arrived.Add(bodyTimeout)))
	if err := gw.readBody(r, rw, rq); err != nil {
		return rq, err
	}
	rq.setFingerprints()
	gw.logDeadlineError(rq, rq.deadline.ClearReadDeadline(rw.Controller()))
	return rq, nil
}

// authorise looks up the route of a request in the configuration in force now, and checks its key.
func (gw *Gateway) authorise(rq *request) error {
	tb, confirmedAt := gw.Routes.Current()
	if tb == nil {
		return refusal(failure.NotReady, notReadyRetryAfter, "no configuration is in force yet")
	}
	rt, ok := tb.Route(rq.host, rq.path)
	if !ok {
		return failure.New(failure.NotFound, failure.NotRun, "no route leads there")
	}
	rq.table = tb
	rq.route = rt
	rq.needsKey = tb.NeedsKey(rt) || rq.Key != "" && !rt.Public && gw.keysMayBeRevoked()
	return gw.checkKey(rq, tb, confirmedAt)
}

// keysMayBeRevoked reports whether a key that the configuration in force lacks may have been valid before, also if that configuration uses
// no keys. An instance that has just started does not know earlier configurations, and assumes so if the settings bound revocations.
func (gw *Gateway) keysMayBeRevoked() bool {
	return gw.Routes.EverUsedKeys() || gw.limits.Load().MaxConfigStaleness > 0
}

// recheckKey checks the key of a request that has not been sent to any target against the configuration in force now, since
// the key may be revoked while the request waits for capacity. The request keeps the route that it was admitted with.
func (gw *Gateway) recheckKey(rq *request) error {
	tb, confirmedAt := gw.Routes.Current()
	if len(rq.tried) > 0 {
		return nil
	}
	return gw.checkKey(rq, tb, confirmedAt)
}

// checkKey checks the key of a request and the staleness of the configuration. It reports a key as unknown only if this
// instance has the newest configuration, because callers do not retry after that. A request without a required key is
// refused whatever the configuration.
func (gw *Gateway) checkKey(rq *request, tb *routes.Table, confirmedAt time.Time) error {
	if !rq.needsKey {
		return nil
	}
	og, known := tb.Organisation(rq.Key)
	if !known && rq.Key == "" {
		return failure.New(failure.Unauthorized, failure.NotRun, "the request has no key")
	}
	rq.org = og
	if err := gw.checkStaleness(tb, confirmedAt); err != nil {
		return err
	}
	switch {
	case known:
		return nil
	case gw.Routes.NewestKnownVersion() > tb.Version():
		return refusal(failure.NotReady, notReadyRetryAfter, "a newer configuration, which may have the key, is not in force yet")
	default:
		return failure.New(failure.Unauthorized, failure.NotRun, "the key is not known")
	}
}

// checkStaleness refuses a request that needs a key if the configuration was last confirmed too long ago: the key may have
// been revoked since.
func (gw *Gateway) checkStaleness(tb *routes.Table, confirmedAt time.Time) error {
	maxStaleness := gw.limits.Load().MaxConfigStaleness
	staleness := gw.Now().Sub(confirmedAt)
	stale := maxStaleness > 0 && staleness > maxStaleness
	gw.logStaleness(stale, tb.Version(), staleness)
	if stale {
		return refusal(failure.ProofTooOld, notReadyRetryAfter,
			"the configuration was last confirmed %s ago", staleness.Round(time.Millisecond))
	}
	return nil
}

// readBody reads the body of a request within the memory budget that all requests share.
func (gw *Gateway) readBody(r *http.Request, rw *responseWriter, rq *request) error {
	maxBytes := gw.limits.Load().MaxBodyBytes
	if lm := rq.table.Limits().MaxBodyBytes; lm > 0 {
		maxBytes = min(maxBytes, lm)
	}
	br := body.Reader{
		Account: rq.memory, MaxBytes: maxBytes, RetryAfter: overloadRetryAfter,
		IncompleteCode: failure.CallerGone, TimeoutCode: failure.DeadlineExceeded,
	}
	// When requests are aborted, a body that is still being received is no longer waited for.
	stopWatch := context.AfterFunc(gw.aborted, func() { gw.logDeadlineError(rq, rw.Controller().SetReadDeadline(gw.Now())) })
	defer stopWatch()
	var err error
	// The account is closed with the request.
	rq.body, _, err = br.Read(r)
	// Even a complete body must not be sent any more.
	if gw.aborted.Err() != nil {
		return gw.abortedError(rq)
	}
	return err
}
