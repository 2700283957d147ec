package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/peer/peerpb"
	"github.com/silvermount/silvermount/internal/queue"
)

const (
	dialTimeout = 500 * time.Millisecond
	redialDelay = 500 * time.Millisecond
	// grantTimeout bounds the wait for a grant. After it the request stays queued and asks again.
	grantTimeout  = 300 * time.Millisecond
	sendQueueSize = 1024
	// peersPerStretch is the number of live peers in the same zone for which the heartbeat interval grows by one more interval.
	peersPerStretch = 24
	// maxHeartbeatStretch keeps two heartbeats within the time without heartbeats after which a peer counts as lost.
	maxHeartbeatStretch = 3
)

// link is the stream that this instance opens to one peer.
type link struct {
	ms      *Mesh
	address string
	cancel  context.CancelFunc
	up      atomic.Bool
	// peer is set by the peer's first answer.
	peer      atomic.Pointer[fleet.Instance]
	sendQueue *queue.Queue[*peerpb.Frame]

	mu sync.Mutex
	// The pending channels wait for answers of the peer; grants and offers are keyed by the id of the request.
	pendingGrants  map[uint64]chan bool
	pendingOffers  map[uint64]chan *peerpb.ShortAnswer
	pendingBundles []chan *peerpb.BundleBody
}

