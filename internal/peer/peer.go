// Package peer exchanges heartbeats, grants of target capacity and configuration bundles with other instances.
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/silvermount/silvermount/internal/admission"
	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/bundlestate"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/peer/peerpb"
)

const nonceBytes = 16

// AuthenticationError reports a peer whose hello does not prove knowledge of the shared secret.
type AuthenticationError struct{ Instance string }

func (ae *AuthenticationError) Error() string {
	return "peer " + ae.Instance + " failed authentication"
}

// UnreachableError reports that there is no live link to an instance.
type UnreachableError struct{ Instance string }

func (ue *UnreachableError) Error() string { return "no link to instance " + ue.Instance }

// Options configures a Mesh.
type Options struct {
	// Secret is the key with which the instances authenticate each other.
	Secret string
	// TLS is used when set. It must require certificates from both sides.
	TLS *tls.Config
	// Heartbeat is the interval between two heartbeats to a peer in the same availability zone.
	Heartbeat time.Duration
	// RemoteHeartbeatDivisor is the factor by which heartbeats to peers in other availability zones are less frequent.
	RemoteHeartbeatDivisor int
	// MaxFullMeshPeers is the number of peers up to which the instance links to all of them. With more, it links to
	// those in its own availability zone and to RemoteLinksPerZone in each other zone.
	MaxFullMeshPeers, RemoteLinksPerZone int
	// Seeds are addresses that the mesh dials although no peer is known there yet.
	Seeds []string
	// ZoneBlocked reports whether links to an availability zone are cut, for tests and experiments.
	ZoneBlocked func(zone string) bool
	// Log receives the log lines of the mesh.
	Log log.Interface
}

// Mesh holds the links of this instance to its peers.
type Mesh struct {
	fl       *fleet.Fleet
	bundles  *bundlestate.Holder
	grants   *admission.Ledger
	opts     Options
	stopping func() bool

	chooseShortTarget atomic.Pointer[ShortPromptChooser]

	mu sync.Mutex
	// links is keyed by the peer's address.
	links map[string]*link

	// BytesOut and BytesIn count the bytes on peer connections; FramesSent counts the frames sent.
	BytesOut, BytesIn, FramesSent atomic.Int64
	nextID                        atomic.Uint64
	// heartbeatStretch is the number of heartbeat intervals between two heartbeats to a peer in the same zone.
	heartbeatStretch atomic.Int64
}

// New returns a mesh. Serve accepts streams of peers, and Run opens the links to them.
func New(fl *fleet.Fleet, bundles *bundlestate.Holder, grants *admission.Ledger, stopping func() bool, o Options) *Mesh {
	if o.ZoneBlocked == nil {
		o.ZoneBlocked = func(string) bool { return false }
	}
	return &Mesh{fl: fl, bundles: bundles, grants: grants, stopping: stopping, opts: o, links: map[string]*link{}}
}

// Serve accepts streams of peers on lis until ctx ends.
func (ms *Mesh) Serve(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, ms); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	lis = &countingListener{Listener: lis, ms: ms}
	if ms.opts.TLS != nil {
		lis = tls.NewListener(lis, ms.opts.TLS)
	}
	return errors.Wrap(drpcserver.New(mux).Serve(ctx, lis), "serve peers")
}

// Exchange serves the stream of one peer. It requires an authenticated hello as the first frame.
func (ms *Mesh) Exchange(stream peerpb.DRPCPeer_ExchangeStream) error {
	f, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive hello")
	}
	h := f.GetHello()
	if h == nil || !hmac.Equal(h.GetProof(), helloMAC(ms.opts.Secret, h)) {
		ms.opts.Log.WithField("peer", h.GetInstance()).Warn("peer rejected: authentication failed")
		return &AuthenticationError{Instance: h.GetInstance()}
	}
	from := instanceFromHello(h)
	for introduced := false; ; {
		f, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		if ms.opts.ZoneBlocked(from.AvailabilityZone) {
			return &UnreachableError{Instance: from.Name}
		}
		if out := ms.respond(from, f); out != nil {
			if b := out.GetBeat(); b != nil && !introduced {
				b.Sender, introduced = ms.newHello(), true
			}
			if err := stream.Send(out); err != nil {
				return errors.Wrap(err, "send")
			}
			ms.FramesSent.Add(1)
		}
	}
}

