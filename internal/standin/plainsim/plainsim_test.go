package plainsim_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/standin/plainsim"
	"github.com/silvermount/silvermount/internal/standin/targetsim"
)

const (
	// testTimeout bounds the waits for conditions that normally hold within milliseconds.
	testTimeout = 10 * time.Second
	// silenceWait is how long tests wait where they expect no response.
	silenceWait = 100 * time.Millisecond
)

func start(t *testing.T, opts ...plainsim.Option) *plainsim.Service {
	t.Helper()
	svc, err := plainsim.Start(opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(svc.Close)
	return svc
}

type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, svc *plainsim.Service) *caller {
	t.Helper()
	nc, err := net.Dial("tcp", svc.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &caller{conn: nc, reader: bufio.NewReader(nc)}
}

func (cl *caller) send(head, body string) {
	fmt.Fprintf(cl.conn, "%s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

type response struct {
	status int
	header http.Header
	body   string
	// closes is set when the response has "Connection: close"; net/http removes this header.
	closes bool
	err    error
}

func (cl *caller) read() response {
	rs, err := http.ReadResponse(cl.reader, nil)
	if err != nil {
		return response{err: err}
	}
	defer rs.Body.Close()
	raw, err := io.ReadAll(rs.Body)
	return response{status: rs.StatusCode, header: rs.Header, body: string(raw), closes: rs.Close, err: err}
}

func TestResponseIsSentAndRunIsRecorded(t *testing.T) {
	g := NewWithT(t)
	svc := start(t)
	cl := dial(t, svc)
	for range 2 {
		cl.send("POST /p/x?q=1", "hello")
		rs := cl.read()
		g.Expect(rs.err).NotTo(HaveOccurred())
		g.Expect(rs.status).To(Equal(200))
		g.Expect(rs.body).To(Equal(svc.ResponseBody("POST", "/p/x?q=1")))
		g.Expect(rs.header.Get("X-Attempt-Id")).To(Equal("a1"))
	}
	g.Expect(svc.ConnectionCount()).To(Equal(1))
	rn := svc.Runs()[0]
	g.Expect(rn.URI).To(Equal("/p/x?q=1"))
	g.Expect(rn.BodyHash).To(Equal(targetsim.Hash([]byte("hello"))))
	g.Expect(rn.InstanceID).To(Equal(svc.InstanceID()))
}

func TestInjectedFaultAffectsOneRequest(t *testing.T) {
	cases := map[targetsim.Kind]struct {
		status int
		// broken is set when the response does not arrive completely.
		broken bool
		header string
		value  string
		runs   int
	}{
		targetsim.Reset:          {broken: true, runs: 1},
		targetsim.Garbage:        {broken: true, runs: 1},
		targetsim.Truncate:       {broken: true, status: 200, runs: 1},
		targetsim.InternalError:  {status: 500, runs: 1},
		targetsim.Refuse:         {status: 503, header: "X-Not-Executed", value: "1"},
		targetsim.WrongAttempt:   {status: 200, header: "X-Attempt-Id", value: "another-attempt", runs: 1},
		targetsim.WrongSignature: {status: 200, header: "X-Engine-Signature", value: "another.signature", runs: 1},
		targetsim.NoSignature:    {status: 200, header: "X-Engine-Signature", value: "", runs: 1},
		targetsim.WrongEncoding:  {status: 200, header: "Content-Encoding", value: "gzip", runs: 1},
		targetsim.NoLength:       {status: 200, header: "Content-Length", value: "", runs: 1},
		targetsim.EarlyResponse:  {status: 200, runs: 1},
	}
	for kd, tc := range cases {
		t.Run(string(kd), func(t *testing.T) {
			g := NewWithT(t)
			svc := start(t)
			svc.InjectFault(kd, 1)
			cl := dial(t, svc)
			cl.send("POST /", "hello")
			rs := cl.read()
			g.Expect(rs.err != nil).To(Equal(tc.broken))
			g.Expect(rs.status).To(Equal(tc.status))
			if tc.header != "" {
				g.Expect(rs.header.Get(tc.header)).To(Equal(tc.value))
			}
			g.Expect(svc.Runs()).To(HaveLen(tc.runs))
			again := dial(t, svc)
			again.send("GET /", "")
			g.Expect(again.read().status).To(Equal(200))
		})
	}
}

func TestExtraResponseArrivesBeforeTheNextResponse(t *testing.T) {
	for _, kd := range []targetsim.Kind{targetsim.ExtraResponse, targetsim.DelayedExtraResponse} {
		t.Run(string(kd), func(t *testing.T) {
			g := NewWithT(t)
			svc := start(t)
			svc.InjectFault(kd, 1)
			cl := dial(t, svc)
			cl.send("GET /one", "")
			g.Expect(cl.read().body).To(Equal(svc.ResponseBody("GET", "/one")))
			cl.send("GET /two", "")
			extra := cl.read()
			g.Expect(extra.body).To(Equal("surplus"))
			g.Expect(cl.read().body).To(Equal(svc.ResponseBody("GET", "/two")))
		})
	}
}

func TestEarlyResponseReadsTheBodyAfterwards(t *testing.T) {
	g := NewWithT(t)
	svc := start(t)
	svc.InjectFault(targetsim.EarlyResponse, 1)
	cl := dial(t, svc)
	fmt.Fprint(cl.conn, "POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nContent-Length: 10\r\n\r\n")
	g.Expect(cl.read().status).To(Equal(200))
	g.Expect(svc.Runs()[0].BodyHash).To(BeEmpty())
	fmt.Fprint(cl.conn, "0123456789")
	cl.send("GET /next", "")
	g.Expect(cl.read().body).To(Equal(svc.ResponseBody("GET", "/next")))
	g.Expect(svc.Runs()[0].BodyHash).To(Equal(targetsim.Hash([]byte("0123456789"))))
}

func TestHangEndsWhenTheCallerDisconnects(t *testing.T) {
	g := NewWithT(t)
	svc := start(t)
	svc.InjectFault(targetsim.Hang, 1)
	cl := dial(t, svc)
	cl.send("GET /", "")
	g.Eventually(svc.Runs).WithTimeout(testTimeout).Should(HaveLen(1))
	g.Expect(cl.conn.SetReadDeadline(time.Now().Add(silenceWait))).To(Succeed())
	g.Expect(cl.read().err).To(HaveOccurred())
	cl.conn.Close()
	g.Eventually(svc.CancelledRuns).WithTimeout(testTimeout).Should(HaveLen(1))
}

func TestRequestIsRefusedWithoutFreeSlotAndEndsAtItsDeadline(t *testing.T) {
	g := NewWithT(t)
	svc := start(t, plainsim.WithSlots(1, 0), plainsim.WithServiceTime(time.Hour))
	busy := dial(t, svc)
	busy.send("GET /", "")
	g.Eventually(svc.Runs).WithTimeout(testTimeout).Should(HaveLen(1))
	full := dial(t, svc)
	full.send("GET /", "")
	rs := full.read()
	g.Expect(rs.status).To(Equal(503))
	g.Expect(rs.header.Get("X-Not-Executed")).To(Equal("1"))
	busy.conn.Close()
	g.Eventually(svc.CancelledRuns).WithTimeout(testTimeout).Should(HaveLen(1))

	late := dial(t, svc)
	fmt.Fprint(late.conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\nX-Deadline-Ms: 20\r\n\r\n")
	g.Expect(late.read().status).To(Equal(504))
	g.Expect(svc.Runs()).To(HaveLen(2))
}

func TestReplaceStartsNewIncarnation(t *testing.T) {
	g := NewWithT(t)
	svc := start(t, plainsim.WithErrorEvery(2))
	old := svc.InstanceID()
	svc.Replace()
	get := func(path string, header ...string) response {
		cl := dial(t, svc)
		fmt.Fprintf(cl.conn, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", path, strings.Join(header, "\r\n"))
		return cl.read()
	}
	rs := get("/", "X-Attempt-Id: a", "X-Expect-Instance: "+old)
	g.Expect(rs.status).To(Equal(421))
	g.Expect(rs.header.Get("X-Instance-Id")).To(Equal(svc.InstanceID()))
	g.Expect(get("/").status).To(Equal(400))
	g.Expect(get("/", "X-Attempt-Id: a", "X-Expect-Instance: "+svc.InstanceID()).status).To(Equal(200))
	g.Expect(get("/", "X-Attempt-Id: a").status).To(Equal(500))
	well := get("/healthz")
	g.Expect(well.status).To(Equal(200))
	g.Expect(well.closes).To(BeFalse())
	g.Expect(well.header.Get("X-Instance-Id")).To(Equal(svc.InstanceID()))
	svc.Drain()
	g.Expect(get("/healthz").status).To(Equal(503))
	g.Expect(get("/", "X-Attempt-Id: a").closes).To(BeTrue())
	g.Expect(svc.Runs()).To(HaveLen(3))
}

func TestConnectionsBeyondTheMaximumAreReset(t *testing.T) {
	g := NewWithT(t)
	svc := start(t, func(se *plainsim.Settings) { se.MaxConnections = 1 })
	one := dial(t, svc)
	one.send("GET /", "")
	g.Expect(one.read().status).To(Equal(200))
	g.Expect(requestOnNewConnection(svc)).NotTo(Succeed())
	g.Expect(svc.RejectedConnectionCount()).To(Equal(1))
	g.Expect(svc.ConnectionCount()).To(Equal(1))
	g.Expect(svc.Runs()).To(HaveLen(1))
}

// requestOnNewConnection returns the error of a request on a new connection. A reset can reach the caller while it connects,
// sends or reads.
func requestOnNewConnection(svc *plainsim.Service) error {
	nc, err := net.Dial("tcp", svc.Address())
	if err != nil {
		return err
	}
	defer nc.Close()
	cl := &caller{conn: nc, reader: bufio.NewReader(nc)}
	cl.send("GET /", "")
	return cl.read().err
}

func TestIdleConnectionIsClosedAfterTheIdleTimeout(t *testing.T) {
	g := NewWithT(t)
	svc := start(t, func(se *plainsim.Settings) { se.IdleTimeout = time.Second })
	cl := dial(t, svc)
	cl.send("GET /", "")
	g.Expect(cl.read().header.Get("Keep-Alive")).To(Equal("timeout=1"))
	g.Expect(cl.conn.SetReadDeadline(time.Now().Add(testTimeout))).To(Succeed())
	g.Expect(cl.read().err).To(MatchError(io.ErrUnexpectedEOF))
}

func TestWaitingRequestRunsWhenASlotIsFree(t *testing.T) {
	g := NewWithT(t)
	svc := start(t, plainsim.WithSlots(1, 1), plainsim.WithServiceTime(time.Hour))
	first, second := dial(t, svc), dial(t, svc)
	first.send("GET /first", "")
	g.Eventually(svc.Runs).WithTimeout(testTimeout).Should(HaveLen(1))
	svc.SetServiceTime(0)
	second.send("GET /second", "")
	g.Eventually(svc.WaitingCount).WithTimeout(testTimeout).Should(Equal(1))
	first.conn.Close()
	g.Expect(second.read().body).To(Equal(svc.ResponseBody("GET", "/second")))
	g.Expect(svc.Runs()[0].State).To(Equal(targetsim.Cancelled))
}

func TestServesTheStandardHTTPClient(t *testing.T) {
	g := NewWithT(t)
	svc := start(t)
	rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, svc.URL()+"/x", strings.NewReader("b"))
	g.Expect(err).NotTo(HaveOccurred())
	rq.Header.Set("X-Attempt-Id", "a")
	rs, err := http.DefaultClient.Do(rq)
	g.Expect(err).NotTo(HaveOccurred())
	defer rs.Body.Close()
	g.Expect(rs.StatusCode).To(Equal(200))
}
