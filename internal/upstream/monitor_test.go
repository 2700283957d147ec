package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
)

// TestCancelledRequestIsNotDeliveredLater guards against a request that its target runs after its attempt has ended: the kernel delivered
// the bytes that the target's machine had not acknowledged, and then closed the connection.
func TestCancelledRequestIsNotDeliveredLater(t *testing.T) {
	g := NewWithT(t)
	const bodyBytes = 32 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	pl := NewPool(time.Now, metrics.NewSet(), time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	monitors, done := make(chan Monitor, 1), make(chan error, 1)
	go func() {
		_, err := pl.Do(ctx, Call{
			Address: ln.Addr().String(), Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, bodyBytes),
			OnMonitor: func(mo Monitor) { monitors <- mo },
		})
		done <- err
	}()
	nc, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer nc.Close()
	mo := <-monitors
	// The target reads nothing, so that its machine acknowledges no more than it has room for.
	g.Eventually(mo.Unacknowledged).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
	g.Expect(mo.Acknowledged()).To(BeNumerically("<", bodyBytes))
	g.Expect(mo.HasUnreadData()).To(BeFalse())
	cancel()
	g.Expect(<-done).To(HaveOccurred())
	g.Expect(nc.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = io.Copy(io.Discard, nc)
	g.Expect(err).To(MatchError(ContainSubstring("reset")), "the rest of the request was delivered")
}

// TestClosedWindowIsNoAckSilence guards against a request that is taken for lost because its target reads nothing for a while: the machine
// of the target still acknowledges the probes of the closed receive window.
func TestClosedWindowIsNoAckSilence(t *testing.T) {
	const bodyBytes = 32 << 20
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	pl := NewPool(time.Now, metrics.NewSet(), time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	monitors, done := make(chan Monitor, 1), make(chan error, 1)
	go func() {
		_, err := pl.Do(ctx, Call{
			Address: ln.Addr().String(), Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, bodyBytes),
			OnMonitor: func(mo Monitor) { monitors <- mo },
		})
		done <- err
	}()
	nc, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer nc.Close()
	mo := <-monitors
	g.Eventually(mo.Unacknowledged).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
	// The kernel ends the connection by its user timeout after more than 3 s.
	g.Consistently(mo.AckSilence).WithTimeout(2800 * time.Millisecond).Should(BeNumerically("<", time.Second))
	g.Expect(mo.Unacknowledged()).To(BeNumerically(">", 0))
	cancel()
	g.Expect(<-done).To(HaveOccurred())
}
