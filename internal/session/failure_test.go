package session

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/instance"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/load"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/serve"
)

// mixed returns n arrivals at once, a few of them long.
func mixed(n int, class string) []load.Arrival {
	rnd := rand.New(rand.NewPCG(3, 3))
	all := make([]load.Arrival, n)
	for i := range all {
		all[i] = load.Arrival{Class: class, Tokens: 1_000 + rnd.IntN(7_000), Output: 24, Index: i, At: time.Duration(i) * time.Millisecond}
		if i%50 == 7 {
			all[i].Tokens = 120_000 + rnd.IntN(100_000)
		}
	}
	return all
}

func TestEachOfManyConcurrentAnswersIsItsOwn(t *testing.T) {
	g := NewWithT(t)
	lf := start(t, localfleet.Options{Zones: 3, Engines: 6, Instances: 3, Params: fast(200)})
	for _, r := range load.Run(t.Context(), target(lf, 2), mixed(200, localfleet.ClassCall)) {
		g.Expect(r.Right).To(BeTrue(), "%+v", r)
	}
}

func TestNoHalfAnswerLooksWholeWhenEnginesDie(t *testing.T) {
	g := NewWithT(t)
	lf := start(t, localfleet.Options{Zones: 3, Engines: 6, Instances: 3, Params: fast(100)})
	kill := func(i int, after time.Duration) { time.AfterFunc(after, lf.Engines[i].Kill) }
	kill(0, 40*time.Millisecond)
	kill(3, 90*time.Millisecond)
	right := 0
	for _, r := range load.Run(t.Context(), target(lf, 4), mixed(200, localfleet.ClassCall)) {
		g.Expect(r.Right).To(Equal(r.Whole), "a whole answer is the right one: %+v", r)
		if !r.Whole {
			g.Expect(r.Code).NotTo(Or(BeEmpty(), Equal("cut_off")), "%+v", r)
			continue
		}
		right++
	}
	g.Expect(right).To(BeNumerically(">=", 190))
}

func TestEveryRequestEndsInItsTimeAndLeavesNothing(t *testing.T) {
	hang := func(lf *localfleet.Fleet) {
		for _, en := range lf.Engines {
			en.SetHung(true)
		}
	}
	tests := map[string]struct {
		fault   func(*localfleet.Fleet)
		headers []string
		want    string
	}{
		"target accepts and never answers": {fault: hang, want: "deadline_exceeded"},
		"store hangs under a claim": {
			fault:   func(lf *localfleet.Fleet) { lf.Store.SetDelay(time.Minute) },
			headers: []string{serve.HeaderKey, "k1"}, want: "store_unavailable",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := start(t, localfleet.Options{Zones: 1, Engines: 2, Instances: 1, Params: fast(100)})
			tc.fault(lf)
			headers := append([]string{serve.HeaderTimeout, "300ms"}, tc.headers...)
			rep := call(t, http.MethodPost, lf.URLs()[0]+"/v1/completions", completion("hello", 4, false), headers...)
			g.Expect(rep.code).To(Equal(tc.want))
			sv, err := kernel.Need[*serve.Server](lf.Instances[0].Env())
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(sv.InFlight).Should(BeZero())
			g.Expect(sv.Bodies.Used()).To(BeZero())
			g.Eventually(sv.Router.Waiting).Should(BeZero())
			lf.Store.SetDelay(0)
			for _, en := range lf.Engines {
				en.SetHung(false)
				g.Eventually(en.MemoryUsed, 5*time.Second).Should(BeZero())
			}
		})
	}
}

func TestEngineMemoryIsFreedAfterCallersGo(t *testing.T) {
	g := NewWithT(t)
	lf := start(t, localfleet.Options{Zones: 1, Engines: 3, Instances: 2, Params: fast(10)})
	client := &http.Client{Timeout: 60 * time.Millisecond}
	for i := range 30 {
		body := completion(load.Prompt(9, load.Arrival{Tokens: 20_000, Index: i}), 500, true)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, lf.URLs()[i%2]+"/v1/completions", bytes.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+localfleet.Key)
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
	}
	for _, en := range lf.Engines {
		g.Eventually(en.MemoryUsed, 10*time.Second).Should(BeZero(), en.Name)
	}
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	tests := map[string]func(*localfleet.Fleet){
		"all well":               func(*localfleet.Fleet) {},
		"platform's list frozen": func(lf *localfleet.Fleet) { lf.Store.Freeze(objectstore.KindTargets) },
		"platform down":          func(lf *localfleet.Fleet) { lf.Store.SetDown(true) },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			lf := start(t, localfleet.Options{Zones: 3, Engines: 3, Instances: 3, Params: fast(100)})
			fault(lf)
			gone := lf.Engines[1]
			gone.MarkLeaving()
			// The sign spreads from the owner by heartbeats until every instance leaves the engine out.
			for _, in := range lf.Instances {
				g.Eventually(func() bool { return leaves(in, gone.Name) }, 3*time.Second, 20*time.Millisecond).Should(BeTrue())
			}
			before := gone.AttemptCount()
			for _, r := range load.Run(t.Context(), target(lf, 5), mixed(40, localfleet.ClassCall)) {
				g.Expect(r.Right).To(BeTrue(), "%+v", r)
			}
			g.Expect(gone.AttemptCount()).To(Equal(before))
		})
	}
}

