package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/responsecheck"
	"github.com/silvermount/silvermount/internal/tunnel"
)

// Call is one request to one target.
type Call struct {
	// Address is an IP address and port.
	Address string
	Method  string
	// RequestURI is the request target: the path and query exactly as they appear on the request line.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
	// NewConnection is set for requests that must not be sent on an idle connection. A target may drop one silently and earlier than it
	// announced, and its path may have been lost meanwhile.
	NewConnection bool
	// BeforeSend, if not nil, is called once a connection is there, immediately before anything is sent. If it returns an
	// error, the call fails with that error as the cause and nothing is sent.
	BeforeSend func() error
	// OnSend, if not nil, is called immediately before the request is sent. hasActivity reports whether data has arrived since
	// its last call.
	OnSend func(hasActivity func() bool)
	// OnMonitor, if not nil, is called immediately before the request is sent. The monitor must not be used once the exchange has ended.
	OnMonitor func(Monitor)
	// AcceptResponse, if not nil, is called with each response head, and reports whether the response belongs to this call.
	// Other responses are skipped.
	AcceptResponse func(*http.Response) bool
	// HeadTimeout bounds the time from the first byte of a response head to its end. Zero and longer times mean three seconds.
	HeadTimeout time.Duration
	// OnWrite, if not nil, is called before the request is sent. progress may be called by any goroutine until the call ends.
	OnWrite func(progress func() WriteProgress)
	// OnConnection, if not nil, is called before the request is sent with the peer that the connection leads through; empty for a direct
	// connection.
	OnConnection func(peer string)
}

// ExchangeError reports that an exchange failed before its response head was read.
type ExchangeError struct {
	// Sent is false only if it is certain that nothing of the request was sent.
	Sent bool
	// StaleConnection is set when a reused idle connection was closed before any response data arrived: the target may have
	// dropped it silently. The request may have run nevertheless.
	StaleConnection bool
	Cause           error
}

// Error includes whether anything was sent, and the cause.
func (ee *ExchangeError) Error() string {
	if !ee.Sent {
		return "not sent: " + ee.Cause.Error()
	}
	return "failed after sending: " + ee.Cause.Error()
}

// Unwrap returns the cause.
func (ee *ExchangeError) Unwrap() error { return ee.Cause }

// UnmatchedResponseError reports that a connection carried only responses to other requests.
type UnmatchedResponseError struct{}

// Error implements the error interface.
func (*UnmatchedResponseError) Error() string { return "response belongs to another request" }

// maxUnmatchedResponses is how many responses to other requests are read before the connection is closed.
const maxUnmatchedResponses = 3

// maxUnmatchedBodyBytes is how much of the body of a response to another request is read before the connection is closed.
const maxUnmatchedBodyBytes = 1 << 20

// Response is the head of a target's response and its open body. Close must be called.
type Response struct {
	*http.Response
	pool    *Pool
	address string
	cn      *conn
	// writeDone is closed once the request is written completely, or a write has failed.
	writeDone chan struct{}
	// writeSucceeded reports whether the request was written completely. It is valid once writeDone is closed.
	writeSucceeded *bool
	detachContext  func() bool
	complete       bool
}

// Framing is how the end of a response is recognised.
type Framing string

// The framings.
const (
	// ByLength means that the head states the length of the body, or that there is none.
	ByLength Framing = "length"
	// ByChunks means that the last chunk ends the body.
	ByChunks Framing = "chunks"
	// ByConnection means that the body ends with the connection.
	ByConnection Framing = "connection"
)

// Framing returns how the end of the response is recognised.
func (rs *Response) Framing() Framing {
	switch {
	case rs.ContentLength >= 0:
		return ByLength
	case len(rs.TransferEncoding) > 0:
		return ByChunks
	default:
		return ByConnection
	}
}

