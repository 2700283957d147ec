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
	"github.com/silvermount/silvermount/internal/ring"
)

const (
	dialTimeout = 500 * time.Millisecond
	redialPause = 500 * time.Millisecond
	// askTimeout bounds the wait for a grant; the request then waits and asks again.
	askTimeout = 300 * time.Millisecond
	outSize    = 1024
	// fullRatePeers is the number of peers nearby from which heartbeats are stretched.
	fullRatePeers = 24
	// maxStretch keeps two heartbeats within the silence after which a peer counts as gone.
	maxStretch = 3
)

// link is the stream that this instance opened to one peer.
type link struct {
	ms      *Mesh
	address string
	cancel  context.CancelFunc
	up      atomic.Bool
	// peer is known from the first answer on.
	peer atomic.Pointer[fleet.Instance]
	out  *ring.Ring[*peerpb.Frame]

	mu      sync.Mutex
	answers map[uint64]chan bool
	shorts  map[uint64]chan *peerpb.ShortAnswer
	bodies  []chan *peerpb.BundleBody
}

// Run keeps a link to every known peer until ctx ends.
func (ms *Mesh) Run(ctx context.Context) {
	tick := time.NewTicker(ms.opts.Heartbeat)
	defer tick.Stop()
	for {
		ms.connect(ctx)
		for incarnation := range ms.fl.ForgetSilentPeers().All() {
			ms.grants.ReleaseHolder(incarnation)
		}
		ms.renew(ms.fl.Self().Incarnation, ms.fl.UsageFor(ms.fl.Self().Name))
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// wanted returns the addresses of peers, and whether a link to each is to be kept: all of a small fleet; of a large one
// those of this availability zone and the few of each other that have the highest hash with this instance.
func (ms *Mesh) wanted() map[string]bool {
	peers := ms.fl.Peers()
	self := ms.fl.Self()
	rank := func(p fleet.PeerStatus) uint64 { return xxhash.Sum64String(self.Name + "\x00" + p.Name) }
	slices.SortFunc(peers, func(a, b fleet.PeerStatus) int { return cmp.Compare(rank(b), rank(a)) })
	wanted := map[string]bool{}
	remote := map[string]int{}
	near := 0
	for _, p := range peers {
		keep := p.Listed || p.HeartbeatAge < forgetAfter
		if p.Live && p.AvailabilityZone == self.AvailabilityZone {
			near++
		}
		if far := p.AvailabilityZone != self.AvailabilityZone; far && keep && len(peers) > ms.opts.FullMesh {
			keep = remote[p.AvailabilityZone] < ms.opts.RemoteLinks
			remote[p.AvailabilityZone]++
		}
		wanted[p.PeerAddress] = wanted[p.PeerAddress] || keep
	}
	ms.stretch.Store(int64(min(maxStretch, 1+near/fullRatePeers)))
	return wanted
}

// connect opens links to peers that have none and closes those to peers long gone.
func (ms *Mesh) connect(ctx context.Context) {
	wanted := ms.wanted()
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
			lk = &link{ms: ms, address: address, cancel: cancel, out: ring.New[*peerpb.Frame](outSize), answers: map[uint64]chan bool{}, shorts: map[uint64]chan *peerpb.ShortAnswer{}}
			ms.links[address] = lk
			go lk.keep(ctx)
		}
		if !keep && lk != nil {
			lk.cancel()
			delete(ms.links, address)
		}
	}
}

// forgetAfter is the silence after which a peer is no longer dialled.
const forgetAfter = time.Minute

