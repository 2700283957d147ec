package tunnelclient_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/tunnel"
	"github.com/silvermount/silvermount/internal/tunnelclient"
	"github.com/silvermount/silvermount/internal/tunnelframe"
	"github.com/silvermount/silvermount/internal/upstream"
)

const dialTimeout = 5 * time.Second

// fleet is a set of peers that answer each request as the test says.
type fleet struct {
	*WithT
	t     *testing.T
	peers []tunnelclient.Peer
	mu    sync.Mutex
	// asked counts the requests to each peer.
	asked   map[string]int
	version uint64
	// afterReply is called after each reply; nil for nothing.
	afterReply func(nc net.Conn)
}

func newFleet(t *testing.T) *fleet { return &fleet{WithT: NewWithT(t), t: t, asked: map[string]int{}} }

// add adds a peer that gives a reply; with an empty outcome it gives none.
func (fl *fleet) add(name, zone string, rp tunnel.Reply) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	fl.Expect(err).NotTo(HaveOccurred())
	fl.t.Cleanup(func() { lis.Close() })
	fl.peers = append(fl.peers, tunnelclient.Peer{Name: name, Address: lis.Addr().String(), AvailabilityZone: zone})
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			fl.t.Cleanup(func() { nc.Close() })
			go fl.answer(nc, name, rp)
		}
	}()
}

func (fl *fleet) answer(nc net.Conn, name string, rp tunnel.Reply) {
	if _, err := nc.Read(make([]byte, len(tunnel.Prefix))); err != nil {
		return
	}
	if _, err := tunnel.Read[tunnel.Request](nc); err != nil {
		return
	}
	fl.mu.Lock()
	fl.asked[name]++
	fl.mu.Unlock()
	if rp.Outcome != "" {
		// The client may have gone to another peer.
		_ = tunnel.Write(nc, rp)
	}
	if fl.afterReply != nil {
		fl.afterReply(nc)
	}
}

func (fl *fleet) client(now func() time.Time) *tunnelclient.Client {
	return tunnelclient.New(tunnelclient.Deps{
		Instance: "self", AvailabilityZone: "z1", DialTimeout: dialTimeout, Liveness: upstream.Liveness, Metrics: metrics.NewSet(), Now: now,
		Peers: func() ([]tunnelclient.Peer, uint64) { return fl.peers, fl.version },
	})
}

func (fl *fleet) askedCount(name string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.asked[name]
}

var (
	connects  = tunnel.Reply{Outcome: tunnel.Connected}
	isCutOff  = tunnel.Reply{Outcome: tunnel.CutOff, SignAgeMS: 3000}
	failsToo  = tunnel.Reply{Outcome: tunnel.Failed, SignAgeMS: 100}
	cannot    = tunnel.Reply{Outcome: tunnel.Failed, SignAgeMS: -1}
	hasNoPath = tunnel.Reply{Outcome: tunnel.NoPath, SignAgeMS: 100}
	isBusy    = tunnel.Reply{Outcome: tunnel.Busy}
	silent    = tunnel.Reply{}
)

func TestDial(t *testing.T) {
	type peer struct {
		zone  string
		reply tunnel.Reply
	}
	tests := map[string]struct {
		peers []peer
		// want is the peer that connects; negative for none.
		want       int
		wantBlamed bool
	}{
		"no peers":                             {nil, -1, false},
		"own availability zone first":          {[]peer{{"z2", connects}, {"z1", connects}, {"z2", connects}}, 1, false},
		"own availability zone cut off":        {[]peer{{"z1", isCutOff}, {"z1", isCutOff}, {"z2", connects}}, 2, false},
		"own availability zone silent":         {[]peer{{"z1", silent}, {"z1", silent}, {"z2", connects}}, 2, false},
		"own availability zone busy":           {[]peer{{"z1", isBusy}, {"z2", connects}}, 1, false},
		"all cut off":                          {[]peer{{"z1", isCutOff}, {"z1", isCutOff}, {"z2", isCutOff}}, -1, false},
		"target reached by none":               {[]peer{{"z1", failsToo}, {"z1", failsToo}, {"z2", failsToo}}, -1, true},
		"one peer, fails too":                  {[]peer{{"z1", failsToo}}, -1, true},
		"two without a path, another connects": {[]peer{{"z1", hasNoPath}, {"z1", hasNoPath}, {"z2", connects}}, 2, false},
		"all without a path":                   {[]peer{{"z1", hasNoPath}, {"z2", hasNoPath}}, -1, false},
		"peers that reach nothing":             {[]peer{{"z1", cannot}, {"z2", cannot}}, -1, false},
		"one fails, another connects":          {[]peer{{"z1", failsToo}, {"z2", connects}}, 1, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl := newFleet(t)
			for i, pr := range tc.peers {
				fl.add(fmt.Sprint("peer-", i), pr.zone, pr.reply)
			}
			cl := fl.client(time.Now)
			cn, err := cl.Dial(t.Context(), "10.0.0.1:80")
			if tc.want >= 0 {
				fl.Expect(err).NotTo(HaveOccurred())
				fl.Expect(cn.Peer()).To(Equal(fmt.Sprint("peer-", tc.want)))
				fl.Expect(cl.OpenCount()).To(Equal(1))
				fl.Expect(cn.Close()).To(Succeed())
				fl.Expect(cn.Close()).NotTo(Succeed())
				fl.Expect(cl.OpenCount()).To(BeZero())
				return
			}
			var fe *tunnelclient.FailureError
			fl.Expect(errors.As(err, &fe)).To(BeTrue())
			fl.Expect(fe.Blamed).To(Equal(tc.wantBlamed))
			fl.Expect(cl.OpenCount()).To(BeZero())
		})
	}
}

