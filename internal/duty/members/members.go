// Package members is the duty that tells peers what this instance knows and has in flight, and hears the same of them.
package members

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/blame"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/duty/forwarding"
	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/peerstate"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

func init() {
	kernel.Register(kernel.Duty{Name: "members", Role: config.RoleGateway, Phase: kernel.PhasePeers, Start: start})
}

const (
	// configurationDocument and targetsDocument are what a peer is asked for whose configuration or list is newer.
	configurationDocument = "configuration"
	targetsDocument       = "incarnations"
	// nameDocument is the list of targets without their incarnations, for instances of the build before.
	nameDocument = "targets"
	// fetchTimeout bounds that question: many round trips, and well under the time a change has to be in force.
	fetchTimeout = 600 * time.Millisecond
	// coalesce is the least time between two sends of the state: two long prompts must not choose the same targets
	// before they know of each other.
	coalesce = 2 * time.Millisecond
	// fetchesWaiting bounds the peers remembered as having a newer document of a kind; more are told again by their next
	// heartbeat.
	fetchesWaiting = 4
)

// newer is a peer that told of something newer.
type newer struct {
	// document is what the peer has a newer version of.
	document string
	from     gossip.Member
	// version is that of the configuration, at the position of the list of targets: one of them is set.
	version  int64
	at       position.Position
	evidence time.Time
}

// duty joins the mesh to what this instance knows.
type duty struct {
	ad  adapter.Adapter
	rts *routes.Holder
	dr  *targets.Directory
	ds  *dispatch.Dispatcher
	lg  log.Interface
	ms  *gossip.Mesh
	fo  *forwarding.StoreCoordinator
	ld  *blame.Tracker
	// limits is what is believed of the rate limits of targets, and permits keeps to them with the others.
	limits  *ratelimit.Book
	permits *permits
	// configurations and lists are the newer documents to be fetched, each kind by a goroutine of its own: a target that is
	// gone must be known in time, whatever a large configuration takes.
	configurations, lists chan newer
	// document asks a peer for a document.
	document func(ctx context.Context, from gossip.Member, name string) ([]byte, error)
	// awaited is the newest configuration that the linked relays are expected to tell of; it is used by one callback at
	// a time.
	awaited int64
	// configuration is that in force, as peers get it.
	configuration packed
	// left is set when the instance leaves the others: nothing is in flight any more, whatever has not been noted yet.
	left atomic.Bool
}

func start(ctx context.Context, env *kernel.Env) (kernel.Stop, error) {
	pt, err := kernel.Need[*forwarding.Components](env)
	if err != nil {
		return nil, err
	}
	du := newDuty()
	du.ad, du.rts, du.dr, du.ds, du.fo, du.ld = pt.Adapter, pt.Routes, pt.Targets, pt.Dispatcher, pt.StoreCoordinator, pt.Blame
	du.limits = pt.RateLimits
	du.lg = env.Logger("peers")
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", env.Settings.Gateway.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "bind listener")
	}
	op := du.options(env)
	du.ms = gossip.New(op)
	du.document = du.ms.Fetch
	du.permits = newPermits(op.Self.Name, du.ms, du.limits, du.lg)
	pt.Permits.SetRequestFunc(du.permits.ask)
	pt.StateNotifier.SetCallback(du.ms.Publish)
	pt.NotesNotifier.SetCallback(du.ms.PublishNotes)
	pt.Metrics.NewGauge("silvermount_peer_links", func() float64 { return float64(du.ms.Links()) })
	pt.Metrics.NewGauge("silvermount_peer_subscribers", func() float64 { return float64(du.ms.Subscribers()) })
	pt.Dispatcher.SetLag(du.ms.Lag)
	fl := &follower{self: op.Self, lg: du.lg}
	pt.StoreCoordinator.SetRole(func() forwarding.Role { return fl.of(du.ms) })
	pt.StoreCoordinator.SetOnStoreResult(func(answered bool) { reach(answered, fl.of(du.ms), du.ms.Live, du.ms.SetStoreless) })
	kernel.Provide(env, du.ms)
	return du.run(l, env), nil
}

