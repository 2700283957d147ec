package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/upstream"
)

// dialTimeout is long enough for a busy machine.
const dialTimeout = 10 * time.Second

// testTimeout is far longer than any step of these tests takes.
const testTimeout = 10 * time.Second

// headerRequestID is the header with the ID of the request that a response belongs to.
const headerRequestID = "Request-Id"

// clock is a fake clock that tests advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (ck *clock) Now() time.Time { ck.mu.Lock(); defer ck.mu.Unlock(); return ck.now }

func (ck *clock) advance(d time.Duration) { ck.mu.Lock(); defer ck.mu.Unlock(); ck.now = ck.now.Add(d) }

// fakeTarget answers requests on raw connections.
type fakeTarget struct {
	listener net.Listener
	// respond writes the response to a request, and reports whether the connection stays open.
	respond func(nc net.Conn, rq *http.Request, body string) bool

	mu     sync.Mutex
	opened int
	// seen holds the request targets in the order of arrival.
	seen  []string
	conns []net.Conn
}

func startFakeTarget(t *testing.T, respond func(nc net.Conn, rq *http.Request, body string) bool) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &fakeTarget{listener: l, respond: respond}
	t.Cleanup(func() { l.Close() })
	go tg.accept()
	return tg
}

func (tg *fakeTarget) accept() {
	for {
		nc, err := tg.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		tg.mu.Lock()
		tg.opened++
		tg.conns = append(tg.conns, nc)
		tg.mu.Unlock()
		go tg.serve(nc)
	}
}

func (tg *fakeTarget) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return // the client closed the connection
		}
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return // the client closed the connection
		}
		tg.mu.Lock()
		tg.seen = append(tg.seen, rq.RequestURI)
		tg.mu.Unlock()
		if !tg.respond(nc, rq, string(body)) {
			return
		}
	}
}

func (tg *fakeTarget) address() string { return tg.listener.Addr().String() }

func (tg *fakeTarget) connsOpened() int { tg.mu.Lock(); defer tg.mu.Unlock(); return tg.opened }

func (tg *fakeTarget) requests() []string { tg.mu.Lock(); defer tg.mu.Unlock(); return tg.seen }

// lastConn returns the connection that was accepted last.
func (tg *fakeTarget) lastConn() net.Conn {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return tg.conns[len(tg.conns)-1]
}

// echo responds with the request target as the body, and the request's ID in the header.
func echo(nc net.Conn, rq *http.Request, _ string) bool {
	return writeResponse(nc, rq.Header.Get(headerRequestID), rq.RequestURI)
}

// writeResponse writes a response with an ID, a body and additional header lines. It always returns true.
func writeResponse(nc net.Conn, id, body string, lines ...string) bool {
	head := strings.Join(append(lines, headerRequestID+": "+id, "Content-Length: "+strconv.Itoa(len(body))), "\r\n")
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", head, body)
	return true
}

// withHeaders is echo with additional header lines.
func withHeaders(lines ...string) func(net.Conn, *http.Request, string) bool {
	return func(nc net.Conn, rq *http.Request, _ string) bool {
		return writeResponse(nc, rq.Header.Get(headerRequestID), rq.RequestURI, lines...)
	}
}

type fixture struct {
	*WithT
	clock *clock
	pool  *upstream.Pool
}

func newFixture(t *testing.T) *fixture {
	ck := &clock{now: time.Unix(1000, 0)}
	return &fixture{WithT: NewWithT(t), clock: ck, pool: upstream.NewPool(ck.Now, metrics.NewSet(), dialTimeout)}
}

func call(address, path string) upstream.Call {
	return upstream.Call{
		Address: address, Method: http.MethodPost, RequestURI: path, Host: "h", Header: http.Header{headerRequestID: []string{path}},
		AcceptResponse: func(resp *http.Response) bool { return resp.Header.Get(headerRequestID) == path },
	}
}

// do sends a call and returns the complete body of its response.
func (fx *fixture) do(ca upstream.Call) string {
	rs, err := fx.pool.Do(context.Background(), ca)
	fx.Expect(err).NotTo(HaveOccurred())
	defer rs.Close()
	b, err := io.ReadAll(rs.Body)
	fx.Expect(err).NotTo(HaveOccurred())
	rs.MarkComplete()
	return string(b)
}
