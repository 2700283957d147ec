package fault

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

// What the faults send in place of an engine's own bytes.
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
	// owed is a surplus answer that goes out in front of the next one.
	pendingExtra []byte
	// exchange is the request that is being answered; nil for one that takes no slot.
	exchange *Exchange
	// broken is set once the server itself has reset the connection.
	resetByServer atomic.Bool
}

func newConn(sv *Server, nc net.Conn) *conn {
	return &conn{server: sv, socket: nc, reader: bufio.NewReader(nc), writer: bufio.NewWriter(nc)}
}

func (cn *conn) serve() {
	defer cn.server.removeConn(cn)
	defer func() { _ = cn.socket.Close() }() // a reset may have closed it before
	for {
		rq, err := cn.readRequest()
		if err != nil {
			return // the caller has gone, rested too long or sent no request: there is nobody to tell
		}
		if !cn.handle(rq) || rq.Close {
			return
		}
	}
}

func (cn *conn) readRequest() (*http.Request, error) {
	if cn.server.settings.IdleTimeout > 0 {
		_ = cn.socket.SetReadDeadline(time.Now().Add(cn.server.settings.IdleTimeout)) // a closed socket fails in the read
	}
	rq, err := http.ReadRequest(cn.reader)
	_ = cn.socket.SetReadDeadline(time.Time{}) // as above
	return rq, err
}

// reset drops the connection and all bytes still under way.
func (cn *conn) reset() {
	cn.resetByServer.Store(true)
	if tc, ok := cn.socket.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // without it the close is an orderly one, which is as good
	}
	_ = cn.socket.Close() // it may be closed already
}

// handle answers one request and reports whether the connection can serve another.
func (cn *conn) handle(rq *http.Request) bool {
	cn.exchange = nil
	if an, ok := cn.answerControl(rq); ok {
		return an != nil && cn.replyControl(rq, *an)
	}
	cn.server.recordArrival()
	cn.exchange = cn.server.recordExchange(rq)
	tokens, refusal := cn.server.checkRequest(rq)
	if an, away := cn.server.backOffRefusal(); away && refusal == nil {
		refusal = &an
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
		return false // a request that did not arrive whole is not run
	}
	if kd == Refuse {
		an := Refusal(http.StatusServiceUnavailable)
		refusal = &an
	}
	if refusal != nil {
		return cn.reply(rq, cn.server.recordRefusal(*refusal))
	}
	return cn.runWatched(rq, kd, tokens, body)
}

// aside answers health checks and the requests that take no slot. The answer is nil when the body did not arrive.
func (cn *conn) answerControl(rq *http.Request) (*Response, bool) {
	side := cn.server.handler.Control[controlRoute(rq)]
	health := rq.Method == http.MethodGet && rq.URL.Path == cn.server.settings.HealthPath
	if side == nil && !health {
		return nil, false
	}
	body, err := cn.readBody(rq)
	if err != nil {
		return nil, true
	}
	if side != nil {
		an := side(body)
		return &an, true
	}
	ctx, stop := cn.watch()
	defer stop()
	an := cn.server.checkHealth(ctx)
	return &an, true
}

func (cn *conn) readBody(rq *http.Request) ([]byte, error) {
	if rq.Header.Get("Expect") == "100-continue" {
		_, _ = cn.writer.WriteString(continueLine) // the flush returns its failure
		if err := cn.writer.Flush(); err != nil {
			return nil, err
		}
	}
	return io.ReadAll(rq.Body)
}

// watch returns a context that ends when the caller closes the connection; stop must be called before the next read.
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
		_ = cn.socket.SetReadDeadline(time.Unix(1, 0)) // a closed socket ends the read as well
		<-done
		_ = cn.socket.SetReadDeadline(time.Time{}) // as above
		cancel()
	}
}

func (cn *conn) runWatched(rq *http.Request, kd Kind, tokens int, body []byte) bool {
	ctx, stop := cn.watch()
	defer stop()
	return cn.run(ctx, rq, kd, tokens, func(rn *Run) {
		cn.server.setBody(rn, body)
		if cn.server.hasCrashMarker(body) {
			cn.server.crashAfterDelay(ctx)
		}
	})
}

