package tunnelserver_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/tunnel"
	"github.com/silvermount/silvermount/internal/tunnelframe"
	"github.com/silvermount/silvermount/internal/tunnelserver"
	"github.com/silvermount/silvermount/internal/upstream"
)

// waitTimeout is far longer than any step of these tests takes.
const waitTimeout = 10 * time.Second

// fixture is a server, and a target that hands its connections to the test.
type fixture struct {
	*WithT
	server   *tunnelserver.Server
	address  string
	target   net.Listener
	accepted chan *net.TCPConn
	cutOff   bool
}

func newFixture(t *testing.T) *fixture {
	fx := &fixture{WithT: NewWithT(t), accepted: make(chan *net.TCPConn, 8)}
	fx.target = fx.listen(t)
	go func() {
		for {
			nc, err := fx.target.Accept()
			if err != nil {
				return
			}
			fx.accepted <- nc.(*net.TCPConn)
		}
	}()
	lis := fx.listen(t)
	fx.address = lis.Addr().String()
	dialer := upstream.Dialer{Timeout: waitTimeout, Connect: upstream.Connect, Now: time.Now, Paused: func() time.Duration { return 0 }}
	fx.server = tunnelserver.New(tunnelserver.Deps{
		Dial: dialer.Dial, IsTarget: func(address string) bool { return address != "127.0.0.1:9" }, CutOff: func() bool { return fx.cutOff },
		HasNoPath: func(address string) bool { return address == "127.0.0.1:2" },
		LastSign:  func() time.Time { return time.Time{} }, Liveness: upstream.Liveness, Metrics: metrics.NewSet(),
		Log: &log.Logger{Handler: discard.New()}, Now: time.Now,
	})
	// It ends with the listener.
	go func() { _ = fx.server.Serve(lis) }()
	return fx
}

func (fx *fixture) listen(t *testing.T) net.Listener {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	fx.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { lis.Close() })
	return lis
}

// ask asks for a tunnel to an address, as a peer of an older build that knows no frames.
func (fx *fixture) ask(t *testing.T, address string) (*net.TCPConn, tunnel.Reply) {
	return fx.askWith(t, tunnel.Request{Address: address, Instance: "i"})
}

func (fx *fixture) askWith(t *testing.T, rq tunnel.Request) (*net.TCPConn, tunnel.Reply) {
	nc, err := net.Dial("tcp", fx.address)
	fx.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { nc.Close() })
	fx.Expect(nc.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	fx.Expect(tunnel.Write(nc, rq)).To(Succeed())
	rp, err := tunnel.Read[tunnel.Reply](nc)
	fx.Expect(err).NotTo(HaveOccurred())
	return nc.(*net.TCPConn), rp
}

func (fx *fixture) open(t *testing.T) (peer, target *net.TCPConn) {
	peer, rp := fx.ask(t, fx.target.Addr().String())
	fx.Expect(rp.Outcome).To(Equal(tunnel.Connected))
	target = <-fx.accepted
	t.Cleanup(func() { target.Close() })
	fx.Expect(target.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	return peer, target
}

func (fx *fixture) expectTransfer(from, to net.Conn, text string) {
	_, err := io.WriteString(from, text)
	fx.Expect(err).NotTo(HaveOccurred())
	b := make([]byte, len(text))
	_, err = io.ReadFull(to, b)
	fx.Expect(err).NotTo(HaveOccurred())
	fx.Expect(string(b)).To(Equal(text))
}

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		prepare func(fx *fixture)
		address string
		want    tunnel.Outcome
	}{
		"unknown target":             {func(*fixture) {}, "127.0.0.1:9", tunnel.UnknownTarget},
		"target refuses":             {func(*fixture) {}, "127.0.0.1:1", tunnel.Refused},
		"instance is cut off":        {func(fx *fixture) { fx.cutOff = true }, "127.0.0.1:1", tunnel.CutOff},
		"path to the target is lost": {func(*fixture) {}, "127.0.0.1:2", tunnel.NoPath},
		"instance stops":             {func(fx *fixture) { fx.server.Drain() }, "127.0.0.1:1", tunnel.Stopping},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			tc.prepare(fx)
			_, rp := fx.ask(t, tc.address)
			fx.Expect(rp.Outcome).To(Equal(tc.want))
			fx.Expect(fx.server.OpenCount()).To(BeZero())
		})
	}
}