// TestStoppingPeersAreNotUsed checks that a peer that begins to stop gets no new tunnels, and that open ones carry no more requests.
func TestStoppingPeersAreNotUsed(t *testing.T) {
	fl := newFleet(t)
	fl.add("near", "z1", connects)
	fl.add("far", "z2", connects)
	cl := fl.client(time.Now)
	fl.Expect(cl.IsUsable("near")).To(BeTrue())
	fl.peers = append([]tunnelclient.Peer(nil), fl.peers...)
	fl.peers[0].Stopping = true
	fl.version++
	fl.Expect(cl.IsUsable("near")).To(BeFalse())
	cn, err := cl.Dial(t.Context(), "10.0.0.1:80")
	fl.Expect(err).NotTo(HaveOccurred())
	fl.Expect(cn.Peer()).To(Equal("far"))
	fl.Expect(cn.Close()).To(Succeed())
}

// TestAvoidedPeers checks that peers that cannot help are not asked again for a while.
func TestAvoidedPeers(t *testing.T) {
	fl := newFleet(t)
	fl.add("cut off", "z1", isCutOff)
	fl.add("silent", "z1", connects)
	fl.add("far", "z2", connects)
	now := time.Now()
	cl := fl.client(func() time.Time { return now })
	cl.Avoid("silent")
	for range 5 {
		cn, err := cl.Dial(t.Context(), "10.0.0.1:80")
		fl.Expect(err).NotTo(HaveOccurred())
		fl.Expect(cn.Peer()).To(Equal("far"))
		fl.Expect(cn.Close()).To(Succeed())
	}
	fl.Expect(fl.askedCount("cut off")).To(Equal(1))
	// Of the two near peers, a random one is asked first.
	var used []string
	for range 30 {
		now = now.Add(2 * time.Second)
		cn, err := cl.Dial(t.Context(), "10.0.0.1:80")
		fl.Expect(err).NotTo(HaveOccurred())
		used = append(used, cn.Peer())
		fl.Expect(cn.Close()).To(Succeed())
	}
	fl.Expect(used).To(ContainElement("silent"))
}

// TestTunnelsAreSpread checks that the tunnels of one instance are spread over its peers, by their bandwidth.
func TestTunnelsAreSpread(t *testing.T) {
	const peers, tunnels = 6, 120
	fl := newFleet(t)
	for i := range peers {
		fl.add(fmt.Sprint("peer-", i), "z1", connects)
		fl.peers[i].BandwidthMbps = 100
	}
	fl.peers[0].BandwidthMbps = 20
	cl := fl.client(time.Now)
	for range tunnels {
		cn, err := cl.Dial(context.Background(), "10.0.0.1:80")
		fl.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { cn.Close() })
	}
	for i := range peers {
		fl.Expect(fl.askedCount(fmt.Sprint("peer-", i))).To(BeNumerically("<=", 2*tunnels/peers))
	}
	fl.Expect(fl.askedCount("peer-0")).To(BeNumerically("<", tunnels/peers))
}

// TestEndOfAPeerIsNotTakenForThatOfTheTarget guards against answers that end with their connections and seem complete when the peer that
// forwards them is killed, whose connections the kernel closes in order.
func TestEndOfAPeerIsNotTakenForThatOfTheTarget(t *testing.T) {
	data := append([]byte{0, 4}, "data"...)
	tests := map[string]struct {
		reply tunnel.Reply
		// sent is what the peer sends before it ends.
		sent []byte
		want string
		// wantEnd is set if the connection of the target has ended.
		wantEnd bool
	}{
		"target closes":                {tunnel.Reply{Outcome: tunnel.Connected, Framed: true}, append(slices.Clone(data), tunnelframe.EndMark()...), "data", true},
		"peer ends":                    {tunnel.Reply{Outcome: tunnel.Connected, Framed: true}, data, "data", false},
		"peer of an older build, ends": {connects, []byte("data"), "data", false},
	}
	reads := map[string]func(cn *tunnelclient.Conn) ([]byte, error){
		"by Read": func(cn *tunnelclient.Conn) ([]byte, error) { return io.ReadAll(cn) },
		"by WriteTo": func(cn *tunnelclient.Conn) ([]byte, error) {
			var b bytes.Buffer
			_, err := cn.WriteTo(&b)
			return b.Bytes(), err
		},
	}
	for name, tc := range tests {
		for how, read := range reads {
			t.Run(name+", "+how, func(t *testing.T) {
				fl := newFleet(t)
				fl.add("peer", "z1", tc.reply)
				fl.afterReply = func(nc net.Conn) {
					_, _ = nc.Write(tc.sent) // the client sees what is missing
					nc.Close()
				}
				cn, err := fl.client(time.Now).Dial(t.Context(), "10.0.0.1:80")
				fl.Expect(err).NotTo(HaveOccurred())
				defer cn.Close()
				got, err := read(cn)
				fl.Expect(string(got)).To(Equal(tc.want))
				var ce *tunnel.CutError
				fl.Expect(errors.As(err, &ce)).To(Equal(!tc.wantEnd), "%v", err)
				fl.Expect(err == nil).To(Equal(tc.wantEnd), "%v", err)
			})
		}
	}
}
