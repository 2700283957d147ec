// Package peersync implements the duty that exchanges with peers what each instance knows and has in flight.
package peersync

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"storj.io/drpc/drpcmigrate"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	"github.com/silvermount/silvermount/internal/evacuation"
	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/loadreport"
	"github.com/silvermount/silvermount/internal/peerstate"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/tunnel"
	"github.com/silvermount/silvermount/internal/tunnelserver"
)

func init() {
	kernel.Register(kernel.Duty{Name: "members", Role: config.RoleGateway, Phase: kernel.PhasePeers, Start: start})
}

const (
	// configurationDocument and targetsDocument name the documents that are fetched from a peer with a newer configuration or list.
	configurationDocument = "configuration"
	targetsDocument       = "incarnations"
	// legacyTargetsDocument names the list of targets without incarnations, which instances of the previous build fetch.
	legacyTargetsDocument = "targets"
	// fetchTimeout is the timeout of a fetch. It allows many round trips, and is well below the time until a change must be in force.
	fetchTimeout = 600 * time.Millisecond
	// minPublishInterval is the minimum time between two sends of the state. It is short, so that two long prompts do not choose the
	// same targets before their instances know of each other's choice.
	minPublishInterval = 2 * time.Millisecond
	// maxQueuedFetches is the maximum number of queued fetches per kind of document. Further ones are dropped: the next heartbeat of
	// the peer requests them again.
	maxQueuedFetches = 4
)

// fetchRequest is a document to fetch from a peer that reported a newer version than this instance has.
type fetchRequest struct {
	document string
	from     gossip.Member
	// version is the reported version of the configuration, at the reported position of the list of targets. One of them is set.
	version int64
	at      position.Position
	// asOf is the time at which the store is proven to have held the reported version.
	asOf time.Time
}

// duty connects the gossip mesh to the state of this instance.
type duty struct {
	ad  adapter.Adapter
	rts *routes.Holder
	dr  *targets.Directory
	ds  *dispatch.Dispatcher
	lg  log.Interface
	ms  *gossip.Mesh
	sc  *gatewaydeps.StoreCoordinator
	tr  *quarantine.Tracker
	// evacuations holds the evacuated availability zones.
	evacuations *evacuation.Tracker
	// rateLimits holds the known rate limits of targets, and permits enforces them together with the other instances.
	rateLimits *ratelimit.Tracker
	permits    *permitService
	// retries is the retry budget that the instances of an availability zone share.
	retries *sharedRetries
	// tunnels connects peers to targets that they do not reach.
	tunnels *tunnelserver.Server
	// loadReports exchanges what the parts of load control tell peers.
	loadReports *loadreport.Exchange
	// configurationFetches and listFetches queue the documents to fetch, with one goroutine for each kind: a list with a target
	// that is gone must not wait for a large configuration.
	configurationFetches, listFetches chan fetchRequest
	// fetchDocument fetches a document from a peer.
	fetchDocument func(ctx context.Context, from gossip.Member, name string) ([]byte, error)
	// queryPeer sends a query to a peer and returns its response.
	queryPeer func(ctx context.Context, m gossip.Member, name string, query []byte) ([]byte, error)
	// awaitedFromRelays is the newest version of the configuration that the linked relays are expected to report. It is used by one
	// callback at a time.
	awaitedFromRelays int64
	// compressedConfiguration holds the configuration in force as it is sent to peers.
	compressedConfiguration compressedCache
	// hasLeft is set when this instance leaves the fleet. It then reports nothing in flight, even if the end of a request has not
	// been recorded yet.
	hasLeft atomic.Bool
}

