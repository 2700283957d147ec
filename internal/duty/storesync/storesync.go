// Package storesync implements the duty that keeps the configuration and the list of targets in sync with the store.
package storesync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	"github.com/silvermount/silvermount/internal/evacuation"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/listwatch"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

func init() {
	kernel.Register(kernel.Duty{Name: "facts", Role: config.RoleGateway, Phase: kernel.PhaseKnowledge, Start: start})
}

// syncer applies the configuration and the targets that it reads from the store to the in-memory state of this instance.
type syncer struct {
	ad  adapter.Adapter
	rts *routes.Holder
	dr  *targets.Directory
	// evacuations holds the evacuated availability zones, and notesNotifier is notified when peers need to learn of a change.
	evacuations   *evacuation.Tracker
	notesNotifier *gatewaydeps.Notifier
	lg            log.Interface
	// stateNotifier is notified of changes that peers may not know yet.
	stateNotifier *gatewaydeps.Notifier
	// coordinator knows whether peers watch the store on behalf of this instance.
	coordinator *gatewaydeps.StoreCoordinator
	// hasSeeds is set if there may be peers, firstStart if the whole fleet is starting for the first time.
	hasSeeds, firstStart bool
	// detector is notified of each successful and each failed call.
	detector *failureDetector
	// leavingBound and configurationBound are the maximum times until a leaving target and a new configuration must be known.
	leavingBound, configurationBound time.Duration
	// version is the newest configuration version read from the store, zero if it could not be decoded. It is used by one goroutine.
	version int64
	// startTimeRequired is set if most entries in the newest list of targets state when the target started. An entry without a
	// start time is then attributed to another writer than a target. It is used by one goroutine.
	startTimeRequired bool
	// rewrittenEra is the newest era of the store in which a change of the configuration was seen. It is used by one goroutine.
	rewrittenEra int64
	// targetAnswers counts the successful calls about targets.
	targetAnswers atomic.Int64
	// newRandom returns the source of random durations for a kind of object; nil for one that is not seeded.
	newRandom func(kind string) func(limit time.Duration) time.Duration
	// pending collects the contents of the response about targets that is being read. It is used by one goroutine.
	pending targetUpdate
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	co, err := kernel.Resolve[*gatewaydeps.Components](env)
	if err != nil {
		return nil, err
	}
	gw := env.Settings.Gateway
	calls := co.Metrics.GetOrCreateCounter("silvermount_store_calls_total")
	co.Metrics.NewGauge("silvermount_targets_age_ms", func() float64 { return ageMillis(co.Targets.ConfirmedAt()) })
	co.Metrics.NewGauge("silvermount_proof_age_ms", func() float64 {
		_, provenAt := co.Routes.Current()
		return ageMillis(provenAt)
	})
	sy := &syncer{
		ad: co.Adapter, rts: co.Routes, dr: co.Targets, lg: env.Logger("facts"), stateNotifier: co.StateNotifier, coordinator: co.StoreCoordinator,
		evacuations: co.Evacuations, notesNotifier: co.NotesNotifier, hasSeeds: len(gw.Seeds) > 0, firstStart: gw.FirstStart,
		leavingBound: gw.LeavingBound.Std(), configurationBound: configurationBound(gw),
	}
	sy.detector = newFailureDetector(sy.silenceTimeout(), co.StoreCoordinator.ReportStoreResult)
	st := co.Adapter.Store(gw.Store, sy.silenceTimeout(), calls.Inc)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { sy.configurationWatcher(st, env.Logger("store")).Run(ctx) })
	wg.Go(func() { sy.targetWatcher(st, env.Logger("store")).Run(ctx) })
	if bound := gw.EvacuationBound.Std(); bound > 0 {
		wg.Go(func() { sy.evacuationWatcher(st, env.Logger("store"), min(bound, sy.leavingBound)).Run(ctx) })
	}
	return func(context.Context) error {
		cancel()
		wg.Wait()
		return nil
	}, nil
}

