package frontend

import (
	"sync/atomic"
	"time"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/retrybudget"
	"github.com/silvermount/silvermount/internal/retryledger"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/upstream"
)

const (
	// minSharers is the number of instances that are assumed to share a limit, until more are known.
	minSharers = 8
	// sharerCountRetention is how long a larger number of instances still counts, because instances that are cut off keep using
	// their shares.
	sharerCountRetention = 60 * time.Second
	// reservationValidity is how long an instance may use retries from the ledger. It is long against the time of a call to the store and
	// short against the window, which it extends for those that come next.
	reservationValidity = time.Second
	// idleShare is the part of a target's connections that may be idle.
	idleShare = 0.5
)

// limitShares updates this instance's share of the limits that apply to all instances together. It is used by one goroutine.
type limitShares struct {
	// settings is replaced when the settings are reloaded.
	settings atomic.Pointer[config.Gateway]
	// zone is the availability zone of this instance.
	zone    string
	mesh    *gossip.Mesh
	routes  *routes.Holder
	pool    *upstream.Pool
	retries *gatewaydeps.Retries
	// lastMembers is the number of live instances at the last update.
	lastMembers int
	// live is the number of live instances, zoneMembers that of the availability zone of this instance, zones that of availability zones.
	live, zoneMembers, zones recentMax
}

// recentMax is the largest value seen in the last sharerCountRetention.
type recentMax struct {
	value  int
	seenAt time.Time
}

// update takes a new value into account and returns the maximum.
func (rm *recentMax) update(value int, now time.Time) int {
	if value >= rm.value || now.Sub(rm.seenAt) > sharerCountRetention {
		rm.value, rm.seenAt = value, now
	}
	return rm.value
}

func newLimitShares(env *kernel.Env, co *gatewaydeps.Components, mesh *gossip.Mesh) *limitShares {
	ls := &limitShares{zone: env.Settings.AvailabilityZone, mesh: mesh, routes: co.Routes, pool: co.Pool, retries: co.Retries}
	ls.settings.Store(env.Settings.Gateway)
	env.OnReload(func(s config.Settings) { ls.settings.Store(s.Gateway) })
	st := env.Settings.Gateway
	ls.retries.Ledger.SetLimits(ledgerLimits(st))
	// Withdrawals of the availability zone go to one instance, so that few call the store when all start at once.
	ls.retries.Own.SetBorrow(ls.retries.Shared.Withdraw)
	ls.setShare(retrybudget.InitialShare(st.RetryFloor, len(st.AvailabilityZones)), 0)
	return ls
}

// update adapts the shares to the number of live instances and the configuration.
func (ls *limitShares) update() {
	members, now := ls.mesh.Live(), time.Now()
	live := ls.live.update(max(minSharers, len(members)), now)
	ls.updateRetries(members, now)
	tb, _ := ls.routes.Current()
	if tb == nil {
		return
	}
	ls.pool.SetMaxIdle(idleLimit(tb.Services(), live))
	configured := func(name string) bool { _, ok := tb.Service(name); return ok }
	ls.retries.Own.Retain(configured)
	ls.retries.Zone.Retain(configured)
	ls.retries.Ledger.Retain(configured)
}

// updateRetries sets the limits of the ledger, and this instance's share of the rest of the retry floor, or that of its availability zone
// if an instance's own share is too small.
func (ls *limitShares) updateRetries(members []gossip.Member, now time.Time) {
	st := ls.settings.Load()
	ls.retries.Ledger.SetLimits(ledgerLimits(st))
	inZone, zones := countMembers(members, ls.zone)
	sharers := ls.zoneMembers.update(inZone, now)
	zoneCount := max(ls.zones.update(zones, now), len(st.AvailabilityZones))
	grown := len(members) > ls.lastMembers
	ls.lastMembers = len(members)
	if grown || len(members) < 2 {
		// Not all peers are known yet, or none is in reach, which an instance cannot tell from being alone.
		return
	}
	sh := retrybudget.NewShare(st.RetryFloor, zoneCount, sharers)
	ls.setShare(sh, sharers)
	if sh.Zone > 0 {
		ls.retries.Own.SetBorrow(ls.retries.Shared.Withdraw)
		return
	}
	ls.retries.Own.SetBorrow(nil)
}

// setShare sets the share of this instance.
func (ls *limitShares) setShare(sh retrybudget.Share, sharers int) {
	ls.retries.Own.SetShare(sh.Own, sharers)
	ls.retries.Zone.SetShare(sh.Zone, sharers)
}

// countMembers returns how many of the members are in an availability zone, and the number of availability zones with members.
func countMembers(members []gossip.Member, zone string) (inZone, zones int) {
	names := map[string]struct{}{}
	for _, mb := range members {
		names[mb.AvailabilityZone] = struct{}{}
		if mb.AvailabilityZone == zone {
			inZone++
		}
	}
	return inZone, len(names)
}

// ledgerLimits returns the limits of the retry ledger.
func ledgerLimits(st *config.Gateway) retryledger.Limits {
	return retryledger.Limits{
		Retries: retrybudget.LedgerRetries(st.RetryFloor), Window: st.RetryWindow.Std(), Validity: reservationValidity,
	}
}

// maxIdlePerTarget is the number of idle connections to one target beyond which an instance has no use for more, even if the target
// accepts them.
const maxIdlePerTarget = 8

// idleLimit returns how many idle connections to one target each of the instances may keep, by the services' smallest maximum of
// connections.
func idleLimit(svs map[string]routes.Service, instances int) int {
	limit := maxIdlePerTarget
	for _, sv := range svs {
		if sv.MaxConnections > 0 {
			limit = min(limit, int(idleShare*float64(sv.MaxConnections)/float64(instances)))
		}
	}
	return limit
}
