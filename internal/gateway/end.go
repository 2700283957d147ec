package gateway

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/upstream"
)

// endCheckTimeout bounds the check of the end of a response, which delays that end. It is several round trips across a region.
const endCheckTimeout = 100 * time.Millisecond

// TargetEndedError means that the process of a target has ended, and with it the connection that marks the end of its response.
type TargetEndedError struct{}

// Error implements the error interface.
func (*TargetEndedError) Error() string {
	return "the target ended, so that its response may be incomplete"
}

// checkEnd checks a response that was received to its end. If nothing but the end of the connection marks that, the kernel of the target
// may have closed the connection: it closes those of a killed process in order. A target that refuses connections although it is neither
// leaving nor gone was killed. The connection that checks this replaces the one that has ended.
func (gw *Gateway) checkEnd(ctx context.Context, sl *dispatch.Slot, rs *upstream.Response) error {
	if rs.Framing() != upstream.ByConnection || !gw.Targets.TakesWork(sl.Target.ID) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	if gw.refusesConnections(ctx, sl.Target) {
		return &TargetEndedError{}
	}
	return nil
}