// configurationBound returns the maximum time until a new configuration must be known. The bound on revocations also applies,
// because a configuration may revoke a key.
func configurationBound(gw *config.Gateway) time.Duration {
	bound := gw.ConfigurationBound.Std()
	if revoked := gw.RevocationBound.Std(); revoked > 0 {
		bound = min(bound, revoked)
	}
	return bound
}

// silenceTimeoutDivisor gives the silence timeout as a fraction of a bound. A sixth allows several round trips to a store that is
// sixty times slower than usual, and together with the watch before it stays well below the bound.
const silenceTimeoutDivisor = 6

// silenceTimeout returns how long a watch may remain unanswered beyond its wait, and how long all calls of a follower may fail,
// before another instance should watch the store in its place.
func (sy *syncer) silenceTimeout() time.Duration {
	return min(sy.leavingBound, sy.configurationBound) / silenceTimeoutDivisor
}

// ageMillis returns the milliseconds since at, or zero if at is the zero time.
func ageMillis(at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return float64(time.Since(at).Milliseconds())
}

// suspended reports whether calls to the store for a kind are suspended, given the time of the last update. When an instance that
// relies on peers has to call the store, it logs the reason.
func (sy *syncer) suspended(pp *pollPolicy, kind string, lastUpdate time.Time) bool {
	if pp.suspended(lastUpdate) {
		return true
	}
	if role := pp.role(); role >= gatewaydeps.RoleStandby {
		fs := log.Fields{"kind": kind, "stand_in": role == gatewaydeps.RoleStandby}
		if !lastUpdate.IsZero() {
			fs["age"] = time.Since(lastUpdate).Round(time.Millisecond).String()
		}
		sy.lg.WithFields(fs).Info("state from peers is stale, calling the store")
	}
	return false
}

func (sy *syncer) configurationWatcher(st listwatch.Store, lg log.Interface) *listwatch.ListWatcher {
	pp := sy.newPollPolicy(sy.ad.ConfigurationKind, sy.configurationBound)
	return &listwatch.ListWatcher{
		Store: st, Kind: sy.ad.ConfigurationKind, Log: lg, Pause: pp.pause, WatchTimeout: pp.watchTimeout,
		Replace: func(items []objectstore.Object, asOf time.Time) {
			for _, it := range items {
				sy.applyConfiguration(it, asOf)
			}
		},
		Apply: func(it objectstore.Object, asOf time.Time) {
			sy.recordRewrite(it, asOf)
			sy.applyConfiguration(it, asOf)
		},
		KnownPosition: sy.knownPosition, RelistDelay: targets.RestoreQuarantine, OnRestore: sy.dr.RecordStoreRestore,
		Confirm: func(asOf time.Time, _ position.Position) {
			sy.detector.recordSuccess()
			sy.rts.Confirm(sy.version, sy.proofTime(asOf))
			sy.stateNotifier.Notify()
		},
		Suspended: func() bool {
			version, provenAt := sy.inForce()
			return sy.coordinator.BehindFor(version) < peerFetchTimeout && sy.suspended(pp, sy.ad.ConfigurationKind, sy.proofAgeStart(provenAt))
		},
		Backoff: func() (minDelay, maxDelay time.Duration) {
			_, provenAt := sy.rts.Current()
			return pp.backoffBounds(provenAt)
		},
		NewestReported:   sy.coordinator.NewestPeerVersion,
		OnConnectionLost: func(error) { sy.detector.recordFailure() },
		OnFailure: func(error) {
			sy.detector.recordFailure()
			// A listener seldom requests targets, and a store that no instance reaches is unavailable for both kinds.
			if !sy.coordinator.FollowsStore() && sy.peersLackProof(pp.maxPeerAge) {
				sy.dr.RecordStoreFailure()
			}
		},
	}
}

