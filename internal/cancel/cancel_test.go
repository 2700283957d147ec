package cancel_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/cancel"
	"github.com/silvermount/silvermount/internal/engine"
)

// TestRunSendsQueuedCancelsAfterContextEnds guards against engines that work on for requests which a stopping instance has given
// up, until the sweep of another instance cancels them. This happens if Run, when its context ends, drops the cancel requests
// that are still queued, or aborts the call that is in flight.
func TestRunSendsQueuedCancelsAfterContextEnds(t *testing.T) {
	g := NewWithT(t)
	const requests = 20
	var sent atomic.Int32
	cl := &engine.Client{Cancel: func(ctx context.Context, _ string) error {
		if ctx.Err() == nil {
			sent.Add(1)
		}
		return ctx.Err()
	}}
	ca := cancel.New()
	for i := range requests {
		ca.Cancel(cancel.Request{Attempt: strconv.Itoa(i), Client: cl})
	}
	ctx, cancelCtx := context.WithCancel(t.Context())
	cancelCtx()
	ca.Run(ctx)
	g.Expect(sent.Load()).To(Equal(int32(requests)))
}
