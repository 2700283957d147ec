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

// TestCancelsThatWaitAreSentBeforeTheEnd ends the canceller while cancels wait.
//
// Symptom: engines work on for requests that a stop has given up, until another instance sweeps them.
// Sequence: the last requests of an instance are given up, their cancels wait, and the canceller is stopped.
// Cause: the end of the canceller drops what waits, and cuts off the call that is on its way.
func TestCancelsThatWaitAreSentBeforeTheEnd(t *testing.T) {
	g := NewWithT(t)
	const orders = 20
	var sent atomic.Int32
	cl := &engine.Client{Cancel: func(ctx context.Context, _ string) error {
		if ctx.Err() == nil {
			sent.Add(1)
		}
		return ctx.Err()
	}}
	cn := cancel.New()
	for i := range orders {
		cn.Cancel(cancel.Request{Attempt: strconv.Itoa(i), Client: cl})
	}
	ctx, end := context.WithCancel(t.Context())
	end()
	cn.Run(ctx)
	g.Expect(sent.Load()).To(Equal(int32(orders)))
}
