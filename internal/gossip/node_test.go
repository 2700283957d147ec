package gossip

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"
)

// waitTimeout is far beyond what any wait in these tests needs, even on a busy machine.
const waitTimeout = 30 * time.Second

// never is an interval longer than any test.
const never = 24 * time.Hour

// node is a mesh together with the arguments of its callbacks.
type node struct {
	ms  *Mesh
	lis net.Listener

	mu            sync.Mutex
	published     []byte
	received      map[string]string
	receivedOrder []string
	lost          []Member
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	// The tests of other packages run at the same time on other loopback addresses. On a shared one, an instance there that keeps
	// dialling a stopped peer could join the mesh here, if the system has reassigned the peer's port.
	lis, err := net.Listen("tcp", "127.0.0.4:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = lis.Close() })
	return lis
}

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	lis := listen(t)
	_ = lis.Close()
	return lis.Addr().String()
}

func newNode(t testing.TB, o Options) *node {
	t.Helper()
	nd := &node{lis: listen(t), received: map[string]string{}}
	nd.published = []byte("state of " + o.Self.Name)
	if o.Self.Incarnation == "" {
		o.Self.Incarnation = "1"
	}
	if o.Self.Address == "" {
		o.Self.Address = nd.lis.Addr().String()
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = 20 * time.Millisecond
	}
	if o.Log == nil {
		o.Log = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
	o.State, o.ReceiveState, o.OnLost = nd.state, nd.receive, nd.memberLost
	nd.ms = New(o)
	return nd
}

// start runs a node until the test ends or the returned function is called.
func (nd *node) start(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	lis := nd.lis
	wg.Go(func() { _ = nd.ms.Serve(ctx, lis) })
	wg.Go(func() { _ = nd.ms.Run(ctx) })
	stop = func() {
		cancel()
		wg.Wait()
	}
	t.Cleanup(stop)
	return stop
}

func startNode(t *testing.T, o Options) *node {
	t.Helper()
	nd := newNode(t, o)
	nd.start(t)
	return nd
}

func (nd *node) address() string { return nd.lis.Addr().String() }

func (nd *node) state() []byte {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.published
}

func (nd *node) publish(published []byte) {
	nd.mu.Lock()
	nd.published = published
	nd.mu.Unlock()
	nd.ms.PublishState()
}

func (nd *node) receive(from Member, state []byte, _ time.Time) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.received[from.Name] = string(state)
	nd.receivedOrder = append(nd.receivedOrder, string(state))
}

func (nd *node) memberLost(m Member) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.lost = append(nd.lost, m)
}

func (nd *node) lostMembers() []Member {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return slices.Clone(nd.lost)
}

func (nd *node) stateOf(name string) func() string {
	return func() string {
		nd.mu.Lock()
		defer nd.mu.Unlock()
		return nd.received[name]
	}
}

func (nd *node) stateCount() int {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return len(nd.received)
}

// receivedFrom returns the names of the members whose state was received, sorted.
func (nd *node) receivedFrom() []string {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return slices.Sorted(maps.Keys(nd.received))
}

func (nd *node) liveNames() []string {
	var names []string
	for _, m := range nd.ms.Live() {
		names = append(names, m.Name)
	}
	return names
}

func (nd *node) linkCount() int {
	nd.ms.mu.Lock()
	defer nd.ms.mu.Unlock()
	return len(nd.ms.links)
}

// peers returns the names of the node's linked peers, sorted and without duplicates.
func (nd *node) peers() []string {
	nd.ms.mu.Lock()
	defer nd.ms.mu.Unlock()
	var names []string
	for lk := range nd.ms.links {
		names = append(names, lk.peer.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