func start(ctx context.Context, env *kernel.Env) (kernel.Stop, error) {
	co, err := kernel.Resolve[*gatewaydeps.Components](env)
	if err != nil {
		return nil, err
	}
	du := newDuty()
	du.ad, du.rts, du.dr, du.ds, du.sc, du.tr = co.Adapter, co.Routes, co.Targets, co.Dispatcher, co.StoreCoordinator, co.Quarantine
	du.rateLimits, du.evacuations, du.loadReports = co.RateLimits, co.Evacuations, co.LoadReports
	du.lg = env.Logger("peers")
	l, err := gossip.Listen(ctx, env.Settings.Gateway.Peers, du.lg)
	if err != nil {
		return nil, err
	}
	opts := du.options(env)
	du.ms = gossip.New(opts)
	du.fetchDocument, du.queryPeer = du.ms.Fetch, du.ms.Query
	du.permits = newPermitService(opts.Self.Name, du.ms, co.TargetLimit, du.lg)
	co.Permits.SetRequestFunc(du.permits.requestPermit)
	du.retries = &sharedRetries{
		self: opts.Self, issuerOf: du.permits.issuerOf, query: du.ms.Query, held: co.Retries.Zone, lg: du.lg,
		granted:    co.Metrics.GetOrCreateCounter("silvermount_shared_retries_granted_total"),
		refused:    co.Metrics.GetOrCreateCounter("silvermount_shared_retries_refused_total"),
		unanswered: co.Metrics.GetOrCreateCounter("silvermount_shared_retries_unanswered_total"),
	}
	co.Retries.Shared.Set(du.retries.withdraw)
	co.StateNotifier.SetCallback(du.ms.PublishState)
	co.NotesNotifier.SetCallback(du.ms.PublishNotes)
	co.LoadReports.SetPublish(du.ms.PublishLoadReport)
	co.Metrics.NewGauge("silvermount_peer_links", func() float64 { return float64(du.ms.LinkCount()) })
	co.Metrics.NewGauge("silvermount_peer_subscribers", func() float64 { return float64(du.ms.SubscriberCount()) })
	co.Dispatcher.SetPropagationDelay(du.ms.PropagationDelay)
	tk := &roleTracker{self: opts.Self, lg: du.lg}
	co.StoreCoordinator.SetRole(func() gatewaydeps.Role { return tk.currentRole(du.ms) })
	co.StoreCoordinator.SetSettledFor(func() time.Duration { return tk.settledFor(du.ms) })
	co.StoreCoordinator.SetOnStoreResult(func(answered bool) {
		reportStoreReachability(answered, tk.currentRole(du.ms), du.ms.Live, du.ms.SetStoreUnreachable)
	})
	kernel.Provide(env, du.ms)
	du.tunnels = co.TunnelServer
	co.Peers.Set((&tunnelPeers{live: du.permits.liveMembers}).list)
	return du.run(l, env), nil
}

func newDuty() *duty {
	return &duty{configurationFetches: make(chan fetchRequest, maxQueuedFetches), listFetches: make(chan fetchRequest, maxQueuedFetches)}
}

func (du *duty) options(env *kernel.Env) gossip.Options {
	gw := env.Settings.Gateway
	return gossip.Options{
		Self: gossip.Member{
			Name: env.Settings.Instance, Incarnation: env.Incarnation, Address: gw.Peers,
			AvailabilityZone: env.Settings.AvailabilityZone, BandwidthMbps: uint64(gw.Megabits),
		},
		Seeds: gw.Seeds, MinSendInterval: minPublishInterval, State: du.encodeState, ReceiveState: du.receiveState, Notes: du.encodeNotes, ReceiveNotes: du.receiveNotes, LoadReport: du.loadReports.Encode, ReceiveLoadReport: du.receiveLoadReport, OnLost: du.onPeerLost, HandleFetch: du.serveDocument, Log: du.lg,
		HandleQuery: du.answerQuery, AcceptableDelay: du.ds.AcceptableDelay,
	}
}

// answerQuery responds to a query of a peer. It reports false if the query is unknown or cannot be decoded.
func (du *duty) answerQuery(name string, query []byte) ([]byte, bool) {
	switch name {
	case permitQuery:
		return du.permits.answerPeer(query)
	case retryQuery:
		return du.retries.answerPeer(query)
	case targetChangesQuery:
		return du.answerTargetChanges(query)
	default:
		return nil, false
	}
}

