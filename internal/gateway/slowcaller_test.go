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

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/routes"
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
	gw := newGatewayWithTarget(address, routes.Route{Timeout: time.Minute, Objective: time.Minute, Streaming: true, MaxAttempts: 1})
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