// TestEndsOfTunnel checks how the end of one side reaches the other.
func TestEndsOfTunnel(t *testing.T) {
	tests := map[string]struct {
		end  func(fx *fixture, peer, target *net.TCPConn)
		seen func(peer, target *net.TCPConn) *net.TCPConn
		// orderly is set if the other side sees an orderly end.
		orderly bool
	}{
		"the peer closes":    {func(_ *fixture, peer, _ *net.TCPConn) { peer.Close() }, func(_, target *net.TCPConn) *net.TCPConn { return target }, true},
		"the target closes":  {func(_ *fixture, _, target *net.TCPConn) { target.Close() }, func(peer, _ *net.TCPConn) *net.TCPConn { return peer }, true},
		"the target resets":  {func(fx *fixture, _, target *net.TCPConn) { reset(fx, target) }, func(peer, _ *net.TCPConn) *net.TCPConn { return peer }, false},
		"the peer resets":    {func(fx *fixture, peer, _ *net.TCPConn) { reset(fx, peer) }, func(_, target *net.TCPConn) *net.TCPConn { return target }, false},
		"the server is done": {func(fx *fixture, _, _ *net.TCPConn) { closeNow(fx) }, func(peer, _ *net.TCPConn) *net.TCPConn { return peer }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			peer, target := fx.open(t)
			fx.expectTransfer(peer, target, "request")
			fx.expectTransfer(target, peer, "response")
			tc.end(fx, peer, target)
			_, err := tc.seen(peer, target).Read(make([]byte, 1))
			fx.Expect(err).To(HaveOccurred())
			fx.Expect(errors.Is(err, io.EOF)).To(Equal(tc.orderly), "%v", err)
		})
	}
}

// TestEndsOfFramedTunnel checks that a peer which takes frames can tell the end of the target's connection from that of the tunnel, and
// gets all data before it.
func TestEndsOfFramedTunnel(t *testing.T) {
	tests := map[string]struct {
		end func(fx *fixture, peer, target *net.TCPConn)
		// want is the error at the peer; nil for a tunnel.CutError.
		want error
	}{
		"the target closes":  {func(_ *fixture, _, target *net.TCPConn) { target.Close() }, io.EOF},
		"the target resets":  {func(fx *fixture, _, target *net.TCPConn) { reset(fx, target) }, syscall.ECONNRESET},
		"the server is done": {func(fx *fixture, _, _ *net.TCPConn) { closeNow(fx) }, nil},
		"the target resets while the request is sent": {func(fx *fixture, peer, target *net.TCPConn) {
			reset(fx, target)
			for range 100 {
				if _, err := peer.Write(make([]byte, 1<<10)); err != nil {
					break
				}
			}
		}, syscall.ECONNRESET},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			peer, rp := fx.askWith(t, tunnel.Request{Address: fx.target.Addr().String(), Instance: "i", Framed: true})
			fx.Expect(rp.Outcome).To(Equal(tunnel.Connected))
			fx.Expect(rp.Framed).To(BeTrue())
			target := <-fx.accepted
			fx.expectTransfer(peer, target, "request")
			_, err := io.WriteString(target, "response")
			fx.Expect(err).NotTo(HaveOccurred())
			rd := tunnelframe.NewReader(peer)
			b := make([]byte, len("response"))
			_, err = io.ReadFull(rd, b)
			fx.Expect(err).NotTo(HaveOccurred())
			fx.Expect(string(b)).To(Equal("response"))
			tc.end(fx, peer, target)
			_, err = rd.Read(b)
			var ce *tunnel.CutError
			fx.Expect(errors.As(err, &ce)).To(Equal(tc.want == nil), "%v", err)
			if tc.want != nil {
				fx.Expect(errors.Is(err, tc.want)).To(BeTrue(), "%v", err)
			}
		})
	}
}

func reset(fx *fixture, tc *net.TCPConn) {
	fx.Expect(tc.SetLinger(0)).To(Succeed())
	fx.Expect(tc.Close()).To(Succeed())
}

func closeNow(fx *fixture) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	fx.server.Close(ctx)
}

// TestCloseWaitsForOpenTunnels checks that a stop leaves the tunnels in use open until they end.
func TestCloseWaitsForOpenTunnels(t *testing.T) {
	fx := newFixture(t)
	peer, target := fx.open(t)
	closed := make(chan struct{})
	go func() {
		fx.server.Close(context.Background())
		close(closed)
	}()
	fx.Eventually(func() tunnel.Outcome {
		_, rp := fx.ask(t, fx.target.Addr().String())
		return rp.Outcome
	}).WithTimeout(waitTimeout).Should(Equal(tunnel.Stopping))
	fx.expectTransfer(target, peer, "the rest of a response")
	fx.Expect(closed).NotTo(BeClosed())
	fx.Expect(peer.Close()).To(Succeed())
	fx.Eventually(closed).WithTimeout(waitTimeout).Should(BeClosed())
}

// TestSlowReaderHoldsBackSender checks that the server buffers only a bounded part of what one side does not read.
func TestSlowReaderHoldsBackSender(t *testing.T) {
	const chunk, maxSent = 64 << 10, 64 << 20
	fx := newFixture(t)
	_, target := fx.open(t)
	sent := 0
	for sent < maxSent {
		fx.Expect(target.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
		n, err := target.Write(make([]byte, chunk))
		sent += n
		if err != nil {
			break
		}
	}
	fx.Expect(sent).To(BeNumerically("<", maxSent))
}
