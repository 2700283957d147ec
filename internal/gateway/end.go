package gateway

import (
	"context"
	"time"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/targets"
	"github.com/silvermount/silvermount/internal/upstream"
)

// endCheckTimeout bounds the check of the end of a response, which delays that end. It is several round trips across a region.
const endCheckTimeout = 100 * time.Millisecond

// TargetEndedError means that the process of a target or of a helper has ended, and with it the connection that marks the end of the
// response.
type TargetEndedError struct{}

// Error implements the error interface.
func (*TargetEndedError) Error() string {
	return "the target ended, so that its response may be incomplete"
}

// checkEnd checks a response that was received to its end. If nothing but the end of the connection marks that, the kernel of the target
// may have closed the connection: it closes those of a killed process in order. A target also cuts its response when a helper is lost. The
// connection that checks the target replaces the one that has ended.
func (gw *Gateway) checkEnd(ctx context.Context, sl *dispatch.Slot, rs *upstream.Response) error {
	if rs.Framing() != upstream.ByConnection {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	if gw.wasKilled(ctx, sl.Target) {
		return &TargetEndedError{}
	}
	for _, hp := range sl.Helpers {
		if gw.wasKilled(ctx, gw.Targets.ByID(hp.ID)) {
			return &TargetEndedError{}
		}
	}
	return nil
}

// wasKilled reports whether a target refuses connections although it is neither leaving nor gone.
func (gw *Gateway) wasKilled(ctx context.Context, tg targets.Target) bool {
	return gw.Targets.TakesWork(tg.ID) && gw.refusesConnections(ctx, tg)
}