func newDuty() *duty {
	return &duty{configurations: make(chan newer, fetchesWaiting), lists: make(chan newer, fetchesWaiting)}
}

func (du *duty) options(env *kernel.Env) gossip.Options {
	gw := env.Settings.Gateway
	return gossip.Options{
		Self: gossip.Member{
			Name: env.Settings.Instance, Incarnation: env.Incarnation, Address: gw.Peers,
			AvailabilityZone: env.Settings.AvailabilityZone, Megabits: uint64(gw.Megabits),
		},
		Seeds: gw.Seeds, Coalesce: coalesce, Body: du.body, Receive: du.receive, Notes: du.notes, ReceiveNotes: du.receiveNotes, OnLost: du.lost, Serve: du.serve, Log: du.lg,
		Answer: func(name string, question []byte) ([]byte, bool) { return du.permits.answer(name, question) },
	}
}

func (du *duty) run(l net.Listener, env *kernel.Env) kernel.Stop {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { du.ended(ctx, du.ms.Serve(ctx, l)) })
	wg.Go(func() { du.ended(ctx, du.ms.Run(ctx)) })
	wg.Go(func() { du.fetchAll(ctx) })
	wg.Go(func() { du.permits.beat(ctx) })
	return func(context.Context) error {
		env.Logger("peers").Info("leaving the other instances")
		du.left.Store(true)
		cancel()
		wg.Wait()
		return nil
	}
}

func (du *duty) ended(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		du.lg.WithError(err).Error("exchange with peers ended")
	}
}

// body returns this instance's state.
func (du *duty) body() []byte {
	st := peerstate.State{Leaving: du.dr.Leaving()}
	if !du.left.Load() {
		st.Loads = du.ds.Own()
	}
	at, heard := du.dr.ChangedAt()
	st.TargetsPosition = at
	st.TargetsAge = time.Since(heard)
	if tb, provenAt := du.rts.Current(); tb != nil {
		st.Configuration = tb.Version()
		st.ProofAge = time.Since(provenAt)
	}
	b, err := st.Encode()
	if err != nil {
		du.lg.WithError(err).Error("own state not told")
		return nil
	}
	return b
}

// receive takes a peer's state.
func (du *duty) receive(from gossip.Member, body []byte, made time.Time) {
	if len(body) == 0 {
		return
	}
	st, err := peerstate.Decode(body)
	if err != nil {
		du.lg.WithError(err).WithField("peer", from.Name).Error("peer's state cannot be read")
		return
	}
	loads := st.Loads
	if loads == nil {
		loads = map[string]placement.Load{}
	}
	du.ds.Heard(from.Name, loads)
	for _, id := range st.Leaving {
		if du.dr.MarkLeaving(id) {
			du.lg.WithFields(log.Fields{"target": id, "peer": from.Name, "age": time.Since(made).String(), "source": "peer"}).Info("target leaving")
		}
	}
	du.receiveTargets(from, st, made.Add(-st.TargetsAge))
	if st.Configuration == 0 {
		return
	}
	evidence := made.Add(-st.ProofAge)
	if du.rts.Confirm(st.Configuration, evidence) {
		return
	}
	du.wantConfiguration(newer{document: configurationDocument, from: from, version: st.Configuration, evidence: evidence})
}

// wantConfiguration gets a newer configuration. In a large fleet all hear of it from the few that follow the store, whose
// links would not carry it to all at once: there it is taken from those that this instance is linked to, once they have it,
// and from another only when that does not help.
func (du *duty) wantConfiguration(nw newer) {
	du.fo.RecordPeerVersion(nw.version)
	if du.fo.FollowsStore() || du.ms.Source(nw.from) {
		du.want(nw)
		return
	}
	if nw.version > du.awaited {
		du.awaited = nw.version
		time.AfterFunc(sourceFirst, func() { du.want(nw) })
	}
}

// sourceFirst is the time that the linked relays have to get a newer configuration first: several times what a document
// takes from one to the next.
const sourceFirst = 500 * time.Millisecond