func (lk *link) keep(ctx context.Context) {
	for ctx.Err() == nil {
		err := lk.exchange(ctx)
		lk.up.Store(false)
		if err != nil && ctx.Err() == nil {
			lk.ms.opts.Log.WithField("address", lk.address).WithError(err).Debug("link down")
		}
		select {
		case <-time.After(redialPause):
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
		return nil, errors.Wrap(err, "read peer address")
	}
	tlsConfig := lk.ms.opts.TLS.Clone()
	tlsConfig.ServerName = host
	tc := tls.Client(conn, tlsConfig)
	return tc, errors.Wrap(tc.HandshakeContext(ctx), "prove peer")
}

// exchange runs the stream: one goroutine sends, one receives.
func (lk *link) exchange(ctx context.Context) error {
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
	if err := stream.Send(&peerpb.Frame{Kind: &peerpb.Frame_Hello{Hello: lk.ms.hello()}}); err != nil {
		return errors.Wrap(err, "send hello")
	}
	go func() {
		defer cancel()
		lk.send(ctx, stream)
	}()
	for {
		f, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		lk.take(f)
	}
}

// send sends heartbeats and what waits in the ring.
func (lk *link) send(ctx context.Context, stream peerpb.DRPCPeer_ExchangeClient) {
	tick := time.NewTicker(lk.ms.opts.Heartbeat)
	defer tick.Stop()
	for n := uint64(0); ; {
		select {
		case f := <-lk.out.Items():
			if lk.sendOne(stream, f) != nil {
				return
			}
			continue
		default:
		}
		if lk.due(n) {
			f := &peerpb.Frame{Kind: &peerpb.Frame_Beat{Beat: lk.ms.beatFor(lk.name(), n, false)}}
			if lk.sendOne(stream, f) != nil {
				return
			}
		}
		select {
		case f := <-lk.out.Items():
			if lk.sendOne(stream, f) != nil {
				return
			}
		case <-tick.C:
			n++
		case <-ctx.Done():
			return
		}
	}
}

func (lk *link) sendOne(stream peerpb.DRPCPeer_ExchangeClient, f *peerpb.Frame) error {
	if p := lk.peer.Load(); p != nil && lk.ms.opts.Blocked(p.AvailabilityZone) {
		return &UnreachableError{Instance: lk.name()}
	}
	lk.ms.Messages.Add(1)
	return errors.Wrap(stream.Send(f), "send")
}

// due reports whether a heartbeat is sent at this tick. Peers elsewhere get fewer, and so do all where there are many:
// the cost of heartbeats then grows no further with the size of an availability zone.
func (lk *link) due(n uint64) bool {
	every := uint64(lk.ms.stretch.Load())
	if p := lk.peer.Load(); p != nil && p.AvailabilityZone != lk.ms.fl.Self().AvailabilityZone {
		every *= uint64(lk.ms.opts.RemoteEvery)
	}
	return n%max(1, every) == 0
}

func (lk *link) name() string {
	if p := lk.peer.Load(); p != nil {
		return p.Name
	}
	return ""
}

// takeBeat takes an answer. The first one of a stream tells who answers.
func (lk *link) takeBeat(b *peerpb.Beat) {
	if h := b.GetSender(); h != nil {
		in := sender(h)
		in.PeerAddress = lk.address
		lk.peer.Store(&in)
	}
	if p := lk.peer.Load(); p != nil {
		lk.up.Store(true)
		lk.ms.applyBeat(*p, b)
	}
}

func (lk *link) take(f *peerpb.Frame) {
	switch k := f.GetKind().(type) {
	case *peerpb.Frame_Beat:
		lk.takeBeat(k.Beat)
	case *peerpb.Frame_Answer:
		lk.mu.Lock()
		ch := lk.answers[k.Answer.GetId()]
		delete(lk.answers, k.Answer.GetId())
		if ch != nil {
			// The channel has room for its one answer; forget looks there under the same lock.
			ch <- k.Answer.GetGranted()
		}
		lk.mu.Unlock()
		if ch == nil && k.Answer.GetGranted() {
			lk.release(k.Answer.GetId(), "")
		}
	case *peerpb.Frame_ShortAnswer:
		lk.takeShort(k.ShortAnswer)
	case *peerpb.Frame_BundleBody:
		lk.mu.Lock()
		waiting := lk.bodies
		lk.bodies = nil
		lk.mu.Unlock()
		for _, ch := range waiting {
			ch <- k.BundleBody
		}
	}
}

func (lk *link) ask(ctx context.Context, id uint64, target string, memory int, hold time.Duration) (func(), bool) {
	ch := make(chan bool, 1)
	lk.mu.Lock()
	lk.answers[id] = ch
	lk.mu.Unlock()
	f := &peerpb.Frame{Kind: &peerpb.Frame_Ask{Ask: &peerpb.Ask{
		Id: id, Target: target, Memory: uint64(memory), HoldMillis: uint32(hold.Milliseconds()),
	}}}
	if !lk.out.Offer(f) {
		return func() {}, false
	}
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case granted := <-ch:
		return func() { lk.release(id, target) }, granted
	case <-timer.C:
	case <-ctx.Done():
	}
	lk.forget(id, target, ch)
	return func() {}, false
}

// forget stops waiting for an answer. One that came just now is given back here, a later one by take.
func (lk *link) forget(id uint64, target string, ch <-chan bool) {
	lk.mu.Lock()
	delete(lk.answers, id)
	lk.mu.Unlock()
	select {
	case granted := <-ch:
		if granted {
			lk.release(id, target)
		}
	default:
	}
}

func (lk *link) release(id uint64, target string) {
	// A release that is shed runs out with its time.
	lk.out.Offer(&peerpb.Frame{Kind: &peerpb.Frame_Release{Release: &peerpb.Release{Id: id, Target: target}}})
}

func (lk *link) fetch(ctx context.Context, version int64) (bundle.Bundle, error) {
	ch := make(chan *peerpb.BundleBody, 1)
	lk.mu.Lock()
	lk.bodies = append(lk.bodies, ch)
	lk.mu.Unlock()
	lk.out.Offer(&peerpb.Frame{Kind: &peerpb.Frame_BundleAsk{BundleAsk: &peerpb.BundleAsk{Version: version}}})
	select {
	case body := <-ch:
		return bundle.Parse(body.GetBody())
	case <-time.After(2 * askTimeout):
		return bundle.Bundle{}, &UnreachableError{Instance: lk.name()}
	case <-ctx.Done():
		return bundle.Bundle{}, ctx.Err()
	}
}
