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

	"github.com/silvermount/silvermount/internal/standin/fault"
	"github.com/silvermount/silvermount/internal/standin/plainsim"
)

const (
	// generous is far longer than anything here takes.
	generous = 10 * time.Second
	// short is only waited for where silence is expected.
	short = 100 * time.Millisecond
)

func start(t *testing.T, opts ...plainsim.Option) *plainsim.Service {
	t.Helper()
	ps, err := plainsim.Start(opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ps.Close)
	return ps
}

type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, ps *plainsim.Service) *caller {
	t.Helper()
	nc, err := net.Dial("tcp", ps.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &caller{conn: nc, reader: bufio.NewReader(nc)}
}

func (cl *caller) send(head, body string) {
	fmt.Fprintf(cl.conn, "%s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

type answer struct {
	status int
	header http.Header
	body   string
	// closes is set when the answer says that the connection ends; net/http takes that header out.
	closes bool
	err    error
}

func (cl *caller) read() answer {
	rs, err := http.ReadResponse(cl.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer rs.Body.Close()
	raw, err := io.ReadAll(rs.Body)
	return answer{status: rs.StatusCode, header: rs.Header, body: string(raw), closes: rs.Close, err: err}
}

func TestAnswersAndRecords(t *testing.T) {
	g := NewWithT(t)
	ps := start(t)
	cl := dial(t, ps)
	for range 2 {
		cl.send("POST /p/x?q=1", "hello")
		an := cl.read()
		g.Expect(an.err).NotTo(HaveOccurred())
		g.Expect(an.status).To(Equal(200))
		g.Expect(an.body).To(Equal(ps.ResponseBody("POST", "/p/x?q=1")))
		g.Expect(an.header.Get("X-Attempt-Id")).To(Equal("a1"))
	}
	g.Expect(ps.ConnectionCount()).To(Equal(1))
	rn := ps.Runs()[0]
	g.Expect(rn.URI).To(Equal("/p/x?q=1"))
	g.Expect(rn.BodyHash).To(Equal(fault.Hash([]byte("hello"))))
	g.Expect(rn.InstanceID).To(Equal(ps.InstanceID()))
}

func TestFaults(t *testing.T) {
	cases := map[fault.Kind]struct {
		status int
		// broken is set when the answer does not arrive whole.
		broken bool
		header string
		value  string
		runs   int
	}{
		fault.Reset:          {broken: true, runs: 1},
		fault.Garbage:        {broken: true, runs: 1},
		fault.Truncate:       {broken: true, status: 200, runs: 1},
		fault.InternalError:  {status: 500, runs: 1},
		fault.Refuse:         {status: 503, header: "X-Not-Executed", value: "1"},
		fault.WrongAttempt:   {status: 200, header: "X-Attempt-Id", value: "another-attempt", runs: 1},
		fault.WrongSignature: {status: 200, header: "X-Engine-Signature", value: "another.signature", runs: 1},
		fault.NoSignature:    {status: 200, header: "X-Engine-Signature", value: "", runs: 1},
		fault.WrongEncoding:  {status: 200, header: "Content-Encoding", value: "gzip", runs: 1},
		fault.NoLength:       {status: 200, header: "Content-Length", value: "", runs: 1},
		fault.EarlyResponse:  {status: 200, runs: 1},
	}
	for kd, tc := range cases {
		t.Run(string(kd), func(t *testing.T) {
			g := NewWithT(t)
			ps := start(t)
			ps.InjectFault(kd, 1)
			cl := dial(t, ps)
			cl.send("POST /", "hello")
			an := cl.read()
			g.Expect(an.err != nil).To(Equal(tc.broken))
			g.Expect(an.status).To(Equal(tc.status))
			if tc.header != "" {
				g.Expect(an.header.Get(tc.header)).To(Equal(tc.value))
			}
			g.Expect(ps.Runs()).To(HaveLen(tc.runs))
			again := dial(t, ps)
			again.send("GET /", "")
			g.Expect(again.read().status).To(Equal(200))
		})
	}
}

func TestSurplusAnswers(t *testing.T) {
	for _, kd := range []fault.Kind{fault.ExtraResponse, fault.DelayedExtraResponse} {
		t.Run(string(kd), func(t *testing.T) {
			g := NewWithT(t)
			ps := start(t)
			ps.InjectFault(kd, 1)
			cl := dial(t, ps)
			cl.send("GET /one", "")
			g.Expect(cl.read().body).To(Equal(ps.ResponseBody("GET", "/one")))
			cl.send("GET /two", "")
			extra := cl.read()
			g.Expect(extra.body).To(Equal("surplus"))
			g.Expect(cl.read().body).To(Equal(ps.ResponseBody("GET", "/two")))
		})
	}
}

func TestEarlyAnswerThenReadsTheBody(t *testing.T) {
	g := NewWithT(t)
	ps := start(t)
	ps.InjectFault(fault.EarlyResponse, 1)
	cl := dial(t, ps)
	fmt.Fprint(cl.conn, "POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nContent-Length: 10\r\n\r\n")
	g.Expect(cl.read().status).To(Equal(200))
	g.Expect(ps.Runs()[0].BodyHash).To(BeEmpty())
	fmt.Fprint(cl.conn, "0123456789")
	cl.send("GET /next", "")
	g.Expect(cl.read().body).To(Equal(ps.ResponseBody("GET", "/next")))
	g.Expect(ps.Runs()[0].BodyHash).To(Equal(fault.Hash([]byte("0123456789"))))
}

func TestHangEndsWhenTheCallerGoes(t *testing.T) {
	g := NewWithT(t)
	ps := start(t)
	ps.InjectFault(fault.Hang, 1)
	cl := dial(t, ps)
	cl.send("GET /", "")
	g.Eventually(ps.Runs).WithTimeout(generous).Should(HaveLen(1))
	g.Expect(cl.conn.SetReadDeadline(time.Now().Add(short))).To(Succeed())
	g.Expect(cl.read().err).To(HaveOccurred())
	cl.conn.Close()
	g.Eventually(ps.CancelledRuns).WithTimeout(generous).Should(HaveLen(1))
}

func TestFullRefusesAndDeadlineEndsARun(t *testing.T) {
	g := NewWithT(t)
	ps := start(t, plainsim.WithSlots(1, 0), plainsim.WithServiceTime(time.Hour))
	busy := dial(t, ps)
	busy.send("GET /", "")
	g.Eventually(ps.Runs).WithTimeout(generous).Should(HaveLen(1))
	full := dial(t, ps)
	full.send("GET /", "")
	an := full.read()
	g.Expect(an.status).To(Equal(503))
	g.Expect(an.header.Get("X-Not-Executed")).To(Equal("1"))
	busy.conn.Close()
	g.Eventually(ps.CancelledRuns).WithTimeout(generous).Should(HaveLen(1))

	late := dial(t, ps)
	fmt.Fprint(late.conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\nX-Deadline-Ms: 20\r\n\r\n")
	g.Expect(late.read().status).To(Equal(504))
	g.Expect(ps.Runs()).To(HaveLen(2))
}

func TestRetireMakesAnotherInstance(t *testing.T) {
	g := NewWithT(t)
	ps := start(t, plainsim.WithErrorEvery(2))
	old := ps.InstanceID()
	ps.Replace()
	get := func(path string, header ...string) answer {
		cl := dial(t, ps)
		fmt.Fprintf(cl.conn, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", path, strings.Join(header, "\r\n"))
		return cl.read()
	}
	an := get("/", "X-Attempt-Id: a", "X-Expect-Instance: "+old)
	g.Expect(an.status).To(Equal(421))
	g.Expect(an.header.Get("X-Instance-Id")).To(Equal(ps.InstanceID()))
	g.Expect(get("/").status).To(Equal(400))
	g.Expect(get("/", "X-Attempt-Id: a", "X-Expect-Instance: "+ps.InstanceID()).status).To(Equal(200))
	g.Expect(get("/", "X-Attempt-Id: a").status).To(Equal(500))
	well := get("/healthz")
	g.Expect(well.status).To(Equal(200))
	g.Expect(well.closes).To(BeFalse())
	g.Expect(well.header.Get("X-Instance-Id")).To(Equal(ps.InstanceID()))
	ps.Drain()
	g.Expect(get("/healthz").status).To(Equal(503))
	g.Expect(get("/", "X-Attempt-Id: a").closes).To(BeTrue())
	g.Expect(ps.Runs()).To(HaveLen(3))
}

func TestTooManyConnectionsAreReset(t *testing.T) {
	g := NewWithT(t)
	ps := start(t, func(se *plainsim.Settings) { se.MaxConnections = 1 })
	one := dial(t, ps)
	one.send("GET /", "")
	g.Expect(one.read().status).To(Equal(200))
	g.Expect(tryOnce(ps)).NotTo(Succeed())
	g.Expect(ps.RejectedConnectionCount()).To(Equal(1))
	g.Expect(ps.ConnectionCount()).To(Equal(1))
	g.Expect(ps.Runs()).To(HaveLen(1))
}

// tryOnce returns the failure of a request on a connection of its own. A reset meets the caller while it connects,
// sends or reads.
func tryOnce(ps *plainsim.Service) error {
	nc, err := net.Dial("tcp", ps.Address())
	if err != nil {
		return err
	}
	defer nc.Close()
	cl := &caller{conn: nc, reader: bufio.NewReader(nc)}
	cl.send("GET /", "")
	return cl.read().err
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	ps := start(t, func(se *plainsim.Settings) { se.IdleTimeout = time.Second })
	cl := dial(t, ps)
	cl.send("GET /", "")
	g.Expect(cl.read().header.Get("Keep-Alive")).To(Equal("timeout=1"))
	g.Expect(cl.conn.SetReadDeadline(time.Now().Add(generous))).To(Succeed())
	g.Expect(cl.read().err).To(MatchError(io.ErrUnexpectedEOF))
}

func TestQueuedRequestRunsInTurn(t *testing.T) {
	g := NewWithT(t)
	ps := start(t, plainsim.WithSlots(1, 1), plainsim.WithServiceTime(time.Hour))
	first, second := dial(t, ps), dial(t, ps)
	first.send("GET /first", "")
	g.Eventually(ps.Runs).WithTimeout(generous).Should(HaveLen(1))
	ps.SetServiceTime(0)
	second.send("GET /second", "")
	g.Eventually(ps.WaitingCount).WithTimeout(generous).Should(Equal(1))
	first.conn.Close()
	g.Expect(second.read().body).To(Equal(ps.ResponseBody("GET", "/second")))
	g.Expect(ps.Runs()[0].State).To(Equal(fault.Cancelled))
}

func TestServesAnOrdinaryClient(t *testing.T) {
	g := NewWithT(t)
	ps := start(t)
	rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, ps.URL()+"/x", strings.NewReader("b"))
	g.Expect(err).NotTo(HaveOccurred())
	rq.Header.Set("X-Attempt-Id", "a")
	rs, err := http.DefaultClient.Do(rq)
	g.Expect(err).NotTo(HaveOccurred())
	defer rs.Body.Close()
	g.Expect(rs.StatusCode).To(Equal(200))
}