// receiveTargets compares a peer's list of targets with this instance's.
func (du *duty) receiveTargets(from gossip.Member, st peerstate.State, evidence time.Time) {
	mine, _ := du.dr.ChangedAt()
	switch {
	case st.TargetsPosition.IsZero() || mine.After(st.TargetsPosition):
	case st.TargetsPosition == mine:
		du.tellTargets(du.lg.WithField("peer", from.Name), du.dr.Confirm(evidence), evidence)
	case !du.fo.FollowsStore() && !du.ms.Source(from):
		// The linked relays will have it too.
		time.AfterFunc(sourceFirst, func() {
			du.want(newer{document: targetsDocument, from: from, at: st.TargetsPosition, evidence: evidence})
		})
	default:
		du.want(newer{document: targetsDocument, from: from, at: st.TargetsPosition, evidence: evidence})
	}
}

func (du *duty) want(nw newer) {
	waiting := du.configurations
	if nw.document == targetsDocument {
		waiting = du.lists
	}
	select {
	case waiting <- nw:
	default:
		// Others are asked already; the peer tells again.
	}
}

func (du *duty) lost(mb gossip.Member) {
	du.ds.Heard(mb.Name, nil)
	du.ld.RemovePeer(mb.Name)
	if silentZone(mb, du.ms.Live()) && du.dr.PeerLost(mb.AvailabilityZone, mb.Name) {
		du.lg.WithFields(log.Fields{"zone": mb.AvailabilityZone, "cause": "instances lost"}).Warn("availability zone left out")
	}
}

// silentZone reports whether all instances of a lost one's availability zone are lost.
func silentZone(lost gossip.Member, live []gossip.Member) bool {
	return !slices.ContainsFunc(live, func(mb gossip.Member) bool { return mb.AvailabilityZone == lost.AvailabilityZone })
}

func (du *duty) serve(name string) ([]byte, bool) {
	switch name {
	case configurationDocument:
		version, doc := du.rts.Document()
		if doc == nil {
			return nil, false
		}
		b, err := du.configuration.of(version, doc)
		if err != nil {
			du.lg.WithError(err).Error("configuration not told")
		}
		return b, err == nil
	case targetsDocument, nameDocument:
		doc, err := du.targetsDocument(name)
		if err != nil {
			du.lg.WithError(err).Error("list of targets not told")
		}
		return doc, err == nil
	default:
		return nil, false
	}
}

// fetchAll asks peers for newer documents until ctx ends, one of each kind at a time.
func (du *duty) fetchAll(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { each(ctx, du.configurations, du.fetchConfiguration) })
	wg.Go(func() { each(ctx, du.lists, du.fetchTargets) })
	wg.Wait()
}

// each hands over what waits, one after another.
func each(ctx context.Context, waiting <-chan newer, fetch func(context.Context, newer)) {
	for {
		select {
		case nw := <-waiting:
			fetch(ctx, nw)
		case <-ctx.Done():
			return
		}
	}
}

// fetchConfiguration asks a peer for a newer configuration.
func (du *duty) fetchConfiguration(ctx context.Context, nw newer) {
	if tb, _ := du.rts.Current(); tb != nil && tb.Version() >= nw.version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	lg := du.lg.WithField("peer", nw.from.Name).WithField("version", nw.version)
	doc, err := du.document(ctx, nw.from, configurationDocument)
	if err != nil {
		lg.WithError(err).Warn("newer configuration not fetched")
		return
	}
	doc, err = unpack(doc)
	if err != nil {
		lg.WithError(err).Error("peer's configuration cannot be read")
		return
	}
	ct, err := du.ad.Configuration(doc)
	if err != nil {
		lg.WithError(err).Error("peer's configuration cannot be read")
		return
	}
	if ct.Version < nw.version {
		lg.WithField("got", ct.Version).Warn("newer configuration not fetched")
		return
	}
	evidence := nw.evidence
	if ct.Version > nw.version {
		// The proof was of an older version.
		evidence = time.Time{}
	}
	if du.rts.Offer(routes.New(ct), doc, evidence) {
		fs := log.Fields{"version": ct.Version, "routes": len(ct.Routes), "services": len(ct.Services), "source": "peer"}
		if !evidence.IsZero() {
			fs["age"] = time.Since(evidence).Round(time.Millisecond).String()
		}
		lg.WithFields(fs).Info("configuration in force")
	}
}
