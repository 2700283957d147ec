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

// generous is far longer than anything here takes.
const generous = time.Minute

// server serves on a free port. Each request is noted in came and waits for the end of release.
type server struct {
	hs            *http.Server
	url           string
	came, release chan struct{}
}

func serve(t *testing.T) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sv := &server{url: "http://" + l.Addr().String(), came: make(chan struct{}, 1), release: make(chan struct{})}
	sv.hs = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		sv.came <- struct{}{}
		<-sv.release
	})}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = sv.hs.Serve(l) }() // it always ends with an error
	t.Cleanup(func() { sv.hs.Close(); <-ended })
	return sv
}

// ask sends a request and returns its end.
func (sv *server) ask(t *testing.T) <-chan error {
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

func TestRunWaitsForTheLastAnswer(t *testing.T) {
	g := NewWithT(t)
	sv := serve(t)
	answered := sv.ask(t)
	<-sv.came
	ended := make(chan error, 1)
	refused := make(chan struct{})
	go func() {
		ended <- drain.Plan{RefuseAfter: time.Millisecond, BalancerLag: 2 * time.Millisecond, RefuseNew: func() { close(refused) }, Timeout: generous}.
			Run(context.Background(), sv.hs)
	}()
	<-refused
	g.Expect(ended).NotTo(Receive())
	close(sv.release)
	g.Expect(<-answered).NotTo(HaveOccurred())
	g.Expect(<-ended).NotTo(HaveOccurred())
}

func TestRunGivesUpAtTheEnd(t *testing.T) {
	tests := map[string]drain.Plan{
		"without refusing":   {BalancerLag: time.Millisecond, Timeout: 20 * time.Millisecond},
		"refusing":           {BalancerLag: time.Millisecond, RefuseAfter: time.Millisecond, RefuseNew: func() {}, Timeout: 20 * time.Millisecond},
		"lag over the bound": {BalancerLag: generous, Timeout: 20 * time.Millisecond},
	}
	for name, pl := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sv := serve(t)
			answered := sv.ask(t)
			<-sv.came
			g.Expect(pl.Run(context.Background(), sv.hs)).To(MatchError(context.DeadlineExceeded))
			g.Expect(answered).NotTo(Receive(), "the caller decides what becomes of it")
			close(sv.release)
			g.Expect(<-answered).NotTo(HaveOccurred())
		})
	}
}

// TestRunTellsRequestsToEnd has a request that ends only when it is told to, and one that ended before.
func TestRunTellsRequestsToEnd(t *testing.T) {
	tests := map[string]struct{ answersItself bool }{
		"one is still running": {false},
		"none is left":         {true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sv := serve(t)
			answered := sv.ask(t)
			<-sv.came
			if tc.answersItself {
				close(sv.release)
				g.Expect(<-answered).NotTo(HaveOccurred())
			}
			told := false
			pl := drain.Plan{BalancerLag: time.Millisecond, AbortAfter: 20 * time.Millisecond, Timeout: generous, Abort: func() {
				told = true
				close(sv.release)
			}}
			if tc.answersItself {
				pl.AbortAfter = generous
			}
			g.Expect(pl.Run(context.Background(), sv.hs)).To(Succeed())
			g.Expect(told).To(Equal(!tc.answersItself))
			if !tc.answersItself {
				g.Expect(<-answered).NotTo(HaveOccurred(), "the answer is given before the connection is closed")
			}
		})
	}
}
