package frontend

import (
	"sync/atomic"
	"time"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/upstream"
)

const (
	// minSharers is the number of instances that are assumed to share a limit, until more are known.
	minSharers = 8
	// sharerCountRetention is how long a larger number of instances still counts, because instances that are cut off keep using
	// their shares.
	sharerCountRetention = 60 * time.Second
	// floorUtilisation is the part of the retry floor that the instances share out.
	floorUtilisation = 0.9
	// burstShare is the part of an instance's share that it may save up, because failures come in bursts. The rest is refilled over
	// the window. The bound of the fleet does not depend on this value.
	burstShare = 0.8
	// minLocalBurst is the number of retries that an instance needs at once, for the failures of one target. If its share of the fleet's
	// floor is smaller, the instances of an availability zone share one budget instead of dividing it.
	minLocalBurst = 2
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
	retries *budget.Retries
	// zoneRetries is the budget of the availability zone, which this instance uses while it is the holder. withdrawShared withdraws a
	// retry from it, wherever it is held.
	zoneRetries    *budget.Retries
	withdrawShared func() bool
	// maxLive is the largest number of live instances seen recently, and maxLiveAt is when it was last seen.
	maxLive   int
	maxLiveAt time.Time
}

func newLimitShares(env *kernel.Env, co *gatewaydeps.Components, mesh *gossip.Mesh, rt *budget.Retries) *limitShares {
	ls := &limitShares{zone: env.Settings.AvailabilityZone, mesh: mesh, routes: co.Routes, pool: co.Pool, retries: rt, zoneRetries: co.ZoneRetries, withdrawShared: co.SharedRetry.Withdraw, maxLive: minSharers, maxLiveAt: time.Now()}
	ls.settings.Store(env.Settings.Gateway)
	env.OnReload(func(s config.Settings) { ls.settings.Store(s.Gateway) })
	return ls
}

// update adapts the shares to the number of live instances and the configuration.
func (ls *limitShares) update() {
	members := ls.mesh.Live()
	live := len(members)
	if live >= ls.maxLive || time.Since(ls.maxLiveAt) > sharerCountRetention {
		ls.maxLive = max(minSharers, live)
		ls.maxLiveAt = time.Now()
	}
	ls.updateRetries(membersOfZone(members, ls.zone))
	tb, _ := ls.routes.Current()
	if tb == nil {
		return
	}
	ls.pool.SetMaxIdle(idleLimit(tb.Services(), ls.maxLive))
}

// updateRetries sets this instance's share of the retry floor, or that of its availability zone if an instance's own share is too
// small. zoneMembers is the number of live instances of the availability zone.
func (ls *limitShares) updateRetries(zoneMembers int) {
	st := ls.settings.Load()
	own, zone, shared := floorShares(st, zoneMembers, ls.maxLive)
	ls.retries.SetSharers(ls.maxLive)
	ls.retries.SetFloor(own.burst, own.perSecond)
	ls.zoneRetries.SetFloor(zone.burst, zone.perSecond)
	if shared {
		ls.retries.SetShared(ls.withdrawShared)
		return
	}
	ls.retries.SetShared(nil)
}

// membersOfZone returns how many of the members are in an availability zone.
func membersOfZone(members []gossip.Member, zone string) int {
	n := 0
	for _, mb := range members {
		if mb.AvailabilityZone == zone {
			n++
		}
	}
	return n
}

// floorShare is a share of the retry floor: the burst that may be saved up, and the refill per second.
type floorShare struct{ burst, perSecond float64 }

// floorShares divides the retry floor of a fleet of instances. shared reports whether the instances of an availability zone share one
// budget; otherwise each has its own. One of the two shares is zero.
func floorShares(st *config.Gateway, zoneMembers, instances int) (own, zone floorShare, shared bool) {
	burst, perSecond := retryFloorShare(st, instances)
	if burst >= minLocalBurst || burst == 0 {
		return floorShare{burst, perSecond}, floorShare{}, false
	}
	members := float64(zoneMembers)
	return floorShare{}, floorShare{members * burst, members * perSecond}, true
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

// retryFloorShare returns one instance's share of the retries that are allowed without traffic: the burst that it may save up, and the
// refill per second. Together they stay within the share in every window.
func retryFloorShare(st *config.Gateway, instances int) (burst, perSecond float64) {
	share := floorUtilisation * st.RetryFloor / float64(instances)
	return burstShare * share, (1 - burstShare) * share / st.RetryWindow.Std().Seconds()
}