// Do sends a call and returns the head of its response. When ctx ends, the connection is closed, which ends the work at the
// target. Response data that has arrived by the deadline of ctx is still read.
func (pl *Pool) Do(ctx context.Context, ca Call) (*Response, error) {
	cn, reused, err := pl.acquire(ctx, ca.Address, ca.NewConnection)
	if err != nil {
		return nil, &ExchangeError{Sent: false, Cause: err}
	}
	if ca.OnConnection != nil {
		ca.OnConnection(cn.peer)
	}
	pausedBefore := pl.paused()
	detachContext := context.AfterFunc(ctx, func() {
		cn.handleContextDone(ctx, time.Now(), pl.paused() > pausedBefore, pl.finalReadSteps)
	})
	if err := ca.checkBeforeSend(ctx); err != nil {
		detachContext()
		pl.discard(ca.Address, cn)
		return nil, &ExchangeError{Sent: false, Cause: err}
	}
	rs := &Response{
		pool: pl, address: ca.Address, cn: cn, detachContext: detachContext, writeDone: make(chan struct{}), writeSucceeded: new(bool),
	}
	req := ca.httpRequest()
	readBefore, writtenBefore := cn.bytesRead.Load(), cn.bytesWritten.Load()
	if ca.OnSend != nil {
		ca.OnSend(cn.activityCheck())
	}
	if ca.OnMonitor != nil {
		ca.OnMonitor(Monitor{cn: cn, writtenBefore: writtenBefore})
	}
	if ca.OnWrite != nil {
		ca.OnWrite(func() WriteProgress { return rs.writeProgress(writtenBefore) })
	}
	go rs.writeRequest(ctx, req)
	// Response.Close ends the body together with the connection.
	rs.Response, err = pl.readResponse(cn, req, ca) //nolint:bodyclose // the body stays open for the caller
	if err == nil && rs.Framing() == ByConnection {
		rs.Body = &connectionBody{ReadCloser: rs.Body, cn: cn, writeFailed: rs.writeFailed}
	}
	if err != nil {
		stale := reused && cn.bytesRead.Load() == readBefore && isConnectionClosed(err) && ctx.Err() == nil
		if stale {
			pl.recordStaleConnection(ca.Address, cn.idleFor)
		}
		rs.Close()
		<-rs.writeDone
		sent := ctx.Err() == nil || cn.bytesWritten.Load() > writtenBefore
		return nil, &ExchangeError{Sent: sent, StaleConnection: stale, Cause: err}
	}
	return rs, nil
}

// checkBeforeSend returns the error that prevents sending the call: that of ctx, else that of BeforeSend.
func (ca Call) checkBeforeSend(ctx context.Context) error {
	if ctx.Err() != nil || ca.BeforeSend == nil {
		return ctx.Err()
	}
	if err := ca.BeforeSend(); err != nil {
		return err
	}
	return ctx.Err()
}

// isConnectionClosed reports whether a read failed because the target closed or reset the connection.
func isConnectionClosed(err error) bool {
	var ce *tunnel.CutError
	return !errors.As(err, &ce) && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET))
}

func (ca Call) httpRequest() *http.Request {
	req := &http.Request{
		Method: ca.Method, URL: requestURL(ca.RequestURI), Host: ca.Host, Header: ca.Header,
		ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(ca.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(ca.Body))
		req.ContentLength = int64(len(ca.Body))
	}
	return req
}

// requestURL returns a URL that net/http writes to the request line exactly as target.
func requestURL(target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Opaque: target}
	}
	// An opaque URL that begins with two slashes would be written with a scheme.
	path, query, hasQuery := strings.Cut(target, "?")
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		// A path with invalid escapes is sent unchanged.
		unescaped = path
	}
	return &url.URL{Path: unescaped, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
}

// writeRequest sends the request concurrently with the reading of the response: a target may respond before it has read a
// long body.
func (rs *Response) writeRequest(ctx context.Context, req *http.Request) {
	defer close(rs.writeDone)
	if ctx.Err() != nil {
		// The call ended while this goroutine waited to run. Its target must not run it.
		rs.cn.closeIgnoringError()
		return
	}
	rs.cn.writing.Store(true)
	defer rs.cn.writing.Store(false)
	// A write error is not returned: the response on the same connection then fails, or is an early response.
	*rs.writeSucceeded = req.Write(rs.cn) == nil
}

// headTimeout returns the bound on the time of a head.
func (ca Call) headTimeout() time.Duration {
	if ca.HeadTimeout <= 0 {
		return maxHeadDuration
	}
	return min(ca.HeadTimeout, maxHeadDuration)
}

// WriteProgress is how far the sending of a request is.
type WriteProgress struct {
	// Acknowledged is the number of bytes that the target's machine has acknowledged. It acknowledges little more than its process reads.
	Acknowledged int64
	// Done is set once everything is acknowledged.
	Done bool
}