// runEarly answers before it reads the body, and then reads the body from the same connection.
func (cn *conn) runEarly(rq *http.Request, tokens int) bool {
	var early *Run
	keep := cn.run(cn.server.ctx, rq, EarlyResponse, tokens, func(rn *Run) { early = rn })
	if !keep {
		return false
	}
	body, err := cn.readBody(rq)
	if err != nil {
		return false // the record shows it by the hash that is missing
	}
	if early != nil {
		cn.server.setBody(early, body)
	}
	return true
}

// run waits for a slot, runs the request and answers it. begun is called with the record once the run begins.
func (cn *conn) run(ctx context.Context, rq *http.Request, kd Kind, tokens int, begun func(*Run)) bool {
	dctx, cancel := withDeadline(ctx, rq)
	defer cancel()
	if !cn.server.admission.Acquire(dctx, priorityOf(rq), tokens) {
		return cn.reply(rq, cn.server.recordRefusal(Refusal(http.StatusServiceUnavailable)))
	}
	var rn *Run
	an := cn.server.handler.Run(dctx, rq, func() {
		rn = cn.server.recordRun(rq, kd)
		begun(rn)
	})
	if rn == nil {
		cn.server.admission.Release(tokens)
		return cn.reply(rq, cn.server.recordRefusal(an))
	}
	if dctx.Err() != nil && ctx.Err() == nil {
		an = NewResponse(http.StatusGatewayTimeout, nil)
	}
	an = cn.addHeaders(applyFault(an.WithHeader(HeaderSignature, rn.Signature), kd), rq, kd)
	whole := ctx.Err() == nil && cn.respond(ctx, an, kd)
	cn.server.admission.Release(tokens) // before the record says that the run has ended
	cn.server.finishRun(rn, cn.outcome(ctx, dctx, whole, kd))
	return whole && an.Header.Get("Connection") != "close"
}

func withDeadline(ctx context.Context, rq *http.Request) (context.Context, context.CancelFunc) {
	if left := deadlineOf(rq); left > 0 {
		return context.WithTimeout(ctx, left)
	}
	return context.WithCancel(ctx)
}

