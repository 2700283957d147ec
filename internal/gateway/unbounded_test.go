package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/routes"
)

// heapWatch records the largest growth of the heap.
type heapWatch struct {
	base       int64
	most       atomic.Int64
	done, over chan struct{}
}

func startHeapWatch() *heapWatch {
	runtime.GC()
	hw := &heapWatch{base: heapBytes(), done: make(chan struct{}), over: make(chan struct{})}
	go func() {
		defer close(hw.over)
		for {
			select {
			case <-hw.done:
				return
			case <-time.After(2 * time.Millisecond):
				hw.most.Store(max(hw.most.Load(), heapBytes()-hw.base))
			}
		}
	}()
	return hw
}

func heapBytes() int64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// stop returns the largest growth in bytes.
func (hw *heapWatch) stop() int64 { close(hw.done); <-hw.over; return hw.most.Load() }

// startRawTarget starts a target that serves each connection with a function. The returned counter is the number of open
// connections that have carried a request.
func startRawTarget(t *testing.T, serve func(nc net.Conn, br *bufio.Reader, rq *http.Request)) (address string, open *atomic.Int64) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = lis.Close() })
	open = &atomic.Int64{}
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				br := bufio.NewReader(nc)
				rq, err := http.ReadRequest(br)
				if err != nil {
					return // a probe
				}
				open.Add(1)
				defer open.Add(-1)
				for err == nil {
					serve(nc, br, rq)
					rq, err = http.ReadRequest(br)
				}
			}()
		}
	}()
	return lis.Addr().String(), open
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// repeatChunks writes a first chunk, and then another until the connection is closed.
func repeatChunks(nc net.Conn, first, part string, pause time.Duration) {
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	_, err := io.WriteString(nc, chunkedHead+chunk(first))
	for err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(nc, chunk(part))
	}
	nc.Close()
}

// serveGateway starts a server with a gateway and returns its address.
func serveGateway(t *testing.T, gw *gateway.Gateway) string {
	t.Helper()
	sv := httptest.NewServer(gw)
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

// sendOver sends a request on a new connection.
func sendOver(ctx context.Context, address, path string, body []byte) (net.Conn, error) {
	var dl net.Dialer
	nc, err := dl.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: example.com\r\nContent-Length: %d\r\n\r\n", path, len(body)); err != nil {
		return nc, err
	}
	_, err = nc.Write(body)
	return nc, err
}

// TestResponseWithoutEndIsCutOff guards against a target that writes an event or a body without end: it takes no more memory than the bound,
// ends long before the deadline where it exceeds a size, and the caller's response never looks complete.
func TestResponseWithoutEndIsCutOff(t *testing.T) {
	const maxResponseBytes, maxHeldBytes = 8 << 20, 32 << 20
	long := strings.Repeat("x", 32<<10)
	tests := map[string]struct {
		streaming    bool
		first, part  string
		pause        time.Duration
		timeout      time.Duration
		contentBytes int64
		// wantStatus is that of the response; 200 means one that begins and breaks off.
		wantStatus int
	}{
		"one line of an event": {streaming: true, first: "data: ", part: long, timeout: time.Minute, wantStatus: 502},
		"lines of one event":   {streaming: true, first: "data: \n", part: "data: " + long + "\n", timeout: time.Minute, wantStatus: 502},
		"short lines":          {streaming: true, first: "data: \n", part: strings.Repeat(":\n", 1<<10), timeout: time.Minute, wantStatus: 502},
		"empty lines":          {streaming: true, first: "\n", part: strings.Repeat("\n", 4<<10), timeout: time.Minute, wantStatus: 502},
		"line after an event":  {streaming: true, first: "id: 1\ndata: a\n\n", part: long, timeout: time.Minute, wantStatus: 200},
		"events":               {streaming: true, first: "", part: "data: " + long + "\n\n", timeout: time.Minute, wantStatus: 200},
		"event that trickles":  {streaming: true, first: "data: ", part: "x", pause: 2 * time.Millisecond, timeout: time.Second, wantStatus: 504},
		"body":                 {first: "x", part: long, timeout: time.Minute, wantStatus: 200},
		"body that trickles":   {first: strings.Repeat(long, 9), part: "x", pause: 2 * time.Millisecond, timeout: time.Second, wantStatus: 200},
		"start of a body":      {first: "x", part: "x", pause: 2 * time.Millisecond, timeout: time.Second, wantStatus: 504},
		"announced body":       {contentBytes: maxResponseBytes + 1, timeout: time.Minute, wantStatus: 502},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, open := startRawTarget(t, func(nc net.Conn, _ *bufio.Reader, _ *http.Request) {
				if tc.contentBytes > 0 {
					fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", tc.contentBytes)
					return
				}
				first := tc.first
				if first == "" {
					first = tc.part
				}
				repeatChunks(nc, first, tc.part, tc.pause)
			})
			gw := newGatewayWithTarget(address, routes.Route{Timeout: tc.timeout, Objective: time.Second, Streaming: tc.streaming, MaxAttempts: 1})
			gw.SetLimits(gateway.Limits{MaxBodyBytes: 100, MaxResponseBytes: maxResponseBytes})
			hw := startHeapWatch()
			startedAt := time.Now()
			nc, err := sendOver(t.Context(), serveGateway(t, gw), "/a", nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer nc.Close()
			// An event without end is given up by its size, not by this.
			g.Expect(nc.SetReadDeadline(startedAt.Add(20 * time.Second))).To(Succeed())
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			n, err := io.Copy(io.Discard, resp.Body)
			t.Logf("status %d, %d bytes after %v, heap grew by %d KiB", resp.StatusCode, n, time.Since(startedAt), hw.stop()>>10)
			g.Expect(hw.most.Load()).To(BeNumerically("<", maxHeldBytes))
			g.Expect(resp.StatusCode).To(Equal(tc.wantStatus))
			if tc.wantStatus == http.StatusOK {
				g.Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "the response does not look complete: %v", err)
			}
			g.Expect(n).To(BeNumerically("<=", maxResponseBytes))
			g.Eventually(open.Load).WithTimeout(5*time.Second).Should(BeZero(), "the connection to the target is closed")
			g.Eventually(gw.BodyMemory.Used).WithTimeout(5 * time.Second).Should(BeZero())
		})
	}
}
