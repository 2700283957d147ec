package experiment

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/silvermount/silvermount/internal/localfleet"
)

// partitionedZone is the availability zone that FaultZonePartitioned cuts off from the others.
const partitionedZone = "a"

// zonePartition blocks the peer links between partitionedZone and the other availability zones while it is active.
type zonePartition struct {
	active atomic.Bool
}

func (zp *zonePartition) blocked(from, to string) bool {
	return zp.active.Load() && (from == partitionedZone) != (to == partitionedZone)
}

// injectFault injects a fault after a delay. The returned function ends the fault, except that a killed engine stays down and an
// instance marked as stopping stays so.
func injectFault(ctx context.Context, lf *localfleet.Fleet, f Fault, partition *zonePartition, after time.Duration) func() {
	timer := time.AfterFunc(after, func() {
		switch f {
		case FaultEngineKilled:
			lf.Engines[0].Kill()
		case FaultInstanceKilled:
			// A load balancer would send the callers of a killed instance elsewhere. The experiment has none, so the instance keeps
			// running and is only marked as stopping.
			lf.Instances[len(lf.Instances)-1].Env().Stopping.Store(true)
		case FaultZonePartitioned:
			partition.active.Store(true)
		case FaultPlatformDown:
			lf.Store.SetDown(true)
		case FaultNone, FaultStaleReports:
		}
	})
	return func() {
		timer.Stop()
		partition.active.Store(false)
		lf.Store.SetDown(false)
	}
}
