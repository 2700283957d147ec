// Package peer exchanges heartbeats, grants and bundles with other instances.
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

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/grant"
	"github.com/silvermount/silvermount/internal/peer/peerpb"
	"github.com/silvermount/silvermount/internal/rollout"
)

const nonceBytes = 16

// StrangerError says that a peer did not prove that it knows the secret.
type StrangerError struct{ Instance string }

// Error names the peer.
func (se *StrangerError) Error() string { return "peer " + se.Instance + " is not one of ours" }

// UnreachableError says that no live link leads to an instance.
type UnreachableError struct{ Instance string }

// Error names the instance.
func (ue *UnreachableError) Error() string { return "no link to instance " + ue.Instance }

// Options are the settings and seams of a Mesh.
type Options struct {
	// Secret proves peers.
	Secret string
	// TLS is used when set; it must ask for certificates on both sides.
	TLS *tls.Config
	// Heartbeat is the time between two beats to a peer in the same availability zone.
	Heartbeat time.Duration
	// RemoteEvery is how many beats pass between two to a peer elsewhere.
	RemoteEvery int
	// FullMesh is the number of peers up to which all are linked; beyond it only those in the same availability zone
	// and RemoteLinks in each other.
	FullMesh, RemoteLinks int
	// Seeds are tried when they are not yet known as peers.
	Seeds []string
	// Blocked cuts the link to a peer; for tests and experiments.
	Blocked func(zone string) bool
	// Log is the part's logger.
	Log log.Interface
}

// Mesh is this instance's links to all others.
type Mesh struct {
	fl       *fleet.Fleet
	bundles  *rollout.Holder
	grants   *grant.Ledger
	opts     Options
	stopping func() bool

	chooseShort atomic.Pointer[ChooseShort]

	mu sync.Mutex
	// links are by the peer's address.
	links map[string]*link

	// BytesOut and BytesIn count what went over peer connections; Messages counts frames sent.
	BytesOut, BytesIn, Messages atomic.Int64
	nextID                      atomic.Uint64
	// stretch is how many ticks pass between two heartbeats to a peer nearby.
	stretch atomic.Int64
}

// New returns a mesh; Serve and Run do its work.
func New(fl *fleet.Fleet, bundles *rollout.Holder, grants *grant.Ledger, stopping func() bool, o Options) *Mesh {
	if o.Blocked == nil {
		o.Blocked = func(string) bool { return false }
	}
	return &Mesh{fl: fl, bundles: bundles, grants: grants, stopping: stopping, opts: o, links: map[string]*link{}}
}

// Serve answers peers until ctx ends.
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

// Exchange serves one peer.
func (ms *Mesh) Exchange(stream peerpb.DRPCPeer_ExchangeStream) error {
	f, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive hello")
	}
	h := f.GetHello()
	if h == nil || !hmac.Equal(h.GetProof(), proof(ms.opts.Secret, h)) {
		ms.opts.Log.WithField("peer", h.GetInstance()).Warn("peer turned away")
		return &StrangerError{Instance: h.GetInstance()}
	}
	from := sender(h)
	for told := false; ; {
		f, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		if ms.opts.Blocked(from.AvailabilityZone) {
			return &UnreachableError{Instance: from.Name}
		}
		if out := ms.answer(from, f); out != nil {
			if b := out.GetBeat(); b != nil && !told {
				b.Sender, told = ms.hello(), true
			}
			if err := stream.Send(out); err != nil {
				return errors.Wrap(err, "send")
			}
			ms.Messages.Add(1)
		}
	}
}

