package targetdial_test

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/pathstate"
	"github.com/silvermount/silvermount/internal/targetdial"
	"github.com/silvermount/silvermount/internal/tunnelclient"
	"github.com/silvermount/silvermount/internal/upstream"
)

// directTimeout is how long a direct connection that hangs takes to fail. It exceeds the delay after which peers are asked.
const directTimeout = 200 * time.Millisecond

// network says what becomes of connections. It counts direct attempts.
type network struct {
	g *WithT
	// ctx ends with the test, before lis is closed. Attempts may continue after it.
	ctx     context.Context
	lis     net.Listener
	direct  atomic.Value
	peers   atomic.Value
	dials   atomic.Int64
	tunnels atomic.Int64
}

// The outcomes of attempts.
const (
	works   = "works"
	hangs   = "hangs"
	refuses = "refuses"
	blames  = "blames"
	doubts  = "doubts"
	paused  = "paused"
	waits   = "waits"
	late    = "late"
	slow    = "slow"
)

func newNetwork(t *testing.T, direct, peers string) *network {
	nw := &network{g: NewWithT(t), ctx: t.Context()}
	var err error
	nw.lis, err = net.Listen("tcp", "127.0.0.1:0")
	nw.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { nw.lis.Close() })
	nw.direct.Store(direct)
	nw.peers.Store(peers)
	return nw
}

func (nw *network) connect() (net.Conn, error) {
	nc, err := net.Dial("tcp", nw.lis.Addr().String())
	if nw.ctx.Err() == nil {
		nw.g.Expect(err).NotTo(HaveOccurred())
	}
	return nc, err
}

