package modelsim_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/standin/modelsim"
	"github.com/silvermount/silvermount/internal/standin/targetsim"
)

// testTimeout bounds the waits for conditions that normally hold within milliseconds.
const testTimeout = 10 * time.Second

// hugeSlowdown makes an event take hours.
const hugeSlowdown = 1e7

func start(t *testing.T, opts ...modelsim.Option) *modelsim.Engine {
	t.Helper()
	en, err := modelsim.Start(opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(en.Close)
	return en
}

type response struct {
	status int
	header http.Header
	body   string
	// err is the error of the call or of reading its body.
	err error
}

func send(ctx context.Context, method, url, body string, header map[string]string) response {
	tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	rq, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	for name, value := range header {
		rq.Header.Set(name, value)
	}
	rs, err := tr.RoundTrip(rq)
	if err != nil {
		return response{err: err}
	}
	defer rs.Body.Close()
	var buf bytes.Buffer
	_, err = io.Copy(&buf, rs.Body)
	return response{status: rs.StatusCode, header: rs.Header, body: buf.String(), err: err}
}

func ask(ctx context.Context, en *modelsim.Engine, header map[string]string) response {
	all := map[string]string{"X-Attempt-Id": "a1", "X-Token-Usage": "100,50", "X-Prompt-Prefix": "5c:100"}
	for name, value := range header {
		all[name] = value
	}
	return send(ctx, http.MethodPost, en.URL()+"/s/1", "prompt", all)
}

func order(t *testing.T, en *modelsim.Engine, body string) response {
	t.Helper()
	return send(t.Context(), http.MethodPost, en.URL()+"/order", body, nil)
}

func events(from, to int) string {
	var sb strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&sb, "id: %d\ndata: %s\n\n", id, modelsim.EventData("/s/1", "5c:100", id))
	}
	return sb.String()
}

func TestStreamIsCompleteAndResumesAfterLastEventID(t *testing.T) {
	g := NewWithT(t)
	en := start(t)
	rs := ask(t.Context(), en, map[string]string{"X-Tenant": "t1", "X-Deadline-Ms": "9000"})
	g.Expect(rs.err).NotTo(HaveOccurred())
	g.Expect(rs.status).To(Equal(200))
	g.Expect(rs.header.Get("Content-Type")).To(Equal("text/event-stream"))
	g.Expect(rs.header.Get("X-Attempt-Id")).To(Equal("a1"))
	g.Expect(rs.header.Get("X-Engine-Signature")).To(Equal(en.Runs()[0].Signature))
	g.Expect(rs.header.Get("Versions")).To(Equal("1"))
	g.Expect(rs.body).To(Equal(events(1, 5)))
	g.Expect(ask(t.Context(), start(t), map[string]string{"Last-Event-Id": "3"}).body).To(Equal(events(4, 5)))
	rn := en.Runs()[0]
	g.Expect(rn.Tenant).To(Equal("t1"))
	g.Expect(rn.UntilDeadline).To(Equal(9 * time.Second))
	g.Expect(rn.BodyHash).To(Equal(targetsim.Hash([]byte("prompt"))))
	g.Eventually(en.MemoryUsed).WithTimeout(testTimeout).Should(BeZero())
}

func TestInvalidRequestIsRefusedWithoutRunning(t *testing.T) {
	cases := map[string]struct {
		header map[string]string
		status int
	}{
		"another instance": {header: map[string]string{"X-Expect-Instance": "other"}, status: 421},
		"another version":  {header: map[string]string{"Expect-Version": "7"}, status: 421},
		"too large":        {header: map[string]string{"X-Token-Usage": "900,200"}, status: 503},
		"no size":          {header: map[string]string{"X-Token-Usage": "many"}, status: 400},
		"no attempt":       {header: map[string]string{"X-Attempt-Id": ""}, status: 400},
		"unknown helper":   {header: map[string]string{"Helpers": "127.0.0.1:1/t"}, status: 503},
		"bad helper":       {header: map[string]string{"Helpers": "nowhere"}, status: 400},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			en := start(t, modelsim.WithMemory(1000))
			rs := ask(t.Context(), en, tc.header)
			g.Expect(rs.err).NotTo(HaveOccurred())
			g.Expect(rs.status).To(Equal(tc.status))
			g.Expect(rs.header.Get("X-Not-Executed") == "1").To(Equal(tc.status != 421))
			g.Expect(rs.header.Get("At-Server")).NotTo(BeEmpty())
			g.Expect(en.Runs()).To(BeEmpty())
			g.Expect(en.RefusedCount()).To(Equal(1))
		})
	}
}

func TestTruncateFaultBreaksTheStreamInTheMiddleOfAnEvent(t *testing.T) {
	g := NewWithT(t)
	en := start(t, func(se *modelsim.Settings) { se.TruncateAfter = 2 })
	en.InjectFault(targetsim.Truncate, 1)
	rs := ask(t.Context(), en, nil)
	g.Expect(rs.err).To(HaveOccurred())
	g.Expect(rs.body).To(HavePrefix(events(1, 2)))
	g.Expect(events(1, 3)).To(HavePrefix(rs.body))
	g.Expect(len(rs.body)).To(BeNumerically(">", len(events(1, 2))))
	g.Eventually(func() targetsim.State { return en.Runs()[0].State }).WithTimeout(testTimeout).Should(Equal(targetsim.Aborted))
}