// writeProgress returns the progress of a request before which the connection had written some bytes.
func (rs *Response) writeProgress(writtenBefore int64) WriteProgress {
	written := false
	select {
	case <-rs.writeDone:
		written = true
	default:
	}
	unacknowledged := int64(rs.cn.unacknowledged())
	return WriteProgress{
		Acknowledged: rs.cn.bytesWritten.Load() - writtenBefore - unacknowledged, Done: written && unacknowledged == 0,
	}
}

// readResponse reads the head of the next final response that the call accepts. It skips interim responses (1xx) and the responses to other
// requests.
func (pl *Pool) readResponse(cn *conn, req *http.Request, ca Call) (*http.Response, error) {
	for range maxUnmatchedResponses {
		resp, err := pl.readHead(cn, req, ca)
		if err != nil {
			return nil, errors.Wrap(err, "read response head")
		}
		if err := responsecheck.Check(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK && (ca.AcceptResponse == nil || ca.AcceptResponse(resp)) {
			resp.Body = &checkedBody{ReadCloser: resp.Body}
			return resp, nil
		}
		if err := pl.skipBody(cn, resp, ca); err != nil {
			return nil, err
		}
	}
	return nil, &UnmatchedResponseError{}
}

// readHead reads one head within its bounds.
func (pl *Pool) readHead(cn *conn, req *http.Request, ca Call) (*http.Response, error) {
	if err := cn.beginHead(ca.headTimeout(), pl.paused); err != nil {
		return nil, cn.endHead(err)
	}
	resp, err := http.ReadResponse(cn.br, req)
	if err := cn.endHead(err); err != nil {
		return nil, err
	}
	return resp, nil
}

// skipBody reads the body of a response that is not used. The body has as much time as a head.
func (pl *Pool) skipBody(cn *conn, resp *http.Response, ca Call) error {
	hw := &headWatch{cn: cn, timeout: ca.headTimeout(), paused: pl.paused}
	hw.start()
	_, err := io.CopyN(io.Discard, resp.Body, maxUnmatchedBodyBytes)
	resp.Body.Close()
	if watchErr := hw.stop(nil); watchErr != nil {
		return watchErr
	}
	if !errors.Is(err, io.EOF) || resp.Close {
		return &UnmatchedResponseError{}
	}
	return nil
}

// MarkComplete records that the body was read to its end, so that Close can return the connection to the pool.
func (rs *Response) MarkComplete() { rs.complete = true }

// EndedAt returns the latest time at which the end of a body that ends with its connection can have been received. It may be long before that
// end was read. It returns zero before, and for other bodies.
func (rs *Response) EndedAt() time.Time {
	if cb, ok := rs.Body.(*connectionBody); ok {
		return cb.endedAt
	}
	return time.Time{}
}

// HasUnreadData reports whether the socket has received response data that was not read yet.
func (rs *Response) HasUnreadData() bool { return rs.cn.hasUnreadData() }

// Abort closes the connection, so that a concurrent read of the body fails. Close must still be called.
func (rs *Response) Abort() { rs.cn.closeIgnoringError() }

// Close ends the exchange. The connection returns to the pool if request and response are complete, else it is closed.
func (rs *Response) Close() {
	cancelled := !rs.detachContext()
	if rs.Response != nil && rs.complete && !cancelled && !rs.Response.Close && rs.requestWritten() {
		rs.cn.keepAliveTimeout = parseKeepAliveTimeout(rs.Header)
		rs.pool.release(rs.address, rs.cn)
		return
	}
	rs.pool.discard(rs.address, rs.cn)
}

// requestWriteWait bounds the wait for the request write to finish after the response is complete. Usually only the
// scheduling of the writing goroutine is outstanding. If a target that responded early takes longer to read the request, the
// connection is closed.
const requestWriteWait = 200 * time.Millisecond

// writeFailed reports whether the write of the request has failed. It waits for requestWriteWait at most.
func (rs *Response) writeFailed() bool {
	timer := time.NewTimer(requestWriteWait)
	defer timer.Stop()
	select {
	case <-rs.writeDone:
		return !*rs.writeSucceeded
	case <-timer.C:
		return false
	}
}

// requestWritten reports whether the request was written completely. It waits for requestWriteWait at most.
func (rs *Response) requestWritten() bool {
	timer := time.NewTimer(requestWriteWait)
	defer timer.Stop()
	select {
	case <-rs.writeDone:
		return *rs.writeSucceeded
	case <-timer.C:
		return false
	}
}
