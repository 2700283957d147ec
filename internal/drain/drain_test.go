package drain_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/drain"
)

// waitTimeout is far longer than any step of these tests takes.
const waitTimeout = time.Minute

// server is an HTTP server on a free port. Each request sends to received and then blocks until release is closed.
type server struct {
	hs                *http.Server
	url               string
	received, release chan struct{}
}

func serve(t *testing.T) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sv := &server{url: "http://" + l.Addr().String(), received: make(chan struct{}, 1), release: make(chan struct{})}
	sv.hs = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		sv.received <- struct{}{}
		<-sv.release
	})}
	done := make(chan struct{})
	go func() { defer close(done); _ = sv.hs.Serve(l) }() // it always ends with an error
	t.Cleanup(func() { sv.hs.Close(); <-done })
	return sv
}

// get sends a request and returns a channel for its result.
func (sv *server) get(t *testing.T) <-chan error {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		resp, err := http.Get(sv.url)
		if err == nil {
			resp.Body.Close()
		}
		done <- err
	}()
	return done
}

func TestRunWaitsForLastResponse(t *testing.T) {
	g := NewWithT(t)
	sv := serve(t)
	result := sv.get(t)
	<-sv.received
	done := make(chan error, 1)
	refused := make(chan struct{})
	go func() {
		done <- drain.Plan{
			RefuseAfter: time.Millisecond, BalancerLag: 2 * time.Millisecond, RefuseNew: func() { close(refused) }, Timeout: waitTimeout,
		}.Run(context.Background(), sv.hs)
	}()
	<-refused
	g.Expect(done).NotTo(Receive())
	close(sv.release)
	g.Expect(<-result).NotTo(HaveOccurred())
	g.Expect(<-done).NotTo(HaveOccurred())
}

func TestRunReturnsErrorAtTimeout(t *testing.T) {
	tests := map[string]drain.Plan{
		"without RefuseNew": {BalancerLag: time.Millisecond, Timeout: 20 * time.Millisecond},
		"with RefuseNew": {
			BalancerLag: time.Millisecond, RefuseAfter: time.Millisecond, RefuseNew: func() {}, Timeout: 20 * time.Millisecond,
		},
		"balancer lag longer than the timeout": {BalancerLag: waitTimeout, Timeout: 20 * time.Millisecond},
	}
	for name, pl := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sv := serve(t)
			result := sv.get(t)
			<-sv.received
			g.Expect(pl.Run(context.Background(), sv.hs)).To(MatchError(context.DeadlineExceeded))
			g.Expect(result).NotTo(Receive(), "the caller of Run decides what happens to the request")
			close(sv.release)
			g.Expect(<-result).NotTo(HaveOccurred())
		})
	}
}

// TestRunAbortsRequests runs a plan with a request that ends only when it is aborted, and with one that has ended before.
func TestRunAbortsRequests(t *testing.T) {
	tests := map[string]struct{ endsItself bool }{
		"request in flight":    {false},
		"no request in flight": {true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sv := serve(t)
			result := sv.get(t)
			<-sv.received
			if tc.endsItself {
				close(sv.release)
				g.Expect(<-result).NotTo(HaveOccurred())
			}
			aborted := false
			pl := drain.Plan{BalancerLag: time.Millisecond, AbortAfter: 20 * time.Millisecond, Timeout: waitTimeout, Abort: func() {
				aborted = true
				close(sv.release)
			}}
			if tc.endsItself {
				pl.AbortAfter = waitTimeout
			}
			g.Expect(pl.Run(context.Background(), sv.hs)).To(Succeed())
			g.Expect(aborted).To(Equal(!tc.endsItself))
			if !tc.endsItself {
				g.Expect(<-result).NotTo(HaveOccurred(), "the response is sent before the connection is closed")
			}
		})
	}
}
