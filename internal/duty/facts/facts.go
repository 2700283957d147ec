// Package facts is the duty that follows the configuration and the list of targets in the store.
package facts

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/forwarding"
	"github.com/silvermount/silvermount/internal/follow"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

func init() {
	kernel.Register(kernel.Duty{Name: "facts", Role: config.RoleGateway, Phase: kernel.PhaseKnowledge, Start: start})
}

// reader takes what the store says.
type reader struct {
	ad  adapter.Adapter
	rts *routes.Holder
	dr  *targets.Directory
	lg  log.Interface
	// changed is told of news that peers may lack.
	changed *forwarding.Notifier
	// followers says whether peers follow the store for this instance.
	followers *forwarding.StoreCoordinator
	// seeds is set when there may be peers, first when the whole fleet starts for the first time.
	seeds, first bool
	// reach is told of each answer and of each failed call.
	reach *reach
	// leavingBound and configurationBound are the times within which a leaving target and a configuration must be known.
	leavingBound, configurationBound time.Duration
	// version is the newest configuration read; it is used by one goroutine.
	version int64
	// tellBirth says whom an entry without a time of birth is of, a target or another writer. It is set when most targets of the newest list tell when they were born; it is used by one goroutine.
	tellBirth bool
	// rewrittenEra is the newest era of the store in which the configuration was seen to change; it is used by one goroutine.
	rewrittenEra int64
	// heard is what the answer about targets that is being read holds; it is used by one goroutine.
	heard heard
}

func start(_ context.Context, env *kernel.Env) (kernel.Stop, error) {
	pt, err := kernel.Need[*forwarding.Components](env)
	if err != nil {
		return nil, err
	}
	gw := env.Settings.Gateway
	calls := pt.Metrics.GetOrCreateCounter("silvermount_store_calls_total")
	pt.Metrics.NewGauge("silvermount_targets_age_ms", func() float64 { return ageMillis(pt.Targets.HeardAt()) })
	pt.Metrics.NewGauge("silvermount_proof_age_ms", func() float64 {
		_, provenAt := pt.Routes.Current()
		return ageMillis(provenAt)
	})
	rd := &reader{
		ad: pt.Adapter, rts: pt.Routes, dr: pt.Targets, lg: env.Logger("facts"), changed: pt.StateNotifier, followers: pt.StoreCoordinator,
		seeds: len(gw.Seeds) > 0, first: gw.FirstStart,
		leavingBound: gw.LeavingBound.Std(), configurationBound: configurationBound(gw),
	}
	rd.reach = newReach(rd.patience(), pt.StoreCoordinator.ReportStoreResult)
	st := pt.Adapter.Store(gw.Store, rd.patience(), calls.Inc)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { rd.configuration(st, env.Logger("store")).Run(ctx) })
	wg.Go(func() { rd.targets(st, env.Logger("store")).Run(ctx) })
	return func(context.Context) error {
		cancel()
		wg.Wait()
		return nil
	}, nil
}

// configurationBound returns the time within which a configuration must be known: it may also take a key away.
func configurationBound(gw *config.Gateway) time.Duration {
	bound := gw.ConfigurationBound.Std()
	if revoked := gw.RevocationBound.Std(); revoked > 0 {
		bound = min(bound, revoked)
	}
	return bound
}

// patienceShare is the share of a bound that may go by without the answer that is due: several round trips to a store that is sixty
// times as slow as usual, and with a silent watch before it well below the bound.
const patienceShare = 6

// patience is how long the store may leave a watch without an answer beyond its wait, and all calls of a follower, before another
// instance should follow it.
func (rd *reader) patience() time.Duration {
	return min(rd.leavingBound, rd.configurationBound) / patienceShare
}

// ageMillis returns the milliseconds since a time; zero for the zero time.
func ageMillis(at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return float64(time.Since(at).Milliseconds())
}

// rests reports whether what was heard of a kind at a time is enough. When it is not, the store is asked at once, and a line
// tells why for who relies on peers.
func (rd *reader) rests(pc *pace, kind string, heard time.Time) bool {
	if pc.rests(heard) {
		return true
	}
	if part := pc.part(); part >= forwarding.RoleStandby {
		fs := log.Fields{"kind": kind, "stand_in": part == forwarding.RoleStandby}
		if !heard.IsZero() {
			fs["age"] = time.Since(heard).Round(time.Millisecond).String()
		}
		rd.lg.WithFields(fs).Info("what peers tell is old, asking the store")
	}
	return false
}

