package frontend

import (
	"sync/atomic"
	"time"

	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/duty/forwarding"
	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/kernel"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/upstream"
)

const (
	// sharersLeast is the number of instances that share limits until more are known.
	minSharers = 8
	// sharersMemory is how long a larger number of instances counts: those cut off still use their shares.
	sharerCountRetention = 60 * time.Second
	// floorUse is the share of the retry floor that is used.
	floorUtilisation = 0.9
	// floorBurst is the share of that which may be saved up, as failures come together; the rest comes back over the window. The
	// fleet's bound is the same for any share.
	burstShare = 0.8
	// idleShare is the share of a target's connections that may rest.
	idleShare = 0.5
)

// shares keeps this instance's part of limits that all instances share. It is used by one goroutine.
type limitShares struct {
	// st changes with the settings.
	settings atomic.Pointer[config.Gateway]
	mesh     *gossip.Mesh
	routes   *routes.Holder
	pool     *upstream.Pool
	retries  *budget.Retries
	// most is the largest number of live instances seen lately, at the time mostAt.
	maxLive   int
	maxLiveAt time.Time
}

func newLimitShares(env *kernel.Env, pt *forwarding.Components, mesh *gossip.Mesh, rt *budget.Retries) *limitShares {
	sh := &limitShares{mesh: mesh, routes: pt.Routes, pool: pt.Pool, retries: rt, maxLive: minSharers, maxLiveAt: time.Now()}
	sh.settings.Store(env.Settings.Gateway)
	env.OnReload(func(s config.Settings) { sh.settings.Store(s.Gateway) })
	return sh
}

// update follows the number of instances and the configuration.
func (ls *limitShares) update() {
	live := len(ls.mesh.Live())
	if live >= ls.maxLive || time.Since(ls.maxLiveAt) > sharerCountRetention {
		ls.maxLive = max(minSharers, live)
		ls.maxLiveAt = time.Now()
	}
	ls.retries.SetFloor(retryFloorShare(ls.settings.Load(), ls.maxLive))
	tb, _ := ls.routes.Current()
	if tb == nil {
		return
	}
	ls.pool.SetIdle(idleLimit(tb.Services(), ls.maxLive))
}

// idleMost is how many idle connections to one target are of use to an instance, whatever the target takes.
const maxIdlePerTarget = 8

// idleBound is how many idle connections to one target an instance may keep, for the services' smallest bound.
func idleLimit(svs map[string]routes.Service, instances int) int {
	bound := maxIdlePerTarget
	for _, sv := range svs {
		if sv.MaxConnections > 0 {
			bound = min(bound, int(idleShare*float64(sv.MaxConnections)/float64(instances)))
		}
	}
	return bound
}

// retryFloor is one instance's part of the retries that are allowed without traffic: what it may save up, and what it
// gets back each second. Together they stay below the part in every window.
func retryFloorShare(st *config.Gateway, instances int) (burst, perSecond float64) {
	part := floorUtilisation * st.RetryFloor / float64(instances)
	return burstShare * part, (1 - burstShare) * part / st.RetryWindow.Std().Seconds()
}
