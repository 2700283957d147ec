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
)

// Call is one request to one target.
type Call struct {
	// Address is an IP address and port.
	Address string
	Method  string
	// Target is the path and query as they stand on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Exclusive requests may run only once: they go out on new connections, since a target may drop a resting one
	// without a sign and earlier than it said.
	AtMostOnce bool
	// Leave is asked right before anything is sent, after the wait for a connection; its error ends the call as one that was not sent. It is
	// nil when nothing can forbid it.
	BeforeSend func() error
	// Sending is told right before anything is sent how to learn whether something has come since that was last asked. It is nil when
	// nobody asks.
	OnSend func(came func() bool)
	// Heard is told of each head that comes, and reports whether the answer belongs to this call; others are skipped.
	AcceptResponse func(*http.Response) bool
}

// SendError says that an exchange broke off.
type ExchangeError struct {
	// Sent is false when certainly nothing of the request reached the target.
	Sent bool
	// Forgotten is set when a connection that had rested ended before anything came back: the target may have dropped it
	// without a sign. The request may have run all the same.
	StaleConnection bool
	Cause           error
}

// Error tells whether anything was sent.
func (ee *ExchangeError) Error() string {
	if !ee.Sent {
		return "not sent: " + ee.Cause.Error()
	}
	return "broken off after sending: " + ee.Cause.Error()
}

// Unwrap returns the cause.
func (ee *ExchangeError) Unwrap() error { return ee.Cause }

// StrayAnswerError says that a connection carried answers of other requests only.
type UnmatchedResponseError struct{}

// Error says what came.
func (*UnmatchedResponseError) Error() string { return "the answer belongs to another request" }

// strayMost bounds the answers of other requests that are skipped before a connection is given up.
const strayMost = 3

// strayBodyMost bounds the bytes of such an answer.
const strayBodyMost = 1 << 20

// Answer is the head of a target's answer and its open body. Close must be called.
type Response struct {
	*http.Response
	pool    *Pool
	address string
	cn      *conn
	// written is closed once the request is out, or cannot be sent any more.
	written chan struct{}
	// wroteAll is valid once written is closed.
	wroteAll *bool
	stop     func() bool
	whole    bool
}

// Do sends a call and returns the head of its answer. The end of ctx closes the connection, which ends the work at the target; what has
// come of an answer by a deadline is still read.
func (pl *Pool) Do(ctx context.Context, ca Call) (*Response, error) {
	cn, reused, err := pl.get(ctx, ca.Address, ca.AtMostOnce)
	if err != nil {
		return nil, &ExchangeError{Sent: false, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { cn.end(ctx) })
	if err := ca.mayLeave(ctx); err != nil {
		stop()
		pl.drop(ca.Address, cn)
		return nil, &ExchangeError{Sent: false, Cause: err}
	}
	an := &Response{pool: pl, address: ca.Address, cn: cn, stop: stop, written: make(chan struct{}), wroteAll: new(bool)}
	req := ca.request()
	before := cn.got.Load()
	if ca.OnSend != nil {
		ca.OnSend(cn.news())
	}
	go an.write(req)
	// Close ends the body with the connection.
	an.Response, err = readAnswer(cn, req, ca.AcceptResponse) //nolint:bodyclose // it stays open for the caller
	if err != nil {
		forgotten := reused && cn.got.Load() == before && ended(err) && ctx.Err() == nil
		if forgotten {
			pl.forgot(ca.Address, cn.rested)
		}
		an.Close()
		return nil, &ExchangeError{Sent: true, StaleConnection: forgotten, Cause: err}
	}
	return an, nil
}

// mayLeave returns what forbids to send the call now.
func (ca Call) mayLeave(ctx context.Context) error {
	if ctx.Err() != nil || ca.BeforeSend == nil {
		return ctx.Err()
	}
	return ca.BeforeSend()
}

// ended reports whether a read failed because the target ended the connection.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

func (ca Call) request() *http.Request {
	req := &http.Request{
		Method: ca.Method, URL: requestLine(ca.Target), Host: ca.Host, Header: ca.Header,
		ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(ca.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(ca.Body))
		req.ContentLength = int64(len(ca.Body))
	}
	return req
}

// requestLine returns a URL that is written as the caller wrote it.
func requestLine(target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Opaque: target}
	}
	// An opaque URL with two slashes would be written with a scheme.
	path, query, asked := strings.Cut(target, "?")
	plain, err := url.PathUnescape(path)
	if err != nil {
		// The path is sent as it is.
		plain = path
	}
	return &url.URL{Path: plain, RawPath: path, RawQuery: query, ForceQuery: asked}
}

// write sends the request beside the reading of the answer: a target may answer before it has read a long body.
func (rs *Response) write(req *http.Request) {
	defer close(rs.written)
	// A failed write shows as a failed or early answer on the same connection.
	*rs.wroteAll = req.Write(rs.cn) == nil
}

func readAnswer(cn *conn, req *http.Request, heard func(*http.Response) bool) (*http.Response, error) {
	for range strayMost {
		resp, err := http.ReadResponse(cn.br, req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode >= http.StatusOK && (heard == nil || heard(resp)) {
			return resp, nil
		}
		_, err = io.CopyN(io.Discard, resp.Body, strayBodyMost)
		resp.Body.Close()
		if !errors.Is(err, io.EOF) || resp.Close {
			return nil, &UnmatchedResponseError{}
		}
	}
	return nil, &UnmatchedResponseError{}
}

// Whole notes that the body was read to its end, so that the connection can be used again.
func (rs *Response) MarkComplete() { rs.whole = true }

// Waits reports whether something of the answer has come that was not read yet.
func (rs *Response) HasUnreadData() bool { return rs.cn.readable() }

// Break closes the connection under a reader, whose read then fails. Close must still be called.
func (rs *Response) Abort() { rs.cn.abandon() }

// Close ends the exchange. The connection rests if request and answer are whole, else it is closed.
func (rs *Response) Close() {
	cancelled := !rs.stop()
	if rs.Response != nil && rs.whole && !cancelled && !rs.Response.Close && rs.sent() {
		rs.cn.keep = keepTime(rs.Header)
		rs.pool.rest(rs.address, rs.cn)
		return
	}
	rs.pool.drop(rs.address, rs.cn)
}

// writeWait bounds the wait for the end of a request whose answer is whole already. The writer has usually ended but
// for being scheduled; a target that answers early may take longer, and then loses the connection.
const writeWait = 200 * time.Millisecond

// sent reports whether the whole request is out.
func (rs *Response) sent() bool {
	timer := time.NewTimer(writeWait)
	defer timer.Stop()
	select {
	case <-rs.written:
		return *rs.wroteAll
	case <-timer.C:
		return false
	}
}
