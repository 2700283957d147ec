package experiment

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/silvermount/silvermount/internal/localfleet"
)

// cutZone is the availability zone that is cut off.
const partitionedZone = "a"

// cutter cuts the links between one availability zone and the others.
type zonePartition struct {
	active atomic.Bool
}

func (zp *zonePartition) blocked(from, to string) bool {
	return zp.active.Load() && (from == partitionedZone) != (to == partitionedZone)
}

// inject makes a fault happen after a delay. The function returned ends it.
func injectFault(ctx context.Context, lf *localfleet.Fleet, f Fault, cut *zonePartition, after time.Duration) func() {
	timer := time.AfterFunc(after, func() {
		switch f {
		case FaultEngineKilled:
			lf.Engines[0].Kill()
		case FaultInstanceKilled:
			// Callers of the killed instance go to another by the balancer, which is not part of this.
			lf.Instances[len(lf.Instances)-1].Env().Stopping.Store(true)
		case FaultZonePartitioned:
			cut.active.Store(true)
		case FaultPlatformDown:
			lf.Store.SetDown(true)
		case FaultNone, FaultStaleReports:
		}
	})
	return func() {
		timer.Stop()
		cut.active.Store(false)
		lf.Store.SetDown(false)
	}
}