func (nw *network) dialDirect(_ context.Context, address string) (net.Conn, error) {
	nw.dials.Add(1)
	switch nw.direct.Load() {
	case works:
		return nw.connect()
	case refuses:
		return nil, &upstream.DialError{Address: address, Cause: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	time.Sleep(directTimeout)
	if nw.direct.Load() == slow {
		return nw.connect()
	}
	return nil, &upstream.DialError{Address: address, Cause: os.ErrDeadlineExceeded, ProcessPaused: nw.direct.Load() == paused}
}

func (nw *network) dialPeer(ctx context.Context, _ string) (*tunnelclient.Conn, error) {
	switch nw.peers.Load() {
	case waits:
		<-ctx.Done()
		return nil, &tunnelclient.FailureError{Asked: 2}
	case late:
		<-ctx.Done()
		time.Sleep(directTimeout)
		return nil, &tunnelclient.FailureError{Asked: 2}
	case works:
		nw.tunnels.Add(1)
		nc, err := nw.connect()
		if err != nil {
			return nil, &tunnelclient.FailureError{}
		}
		return &tunnelclient.Conn{TCPConn: nc.(*net.TCPConn)}, nil
	case blames:
		return nil, &tunnelclient.FailureError{Asked: 2, Blamed: true}
	case refuses:
		return nil, &tunnelclient.FailureError{Asked: 2, Blamed: true, Refused: true}
	case doubts:
		return nil, &tunnelclient.FailureError{Asked: 2}
	}
	return nil, &tunnelclient.FailureError{}
}

func (nw *network) dialer(tr *pathstate.Tracker) *targetdial.Dialer {
	return targetdial.New(targetdial.Deps{
		Direct: nw.dialDirect, ThroughPeer: nw.dialPeer, IsPeerUsable: func(peer string) bool { return peer == "usable" }, Paths: tr,
		IsTarget: func(string) bool { return true }, Addresses: func() []string { return []string{"a", "b", "other"} }, Now: time.Now,
	})
}

func TestDial(t *testing.T) {
	tests := map[string]struct {
		direct, peers string
		wantConn      bool
		// wantRefused is set if the failure shows that the target's process has ended, wantLost if only the path is lost.
		wantRefused, wantLost bool
	}{
		"direct":                             {works, doubts, true, false, false},
		"path hangs":                         {hangs, works, true, false, true},
		"path refuses":                       {refuses, works, true, false, true},
		"this process was paused":            {paused, works, true, false, false},
		"target hangs":                       {hangs, blames, false, false, false},
		"target has ended":                   {refuses, refuses, false, true, false},
		"target has ended, no peers":         {refuses, "none", false, true, false},
		"refused, and peers cannot tell why": {refuses, doubts, false, false, false},
		"hangs, and peers cannot tell why":   {hangs, doubts, false, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nw := newNetwork(t, tc.direct, tc.peers)
			tr := pathstate.New(time.Now)
			nc, err := nw.dialer(tr).Dial(t.Context(), "a")
			nw.g.Expect(err == nil).To(Equal(tc.wantConn), "%v", err)
			if err == nil {
				nc.Close()
			} else {
				var de *upstream.DialError
				nw.g.Expect(errors.As(err, &de)).To(BeTrue())
				nw.g.Expect(de.Refused()).To(Equal(tc.wantRefused))
			}
			if !tc.wantLost {
				nw.g.Consistently(func() bool { return tr.IsLost("a") }).WithTimeout(2 * directTimeout).Should(BeFalse())
				return
			}
			nw.g.Eventually(func() bool { return tr.IsLost("a") }).WithTimeout(10 * time.Second).Should(BeTrue())
		})
	}
}

// TestLostPathIsNotTriedAgainByRequests checks that only probes connect directly to a target whose path is lost, and that they end this.
func TestLostPathIsNotTriedAgainByRequests(t *testing.T) {
	nw := newNetwork(t, refuses, works)
	tr := pathstate.New(time.Now)
	dl := nw.dialer(tr)
	dial := func(address string) {
		nc, err := dl.Dial(t.Context(), address)
		nw.g.Expect(err).NotTo(HaveOccurred())
		nc.Close()
	}
	dial("a")
	dial("b")
	nw.g.Expect(tr.AllLost()).To(BeTrue())
	before := nw.dials.Load()
	for range 20 {
		dial("a")
		dial("b")
	}
	nw.g.Expect(nw.dials.Load()).To(Equal(before))
	dial("never used before")
	nw.g.Eventually(func() pathstate.Route { return tr.Route("never used before") }).WithTimeout(10 * time.Second).Should(Equal(pathstate.PeersFirst))
	for range 20 {
		dial("never used before")
	}
	nw.g.Expect(nw.dials.Load()).To(Equal(before + 1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go dl.Run(ctx)
	nw.g.Eventually(nw.dials.Load).WithTimeout(10 * time.Second).Should(BeNumerically(">", before))
	nw.g.Expect(tr.AllLost()).To(BeTrue())
	nw.direct.Store(works)
	nw.g.Eventually(tr.AllLost).WithTimeout(10 * time.Second).Should(BeFalse())
	nw.g.Eventually(func() pathstate.Route { return tr.Route("never used before") }).WithTimeout(10 * time.Second).Should(Equal(pathstate.DirectFirst))
	tunnels := nw.tunnels.Load()
	dial("never used before")
	nw.g.Expect(nw.tunnels.Load()).To(Equal(tunnels))
}

// TestNothingIsTriedWhileIsolated checks that an instance that reaches no target, nor do its peers, refuses at once, and that a probe ends
// this.
func TestNothingIsTriedWhileIsolated(t *testing.T) {
	nw := newNetwork(t, refuses, doubts)
	tr := pathstate.New(time.Now)
	dl := nw.dialer(tr)
	nw.g.Eventually(func() bool {
		for _, address := range []string{"a", "b", "c"} {
			closeIfOpen(dl.Dial(t.Context(), address))
		}
		return tr.Isolated()
	}).WithTimeout(10 * time.Second).Should(BeTrue())
	// Attempts at other targets that are made beside fail at once.
	time.Sleep(directTimeout)
	before := nw.dials.Load()
	_, err := dl.Dial(t.Context(), "d")
	var de *upstream.DialError
	nw.g.Expect(errors.As(err, &de)).To(BeTrue())
	nw.g.Expect(de.Isolated).To(BeTrue())
	nw.g.Expect(de.Refused()).To(BeFalse())
	nw.g.Expect(nw.dials.Load()).To(Equal(before))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go dl.Run(ctx)
	nw.peers.Store(works)
	nw.g.Eventually(tr.Isolated).WithTimeout(10 * time.Second).Should(BeFalse())
	nc, err := dl.Dial(t.Context(), "d")
	nw.g.Expect(err).NotTo(HaveOccurred())
	nc.Close()
}

// TestCancelledDialIsNoEvidence checks that an attempt that its caller gave up ends at once and shows nothing, also if the process notices
// the end when the direct attempt has failed too.
func TestCancelledDialIsNoEvidence(t *testing.T) {
	for name, peers := range map[string]string{"noticed at once": waits, "noticed late": late} {
		t.Run(name, func(t *testing.T) {
			nw := newNetwork(t, hangs, peers)
			tr := pathstate.New(time.Now)
			dl := nw.dialer(tr)
			for _, address := range []string{"a", "b", "other"} {
				ctx, cancel := context.WithTimeout(t.Context(), directTimeout/2)
				_, err := dl.Dial(ctx, address)
				cancel()
				nw.g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue(), "%v", err)
			}
			nw.g.Consistently(tr.Isolated).WithTimeout(2 * directTimeout).Should(BeFalse())
			nw.g.Expect(nw.dials.Load()).To(BeEquivalentTo(3))
		})
	}
}

func TestIsReusable(t *testing.T) {
	tests := map[string]struct {
		lost  bool
		state upstream.State
		want  bool
	}{
		"direct, path works":                      {false, upstream.State{}, true},
		"direct, path lost, silent since":         {true, upstream.State{LastReadAt: time.Now().Add(-time.Minute)}, false},
		"direct, path lost, data received since":  {true, upstream.State{LastReadAt: time.Now().Add(time.Minute)}, true},
		"through a peer, path lost":               {true, upstream.State{Peer: "usable"}, true},
		"through a peer that is gone, path lost":  {true, upstream.State{Peer: "gone"}, false},
		"through a peer, although the path works": {false, upstream.State{Peer: "usable"}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			nw := newNetwork(t, refuses, works)
			tr := pathstate.New(time.Now)
			if tc.lost {
				tr.RecordReachedByPeer("a", "p")
			}
			nw.g.Expect(nw.dialer(tr).IsReusable("a", tc.state)).To(Equal(tc.want))
		})
	}
}

// TestDialForPeerTellsWhetherOthersAreReached checks that a failure comes with fresh evidence of whether this instance reaches other
// targets, and that a quick answer costs no further connection.
func TestDialForPeerTellsWhetherOthersAreReached(t *testing.T) {
	tests := map[string]struct {
		direct string
		// sign is set if a target gave a sign just before.
		sign      bool
		wantDials int64
	}{
		"connects":                        {works, false, 1},
		"refused":                         {refuses, false, 1},
		"hangs, others reached lately":    {hangs, true, 1},
		"hangs, none reached for a while": {hangs, false, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nw := newNetwork(t, tc.direct, "none")
			tr := pathstate.New(time.Now)
			if tc.sign {
				tr.RecordHeard()
			}
			closeIfOpen(nw.dialer(tr).DialForPeer(t.Context(), "a"))
			nw.g.Eventually(nw.dials.Load).WithTimeout(10 * time.Second).Should(Equal(tc.wantDials))
		})
	}
}

func closeIfOpen(nc net.Conn, err error) {
	if err == nil {
		nc.Close()
	}
}

// TestSlowTargetsGetFewFurtherAttempts checks that connections that take long lead to few further ones through peers.
func TestSlowTargetsGetFewFurtherAttempts(t *testing.T) {
	const dials, maxTunnels = 200, 40
	nw := newNetwork(t, slow, works)
	dl := nw.dialer(pathstate.New(time.Now))
	var wg sync.WaitGroup
	for range dials {
		wg.Go(func() { closeIfOpen(dl.Dial(t.Context(), "a")) })
	}
	wg.Wait()
	nw.g.Expect(nw.tunnels.Load()).To(BeNumerically("<", maxTunnels))
}