func (rd *reader) configuration(st follow.Store, lg log.Interface) *follow.Follower {
	pc := newPace(rd.configurationBound, rd.followers.Role, rd.seeds, rd.first)
	return &follow.Follower{
		Store: st, Kind: rd.ad.ConfigurationKind, Log: lg, Pause: pc.pause, Wait: pc.wait,
		Replace: func(items []objectstore.Object, evidence time.Time) {
			for _, it := range items {
				rd.readConfiguration(it, evidence)
			}
		},
		Change: func(it objectstore.Object, evidence time.Time) {
			rd.rewritten(it, evidence)
			rd.readConfiguration(it, evidence)
		},
		Known: rd.known, Settle: targets.StaleFor, Restored: rd.dr.Restored,
		Confirm: func(evidence time.Time, _ position.Position) {
			rd.reach.answered()
			rd.rts.Confirm(rd.version, rd.proof(evidence))
			rd.changed.Notify()
		},
		Rest: func() bool {
			version, provenAt := rd.inForce()
			return rd.followers.BehindFor(version) < newsTime && rd.rests(pc, rd.ad.ConfigurationKind, rd.provable(provenAt))
		},
		Retry: func() (least, most time.Duration) {
			_, provenAt := rd.rts.Current()
			return pc.retry(provenAt)
		},
		Newest: rd.followers.NewestPeerVersion,
		Trouble: func(error) {
			rd.reach.failed()
			// A listener seldom asks for targets, and a store that nobody reaches is in trouble for both kinds.
			if !rd.followers.FollowsStore() && rd.unproven(pc.rest) {
				rd.dr.Trouble()
			}
		},
	}
}

// unproven reports whether peers have no proof younger than an age either, as far as known: who lacks a newer configuration that
// they told of has none for that reason.
func (rd *reader) unproven(fresh time.Duration) bool {
	tb, provenAt := rd.rts.Current()
	return tb != nil && rd.followers.NewestPeerVersion() <= tb.Version() && time.Since(provenAt) >= fresh
}

// inForce returns the version of the configuration in force, zero for none, and the time of its newest proof.
func (rd *reader) inForce() (version int64, provenAt time.Time) {
	tb, provenAt := rd.rts.Current()
	if tb == nil {
		return 0, time.Time{}
	}
	return tb.Version(), provenAt
}

func (rd *reader) readConfiguration(it objectstore.Object, evidence time.Time) {
	if it.Name != rd.ad.ConfigurationName || len(it.Value) == 0 {
		return
	}
	ct, err := rd.ad.Configuration(it.Value)
	if err != nil {
		// What is in force is no longer the newest: it must not be confirmed.
		rd.version = 0
		rd.lg.WithError(err).WithField("version", it.Version).Error("configuration cannot be read; the present one stays in force")
		return
	}
	rd.version = ct.Version
	if rd.rts.Offer(routes.New(ct), it.Value, rd.proof(evidence)) {
		rd.lg.WithFields(log.Fields{
			"version": ct.Version, "routes": len(ct.Routes), "services": len(ct.Services), "source": "store",
			"age": time.Since(evidence).Round(time.Millisecond).String(),
		}).Info("configuration in force")
	}
}

func (rd *reader) targets(st follow.Store, lg log.Interface) *follow.Follower {
	pc := newPace(rd.leavingBound, rd.followers.Role, rd.seeds, rd.first)
	return &follow.Follower{
		Store: st, Kind: rd.ad.TargetKind, Log: lg, Pause: pc.pause, Wait: pc.wait,
		Replace: func(items []objectstore.Object, evidence time.Time) {
			// The follower lists again after each failed call.
			rd.dr.Back(evidence)
			rd.heard.whole = true
			rd.heard.list, rd.heard.unread = rd.list(items)
		},
		Change: func(it objectstore.Object, _ time.Time) { rd.heard.changes = append(rd.heard.changes, rd.entry(it)) },
		Known:  rd.known, Settle: targets.StaleFor, Restored: rd.dr.Restored,
		Confirm: func(evidence time.Time, at position.Position) {
			rd.reach.answered()
			rd.tell(rd.take(at, evidence), evidence)
			rd.changed.Notify()
		},
		Trouble: func(error) {
			rd.reach.failed()
			rd.dr.Trouble()
		},
		Rest:  func() bool { return rd.rests(pc, rd.ad.TargetKind, rd.dr.HeardAt()) },
		Retry: func() (least, most time.Duration) { return pc.retry(rd.dr.HeardAt()) },
	}
}

func (rd *reader) tell(changes []targets.Change, evidence time.Time) {
	for _, ch := range changes {
		rd.lg.WithFields(log.Fields{
			"target": ch.Target.ID, "service": ch.Target.Service, "address": ch.Target.Address, "source": "store",
			"age": time.Since(evidence).Round(time.Millisecond).String(),
		}).Info("target " + ch.What)
	}
	if len(changes) > 0 {
		rd.changed.Notify()
	}
}
