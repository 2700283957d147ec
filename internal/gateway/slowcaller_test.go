package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// slowWriter is a caller that takes the second part of its response only once it is released.
type slowWriter struct {
	http.ResponseWriter
	released <-chan struct{}
	writes   int
}

func (sw *slowWriter) Write(b []byte) (int, error) {
	sw.writes++
	if sw.writes == 2 {
		<-sw.released
	}
	return sw.ResponseWriter.Write(b)
}

func (sw *slowWriter) Unwrap() http.ResponseWriter { return sw.ResponseWriter }

// startStreamTarget starts a target that sends a stream of events, the first two apart.
func startStreamTarget(t *testing.T, events int) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		cn, err := lis.Accept()
		if err != nil {
			return
		}
		defer cn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(cn)); err != nil {
			t.Error(err)
		}
		fmt.Fprint(cn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for no := range events {
			ev := fmt.Sprintf("id: %d\ndata: %s\n\n", no, strings.Repeat("x", 1000))
			fmt.Fprintf(cn, "%x\r\n%s\r\n", len(ev), ev)
			if no < 2 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		fmt.Fprint(cn, "0\r\n\r\n")
	}()
	return lis.Addr().String()
}

// TestStreamOfSlowCallerIsReadAhead guards against targets that are left unread while the instance waits for a slow caller, and that
// then break the stream off. The memory for what is read ahead is reserved, and released at the end.
func TestStreamOfSlowCallerIsReadAhead(t *testing.T) {
	g := NewWithT(t)
	const events, timeout = 30, 10 * time.Second
	address := startStreamTarget(t, events)
	hd := &routes.Holder{}
	hd.ApplyIfNewer(routes.New(routes.Config{
		Version: 1, Services: []routes.Service{{Name: "s"}},
		Routes: []routes.Route{{
			Name: "r", Host: "example.com", PathPrefix: "/", Timeout: time.Minute, Objective: time.Minute, Streaming: true, MaxAttempts: 1,
			Services: []routes.WeightedService{{Service: "s", Weight: 1}},
		}},
	}), nil, time.Now())
	dr := targets.New(time.Now)
	dr.ApplyList([]targets.Target{{ID: "t", Service: "s", Address: address, Slots: 1}}, nil, position.Position{Revision: 1}, time.Now())
	gw := newGateway(hd, discard.New())
	gw.SetLimits(gateway.Limits{MaxBodyBytes: 100})
	gw.Protocol.ReadRequest = func(*http.Request) (gateway.RequestInfo, error) { return gateway.RequestInfo{LastEventID: -1}, nil }
	gw.Protocol.WriteAttempt = func(http.Header, gateway.Attempt) {}
	gw.Protocol.ReadHead = func(*http.Response) responsehead.Head { return responsehead.Head{Verdict: responsehead.Answered} }
	gw.BodyMemory = budget.NewMemory(1 << 20)
	gw.Targets, gw.Pool = dr, upstream.NewPool(time.Now, gw.Metrics, time.Second)
	gw.Dispatcher = dispatch.New(dr, &reservation.Manager{}, dispatch.Options{Now: time.Now})
	gw.Quarantine = quarantine.New(quarantine.Options{Now: time.Now, Metrics: metrics.NewSet()})
	gw.RetryBudget = budget.NewRetries(1, time.Now)
	gw.RateLimits, gw.BackOffs = ratelimit.New(time.Now), backoff.New(time.Now, func() float64 { return 0 })
	gw.Feedback = feedback.New(feedback.Deps{
		Targets: dr, RateLimits: gw.RateLimits, BackOffs: gw.BackOffs, OnLeavingChange: func() {}, OnRateLimitChange: func() {},
		Log: &log.Logger{Handler: discard.New()}, Now: time.Now,
	})
	gw.Random = func() float64 { return 0 }
	released := make(chan struct{})
	sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gw.ServeHTTP(&slowWriter{ResponseWriter: w, released: released}, r)
	}))
	defer sv.Close()
	rq, err := http.NewRequest(http.MethodPost, sv.URL+"/a/", http.NoBody)
	g.Expect(err).NotTo(HaveOccurred())
	rq.Host = "example.com"
	resp, err := http.DefaultClient.Do(rq)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Eventually(gw.BodyMemory.Used).WithTimeout(timeout).Should(BeNumerically(">", 0), "the stream is read ahead")
	close(released)
	b, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.Count(string(b), "id: ")).To(Equal(events))
	g.Eventually(gw.BodyMemory.Used).WithTimeout(timeout).Should(BeZero(), "the memory is released")
}
