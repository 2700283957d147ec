package targetsim

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// The values that faults send in place of those of the target.
const (
	internalErrorBody = "failed"
	extraResponseBody = "surplus"
	otherAttempt      = "another-attempt"
	otherSignature    = "another.signature"
	otherEncoding     = "gzip"
	garbageBytes      = "\x00\x7fthese bytes are no answer\r\n\r\n"
)

const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// conn serves the requests of one connection, one at a time.
type conn struct {
	server *Server
	socket net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// pendingExtra is an unsolicited response that is sent in front of the next one.
	pendingExtra []byte
	// exchange records the request in progress; it is nil for health checks and control requests.
	exchange *Exchange
	// busy is set while a request is in progress.
	busy atomic.Bool
	// resetByServer is set once the server itself has reset the connection.
	resetByServer atomic.Bool
	// crashed is closed when the target has crashed for the request in progress; nil if that does not crash it.
	crashed <-chan struct{}
	// crashDueAt is when that crash is due.
	crashDueAt time.Time
}

func newConn(sv *Server, nc net.Conn) *conn {
	return &conn{server: sv, socket: nc, reader: bufio.NewReader(nc), writer: bufio.NewWriter(nc)}
}

func (cn *conn) serve() {
	defer cn.server.removeConn(cn)
	defer func() { _ = cn.socket.Close() }() // a reset may have closed it already
	for {
		rq, err := cn.readRequest()
		if err != nil {
			return // the caller has closed the connection, was idle for too long or sent no valid request
		}
		cn.busy.Store(true)
		reusable := cn.handle(rq) && !rq.Close
		cn.busy.Store(false)
		if !reusable {
			return
		}
	}
}

func (cn *conn) readRequest() (*http.Request, error) {
	if cn.server.settings.IdleTimeout > 0 {
		_ = cn.socket.SetReadDeadline(time.Now().Add(cn.server.settings.IdleTimeout)) // the read returns the error of a closed socket
	}
	rq, err := http.ReadRequest(cn.reader)
	_ = cn.socket.SetReadDeadline(time.Time{}) // the next read returns the error of a closed socket
	return rq, err
}

// reset resets the connection and drops all bytes that are still in transit.
func (cn *conn) reset() {
	cn.resetByServer.Store(true)
	if tc, ok := cn.socket.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // if this fails, the connection is closed gracefully, which serves as well
	}
	_ = cn.socket.Close() // it may be closed already
}

// handle serves one request and reports whether the connection can serve another.
func (cn *conn) handle(rq *http.Request) bool {
	cn.exchange = nil
	if rs, ok := cn.answerControl(rq); ok {
		return rs != nil && cn.replyControl(rq, *rs)
	}
	cn.server.recordArrival()
	cn.exchange = cn.server.recordExchange(rq)
	tokens, refusal := cn.server.checkRequest(rq)
	if rs, backingOff := cn.server.backOffRefusal(); backingOff && refusal == nil {
		refusal = &rs
	}
	kd := None
	if refusal == nil {
		kd = cn.server.plan.take()
	}
	if kd == EarlyResponse {
		return cn.runEarly(rq, tokens)
	}
	body, err := cn.readBody(rq)
	if err != nil {
		return false // an incomplete request is not run
	}
	if kd == Refuse {
		rs := Refusal(http.StatusServiceUnavailable)
		refusal = &rs
	}
	if refusal != nil {
		return cn.reply(rq, cn.server.recordRefusal(*refusal))
	}
	return cn.runWatched(rq, kd, tokens, body)
}

// answerControl serves health checks and control requests, and reports false for all other requests. The response is nil
// when the body did not arrive completely.
func (cn *conn) answerControl(rq *http.Request) (*Response, bool) {
	control := cn.server.handler.Control[controlRoute(rq)]
	health := rq.Method == http.MethodGet && rq.URL.Path == cn.server.settings.HealthPath
	if control == nil && !health {
		return nil, false
	}
	body, err := cn.readBody(rq)
	if err != nil {
		return nil, true
	}
	if control != nil {
		rs := control(body)
		return &rs, true
	}
	ctx, stop := cn.watch()
	defer stop()
	rs := cn.server.checkHealth(ctx)
	return &rs, true
}

func (cn *conn) readBody(rq *http.Request) ([]byte, error) {
	if rq.Header.Get("Expect") == "100-continue" {
		_, _ = cn.writer.WriteString(continueLine) // Flush returns the error
		if err := cn.writer.Flush(); err != nil {
			return nil, err
		}
	}
	return io.ReadAll(rq.Body)
}

// watch returns a context that ends when the caller closes the connection. stop must be called before the next read, since
// watch itself reads from the connection to detect the close.
func (cn *conn) watch() (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(cn.server.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := cn.reader.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
	}()
	return ctx, func() {
		_ = cn.socket.SetReadDeadline(time.Unix(1, 0)) // a closed socket ends the pending read as well
		<-done
		_ = cn.socket.SetReadDeadline(time.Time{}) // the next read returns the error of a closed socket
		cancel()
	}
}