func (du *duty) run(l net.Listener, env *kernel.Env) kernel.Stop {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	mux := drpcmigrate.NewListenMux(l, len(tunnel.Prefix))
	tunnels := mux.Route(tunnel.Prefix)
	// The listener outlives the gossip, which ends with a flush of the final state.
	muxCtx, stopMux := context.WithCancel(context.Background())
	var muxWG sync.WaitGroup
	muxWG.Go(func() { du.logUnexpectedEnd(muxCtx, mux.Run(muxCtx)) })
	muxWG.Go(func() { du.logUnexpectedEnd(muxCtx, du.tunnels.Serve(tunnels)) })
	wg.Go(func() { du.logUnexpectedEnd(ctx, du.ms.Serve(ctx, mux.Default())) })
	wg.Go(func() { du.logUnexpectedEnd(ctx, du.ms.Run(ctx)) })
	wg.Go(func() { du.fetchAll(ctx) })
	wg.Go(func() { du.permits.tickIssuer(ctx) })
	return func(ctx context.Context) error {
		closeTunnels(ctx, du.tunnels, env.Settings.Gateway.Grace.Std())
		env.Logger("peers").Info("leaving the fleet")
		du.hasLeft.Store(true)
		cancel()
		wg.Wait()
		stopMux()
		muxWG.Wait()
		return nil
	}
}

func (du *duty) logUnexpectedEnd(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		du.lg.WithError(err).Error("service for peers ended unexpectedly")
	}
}

// encodeState returns the encoded state of this instance.
func (du *duty) encodeState() []byte {
	st := peerstate.State{Leaving: du.dr.LeavingIDs()}
	if !du.hasLeft.Load() {
		st.Loads = du.ds.OwnLoads()
	}
	at, asOf := du.dr.ListPosition()
	st.TargetsPosition = at
	st.TargetsAge = time.Since(asOf)
	if tb, provenAt := du.rts.Current(); tb != nil {
		st.Configuration = tb.Version()
		st.ProofAge = time.Since(provenAt)
	}
	b, err := st.Encode()
	if err != nil {
		du.lg.WithError(err).Error("cannot encode own state for peers")
		return nil
	}
	return b
}

// receiveState applies the state that a peer had at a time.
func (du *duty) receiveState(from gossip.Member, body []byte, at time.Time) {
	if len(body) == 0 {
		return
	}
	st, err := peerstate.Decode(body)
	if err != nil {
		du.lg.WithError(err).WithField("peer", from.Name).Error("cannot decode state of peer")
		return
	}
	loads := st.Loads
	if loads == nil {
		loads = map[string]placement.Load{}
	}
	du.ds.SetPeerLoads(from.Name, loads)
	for _, id := range st.Leaving {
		if du.dr.MarkLeaving(id) {
			du.lg.WithFields(log.Fields{"target": id, "peer": from.Name, "age": time.Since(at).String(), "source": "peer"}).Info("target leaving")
		}
	}
	du.receiveTargets(from, st, at.Add(-st.TargetsAge))
	if st.Configuration == 0 {
		return
	}
	asOf := at.Add(-st.ProofAge)
	if du.rts.Confirm(st.Configuration, asOf) {
		return
	}
	du.requestConfiguration(fetchRequest{document: configurationDocument, from: from, version: st.Configuration, asOf: asOf})
}

// receiveLoadReport applies the load report that a peer made at a time.
func (du *duty) receiveLoadReport(from gossip.Member, b []byte, at time.Time) {
	if err := du.loadReports.Receive(from.Name, b, at); err != nil {
		du.lg.WithError(err).WithField("peer", from.Name).Error("cannot decode load report of peer")
	}
}

// requestConfiguration fetches a newer configuration. In a large fleet all instances learn of it from the few followers, whose
// links could not carry it to all of them at once. It is therefore fetched from the linked relays once they have it, and from
// another peer only if that does not succeed.
func (du *duty) requestConfiguration(fr fetchRequest) {
	du.sc.RecordPeerVersion(fr.version)
	if du.sc.FollowsStore() || du.ms.IsUpstream(fr.from) {
		du.enqueueFetch(fr)
		return
	}
	if fr.version > du.awaitedFromRelays {
		du.awaitedFromRelays = fr.version
		time.AfterFunc(relayHeadStart, func() { du.enqueueFetch(fr) })
	}
}

// relayHeadStart is the time in which the linked relays can get a newer document before it is fetched from another peer. It is
// several times as long as a document takes from one relay to the next.
const relayHeadStart = 500 * time.Millisecond

