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
	sharersLeast = 8
	// sharersMemory is how long a larger number of instances counts: those cut off still use their shares.
	sharersMemory = 60 * time.Second
	// floorUse is the share of the retry floor that is used.
	floorUse = 0.9
	// floorBurst is the share of that which may be saved up, as failures come together; the rest comes back over the window. The
	// fleet's bound is the same for any share.
	floorBurst = 0.8
	// idleShare is the share of a target's connections that may rest.
	idleShare = 0.5
)

// shares keeps this instance's part of limits that all instances share. It is used by one goroutine.
type shares struct {
	// st changes with the settings.
	st   atomic.Pointer[config.Gateway]
	mesh *gossip.Mesh
	rts  *routes.Holder
	pool *upstream.Pool
	rt   *budget.Retries
	// most is the largest number of live instances seen lately, at the time mostAt.
	most   int
	mostAt time.Time
}

func newShares(env *kernel.Env, pt *forwarding.Parts, mesh *gossip.Mesh, rt *budget.Retries) *shares {
	sh := &shares{mesh: mesh, rts: pt.Routes, pool: pt.Pool, rt: rt, most: sharersLeast, mostAt: time.Now()}
	sh.st.Store(env.Settings.Gateway)
	env.OnReload(func(s config.Settings) { sh.st.Store(s.Gateway) })
	return sh
}

// update follows the number of instances and the configuration.
func (sh *shares) update() {
	live := len(sh.mesh.Live())
	if live >= sh.most || time.Since(sh.mostAt) > sharersMemory {
		sh.most = max(sharersLeast, live)
		sh.mostAt = time.Now()
	}
	sh.rt.SetFloor(retryFloor(sh.st.Load(), sh.most))
	tb, _ := sh.rts.Current()
	if tb == nil {
		return
	}
	sh.pool.SetMaxIdle(idleBound(tb.Services(), sh.most))
}

// idleMost is how many idle connections to one target are of use to an instance, whatever the target takes.
const idleMost = 8

// idleBound is how many idle connections to one target an instance may keep, for the services' smallest bound.
func idleBound(svs map[string]routes.Service, instances int) int {
	bound := idleMost
	for _, sv := range svs {
		if sv.MaxConnections > 0 {
			bound = min(bound, int(idleShare*float64(sv.MaxConnections)/float64(instances)))
		}
	}
	return bound
}

// retryFloor is one instance's part of the retries that are allowed without traffic: what it may save up, and what it
// gets back each second. Together they stay below the part in every window.
func retryFloor(st *config.Gateway, instances int) (burst, perSecond float64) {
	part := floorUse * st.RetryFloor / float64(instances)
	return floorBurst * part, (1 - floorBurst) * part / st.RetryWindow.Std().Seconds()
}