func leaves(in *instance.Instance, target string) bool {
	sv, err := kernel.Need[*serve.Server](in.Env())
	if err != nil {
		return false
	}
	_, ok := sv.Fleet.Leaving()[target]
	return ok
}

func TestRollingRestartCutsOffNothing(t *testing.T) {
	g := NewWithT(t)
	lf := start(t, localfleet.Options{Zones: 3, Engines: 6, Instances: 3, Params: fast(100)})
	var alive atomic.Pointer[[]string]
	urls := lf.URLs()
	alive.Store(&urls)
	tg := target(lf, 6)
	tg.Pick = func(i int) string { us := *alive.Load(); return us[i%len(us)] }
	arrivals := mixed(300, localfleet.ClassCall)
	for i := range arrivals {
		arrivals[i].At *= 8
	}
	finished := make(chan []load.Result)
	go func() { finished <- load.Run(t.Context(), tg, arrivals) }()
	for i := range 3 {
		old := lf.Instances[i]
		// The balancer learns of the stop while the instance still accepts.
		rest := without(*alive.Load(), old.CallersURL())
		alive.Store(&rest)
		g.Expect(old.Stop(t.Context())).To(Succeed())
		in, err := lf.AddInstance(t.Context(), i)
		g.Expect(err).NotTo(HaveOccurred())
		sv, err := kernel.Need[*serve.Server](in.Env())
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(sv.Ready, 5*time.Second).Should(BeTrue())
		more := append(without(*alive.Load(), ""), in.CallersURL())
		alive.Store(&more)
	}
	for _, r := range <-finished {
		g.Expect(r.Right).To(BeTrue(), "%+v", r)
	}
}

func without(urls []string, url string) []string {
	var rest []string
	for _, u := range urls {
		if u != url {
			rest = append(rest, u)
		}
	}
	return rest
}

func TestCutOffZoneServesOn(t *testing.T) {
	g := NewWithT(t)
	var cut atomic.Bool
	lf := start(t, localfleet.Options{
		Zones: 3, Engines: 6, Instances: 3, Params: fast(100),
		Blocked: func(from, to string) bool { return cut.Load() && (from == "a") != (to == "a") },
	})
	cut.Store(true)
	lf.Store.SetDown(true)
	for _, r := range load.Run(t.Context(), target(lf, 8), mixed(60, localfleet.ClassCall)) {
		g.Expect(r.Right).To(BeTrue(), "%+v", r)
	}
	cut.Store(false)
	lf.Store.SetDown(false)
	sv, err := kernel.Need[*serve.Server](lf.Instances[0].Env())
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() int {
		live := 0
		for _, p := range sv.Fleet.Peers() {
			if p.Live {
				live++
			}
		}
		return live
	}, 10*time.Second).Should(Equal(2))
}

// TestHalfSentBodyEndsAtTheDeadline promises a body and sends half of it.
func TestHalfSentBodyEndsAtTheDeadline(t *testing.T) {
	g := NewWithT(t)
	lf := start(t, localfleet.Options{Zones: 1, Engines: 1, Instances: 1, Params: fast(100)})
	conn, err := net.Dial("tcp", strings.TrimPrefix(lf.URLs()[0], "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s: 200ms\r\nContent-Length: 1000\r\n\r\n{\"model\"",
		localfleet.Key, serve.HeaderTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	answer, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer)).To(And(ContainSubstring("400"), ContainSubstring(`"outcome":"not_run"`)))
	sv, err := kernel.Need[*serve.Server](lf.Instances[0].Env())
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(sv.InFlight).Should(BeZero())
	g.Expect(sv.Bodies.Used()).To(BeZero())
}
