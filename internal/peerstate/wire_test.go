package peerstate

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gossip"
)

const (
	// quiet is an interval without heartbeats while a test runs.
	heartbeatInterval = time.Hour
	// arrives is the time after which a state counts as lost: far longer than any takes.
	deliveryTimeout = 30 * time.Second
	// mostFraming is the most that gossip and drpc may add to a state: numbers of a few bytes and their tags.
	maxFraming = 40
)

// countingListener counts the bytes that its connections receive.
type countingListener struct {
	net.Listener
	received *atomic.Int64
}

func (cl countingListener) Accept() (net.Conn, error) {
	nc, err := cl.Listener.Accept()
	return countingConn{Conn: nc, received: cl.received}, err
}

type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (cc countingConn) Read(b []byte) (int, error) {
	n, err := cc.Conn.Read(b)
	cc.received.Add(int64(n))
	return n, err
}

// node is a mesh of which a test sets the state.
type node struct {
	ms        *gossip.Mesh
	lis       net.Listener
	received  atomic.Int64
	payload   atomic.Pointer[[]byte]
	delivered chan int
}

// startNode starts a mesh that lasts as long as the test.
func startNode(t *testing.T, name string, seeds ...string) *node {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	nd := &node{lis: lis, delivered: make(chan int, 16)}
	nd.ms = gossip.New(gossip.Options{
		Self:  gossip.Member{Name: name, Incarnation: name + "-1", Address: lis.Addr().String(), AvailabilityZone: name},
		Seeds: seeds, Interval: heartbeatInterval, Lost: 8 * heartbeatInterval, Body: nd.state,
		Receive: func(_ gossip.Member, body []byte, _ time.Time) { nd.delivered <- len(body) },
		Log:     &log.Logger{Handler: discard.New()},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = nd.ms.Serve(ctx, countingListener{Listener: lis, received: &nd.received}) })
	wg.Go(func() { _ = nd.ms.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return nd
}

func (nd *node) state() []byte {
	if b := nd.payload.Load(); b != nil {
		return *b
	}
	return nil
}

// publish tells a state, and returns the bytes on the wire once the peer has heard it.
func (nd *node) publish(g Gomega, peer *node, body []byte) int64 {
	before := peer.received.Load()
	nd.payload.Store(&body)
	nd.ms.Publish()
	g.Eventually(peer.delivered, deliveryTimeout).Should(Receive(Equal(len(body))))
	return peer.received.Load() - before
}

// TestBytesOfAPublish measures what one publish costs for each peer above TCP.
func TestBytesOfAPublish(t *testing.T) {
	g := NewWithT(t)
	there := startNode(t, "b")
	here := startNode(t, "a", there.lis.Addr().String())
	first, err := State{}.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	// The first exchange also holds the cards of both and what drpc says once.
	here.payload.Store(&first)
	g.Eventually(func() <-chan int {
		// Each signal also dials again, should the first attempt have failed.
		here.ms.Publish()
		return there.delivered
	}, deliveryTimeout).Should(Receive(Equal(len(first))))
	t.Logf("link and first state: %d bytes", there.received.Load())
	for seed := range uint64(5) {
		body, err := typicalState(seed).Encode()
		g.Expect(err).NotTo(HaveOccurred())
		wire := here.publish(g, there, body)
		t.Logf("state %d bytes, on the wire %d, framing %d", len(body), wire, wire-int64(len(body)))
		g.Expect(wire).To(And(BeNumerically(">", len(body)), BeNumerically("<", len(body)+maxFraming)))
	}
}
