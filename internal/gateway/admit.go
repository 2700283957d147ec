package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/body"
	"github.com/silvermount/silvermount/internal/deadline"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/life"
	"github.com/silvermount/silvermount/internal/outcome"
	"github.com/silvermount/silvermount/internal/retry"
	"github.com/silvermount/silvermount/internal/routes"
)

const (
	// comeBackUnready is when a caller of an instance without configuration or fresh proof should come back: about
	// what one question to the store takes while it recovers.
	comeBackUnready = 500 * time.Millisecond
	// comeBackFull is when a caller should come back after a refusal for lack of room.
	comeBackFull = 300 * time.Millisecond
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
)

// request is one caller's request on its way. It is used by one goroutine.
type request struct {
	Facts
	method  string
	target  string
	host    string
	path    string
	header  http.Header
	body    []byte
	route   routes.Route
	table   *routes.Table
	service string
	org     routes.Organisation
	keyed   bool
	arrived time.Time
	// due is the earlier of the caller's deadline and the route's.
	due deadline.Deadline
	// free gives the body's memory back; never nil.
	free func()
	life life.Record
	// endedIn is the last state before the end.
	endedIn life.State
	// known is unknown once a target was sent the request and did not say that it left it alone.
	known outcome.Aggregate
	// tried holds the incarnations that were sent the request.
	tried []string
	// avoid holds the incarnations that are not asked again: tried, or not reachable.
	avoid []string
	// claimed is set when the next retry was taken from the budget already.
	claimed bool
	// noRetry is why the last failed attempt was not followed by another; empty before.
	noRetry retry.Reason
	// lastEvent is the last event passed on; negative before the first.
	lastEvent int64
	// events counts the events passed on.
	events int
	// first is the time from arrival to the first event or answer, pause the longest between two events; zero before.
	first, pause time.Duration
	// eventAt is when the last event was passed on.
	eventAt time.Time
	// sentAt is when the newest attempt was sent, headAt when the head of its answer came; zero before.
	sentAt, headAt time.Time
	// head is that of the newest answer; it is valid while headAt is set.
	head answer.Head
	// print makes the fingerprint once: the digest of a long body is made only when it is needed.
	print func() fingerprint.Fingerprint
}

// fingerprint returns what names the request again when it comes under another id. It may be asked by any goroutine once the body is
// read.
func (rq *request) fingerprint() fingerprint.Fingerprint { return rq.print() }

// origin returns what a fingerprint begins with; it costs the same for short and long bodies.
func (rq *request) origin() fingerprint.HeadHash { return fingerprint.HeadHashOf(rq.identity()) }

func (rq *request) identity() fingerprint.Request {
	return fingerprint.Request{
		Organisation: rq.org.Name, Method: rq.method, Host: rq.host, RequestURI: rq.target, Body: rq.body,
	}
}

func refused(code failure.Code, comeBack time.Duration, format string, args ...any) *failure.Error {
	return failure.New(code, failure.NotRun, format, args...).WithRetryAfter(comeBack)
}

// admit reads a request and checks that the configuration in force allows it.
func (gw *Gateway) admit(r *http.Request, sk *sink, began time.Time) (*request, error) {
	rq := &request{
		method: r.Method, target: r.RequestURI, host: r.Host, path: r.URL.EscapedPath(), header: r.Header,
		arrived: began, free: func() {},
	}
	rq.print = sync.OnceValue(func() fingerprint.Fingerprint { return fingerprint.Of(rq.identity()) })
	fa, err := gw.Protocol.Read(r)
	if err != nil {
		return rq, failure.New(failure.BadRequest, failure.NotRun, "the request cannot be read").WithCause(err)
	}
	rq.Facts = fa
	rq.lastEvent = fa.ResumeAfter
	if gw.closed.Load() {
		return rq, refused(failure.Stopping, dispatch.RetryElsewhereAfter, "the instance ends soon; another takes the request")
	}
	if err := gw.allow(rq); err != nil {
		return rq, err
	}
	rq.due = deadline.Of(began, rq.route.Timeout, fa.Wait)
	sk.Due(rq.due)
	gw.logDeadline(rq, rq.due.Bind(sk.Control(), began.Add(bodyTimeout)))
	if err := gw.readBody(r, sk, rq); err != nil {
		return rq, err
	}
	gw.logDeadline(rq, rq.due.BodyRead(sk.Control()))
	return rq, nil
}

// allow looks a request up in the configuration in force now.
func (gw *Gateway) allow(rq *request) error {
	tb, provenAt := gw.Routes.Current()
	if tb == nil {
		return refused(failure.NotReady, comeBackUnready, "no configuration is in force yet")
	}
	rt, ok := tb.Route(rq.host, rq.path)
	if !ok {
		return failure.New(failure.NotFound, failure.NotRun, "no route leads there")
	}
	rq.table = tb
	rq.route = rt
	rq.keyed = tb.NeedsKey(rt)
	return gw.allowKey(rq, tb, provenAt)
}

// keyHolds checks the key of a request that was sent nowhere yet against the configuration in force now: it may be taken
// away while the request waits for room. The route that the request came by stays its own.
func (gw *Gateway) keyHolds(rq *request) error {
	tb, provenAt := gw.Routes.Current()
	if len(rq.tried) > 0 {
		return nil
	}
	return gw.allowKey(rq, tb, provenAt)
}

// allowKey checks the key of a request, and how long ago the configuration was proven to be the newest. A key that is not in
// force is called unknown only by an instance that can know it: a caller who is told so does not come back. A request without
// a key is refused by any configuration.
func (gw *Gateway) allowKey(rq *request, tb *routes.Table, provenAt time.Time) error {
	if !rq.keyed {
		return nil
	}
	og, known := tb.Organisation(rq.Key)
	if !known && rq.Key == "" {
		return failure.New(failure.Unauthorized, failure.NotRun, "the request has no key")
	}
	rq.org = og
	if err := gw.proven(tb, provenAt); err != nil {
		return err
	}
	switch {
	case known:
		return nil
	case gw.Routes.NewestKnownVersion() > tb.Version():
		return refused(failure.NotReady, comeBackUnready, "a newer configuration, which may have the key, is not in force yet")
	default:
		return failure.New(failure.Unauthorized, failure.NotRun, "the key is not known")
	}
}

// proven refuses a request with a key when the configuration was not confirmed for too long.
func (gw *Gateway) proven(tb *routes.Table, provenAt time.Time) error {
	most := gw.limits.Load().ProofAge
	age := gw.Now().Sub(provenAt)
	tooOld := most > 0 && age > most
	gw.logProof(tooOld, tb.Version(), age)
	if tooOld {
		return refused(failure.ProofTooOld, comeBackUnready, "the configuration was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}

// readBody reads a body under the shared budget.
func (gw *Gateway) readBody(r *http.Request, sk *sink, rq *request) error {
	most := gw.limits.Load().MaxBodyBytes
	if lm := rq.table.Limits().MaxBodyBytes; lm > 0 {
		most = min(most, lm)
	}
	rd := body.Reader{
		Memory: gw.Bodies, Most: most, ComeBack: comeBackFull, Broken: failure.CallerGone, Late: failure.DeadlineExceeded,
	}
	// A body that is still coming at the end of the instance is waited for no longer.
	detach := context.AfterFunc(gw.ended, func() { gw.logDeadline(rq, sk.Control().SetReadDeadline(gw.Now())) })
	defer detach()
	var err error
	rq.body, rq.free, err = rd.Read(r)
	// Whether or not the body is whole: nothing of it may be sent any more.
	if gw.ended.Err() != nil {
		return gw.cutShort(rq)
	}
	return err
}
