package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/gateway"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

// slowBytesPerSecond is the rate of a slow party.
const slowBytesPerSecond = 1 << 10

// readSlowly reads at slowBytesPerSecond until the connection is closed.
func readSlowly(r io.Reader) {
	const period = 50 * time.Millisecond
	b := make([]byte, slowBytesPerSecond*int(period)/int(time.Second))
	for {
		if _, err := r.Read(b); err != nil {
			return
		}
		time.Sleep(period)
	}
}

// serveSlowParties answers requests by their path: /slow and /stop read the request slowly or not at all, /big answers it with a large body,
// all others are read and answered at once.
func serveSlowParties(ctx context.Context, bigBody []byte) func(net.Conn, *bufio.Reader, *http.Request) {
	return func(nc net.Conn, _ *bufio.Reader, rq *http.Request) {
		switch {
		case strings.HasPrefix(rq.URL.Path, "/slow"):
			readSlowly(rq.Body)
			return
		case strings.HasPrefix(rq.URL.Path, "/stop"):
			<-ctx.Done()
			return
		}
		n, err := io.Copy(io.Discard, rq.Body)
		if err != nil {
			return
		}
		body := []byte(strconv.FormatInt(n, 10))
		if strings.HasPrefix(rq.URL.Path, "/big") {
			body = bigBody
		}
		// Both fail if the connection is closed, which the next read reports.
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		_, _ = nc.Write(body)
	}
}

// readWhole reads a response, and returns its status and whether its body is complete.
func readWhole(nc net.Conn) (status int, body string, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// TestSlowPartiesLeaveMemoryToOthers guards against slow callers and targets that take the memory of the instance, or that make it refuse other
// callers. 200 of them, with bodies of 4 MB, are served beside others by one process.
func TestSlowPartiesLeaveMemoryToOthers(t *testing.T) {
	const (
		slowEach = 50
		others   = 60
		// bodyBytes is the size of a large body, five of which leave no memory for another body, and otherBytes that of the other callers' bodies.
		bodyBytes, otherBytes = 4<<20 - 4<<10, 200_000
		// memoryBytes is the default budget, maxHeldBytes half of the memory of the smallest instance.
		memoryBytes, maxHeldBytes = 20 << 20, 92_000_000
		// retryDelay is after what time a slow request that was refused or ended is sent again.
		retryDelay = 200 * time.Millisecond
		settleTime = time.Second
		// maxDelay bounds the time of one of the other callers on a busy machine with the race detector. A quiet one needs milliseconds.
		maxDelay = 10 * time.Second
	)
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	address, _ := startRawTarget(t, serveSlowParties(ctx, bytes.Repeat([]byte("x"), bodyBytes)))
	gw := newGatewayWithTarget(address, routes.Route{Timeout: 30 * time.Second, Objective: 30 * time.Second, MaxAttempts: 1})
	gw.Targets.ApplyList([]targets.Target{{ID: "t", Service: "s", Address: address, Slots: 1000}}, nil, position.Position{Revision: 2}, time.Now())
	gw.SetLimits(gateway.Limits{MaxBodyBytes: 4 << 20, MaxResponseBytes: 256 << 20})
	gw.BodyMemory = budget.NewMemory(memoryBytes)
	sv := serveGateway(t, gw)
	large, small := bytes.Repeat([]byte("x"), bodyBytes), bytes.Repeat([]byte("y"), otherBytes)
	hw := startHeapWatch()
	var wg sync.WaitGroup
	defer func() { cancel(); wg.Wait() }()
	var mu sync.Mutex
	var looksComplete []string
	// slow sends a request, and sends it again whenever it has ended.
	slow := func(path string, body []byte, read func(nc net.Conn)) {
		attempt := func() {
			nc, err := sendOver(ctx, sv, path, body)
			if nc == nil {
				return // the test has ended
			}
			defer nc.Close()
			stop := context.AfterFunc(ctx, func() { nc.Close() })
			defer stop()
			if err == nil && read != nil {
				read(nc)
				return
			}
			status, _, err := readWhole(nc)
			if status == http.StatusOK && err == nil {
				mu.Lock()
				looksComplete = append(looksComplete, path)
				mu.Unlock()
			}
		}
		wg.Go(func() {
			for ctx.Err() == nil {
				attempt()
				time.Sleep(retryDelay)
			}
		})
	}
	for i := range slowEach {
		slow(fmt.Sprint("/slow/", i), large, nil)
		slow(fmt.Sprint("/stop/", i), large, nil)
		slow(fmt.Sprint("/big/slow/", i), small[:1000], func(nc net.Conn) { readSlowly(nc) })
		slow(fmt.Sprint("/big/stop/", i), small[:1000], func(net.Conn) { <-ctx.Done() })
	}
	// Until then the slow ones arrive all at once, which is more than a burst of large bodies may need.
	time.Sleep(settleTime)
	var delays []time.Duration
	for i := range others {
		startedAt := time.Now()
		nc, err := sendOver(ctx, sv, fmt.Sprint("/other/", i), small)
		g.Expect(err).NotTo(HaveOccurred())
		status, answer, err := readWhole(nc)
		nc.Close()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK), "caller %d: %s", i, answer)
		g.Expect(answer).To(Equal(strconv.Itoa(otherBytes)))
		delays = append(delays, time.Since(startedAt))
		time.Sleep(50 * time.Millisecond)
	}
	held := hw.stop()
	slices.Sort(delays)
	ended := gw.Metrics.GetOrCreateCounter("silvermount_slow_transfers_ended_total").Get()
	t.Logf("heap grew by %.1f MB at most; others: median %v, slowest %v; %d slow transfers ended",
		float64(held)/1e6, delays[len(delays)/2], delays[len(delays)-1], ended)
	g.Expect(held).To(BeNumerically("<", maxHeldBytes))
	g.Expect(delays[len(delays)-1]).To(BeNumerically("<", maxDelay))
	g.Expect(ended).To(BeNumerically(">", 0))
	cancel()
	wg.Wait()
	g.Expect(looksComplete).To(BeEmpty())
	g.Eventually(gw.BodyMemory.Used).WithTimeout(10 * time.Second).Should(BeZero())
}