func (cn *conn) outcome(ctx, dctx context.Context, whole bool, kd Kind) State {
	switch {
	case whole, kd == Reset, kd == Garbage:
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

// disguise returns the answer as the fault shows it.
func applyFault(an Response, kd Kind) Response {
	switch kd {
	case InternalError:
		return NewResponse(http.StatusInternalServerError, []byte(internalErrorBody)).
			WithHeader(HeaderSignature, an.Header.Get(HeaderSignature))
	case WrongAttempt:
		return an.WithHeader(HeaderAttempt, otherAttempt)
	case WrongEncoding:
		return an.WithHeader("Content-Encoding", otherEncoding)
	case WrongSignature:
		return an.WithHeader(HeaderSignature, otherSignature)
	case NoSignature:
		return an.withoutHeader(HeaderSignature)
	default:
		return an
	}
}

// dress returns the answer with all that the target says in it.
func (cn *conn) addHeaders(an Response, rq *http.Request, kd Kind) Response {
	return cn.server.addCommonHeaders(cn.server.addSelfReport(an, cn.exchange), rq, kd)
}

// dress returns the answer with the headers that every answer has.
func (sv *Server) addCommonHeaders(an Response, rq *http.Request, kd Kind) Response {
	if an.Header.Get(HeaderAttempt) == "" && rq.Header.Get(HeaderAttempt) != "" {
		an = an.WithHeader(HeaderAttempt, rq.Header.Get(HeaderAttempt))
	}
	if whole := int(sv.settings.IdleTimeout / time.Second); whole > 0 {
		an = an.WithHeader("Keep-Alive", "timeout="+strconv.Itoa(whole))
	}
	if sv.Draining() {
		an = an.WithHeader("Connection", "close")
	}
	an = sv.addLimits(an)
	return an.withFraming(kd)
}

// reply sends an answer without a fault and reports whether the connection can serve another request.
func (cn *conn) reply(rq *http.Request, an Response) bool {
	an = cn.addHeaders(an, rq, None)
	return cn.send(an, None) && an.Header.Get("Connection") != "close"
}

// replyAside is reply with the fault that is set for the request's method and path.
func (cn *conn) replyControl(rq *http.Request, an Response) bool {
	kd := cn.server.controlPlan(controlRoute(rq)).take()
	if kd == None {
		return cn.reply(rq, an)
	}
	ctx, stop := cn.watch()
	defer stop()
	return cn.respond(ctx, cn.addHeaders(applyFault(an, kd), rq, kd), kd)
}

func controlRoute(rq *http.Request) string { return rq.Method + " " + rq.URL.Path }

// answer sends an answer as its fault asks, and reports whether the run came to its end.
func (cn *conn) respond(ctx context.Context, an Response, kd Kind) bool {
	switch kd {
	case Reset:
		consumeBody(an)
		cn.reset()
		return false
	case Hang:
		<-ctx.Done()
		return false
	case Garbage:
		consumeBody(an)
		_, _ = cn.socket.Write([]byte(garbageBytes)) // the connection is closed in any case
		return false
	default:
		return cn.send(an, kd) && cn.sendExtra(an, kd)
	}
}

// exhaust does the work of an answer without sending it.
func consumeBody(an Response) {
	an.Body(func([]byte) bool { return true })
}

func (cn *conn) sendExtra(an Response, kd Kind) bool {
	if kd != ExtraResponse && kd != DelayedExtraResponse {
		return true
	}
	extra := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderAttempt, an.Header.Get(HeaderAttempt), HeaderSignature, an.Header.Get(HeaderSignature),
		len(extraResponseBody), extraResponseBody)
	if kd == DelayedExtraResponse {
		cn.pendingExtra = extra
		return true
	}
	_, err := cn.socket.Write(extra)
	return err == nil
}

// send writes an answer and reports whether it went out whole.
func (cn *conn) send(an Response, kd Kind) bool {
	_, _ = cn.writer.Write(cn.pendingExtra) // the flush returns its failure, here and below
	cn.pendingExtra = nil
	_, _ = fmt.Fprintf(cn.writer, "HTTP/1.1 %d %s\r\n", an.Status, http.StatusText(an.Status))
	_ = an.Header.Write(cn.writer)
	_, _ = cn.writer.WriteString("\r\n")
	if cn.writer.Flush() != nil {
		return false
	}
	return cn.sendPieces(an, kd)
}

func (cn *conn) sendPieces(an Response, kd Kind) bool {
	chunked := an.Header.Get("Transfer-Encoding") != ""
	count := 0
	all := an.Body(func(pc []byte) bool {
		cut := kd == Truncate && (an.Length != Chunked || count == cn.server.settings.TruncateAfter)
		if cut {
			pc = pc[:len(pc)/2]
		}
		count++
		return cn.sendPiece(pc, chunked) == nil && !cut
	})
	if !all || kd == Truncate {
		return false
	}
	return !chunked || cn.sendFinalChunk() == nil
}

func (cn *conn) sendPiece(pc []byte, chunked bool) error {
	if len(pc) == 0 {
		return nil // an empty chunk would end the body
	}
	if !chunked {
		_, _ = cn.writer.Write(pc) // the flush returns its failure, here and below
		return cn.writer.Flush()
	}
	_, _ = fmt.Fprintf(cn.writer, "%x\r\n", len(pc))
	_, _ = cn.writer.Write(pc)
	_, _ = cn.writer.WriteString("\r\n")
	return cn.writer.Flush()
}

func (cn *conn) sendFinalChunk() error {
	_, _ = cn.writer.WriteString("0\r\n\r\n") // the flush returns its failure
	return cn.writer.Flush()
}