func TestResetFaultRunsTheWholeRequest(t *testing.T) {
	g := NewWithT(t)
	en := start(t)
	en.InjectFault(targetsim.Reset, 1)
	g.Expect(ask(t.Context(), en, nil).err).To(HaveOccurred())
	g.Eventually(func() targetsim.State { return en.Runs()[0].State }).WithTimeout(testTimeout).Should(Equal(targetsim.Done))
	g.Expect(ask(t.Context(), en, nil).body).To(Equal(events(1, 5)))
}

func TestCancelledStreamFreesItsMemory(t *testing.T) {
	g := NewWithT(t)
	en := start(t, modelsim.WithTimings(0, time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan response, 1)
	go func() { done <- ask(ctx, en, nil) }()
	g.Eventually(en.Runs).WithTimeout(testTimeout).Should(HaveLen(1))
	g.Expect(en.MemoryUsed()).To(Equal(150))
	cancel()
	g.Eventually(en.CancelledRuns).WithTimeout(testTimeout).Should(HaveLen(1))
	g.Eventually(en.MemoryUsed).WithTimeout(testTimeout).Should(BeZero())
	<-done
}

func TestReplaceBreaksStreamsAndDeletesTickets(t *testing.T) {
	g := NewWithT(t)
	en := start(t, modelsim.WithTimings(0, time.Hour))
	g.Expect(order(t, en, `{"op":"reserve","id":"t","token_count":10,"hold_ms":9000}`).status).To(Equal(200))
	old := en.InstanceID()
	done := make(chan response, 1)
	go func() { done <- ask(t.Context(), en, nil) }()
	g.Eventually(en.Runs).WithTimeout(testTimeout).Should(HaveLen(1))
	en.Replace()
	var rs response
	g.Eventually(done).WithTimeout(testTimeout).Should(Receive(&rs))
	g.Expect(rs.err).To(HaveOccurred())
	g.Expect(en.Tickets()).To(BeEmpty())
	g.Expect(ask(t.Context(), en, map[string]string{"X-Expect-Instance": old}).status).To(Equal(421))
}

func TestReserveAndReleaseOrders(t *testing.T) {
	g := NewWithT(t)
	en := start(t, modelsim.WithMemory(1000))
	reserve := func(id string, tokens, hold int, wait bool) response {
		return order(t, en, fmt.Sprintf(`{"op":"reserve","id":%q,"token_count":%d,"hold_ms":%d,"wait":%t}`, id, tokens, hold, wait))
	}
	release := func(id string) response { return order(t, en, fmt.Sprintf(`{"op":"release","id":%q}`, id)) }
	rs := reserve("a", 600, 9000, false)
	g.Expect(rs.status).To(Equal(200))
	g.Expect(rs.body).To(MatchJSON(`{"free":400}`))
	g.Expect(reserve("b", 600, 9000, false).status).To(Equal(409))
	rs = reserve("b", 600, 9000, true)
	g.Expect(rs.status).To(Equal(202))
	g.Expect(rs.body).To(MatchJSON(`{"free":0}`))
	g.Expect(reserve("a", 600, 9000, false).status).To(Equal(200), "the order renews the ticket")
	g.Expect(reserve("c", 1001, 9000, true).status).To(Equal(400))
	g.Expect(reserve("c", 1, 20_001, true).status).To(Equal(400))
	g.Expect(order(t, en, `{"op":"dance"}`).status).To(Equal(400))
	g.Expect(release("a").status).To(Equal(200))
	g.Expect(en.Tickets()).To(HaveLen(1))
	g.Expect(en.Tickets()[0].State).To(Equal("held"))
	rp := send(t.Context(), http.MethodGet, en.URL()+"/report", "", nil)
	g.Expect(rp.body).To(ContainSubstring(`"kv_used":600,"kv_total":1000`))
	g.Expect(rp.body).To(ContainSubstring(`"id":"b","token_count":600,"state":"held"`))
	g.Expect(release("b").status).To(Equal(200))
	g.Expect(reserve("d", 10, 5, false).status).To(Equal(200))
	g.Eventually(en.Tickets).WithTimeout(testTimeout).Should(BeEmpty())
	g.Expect(en.MemoryUsed()).To(BeZero())
	g.Expect(en.Orders()).To(HaveLen(10))
}

func TestHelpersLendTheMemoryOfTheirTickets(t *testing.T) {
	g := NewWithT(t)
	cl := modelsim.NewCluster()
	first := start(t, modelsim.WithCluster(cl), modelsim.WithMemory(100))
	helper := start(t, modelsim.WithCluster(cl))
	header := map[string]string{"Helpers": helper.Address() + "/t1"}
	rs := ask(t.Context(), first, header)
	g.Expect(rs.status).To(Equal(503), "the ticket does not exist")
	g.Expect(rs.header.Get("At-Server")).To(Equal(helper.Address()))
	order(t, helper, `{"op":"reserve","id":"t1","token_count":140,"hold_ms":20000}`)
	g.Expect(ask(t.Context(), first, header).body).To(Equal(events(1, 5)))
	state := func() string { return helper.Tickets()[0].State }
	g.Eventually(state).WithTimeout(testTimeout).Should(Equal("held"))
	// The ticket is no longer in use once the caller closes its connection; the memory of the request is free shortly after
	// the last byte of the response.
	g.Eventually(first.MemoryUsed).WithTimeout(testTimeout).Should(BeZero())

	first.SetSlowdown(hugeSlowdown)
	done := make(chan response, 1)
	go func() { done <- ask(t.Context(), first, header) }()
	g.Eventually(first.Runs).WithTimeout(testTimeout).Should(HaveLen(2))
	g.Expect(state()).To(Equal("used"))
	g.Expect(first.MemoryUsed()).To(Equal(10))
	g.Expect(helper.ConcurrentTicketUses()).To(BeZero())
	order(t, helper, `{"op":"release","id":"t1"}`)
	g.Eventually(done).WithTimeout(testTimeout).Should(Receive(&rs))
	g.Expect(rs.err).To(HaveOccurred(), "releasing the ticket aborts the request")
}

func TestExpiredTicketAbortsItsRequests(t *testing.T) {
	g := NewWithT(t)
	en := start(t, modelsim.WithTimings(0, time.Hour))
	order(t, en, `{"op":"reserve","id":"t1","token_count":140,"hold_ms":20000}`)
	header := map[string]string{"Helpers": en.Address() + "/t1"}
	done := make(chan response, 2)
	for n := range 2 {
		go func() { done <- ask(t.Context(), en, header) }()
		g.Eventually(en.Runs).WithTimeout(testTimeout).Should(HaveLen(n + 1))
	}
	g.Expect(en.ConcurrentTicketUses()).To(Equal(1))
	order(t, en, `{"op":"reserve","id":"t1","token_count":140,"hold_ms":1}`)
	for range 2 {
		var rs response
		g.Eventually(done).WithTimeout(testTimeout).Should(Receive(&rs))
		g.Expect(rs.err).To(HaveOccurred())
	}
	g.Eventually(en.MemoryUsed).WithTimeout(testTimeout).Should(BeZero())
	for _, rn := range en.Runs() {
		g.Expect(rn.State).To(Equal(targetsim.Aborted))
	}
}

func TestHelperLostDuringPrefillRefusesTheRequest(t *testing.T) {
	g := NewWithT(t)
	cl := modelsim.NewCluster()
	first := start(t, modelsim.WithCluster(cl), modelsim.WithTimings(time.Hour, 0))
	helper := start(t, modelsim.WithCluster(cl))
	order(t, helper, `{"op":"reserve","id":"t1","token_count":10,"hold_ms":20000}`)
	done := make(chan response, 1)
	go func() { done <- ask(t.Context(), first, map[string]string{"Helpers": helper.Address() + "/t1"}) }()
	g.Eventually(func() string { return helper.Tickets()[0].State }).WithTimeout(testTimeout).Should(Equal("used"))
	helper.Replace()
	var rs response
	g.Eventually(done).WithTimeout(testTimeout).Should(Receive(&rs))
	g.Expect(rs.status).To(Equal(503))
	g.Expect(rs.header.Get("X-Not-Executed")).To(Equal("1"))
	g.Expect(rs.header.Get("At-Server")).To(Equal(helper.Address()))
	g.Expect(first.Runs()).To(BeEmpty())
}

func TestOrderIsAppliedWhenItsResponseIsLost(t *testing.T) {
	g := NewWithT(t)
	en := start(t)
	en.InjectControlFault(modelsim.OrderRoute, targetsim.Reset, 1)
	g.Expect(order(t, en, `{"op":"reserve","id":"t","token_count":10,"hold_ms":9000}`).err).To(HaveOccurred())
	g.Expect(en.Tickets()).To(HaveLen(1))
}

func TestNewVersionIsAnnouncedInTheStream(t *testing.T) {
	g := NewWithT(t)
	en := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, en.URL()+"/s/1", nil)
	g.Expect(err).NotTo(HaveOccurred())
	rq.Header.Set("X-Attempt-Id", "a1")
	rq.Header.Set("X-Token-Usage", "1,200000")
	rs, err := http.DefaultClient.Do(rq)
	g.Expect(err).NotTo(HaveOccurred())
	defer rs.Body.Close()
	g.Expect(rs.Header.Get("Versions")).To(Equal("1"))
	en.SetVersion(2)
	sc := bufio.NewScanner(rs.Body)
	for sc.Scan() && sc.Text() != "versions: 2" {
		continue
	}
	g.Expect(sc.Text()).To(Equal("versions: 2"))
	g.Expect(sc.Scan()).To(BeTrue())
	g.Expect(sc.Text()).To(HavePrefix("id: "))
}
