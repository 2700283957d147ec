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

	"github.com/silvermount/silvermount/internal/standin/fault"
	"github.com/silvermount/silvermount/internal/standin/modelsim"
)

// generous is far longer than anything here takes.
const generous = 10 * time.Second

// slowPace makes an event take hours.
const slowPace = 1e7

func start(t *testing.T, opts ...modelsim.Option) *modelsim.Engine {
	t.Helper()
	en, err := modelsim.Start(opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(en.Close)
	return en
}

type answer struct {
	status int
	header http.Header
	body   string
	// err is that of the call or of its body.
	err error
}

func send(ctx context.Context, method, url, body string, header map[string]string) answer {
	tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	rq, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for name, value := range header {
		rq.Header.Set(name, value)
	}
	rs, err := tr.RoundTrip(rq)
	if err != nil {
		return answer{err: err}
	}
	defer rs.Body.Close()
	var buf bytes.Buffer
	_, err = io.Copy(&buf, rs.Body)
	return answer{status: rs.StatusCode, header: rs.Header, body: buf.String(), err: err}
}

func ask(ctx context.Context, en *modelsim.Engine, header map[string]string) answer {
	all := map[string]string{"X-Attempt-Id": "a1", "X-Token-Usage": "100,50", "X-Prompt-Prefix": "5c:100"}
	for name, value := range header {
		all[name] = value
	}
	return send(ctx, http.MethodPost, en.URL()+"/s/1", "prompt", all)
}

func order(t *testing.T, en *modelsim.Engine, body string) answer {
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

func TestStreamsAndResumes(t *testing.T) {
	g := NewWithT(t)
	en := start(t)
	an := ask(t.Context(), en, map[string]string{"X-Tenant": "t1", "X-Deadline-Ms": "9000"})
	g.Expect(an.err).NotTo(HaveOccurred())
	g.Expect(an.status).To(Equal(200))
	g.Expect(an.header.Get("Content-Type")).To(Equal("text/event-stream"))
	g.Expect(an.header.Get("X-Attempt-Id")).To(Equal("a1"))
	g.Expect(an.header.Get("X-Engine-Signature")).To(Equal(en.Runs()[0].Signature))
	g.Expect(an.header.Get("Versions")).To(Equal("1"))
	g.Expect(an.body).To(Equal(events(1, 5)))
	g.Expect(ask(t.Context(), start(t), map[string]string{"Last-Event-Id": "3"}).body).To(Equal(events(4, 5)))
	rn := en.Runs()[0]
	g.Expect(rn.Tenant).To(Equal("t1"))
	g.Expect(rn.UntilDeadline).To(Equal(9 * time.Second))
	g.Expect(rn.BodyHash).To(Equal(fault.Hash([]byte("prompt"))))
	g.Eventually(en.MemoryUsed).WithTimeout(generous).Should(BeZero())
}

func TestRefusals(t *testing.T) {
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
			an := ask(t.Context(), en, tc.header)
			g.Expect(an.err).NotTo(HaveOccurred())
			g.Expect(an.status).To(Equal(tc.status))
			g.Expect(an.header.Get("X-Not-Executed") == "1").To(Equal(tc.status != 421))
			g.Expect(an.header.Get("At-Server")).NotTo(BeEmpty())
			g.Expect(en.Runs()).To(BeEmpty())
			g.Expect(en.RefusedCount()).To(Equal(1))
		})
	}
}

func TestCutBreaksInTheMiddleOfAnEvent(t *testing.T) {
	g := NewWithT(t)
	en := start(t, func(se *modelsim.Settings) { se.TruncateAfter = 2 })
	en.InjectFault(fault.Truncate, 1)
	an := ask(t.Context(), en, nil)
	g.Expect(an.err).To(HaveOccurred())
	g.Expect(an.body).To(HavePrefix(events(1, 2)))
	g.Expect(events(1, 3)).To(HavePrefix(an.body))
	g.Expect(len(an.body)).To(BeNumerically(">", len(events(1, 2))))
	g.Eventually(func() fault.State { return en.Runs()[0].State }).WithTimeout(generous).Should(Equal(fault.Aborted))
}