func (ms *Mesh) answer(from fleet.Instance, f *peerpb.Frame) *peerpb.Frame {
	switch k := f.GetKind().(type) {
	case *peerpb.Frame_Beat:
		ms.applyBeat(from, k.Beat)
		return &peerpb.Frame{Kind: &peerpb.Frame_Beat{Beat: ms.beatFor(from.Name, k.Beat.GetSeq(), true)}}
	case *peerpb.Frame_Ask:
		key := grant.Key{Holder: from.Incarnation, ID: k.Ask.GetId()}
		hold := time.Duration(k.Ask.GetHoldMillis()) * time.Millisecond
		ok := ms.grants.TryAcquire(key, k.Ask.GetTarget(), int(k.Ask.GetMemory()), hold)
		return &peerpb.Frame{Kind: &peerpb.Frame_Answer{Answer: &peerpb.Answer{Id: k.Ask.GetId(), Granted: ok}}}
	case *peerpb.Frame_ShortAsk:
		return ms.answerShort(from, k.ShortAsk)
	case *peerpb.Frame_Release:
		key := grant.Key{Holder: from.Incarnation, ID: k.Release.GetId()}
		ms.grants.Release(key)
		ms.fl.RemoveOffer(k.Release.GetTarget(), key)
	case *peerpb.Frame_BundleAsk:
		return ms.bundleBody(k.BundleAsk.GetVersion())
	}
	return nil
}

func (ms *Mesh) bundleBody(version int64) *peerpb.Frame {
	body := &peerpb.BundleBody{Version: version}
	if cur := ms.bundles.Current(); cur != nil && cur.Version >= version {
		b, err := json.Marshal(cur.Bundle)
		if err == nil {
			body.Version, body.Body = cur.Version, b
		}
	}
	return &peerpb.Frame{Kind: &peerpb.Frame_BundleBody{BundleBody: body}}
}

// proof is the keyed digest of who a hello says it is from.
func proof(secret string, h *peerpb.Hello) []byte {
	m := hmac.New(sha256.New, []byte(secret))
	for _, part := range []string{
		h.GetInstance(), h.GetIncarnation(), h.GetAvailabilityZone(), h.GetPeerAddress(), h.GetCallersAddress(), string(h.GetNonce()),
	} {
		// A hash takes every write.
		_, _ = m.Write([]byte(part))
		_, _ = m.Write([]byte{0})
	}
	return m.Sum(nil)
}

func (ms *Mesh) hello() *peerpb.Hello {
	self := ms.fl.Self()
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never fails
	h := &peerpb.Hello{
		Instance: self.Name, Incarnation: self.Incarnation, AvailabilityZone: self.AvailabilityZone,
		PeerAddress: self.PeerAddress, CallersAddress: self.CallersAddress, Nonce: nonce,
	}
	h.Proof = proof(ms.opts.Secret, h)
	return h
}

// Grant asks the owner of a target for room; this instance's own ledger is asked directly. When the owner cannot
// be reached the grant is given, since grants are for speed only.
func (ms *Mesh) Grant(ctx context.Context, t fleet.Target, memory int, hold time.Duration) (release func(), granted bool) {
	key := grant.Key{Holder: ms.fl.Self().Incarnation, ID: ms.nextID.Add(1)}
	owner := ms.fl.Owner(t)
	if owner == ms.fl.Self().Name {
		ok := ms.grants.TryAcquire(key, t.Name, memory, hold)
		return func() { ms.grants.Release(key) }, ok
	}
	lk := ms.linkTo(owner)
	if lk == nil {
		return func() {}, true
	}
	return lk.ask(ctx, key.ID, t.Name, memory, hold)
}

// FetchBundle asks live peers for a bundle of at least the given version.
func (ms *Mesh) FetchBundle(ctx context.Context, version int64) (bundle.Bundle, error) {
	for _, p := range ms.fl.Peers() {
		lk := ms.linkTo(p.Name)
		if lk == nil || p.BundleVersion < version {
			continue
		}
		b, err := lk.fetch(ctx, version)
		if err == nil {
			return b, nil
		}
	}
	return bundle.Bundle{}, &UnreachableError{Instance: "any with the bundle"}
}

func (ms *Mesh) linkTo(instance string) *link {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, lk := range ms.links {
		if lk.up.Load() && lk.name() == instance {
			return lk
		}
	}
	return nil
}