// runWatched runs a request until its end or until the caller closes the connection.
func (cn *conn) runWatched(rq *http.Request, kd Kind, tokens int, body []byte) bool {
	ctx, stop := cn.watch()
	defer stop()
	return cn.run(ctx, rq, kd, tokens, func(rn *Run) {
		cn.server.setBody(rn, body)
		if cn.server.isCrashedBy(rq, body) {
			cn.crashDueAt = time.Now().Add(cn.server.settings.CrashDelay)
			cn.crashed = cn.server.crashAfterDelay(ctx)
		}
	})
}

// runEarly responds before it reads the body, and then reads the body from the same connection.
func (cn *conn) runEarly(rq *http.Request, tokens int) bool {
	var early *Run
	reusable := cn.run(cn.server.ctx, rq, EarlyResponse, tokens, func(rn *Run) { early = rn })
	if !reusable {
		return false
	}
	body, err := cn.readBody(rq)
	if err != nil {
		return false // the missing hash in the record shows this
	}
	if early != nil {
		cn.server.setBody(early, body)
	}
	return true
}

// run waits for a slot, runs the request and sends the response. onStart is called with the record once the run starts.
func (cn *conn) run(ctx context.Context, rq *http.Request, kd Kind, tokens int, onStart func(*Run)) bool {
	dctx, cancel := withDeadline(ctx, rq)
	defer cancel()
	if !cn.server.admission.Acquire(dctx, priorityOf(rq), tokens) {
		return cn.reply(rq, cn.server.recordRefusal(Refusal(http.StatusServiceUnavailable)))
	}
	var rn *Run
	rs := cn.server.handler.Run(dctx, rq, func() {
		rn = cn.server.recordRun(rq, kd)
		onStart(rn)
	})
	if rn == nil {
		cn.server.admission.Release(tokens)
		return cn.reply(rq, cn.server.recordRefusal(rs))
	}
	if dctx.Err() != nil && ctx.Err() == nil {
		rs = NewResponse(http.StatusGatewayTimeout, nil)
	}
	rs = cn.addHeaders(applyFault(rs.WithHeader(HeaderSignature, rn.Signature), kd), rq, kd)
	complete := ctx.Err() == nil && cn.respond(ctx, rs, kd)
	cn.server.admission.Release(tokens) // before the record shows the end of the run, so that the slot is free by then
	cn.server.finishRun(rn, cn.outcome(ctx, dctx, complete, kd))
	return complete && rs.Header.Get("Connection") != "close"
}

func withDeadline(ctx context.Context, rq *http.Request) (context.Context, context.CancelFunc) {
	if timeout := timeoutOf(rq); timeout > 0 {
		return context.WithTimeout(ctx, timeout)
	}
	return context.WithCancel(ctx)
}

func (cn *conn) outcome(ctx, dctx context.Context, complete bool, kd Kind) State {
	switch {
	case complete, kd == Reset, kd == Garbage, isEndless(kd):
		return Done
	case cn.resetByServer.Load():
		return Aborted
	case ctx.Err() != nil:
		return Cancelled
	case dctx.Err() != nil:
		return Expired
	default:
		return Aborted
	}
}

// applyFault returns the response as the fault changes it.
func applyFault(rs Response, kd Kind) Response {
	switch kd {
	case InternalError:
		return NewResponse(http.StatusInternalServerError, []byte(internalErrorBody)).
			WithHeader(HeaderSignature, rs.Header.Get(HeaderSignature))
	case WrongAttempt:
		return rs.WithHeader(HeaderAttempt, otherAttempt)
	case WrongEncoding:
		return rs.WithHeader("Content-Encoding", otherEncoding)
	case WrongSignature:
		return rs.WithHeader(HeaderSignature, otherSignature)
	case NoSignature:
		return rs.withoutHeader(HeaderSignature)
	default:
		return rs
	}
}

// addHeaders returns the response with the announcements of the target and the common headers.
func (cn *conn) addHeaders(rs Response, rq *http.Request, kd Kind) Response {
	return cn.server.addCommonHeaders(cn.server.addSelfReport(rs, cn.exchange), rq, kd)
}

