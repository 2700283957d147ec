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
	// heartbeatInterval is so long that no heartbeat is sent while a test runs.
	heartbeatInterval = time.Hour
	// deliveryTimeout is the time after which a state counts as lost. It is far longer than any delivery takes.
	deliveryTimeout = 30 * time.Second
	// maxFraming bounds the bytes that gossip and drpc add to a state: a few short integers and their tags.
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

// node is a gossip mesh whose published state the test sets.
type node struct {
	ms        *gossip.Mesh
	lis       net.Listener
	received  atomic.Int64
	payload   atomic.Pointer[[]byte]
	delivered chan int
}

// startNode starts a mesh that runs until the end of the test.
func startNode(t *testing.T, name string, seeds ...string) *node {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	nd := &node{lis: lis, delivered: make(chan int, 16)}
	nd.ms = gossip.New(gossip.Options{
		Self:  gossip.Member{Name: name, Incarnation: name + "-1", Address: lis.Addr().String(), AvailabilityZone: name},
		Seeds: seeds, HeartbeatInterval: heartbeatInterval, LostAfter: 8 * heartbeatInterval, State: nd.state,
		ReceiveState: func(_ gossip.Member, body []byte, _ time.Time) { nd.delivered <- len(body) },
		Log:          &log.Logger{Handler: discard.New()},
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

// publish publishes a state and returns the bytes that the peer has received on the wire when the state arrives.
func (nd *node) publish(g Gomega, peer *node, body []byte) int64 {
	before := peer.received.Load()
	nd.payload.Store(&body)
	nd.ms.PublishState()
	g.Eventually(peer.delivered, deliveryTimeout).Should(Receive(Equal(len(body))))
	return peer.received.Load() - before
}

// awaitLinkStart waits until the link of two nodes has exchanged all that its start causes. The sender sends its whole record again once
// it has the subscription of its peer. That arrives before any state of the peer, and the record with or before the next state of the
// sender.
func awaitLinkStart(g Gomega, sender, receiver *node, receiverState []byte) {
	receiver.payload.Store(&receiverState)
	receiver.ms.PublishState()
	g.Eventually(sender.delivered, deliveryTimeout).Should(Receive(Equal(len(receiverState))))
	marker, err := typicalState(markerSeed).Encode()
	g.Expect(err).NotTo(HaveOccurred())
	sender.publish(g, receiver, marker)
}

// markerSeed is the seed of a state that differs from those that are measured.
const markerSeed = 1000

// TestBytesOfAPublish bounds the bytes above TCP that one publish costs for each peer.
func TestBytesOfAPublish(t *testing.T) {
	g := NewWithT(t)
	receiver := startNode(t, "b")
	sender := startNode(t, "a", receiver.lis.Addr().String())
	first, err := State{}.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	// The first exchange also carries the member records of both nodes and the preamble of drpc.
	sender.payload.Store(&first)
	g.Eventually(func() <-chan int {
		// Each Publish also dials again, in case the first attempt failed.
		sender.ms.PublishState()
		return receiver.delivered
	}, deliveryTimeout).Should(Receive(Equal(len(first))))
	t.Logf("link and first state: %d bytes", receiver.received.Load())
	awaitLinkStart(g, sender, receiver, first)
	for seed := range uint64(5) {
		body, err := typicalState(seed).Encode()
		g.Expect(err).NotTo(HaveOccurred())
		wire := sender.publish(g, receiver, body)
		t.Logf("state %d bytes, %d on the wire, framing %d", len(body), wire, wire-int64(len(body)))
		g.Expect(wire).To(And(BeNumerically(">", len(body)), BeNumerically("<", len(body)+maxFraming)))
	}
}