func TestResetRunsTheWholeRequest(t *testing.T) {
	g := NewWithT(t)
	en := start(t)
	en.InjectFault(fault.Reset, 1)
	g.Expect(ask(t.Context(), en, nil).err).To(HaveOccurred())
	g.Eventually(func() fault.State { return en.Runs()[0].State }).WithTimeout(generous).Should(Equal(fault.Done))
	g.Expect(ask(t.Context(), en, nil).body).To(Equal(events(1, 5)))
}

func TestCancelledStreamFreesItsMemory(t *testing.T) {
	g := NewWithT(t)
	en := start(t, modelsim.WithTimings(0, time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan answer, 1)
	go func() { done <- ask(ctx, en, nil) }()
	g.Eventually(en.Runs).WithTimeout(generous).Should(HaveLen(1))
	g.Expect(en.MemoryUsed()).To(Equal(150))
	cancel()
	g.Eventually(en.CancelledRuns).WithTimeout(generous).Should(HaveLen(1))
	g.Eventually(en.MemoryUsed).WithTimeout(generous).Should(BeZero())
	<-done
}

func TestRetireBreaksStreams(t *testing.T) {
	g := NewWithT(t)
	en := start(t, modelsim.WithTimings(0, time.Hour))
	g.Expect(order(t, en, `{"op":"reserve","id":"t","token_count":10,"hold_ms":9000}`).status).To(Equal(200))
	old := en.InstanceID()
	done := make(chan answer, 1)
	go func() { done <- ask(t.Context(), en, nil) }()
	g.Eventually(en.Runs).WithTimeout(generous).Should(HaveLen(1))
	en.Replace()
	var an answer
	g.Eventually(done).WithTimeout(generous).Should(Receive(&an))
	g.Expect(an.err).To(HaveOccurred())
	g.Expect(en.Tickets()).To(BeEmpty())
	g.Expect(ask(t.Context(), en, map[string]string{"X-Expect-Instance": old}).status).To(Equal(421))
}

func TestOrders(t *testing.T) {
	g := NewWithT(t)
	en := start(t, modelsim.WithMemory(1000))
	reserve := func(id string, tokens, hold int, wait bool) answer {
		return order(t, en, fmt.Sprintf(`{"op":"reserve","id":%q,"token_count":%d,"hold_ms":%d,"wait":%t}`, id, tokens, hold, wait))
	}
	release := func(id string) answer { return order(t, en, fmt.Sprintf(`{"op":"release","id":%q}`, id)) }
	an := reserve("a", 600, 9000, false)
	g.Expect(an.status).To(Equal(200))
	g.Expect(an.body).To(MatchJSON(`{"free":400}`))
	g.Expect(reserve("b", 600, 9000, false).status).To(Equal(409))
	an = reserve("b", 600, 9000, true)
	g.Expect(an.status).To(Equal(202))
	g.Expect(an.body).To(MatchJSON(`{"free":0}`))
	g.Expect(reserve("a", 600, 9000, false).status).To(Equal(200), "renewed")
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
	g.Eventually(en.Tickets).WithTimeout(generous).Should(BeEmpty())
	g.Expect(en.MemoryUsed()).To(BeZero())
	g.Expect(en.Orders()).To(HaveLen(10))
}

func TestHelpersLendTheirMemory(t *testing.T) {
	g := NewWithT(t)
	ps := modelsim.NewCluster()
	first := start(t, modelsim.WithCluster(ps), modelsim.WithMemory(100))
	helper := start(t, modelsim.WithCluster(ps))
	header := map[string]string{"Helpers": helper.Address() + "/t1"}
	an := ask(t.Context(), first, header)
	g.Expect(an.status).To(Equal(503), "no such ticket")
	g.Expect(an.header.Get("At-Server")).To(Equal(helper.Address()))
	order(t, helper, `{"op":"reserve","id":"t1","token_count":140,"hold_ms":20000}`)
	g.Expect(ask(t.Context(), first, header).body).To(Equal(events(1, 5)))
	state := func() string { return helper.Tickets()[0].State }
	g.Eventually(state).WithTimeout(generous).Should(Equal("held"))
	// A caller that closes its connection gives the ticket back; the memory of its request is free shortly after its last byte.
	g.Eventually(first.MemoryUsed).WithTimeout(generous).Should(BeZero())

	first.SetSlowdown(slowPace)
	done := make(chan answer, 1)
	go func() { done <- ask(t.Context(), first, header) }()
	g.Eventually(first.Runs).WithTimeout(generous).Should(HaveLen(2))
	g.Expect(state()).To(Equal("used"))
	g.Expect(first.MemoryUsed()).To(Equal(10))
	g.Expect(helper.ConcurrentTicketUses()).To(BeZero())
	order(t, helper, `{"op":"release","id":"t1"}`)
	g.Eventually(done).WithTimeout(generous).Should(Receive(&an))
	g.Expect(an.err).To(HaveOccurred(), "the memory is gone")
}

func TestTicketThatLapsesCutsItsRequests(t *testing.T) {
	g := NewWithT(t)
	en := start(t, modelsim.WithTimings(0, time.Hour))
	order(t, en, `{"op":"reserve","id":"t1","token_count":140,"hold_ms":20000}`)
	header := map[string]string{"Helpers": en.Address() + "/t1"}
	done := make(chan answer, 2)
	for n := range 2 {
		go func() { done <- ask(t.Context(), en, header) }()
		g.Eventually(en.Runs).WithTimeout(generous).Should(HaveLen(n + 1))
	}
	g.Expect(en.ConcurrentTicketUses()).To(Equal(1))
	order(t, en, `{"op":"reserve","id":"t1","token_count":140,"hold_ms":1}`)
	for range 2 {
		var an answer
		g.Eventually(done).WithTimeout(generous).Should(Receive(&an))
		g.Expect(an.err).To(HaveOccurred())
	}
	g.Eventually(en.MemoryUsed).WithTimeout(generous).Should(BeZero())
	for _, rn := range en.Runs() {
		g.Expect(rn.State).To(Equal(fault.Aborted))
	}
}

func TestHelperLostWhileReadingRefusesTheRequest(t *testing.T) {
	g := NewWithT(t)
	ps := modelsim.NewCluster()
	first := start(t, modelsim.WithCluster(ps), modelsim.WithTimings(time.Hour, 0))
	helper := start(t, modelsim.WithCluster(ps))
	order(t, helper, `{"op":"reserve","id":"t1","token_count":10,"hold_ms":20000}`)
	done := make(chan answer, 1)
	go func() { done <- ask(t.Context(), first, map[string]string{"Helpers": helper.Address() + "/t1"}) }()
	g.Eventually(func() string { return helper.Tickets()[0].State }).WithTimeout(generous).Should(Equal("used"))
	helper.Replace()
	var an answer
	g.Eventually(done).WithTimeout(generous).Should(Receive(&an))
	g.Expect(an.status).To(Equal(503))
	g.Expect(an.header.Get("X-Not-Executed")).To(Equal("1"))
	g.Expect(an.header.Get("At-Server")).To(Equal(helper.Address()))
	g.Expect(first.Runs()).To(BeEmpty())
}

func TestOrderWithoutAnAnswerIsCarriedOut(t *testing.T) {
	g := NewWithT(t)
	en := start(t)
	en.InjectControlFault(modelsim.OrderRoute, fault.Reset, 1)
	g.Expect(order(t, en, `{"op":"reserve","id":"t","token_count":10,"hold_ms":9000}`).err).To(HaveOccurred())
	g.Expect(en.Tickets()).To(HaveLen(1))
}

func TestNewVersionIsToldInTheStream(t *testing.T) {
	g := NewWithT(t)
	en := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), generous)
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