// addCommonHeaders returns the response with the headers that every response has.
func (sv *Server) addCommonHeaders(rs Response, rq *http.Request, kd Kind) Response {
	if rs.Header.Get(HeaderAttempt) == "" && rq.Header.Get(HeaderAttempt) != "" {
		rs = rs.WithHeader(HeaderAttempt, rq.Header.Get(HeaderAttempt))
	}
	if seconds := int(sv.settings.IdleTimeout / time.Second); seconds > 0 {
		rs = rs.WithHeader("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
	if sv.Draining() {
		rs = rs.WithHeader("Connection", "close")
	}
	rs = sv.addLimits(rs)
	if sv.settings.Unframed {
		kd = NoLength
	}
	return rs.withFraming(kd)
}

// reply sends a response without a fault and reports whether the connection can serve another request.
func (cn *conn) reply(rq *http.Request, rs Response) bool {
	rs = cn.addHeaders(rs, rq, None)
	return cn.send(rs, None) && rs.Header.Get("Connection") != "close"
}

// replyControl is like reply, but applies the next fault that is planned for the method and path of the request.
func (cn *conn) replyControl(rq *http.Request, rs Response) bool {
	kd := cn.server.controlPlan(controlRoute(rq)).take()
	if kd == None {
		return cn.reply(rq, rs)
	}
	ctx, stop := cn.watch()
	defer stop()
	return cn.respond(ctx, cn.addHeaders(applyFault(rs, kd), rq, kd), kd)
}

// controlRoute returns the key of Handler.Control for a request.
func controlRoute(rq *http.Request) string { return rq.Method + " " + rq.URL.Path }

// respond sends a response with its fault, and reports whether it was sent to its end.
func (cn *conn) respond(ctx context.Context, rs Response, kd Kind) bool {
	switch kd {
	case Reset:
		consumeBody(rs)
		cn.reset()
		return false
	case Hang:
		<-ctx.Done()
		return false
	case Garbage:
		consumeBody(rs)
		_, _ = cn.socket.Write([]byte(garbageBytes)) // the connection is closed whether this fails or not
		return false
	case EndlessHead, EndlessLine, EndlessEvent, TrickledHead:
		consumeBody(rs)
		cn.sendEndless(rs, kd)
		return false
	default:
		if rs.Length != Chunked && cn.awaitCrash() {
			return false
		}
		return cn.send(rs, kd) && cn.sendExtra(rs, kd)
	}
}

// consumeBody generates the body, with all the work and time that this takes, without sending it.
func consumeBody(rs Response) {
	rs.Body(func([]byte) bool { return true })
}

func (cn *conn) sendExtra(rs Response, kd Kind) bool {
	if kd != ExtraResponse && kd != DelayedExtraResponse {
		return true
	}
	extra := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderAttempt, rs.Header.Get(HeaderAttempt), HeaderSignature, rs.Header.Get(HeaderSignature),
		len(extraResponseBody), extraResponseBody)
	if kd == DelayedExtraResponse {
		cn.pendingExtra = extra
		return true
	}
	_, err := cn.socket.Write(extra)
	return err == nil
}

// send writes a response and reports whether it was sent completely.
func (cn *conn) send(rs Response, kd Kind) bool {
	_, _ = cn.writer.Write(cn.pendingExtra) // Flush returns the error, here and below
	cn.pendingExtra = nil
	if kd == InvalidStatus {
		rs.Status = 0
	}
	_, _ = fmt.Fprintf(cn.writer, "HTTP/1.1 %03d %s\r\n", rs.Status, http.StatusText(rs.Status))
	_ = rs.Header.Write(cn.writer)
	_, _ = cn.writer.WriteString("\r\n")
	if cn.writer.Flush() != nil {
		return false
	}
	return cn.sendPieces(rs, kd)
}

func (cn *conn) sendPieces(rs Response, kd Kind) bool {
	chunked := rs.Header.Get("Transfer-Encoding") != ""
	count := 0
	complete := rs.Body(func(pc []byte) bool {
		atFault := rs.Length != Chunked || count == cn.server.settings.TruncateAfter
		if atFault && kd == Kill {
			if rs.Length != Chunked {
				_ = cn.sendPiece(pc[:len(pc)/2], chunked) // the target is killed whether this fails or not
			}
			cn.server.Kill()
			return false
		}
		truncate := kd == Truncate && atFault
		if truncate {
			pc = pc[:len(pc)/2]
		}
		count++
		if cn.crashed != nil && !time.Now().Before(cn.crashDueAt) && cn.awaitCrash() {
			return false
		}
		return cn.sendPiece(pc, chunked) == nil && !truncate
	})
	if !complete || kd == Truncate || cn.awaitCrash() {
		return false
	}
	return !chunked || cn.sendFinalChunk() == nil
}

// awaitCrash reports whether the request in progress crashes the target, and waits for that. Without it, a request could be answered while
// the timer of its crash is late.
func (cn *conn) awaitCrash() bool {
	if cn.crashed == nil {
		return false
	}
	<-cn.crashed
	cn.reset()
	return true
}

func (cn *conn) sendPiece(pc []byte, chunked bool) error {
	if len(pc) == 0 {
		return nil // an empty chunk would end the body
	}
	if !chunked {
		_, _ = cn.writer.Write(pc) // Flush returns the error, here and below
		return cn.writer.Flush()
	}
	_, _ = fmt.Fprintf(cn.writer, "%x\r\n", len(pc))
	_, _ = cn.writer.Write(pc)
	_, _ = cn.writer.WriteString("\r\n")
	return cn.writer.Flush()
}

func (cn *conn) sendFinalChunk() error {
	_, _ = cn.writer.WriteString("0\r\n\r\n") // Flush returns the error
	return cn.writer.Flush()
}
