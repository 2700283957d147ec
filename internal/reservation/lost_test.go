package reservation_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/responsehead"
)

// silenceTarget makes a target give no answer to orders, which then end with their context.
func silenceTarget(mg *reservation.Manager, silent func(address string) bool) {
	reserve, release := mg.Reserve, mg.Release
	mg.Reserve = func(ctx context.Context, address, id string, tokens int64, lease time.Duration, onAnswer func(responsehead.Head)) error {
		if silent(address) {
			<-ctx.Done()
			return ctx.Err()
		}
		return reserve(ctx, address, id, tokens, lease, onAnswer)
	}
	mg.Release = func(ctx context.Context, address, id string, onAnswer func(responsehead.Head)) error {
		if silent(address) {
			<-ctx.Done()
			return ctx.Err()
		}
		return release(ctx, address, id, onAnswer)
	}
}

// TestReleaseDoesNotWaitForSilentTarget guards against memory that stays reserved at sound targets because a renewal at a silent one is
// still in progress.
func TestReleaseDoesNotWaitForSilentTarget(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		mg := ft.manager()
		var silent atomic.Bool
		silenceTarget(mg, func(address string) bool { return silent.Load() && address == "a" })
		rv, err := mg.Acquire(context.Background(), allocations)
		g.Expect(err).NotTo(HaveOccurred())
		silent.Store(true)
		// The first renewal at the silent target is in progress.
		advance(mg.LeaseDuration/3 + 2*roundTrip)
		rv.Release()
		advance(2 * roundTrip)
		g.Expect(ft.count("release", "b")).To(Equal(1))
		g.Expect(ft.count("release", "c")).To(Equal(1))
		g.Expect(ft.holding()).To(Equal(1), "only the silent target holds memory")
	})
}

// TestUnansweredOrdersAreReported guards against a target that is never found silent while memory is renewed at others, and against
// reports of orders that say nothing about a target.
func TestUnansweredOrdersAreReported(t *testing.T) {
	tests := map[string]struct {
		reserve func(address string) error
		paused  bool
		// cancelled is set if the request that needs the memory ends meanwhile.
		cancelled bool
		want      bool
	}{
		"no answer":              {func(string) error { return &NoAnswerError{} }, false, false, true},
		"refused":                {func(address string) error { return &reservation.RefusedError{Address: address} }, false, false, false},
		"process paused":         {func(string) error { return &NoAnswerError{} }, true, false, false},
		"the request has ended":  {func(string) error { return &NoAnswerError{} }, false, true, false},
		"all orders are granted": {nil, false, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(g *WithT, ft *fakeTargets) {
				ft.reserve = tc.reserve
				mg := ft.manager()
				paused := time.Duration(0)
				mg.Paused = func() time.Duration {
					if tc.paused {
						paused += time.Second
					}
					return paused
				}
				var mu sync.Mutex
				var reported []string
				began := time.Now()
				mg.OnUnanswered = func(al reservation.Allocation, sentAt time.Time, ue *reservation.UnansweredError) {
					mu.Lock()
					defer mu.Unlock()
					g.Expect(sentAt).To(Equal(began))
					g.Expect(ue.Address).To(Equal(al.Address))
					reported = append(reported, al.Address)
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if tc.cancelled {
					cancel()
				}
				rv, err := mg.Acquire(ctx, allocations[:1])
				if err == nil {
					ft.acquired = append(ft.acquired, rv)
				}
				mu.Lock()
				defer mu.Unlock()
				g.Expect(len(reported) > 0).To(Equal(tc.want))
			})
		})
	}
}

// TestEachRenewalWithoutAnswerIsReported: a target is lost after two renewals in a row. The lease at the other targets goes on until the
// request ends.
func TestEachRenewalWithoutAnswerIsReported(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		mg := ft.manager()
		var silent atomic.Bool
		silenceTarget(mg, func(address string) bool { return silent.Load() && address == "b" })
		var mu sync.Mutex
		var sent []time.Time
		mg.OnUnanswered = func(al reservation.Allocation, sentAt time.Time, _ *reservation.UnansweredError) {
			mu.Lock()
			defer mu.Unlock()
			g.Expect(al.Address).To(Equal("b"))
			sent = append(sent, sentAt)
		}
		rv, err := mg.Acquire(context.Background(), allocations)
		g.Expect(err).NotTo(HaveOccurred())
		acquiredAt := time.Now()
		silent.Store(true)
		advance(2*mg.LeaseDuration/3 + mg.Timeout + roundTrip)
		mu.Lock()
		defer mu.Unlock()
		g.Expect(sent).To(Equal([]time.Time{acquiredAt.Add(mg.LeaseDuration / 3), acquiredAt.Add(2 * mg.LeaseDuration / 3)}))
		ft.acquired = append(ft.acquired, rv)
	})
}