func (ms *Mesh) respond(from fleet.Instance, f *peerpb.Frame) *peerpb.Frame {
	switch k := f.GetKind().(type) {
	case *peerpb.Frame_Beat:
		ms.applyHeartbeat(from, k.Beat)
		return &peerpb.Frame{Kind: &peerpb.Frame_Beat{Beat: ms.newHeartbeat(from.Name, k.Beat.GetSeq(), true)}}
	case *peerpb.Frame_Ask:
		key := admission.Key{Holder: from.Incarnation, ID: k.Ask.GetId()}
		hold := time.Duration(k.Ask.GetHoldMillis()) * time.Millisecond
		ok := ms.grants.TryAcquire(key, k.Ask.GetTarget(), int(k.Ask.GetMemory()), hold)
		return &peerpb.Frame{Kind: &peerpb.Frame_Answer{Answer: &peerpb.Answer{Id: k.Ask.GetId(), Granted: ok}}}
	case *peerpb.Frame_ShortAsk:
		return ms.respondShort(from, k.ShortAsk)
	case *peerpb.Frame_Release:
		key := admission.Key{Holder: from.Incarnation, ID: k.Release.GetId()}
		ms.grants.Release(key)
		ms.fl.RemoveOffer(k.Release.GetTarget(), key)
	case *peerpb.Frame_BundleAsk:
		return ms.bundleResponse(k.BundleAsk.GetVersion())
	}
	return nil
}

func (ms *Mesh) bundleResponse(version int64) *peerpb.Frame {
	body := &peerpb.BundleBody{Version: version}
	if cur := ms.bundles.Current(); cur != nil && cur.Version >= version {
		b, err := json.Marshal(cur.Bundle)
		if err == nil {
			body.Version, body.Body = cur.Version, b
		}
	}
	return &peerpb.Frame{Kind: &peerpb.Frame_BundleBody{BundleBody: body}}
}

// helloMAC returns the keyed digest of the sender's identity and nonce in a hello.
func helloMAC(secret string, h *peerpb.Hello) []byte {
	m := hmac.New(sha256.New, []byte(secret))
	for _, part := range []string{
		h.GetInstance(), h.GetIncarnation(), h.GetAvailabilityZone(), h.GetPeerAddress(), h.GetCallersAddress(), string(h.GetNonce()),
	} {
		// A hash never returns a write error.
		_, _ = m.Write([]byte(part))
		_, _ = m.Write([]byte{0})
	}
	return m.Sum(nil)
}

func (ms *Mesh) newHello() *peerpb.Hello {
	self := ms.fl.Self()
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never fails
	h := &peerpb.Hello{
		Instance: self.Name, Incarnation: self.Incarnation, AvailabilityZone: self.AvailabilityZone,
		PeerAddress: self.PeerAddress, CallersAddress: self.CallersAddress, Nonce: nonce,
	}
	h.Proof = helloMAC(ms.opts.Secret, h)
	return h
}

// RequestGrant asks the owner of a target for capacity. If this instance is the owner, it asks its own ledger directly.
// Without a link to the owner the request is granted, because grants only improve latency and are not needed for correctness.
func (ms *Mesh) RequestGrant(ctx context.Context, t fleet.Target, memory int, hold time.Duration) (release func(), granted bool) {
	key := admission.Key{Holder: ms.fl.Self().Incarnation, ID: ms.nextID.Add(1)}
	owner := ms.fl.Owner(t)
	if owner == ms.fl.Self().Name {
		ok := ms.grants.TryAcquire(key, t.Name, memory, hold)
		return func() { ms.grants.Release(key) }, ok
	}
	lk := ms.linkTo(owner)
	if lk == nil {
		return func() {}, true
	}
	return lk.requestGrant(ctx, key.ID, t.Name, memory, hold)
}

// FetchBundle asks live peers in turn for a bundle of at least the given version.
func (ms *Mesh) FetchBundle(ctx context.Context, version int64) (bundle.Bundle, error) {
	for _, p := range ms.fl.Peers() {
		lk := ms.linkTo(p.Name)
		if lk == nil || p.BundleVersion < version {
			continue
		}
		b, err := lk.fetchBundle(ctx, version)
		if err == nil {
			return b, nil
		}
	}
	return bundle.Bundle{}, &UnreachableError{Instance: "any that has the bundle"}
}

func (ms *Mesh) linkTo(instance string) *link {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, lk := range ms.links {
		if lk.up.Load() && lk.peerName() == instance {
			return lk
		}
	}
	return nil
}