// receiveTargets compares the position of a peer's list of targets with that of this instance, and fetches a newer list.
func (du *duty) receiveTargets(from gossip.Member, st peerstate.State, asOf time.Time) {
	own, _ := du.dr.ListPosition()
	switch {
	case st.TargetsPosition.IsZero() || own.After(st.TargetsPosition):
	case st.TargetsPosition == own:
		du.logTargetChanges(du.lg.WithField("peer", from.Name), du.dr.Confirm(asOf), asOf)
	case !du.sc.FollowsStore() && !du.ms.IsUpstream(from):
		// The linked relays get the list too.
		time.AfterFunc(relayHeadStart, func() {
			du.enqueueFetch(fetchRequest{document: targetsDocument, from: from, at: st.TargetsPosition, asOf: asOf})
		})
	default:
		du.enqueueFetch(fetchRequest{document: targetsDocument, from: from, at: st.TargetsPosition, asOf: asOf})
	}
}

func (du *duty) enqueueFetch(fr fetchRequest) {
	queue := du.configurationFetches
	if fr.document == targetsDocument {
		queue = du.listFetches
	}
	select {
	case queue <- fr:
	default:
		// The queue is full. The peer reports the document again with its next heartbeat.
	}
}

func (du *duty) onPeerLost(mb gossip.Member) {
	du.ds.SetPeerLoads(mb.Name, nil)
	du.tr.RemovePeer(mb.Name)
	du.loadReports.Forget(mb.Name)
	if !du.ms.HasLive(mb.AvailabilityZone) && du.dr.RecordPeerLoss(mb.AvailabilityZone, mb.Name) {
		du.lg.WithFields(log.Fields{"zone": mb.AvailabilityZone, "cause": "instances lost"}).Warn("availability zone left out")
	}
}

func (du *duty) serveDocument(name string) ([]byte, bool) {
	switch name {
	case configurationDocument:
		version, doc := du.rts.Document()
		if doc == nil {
			return nil, false
		}
		b, err := du.compressedConfiguration.get(version, doc)
		if err != nil {
			du.lg.WithError(err).Error("cannot compress configuration for peers")
		}
		return b, err == nil
	case targetsDocument, legacyTargetsDocument:
		doc, err := du.encodeTargets(name)
		if err != nil {
			du.lg.WithError(err).Error("cannot encode list of targets for peers")
		}
		return doc, err == nil
	default:
		return nil, false
	}
}

// fetchAll fetches newer documents from peers until ctx is cancelled, one of each kind at a time.
func (du *duty) fetchAll(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { fetchEach(ctx, du.configurationFetches, du.fetchConfiguration) })
	wg.Go(func() { fetchEach(ctx, du.listFetches, du.fetchTargets) })
	wg.Wait()
}

// fetchEach calls fetch for each queued request until ctx is cancelled.
func fetchEach(ctx context.Context, queue <-chan fetchRequest, fetch func(context.Context, fetchRequest)) {
	for {
		select {
		case fr := <-queue:
			fetch(ctx, fr)
		case <-ctx.Done():
			return
		}
	}
}

// fetchConfiguration fetches a newer configuration from a peer.
func (du *duty) fetchConfiguration(ctx context.Context, fr fetchRequest) {
	if tb, _ := du.rts.Current(); tb != nil && tb.Version() >= fr.version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	lg := du.lg.WithField("peer", fr.from.Name).WithField("version", fr.version)
	doc, err := du.fetchDocument(ctx, fr.from, configurationDocument)
	if err != nil {
		lg.WithError(err).Warn("cannot fetch newer configuration from peer")
		return
	}
	doc, err = decompress(doc)
	if err != nil {
		lg.WithError(err).Error("cannot decompress configuration from peer")
		return
	}
	ct, err := du.ad.Configuration(doc)
	if err != nil {
		lg.WithError(err).Error("cannot decode configuration from peer")
		return
	}
	if ct.Version < fr.version {
		lg.WithField("got", ct.Version).Warn("peer served an older configuration than it reported")
		return
	}
	asOf := fr.asOf
	if ct.Version > fr.version {
		// The proof is for an older version.
		asOf = time.Time{}
	}
	if du.rts.ApplyIfNewer(routes.New(ct), doc, asOf) {
		fs := log.Fields{"version": ct.Version, "routes": len(ct.Routes), "services": len(ct.Services), "keys": len(ct.Keys), "uses_keys": ct.Keys != nil, "source": "peer"}
		if !asOf.IsZero() {
			fs["age"] = time.Since(asOf).Round(time.Millisecond).String()
		}
		lg.WithFields(fs).Info("configuration in force")
	}
}