// peersLackProof reports whether, as far as is known, peers have no proof of the configuration younger than maxAge either. If they
// have reported a newer configuration that this instance lacks, its own proof is old for that reason, and says nothing about
// theirs.
func (sy *syncer) peersLackProof(maxAge time.Duration) bool {
	tb, provenAt := sy.rts.Current()
	return tb != nil && sy.coordinator.NewestPeerVersion() <= tb.Version() && time.Since(provenAt) >= maxAge
}

// inForce returns the version of the configuration in force, zero for none, and when it was last proven to be the newest.
func (sy *syncer) inForce() (version int64, provenAt time.Time) {
	tb, provenAt := sy.rts.Current()
	if tb == nil {
		return 0, time.Time{}
	}
	return tb.Version(), provenAt
}

func (sy *syncer) applyConfiguration(it objectstore.Object, asOf time.Time) {
	if it.Name != sy.ad.ConfigurationName || len(it.Value) == 0 {
		return
	}
	ct, err := sy.ad.Configuration(it.Value)
	if err != nil {
		// The configuration in force is no longer the newest one in the store, so it must not be confirmed.
		sy.version = 0
		sy.lg.WithError(err).WithField("version", it.Version).Error("cannot decode configuration, keeping the one in force")
		return
	}
	sy.version = ct.Version
	if sy.rts.ApplyIfNewer(routes.New(ct), it.Value, sy.proofTime(asOf)) {
		sy.lg.WithFields(log.Fields{
			"version": ct.Version, "routes": len(ct.Routes), "services": len(ct.Services), "keys": len(ct.Keys), "uses_keys": ct.Keys != nil, "source": "store",
			"age": time.Since(asOf).Round(time.Millisecond).String(),
		}).Info("configuration in force")
	}
}

func (sy *syncer) targetWatcher(st listwatch.Store, lg log.Interface) *listwatch.ListWatcher {
	pp := sy.newPollPolicy(sy.ad.TargetKind, sy.leavingBound)
	return &listwatch.ListWatcher{
		Store: st, Kind: sy.ad.TargetKind, Log: lg, Pause: pp.pause, WatchTimeout: pp.watchTimeout,
		Replace: func(items []objectstore.Object, asOf time.Time) {
			// The ListWatcher lists after each failed call, so a list shows that the store is available again.
			sy.dr.RecordStoreRecovery(asOf)
			sy.pending.isList = true
			sy.pending.list, sy.pending.unreadable = sy.decodeList(items)
		},
		Apply: func(it objectstore.Object, _ time.Time) {
			sy.pending.changes = append(sy.pending.changes, sy.decodeEntry(it))
		},
		KnownPosition: sy.knownPosition, RelistDelay: targets.RestoreQuarantine, OnRestore: sy.dr.RecordStoreRestore,
		Confirm: func(asOf time.Time, at position.Position) {
			sy.detector.recordSuccess()
			sy.reportChanges(sy.applyTargets(at, asOf), asOf)
			sy.targetAnswers.Add(1)
			sy.stateNotifier.Notify()
		},
		OnConnectionLost: func(error) { sy.detector.recordFailure() },
		OnFailure: func(error) {
			sy.detector.recordFailure()
			sy.dr.RecordStoreFailure()
		},
		Suspended: func() bool { return sy.suspended(pp, sy.ad.TargetKind, sy.dr.ConfirmedAt()) },
		Backoff:   func() (minDelay, maxDelay time.Duration) { return pp.backoffBounds(sy.dr.ConfirmedAt()) },
	}
}

// reportChanges logs changes of targets and notifies peers of them.
func (sy *syncer) reportChanges(changes []targets.Change, asOf time.Time) {
	for _, ch := range changes {
		fs := log.Fields{
			"target": ch.Target.ID, "service": ch.Target.Service, "address": ch.Target.Address, "source": "store",
			"age": time.Since(asOf).Round(time.Millisecond).String(),
		}
		if ch.Grace > 0 {
			fs["grace"] = ch.Grace.Round(time.Millisecond).String()
		}
		sy.lg.WithFields(fs).Info("target " + ch.Kind)
	}
	if len(changes) > 0 {
		sy.stateNotifier.Notify()
	}
}
