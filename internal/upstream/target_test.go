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

const dialTimeout = 10 * time.Second

// generous is far longer than anything here takes.
const generous = 10 * time.Second

// headerID names the request that an answer belongs to.
const headerID = "Request-Id"

// clock is a steady clock that a test moves.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (ck *clock) Now() time.Time { ck.mu.Lock(); defer ck.mu.Unlock(); return ck.now }

func (ck *clock) forward(d time.Duration) { ck.mu.Lock(); defer ck.mu.Unlock(); ck.now = ck.now.Add(d) }

// target answers requests on raw connections.
type target struct {
	listener net.Listener
	// answer writes what follows a request, and reports whether the connection goes on.
	answer func(nc net.Conn, rq *http.Request, body string) bool

	mu     sync.Mutex
	opened int
	seen   []string
	conns  []net.Conn
}

func startTarget(t *testing.T, answer func(nc net.Conn, rq *http.Request, body string) bool) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{listener: l, answer: answer}
	t.Cleanup(func() { l.Close() })
	go tg.accept()
	return tg
}

func (tg *target) accept() {
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

func (tg *target) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return // the caller has gone
		}
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return // as above
		}
		tg.mu.Lock()
		tg.seen = append(tg.seen, rq.RequestURI)
		tg.mu.Unlock()
		if !tg.answer(nc, rq, string(body)) {
			return
		}
	}
}

func (tg *target) address() string { return tg.listener.Addr().String() }

func (tg *target) openedConns() int { tg.mu.Lock(); defer tg.mu.Unlock(); return tg.opened }

func (tg *target) requests() []string { tg.mu.Lock(); defer tg.mu.Unlock(); return tg.seen }

// last returns the newest connection.
func (tg *target) last() net.Conn {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return tg.conns[len(tg.conns)-1]
}

// echo answers with the request's own path, under its id.
func echo(nc net.Conn, rq *http.Request, _ string) bool {
	return reply(nc, rq.Header.Get(headerID), rq.RequestURI)
}

func reply(nc net.Conn, id, body string, lines ...string) bool {
	head := strings.Join(append(lines, headerID+": "+id, "Content-Length: "+strconv.Itoa(len(body))), "\r\n")
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", head, body)
	return true
}

// with adds lines to each answer.
func with(lines ...string) func(net.Conn, *http.Request, string) bool {
	return func(nc net.Conn, rq *http.Request, _ string) bool {
		return reply(nc, rq.Header.Get(headerID), rq.RequestURI, lines...)
	}
}

type bench struct {
	*WithT
	clock *clock
	pool  *upstream.Pool
}

func newBench(t *testing.T) *bench {
	ck := &clock{now: time.Unix(1000, 0)}
	return &bench{WithT: NewWithT(t), clock: ck, pool: upstream.NewPool(ck.Now, metrics.NewSet(), dialTimeout)}
}

func call(address, path string) upstream.Call {
	return upstream.Call{
		Address: address, Method: http.MethodPost, Target: path, Host: "h", Header: http.Header{headerID: []string{path}},
		AcceptResponse: func(resp *http.Response) bool { return resp.Header.Get(headerID) == path },
	}
}

// do sends a call and reads its answer whole.
func (be *bench) do(ca upstream.Call) string {
	an, err := be.pool.Do(context.Background(), ca)
	be.Expect(err).NotTo(HaveOccurred())
	defer an.Close()
	b, err := io.ReadAll(an.Body)
	be.Expect(err).NotTo(HaveOccurred())
	an.MarkComplete()
	return string(b)
}