// Run keeps a link to every known peer until ctx ends.
func (ms *Mesh) Run(ctx context.Context) {
	tick := time.NewTicker(ms.opts.Heartbeat)
	defer tick.Stop()
	for {
		ms.updateLinks(ctx)
		for incarnation := range ms.fl.ForgetSilentPeers().All() {
			ms.grants.ReleaseHolder(incarnation)
		}
		ms.renewGrants(ms.fl.Self().Incarnation, ms.fl.UsageFor(ms.fl.Self().Name))
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// planLinks returns, for each peer address, whether to keep a link to it. A small fleet forms a full mesh. In a large one the
// instance keeps links to its own availability zone, and in each other zone to the few peers with the highest rendezvous hash.
func (ms *Mesh) planLinks() map[string]bool {
	peers := ms.fl.Peers()
	self := ms.fl.Self()
	rank := func(p fleet.PeerStatus) uint64 { return xxhash.Sum64String(self.Name + "\x00" + p.Name) }
	slices.SortFunc(peers, func(a, b fleet.PeerStatus) int { return cmp.Compare(rank(b), rank(a)) })
	wanted := map[string]bool{}
	remoteLinks := map[string]int{}
	sameZone := 0
	for _, p := range peers {
		keep := p.Listed || p.HeartbeatAge < maxDialSilence
		if p.Live && p.AvailabilityZone == self.AvailabilityZone {
			sameZone++
		}
		if otherZone := p.AvailabilityZone != self.AvailabilityZone; otherZone && keep && len(peers) > ms.opts.MaxFullMeshPeers {
			keep = remoteLinks[p.AvailabilityZone] < ms.opts.RemoteLinksPerZone
			remoteLinks[p.AvailabilityZone]++
		}
		wanted[p.PeerAddress] = wanted[p.PeerAddress] || keep
	}
	ms.heartbeatStretch.Store(int64(min(maxHeartbeatStretch, 1+sameZone/peersPerStretch)))
	return wanted
}

// updateLinks opens the planned links that are missing and closes those that are no longer planned.
func (ms *Mesh) updateLinks(ctx context.Context) {
	wanted := ms.planLinks()
	for _, s := range ms.opts.Seeds {
		wanted[s] = true
	}
	delete(wanted, "")
	delete(wanted, ms.fl.Self().PeerAddress)
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for address, keep := range wanted {
		lk := ms.links[address]
		if keep && lk == nil {
			ctx, cancel := context.WithCancel(ctx)
			lk = &link{ms: ms, address: address, cancel: cancel, sendQueue: queue.New[*peerpb.Frame](sendQueueSize), pendingGrants: map[uint64]chan bool{}, pendingOffers: map[uint64]chan *peerpb.ShortAnswer{}}
			ms.links[address] = lk
			go lk.maintain(ctx)
		}
		if !keep && lk != nil {
			lk.cancel()
			delete(ms.links, address)
		}
	}
}

// maxDialSilence is the time without heartbeats after which a peer that is not listed in the store is no longer dialled.
const maxDialSilence = time.Minute

// maintain keeps the stream open until ctx ends, and dials again redialDelay after it fails.
func (lk *link) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		err := lk.runStream(ctx)
		lk.up.Store(false)
		if err != nil && ctx.Err() == nil {
			lk.ms.opts.Log.WithField("address", lk.address).WithError(err).Debug("peer link ended")
		}
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

func (lk *link) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", lk.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	conn := net.Conn(&countingConn{Conn: raw, ms: lk.ms})
	if lk.ms.opts.TLS == nil {
		return conn, nil
	}
	host, _, err := net.SplitHostPort(lk.address)
	if err != nil {
		return nil, errors.Wrap(err, "parse peer address")
	}
	tlsConfig := lk.ms.opts.TLS.Clone()
	tlsConfig.ServerName = host
	tc := tls.Client(conn, tlsConfig)
	return tc, errors.Wrap(tc.HandshakeContext(ctx), "TLS handshake with peer")
}

// runStream opens the stream and runs it until it fails: one goroutine sends, this one receives.
func (lk *link) runStream(ctx context.Context) error {
	nc, err := lk.dial(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := drpcconn.New(nc)
	defer conn.Close()
	stream, err := peerpb.NewDRPCPeerClient(conn).Exchange(ctx)
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	defer stream.Close()
	if err := stream.Send(&peerpb.Frame{Kind: &peerpb.Frame_Hello{Hello: lk.ms.newHello()}}); err != nil {
		return errors.Wrap(err, "send hello")
	}
	go func() {
		defer cancel()
		lk.sendLoop(ctx, stream)
	}()
	for {
		f, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		lk.handleFrame(f)
	}
}

// sendLoop sends heartbeats and the queued frames.
func (lk *link) sendLoop(ctx context.Context, stream peerpb.DRPCPeer_ExchangeClient) {
	tick := time.NewTicker(lk.ms.opts.Heartbeat)
	defer tick.Stop()
	for n := uint64(0); ; {
		select {
		case f := <-lk.sendQueue.Items():
			if lk.sendFrame(stream, f) != nil {
				return
			}
			continue
		default:
		}
		if lk.heartbeatDue(n) {
			f := &peerpb.Frame{Kind: &peerpb.Frame_Beat{Beat: lk.ms.newHeartbeat(lk.peerName(), n, false)}}
			if lk.sendFrame(stream, f) != nil {
				return
			}
		}
		select {
		case f := <-lk.sendQueue.Items():
			if lk.sendFrame(stream, f) != nil {
				return
			}
		case <-tick.C:
			n++
		case <-ctx.Done():
			return
		}
	}
}

func (lk *link) sendFrame(stream peerpb.DRPCPeer_ExchangeClient, f *peerpb.Frame) error {
	if p := lk.peer.Load(); p != nil && lk.ms.opts.ZoneBlocked(p.AvailabilityZone) {
		return &UnreachableError{Instance: lk.peerName()}
	}
	lk.ms.FramesSent.Add(1)
	return errors.Wrap(stream.Send(f), "send")
}

// heartbeatDue reports whether to send a heartbeat at tick n. Peers in other availability zones get fewer, and so does every peer in a zone
// with many peers, so that the cost of heartbeats stops growing with the size of an availability zone.
func (lk *link) heartbeatDue(n uint64) bool {
	interval := uint64(lk.ms.heartbeatStretch.Load())
	if p := lk.peer.Load(); p != nil && p.AvailabilityZone != lk.ms.fl.Self().AvailabilityZone {
		interval *= uint64(lk.ms.opts.RemoteHeartbeatDivisor)
	}
	return n%max(1, interval) == 0
}

func (lk *link) peerName() string {
	if p := lk.peer.Load(); p != nil {
		return p.Name
	}
	return ""
}

// handleHeartbeat applies an answer to a heartbeat. The first one of a stream carries the identity of the peer.
func (lk *link) handleHeartbeat(b *peerpb.Beat) {
	if h := b.GetSender(); h != nil {
		sender := instanceFromHello(h)
		sender.PeerAddress = lk.address
		lk.peer.Store(&sender)
	}
	if p := lk.peer.Load(); p != nil {
		lk.up.Store(true)
		lk.ms.applyHeartbeat(*p, b)
	}
}

func (lk *link) handleFrame(f *peerpb.Frame) {
	switch k := f.GetKind().(type) {
	case *peerpb.Frame_Beat:
		lk.handleHeartbeat(k.Beat)
	case *peerpb.Frame_Answer:
		lk.mu.Lock()
		ch := lk.pendingGrants[k.Answer.GetId()]
		delete(lk.pendingGrants, k.Answer.GetId())
		if ch != nil {
			// The channel is buffered for its single answer. abandonGrant deletes the entry under the same lock and then drains it.
			ch <- k.Answer.GetGranted()
		}
		lk.mu.Unlock()
		if ch == nil && k.Answer.GetGranted() {
			lk.releaseGrant(k.Answer.GetId(), "")
		}
	case *peerpb.Frame_ShortAnswer:
		lk.handleShortAnswer(k.ShortAnswer)
	case *peerpb.Frame_BundleBody:
		lk.mu.Lock()
		pending := lk.pendingBundles
		lk.pendingBundles = nil
		lk.mu.Unlock()
		for _, ch := range pending {
			ch <- k.BundleBody
		}
	}
}

func (lk *link) requestGrant(ctx context.Context, id uint64, target string, memory int, hold time.Duration) (func(), bool) {
	ch := make(chan bool, 1)
	lk.mu.Lock()
	lk.pendingGrants[id] = ch
	lk.mu.Unlock()
	f := &peerpb.Frame{Kind: &peerpb.Frame_Ask{Ask: &peerpb.Ask{
		Id: id, Target: target, Memory: uint64(memory), HoldMillis: uint32(hold.Milliseconds()),
	}}}
	if !lk.sendQueue.Offer(f) {
		return func() {}, false
	}
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case granted := <-ch:
		return func() { lk.releaseGrant(id, target) }, granted
	case <-timer.C:
	case <-ctx.Done():
	}
	lk.abandonGrant(id, target, ch)
	return func() {}, false
}

// abandonGrant stops waiting for an answer. A grant that has just arrived is released here, a later one by handleFrame.
func (lk *link) abandonGrant(id uint64, target string, ch <-chan bool) {
	lk.mu.Lock()
	delete(lk.pendingGrants, id)
	lk.mu.Unlock()
	select {
	case granted := <-ch:
		if granted {
			lk.releaseGrant(id, target)
		}
	default:
	}
}

func (lk *link) releaseGrant(id uint64, target string) {
	// If the queue is full and drops the release, the grant expires with its lease.
	lk.sendQueue.Offer(&peerpb.Frame{Kind: &peerpb.Frame_Release{Release: &peerpb.Release{Id: id, Target: target}}})
}

func (lk *link) fetchBundle(ctx context.Context, version int64) (bundle.Bundle, error) {
	ch := make(chan *peerpb.BundleBody, 1)
	lk.mu.Lock()
	lk.pendingBundles = append(lk.pendingBundles, ch)
	lk.mu.Unlock()
	lk.sendQueue.Offer(&peerpb.Frame{Kind: &peerpb.Frame_BundleAsk{BundleAsk: &peerpb.BundleAsk{Version: version}}})
	select {
	case body := <-ch:
		return bundle.Parse(body.GetBody())
	case <-time.After(2 * grantTimeout):
		return bundle.Bundle{}, &UnreachableError{Instance: lk.peerName()}
	case <-ctx.Done():
		return bundle.Bundle{}, ctx.Err()
	}
}
