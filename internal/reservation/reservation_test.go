package reservation_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/responsehead"
)

func TestReservationIsRenewedUntilRelease(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		rv, err := ft.manager().Acquire(context.Background(), allocations)
		g.Expect(err).NotTo(HaveOccurred())
		ft.acquired = append(ft.acquired, rv)
		g.Expect(rv.ID()).To(Equal("mem-1"))
		for _, od := range ft.orders {
			g.Expect(od.id).To(Equal(rv.ID()))
		}
		for range 60 {
			g.Expect(ft.holding()).To(Equal(len(allocations)))
			advance(time.Second)
		}
		rv.Release()
		advance(100 * time.Millisecond)
		g.Expect(ft.holding()).To(BeZero())
		renewed := ft.count("reserve", "a")
		advance(time.Minute)
		g.Expect(ft.count("reserve", "a")).To(Equal(renewed))
		for _, al := range allocations {
			g.Expect(ft.count("release", al.Address)).To(Equal(1))
		}
	})
}

// Guards against a large prompt being refused although two of three targets had enough free memory. Each plan named the full
// target and one of the others. The memory at this other target was released in the background after Acquire had failed, so the
// next plan, made at once, found it in use and counted the target as full as well. Both targets were retried in step every half
// second until the deadline of the caller.
func TestFailedAcquireReleasesBeforeReturning(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		ft.reserve = func(address string) error {
			if address == "a" {
				return &reservation.RefusedError{Address: address}
			}
			return nil
		}
		_, err := ft.manager().Acquire(context.Background(), allocations)
		g.Expect(err).To(HaveOccurred())
		g.Expect(ft.holding()).To(BeZero(), "after Acquire has failed")
	})
}

// Memory whose order had no answer is released in the background, and expires at the latest at the end of its lease.
func TestFailedAcquireDoesNotWaitForUnresponsiveTarget(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		ft.reserve = func(address string) error {
			if address == "b" {
				return &NoAnswerError{}
			}
			return nil
		}
		mg := ft.manager()
		release := mg.Release
		mg.Release = func(ctx context.Context, address, id string, onAnswer func(responsehead.Head)) error {
			if address == "b" {
				<-ctx.Done()
				return ctx.Err()
			}
			return release(ctx, address, id, onAnswer)
		}
		start := time.Now()
		_, err := mg.Acquire(context.Background(), allocations)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(start)).To(BeNumerically("<", 4*roundTrip))
	})
}

// A restarted target holds no memory. A renewal at its next incarnation would reserve memory that nobody uses, so the memory is
// neither renewed nor released there.
func TestNoOrdersForSupersededIncarnation(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		var ended atomic.Bool
		mg := ft.manager()
		mg.IsCurrent = func(target string) bool { return target != "first" || !ended.Load() }
		rv, err := mg.Acquire(context.Background(), []reservation.Allocation{
			{Target: "first", Address: "a", Tokens: 100}, {Target: "other", Address: "b", Tokens: 100},
		})
		g.Expect(err).NotTo(HaveOccurred())
		advance(1500 * time.Millisecond)
		ended.Store(true)
		reserved := ft.count("reserve", "a")
		g.Expect(reserved).To(BeNumerically(">", 1), "renewed until the restart")
		advance(10 * time.Second)
		rv.Release()
		advance(time.Minute)
		g.Expect(ft.count("reserve", "a")).To(Equal(reserved))
		g.Expect(ft.count("release", "a")).To(BeZero())
		g.Expect(ft.count("release", "b")).To(Equal(1))
	})
}

// The context of the request that acquired the memory is cancelled.
func TestReservationOutlivesContextOfAcquire(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		ctx, cancel := context.WithCancel(context.Background())
		rv, err := ft.manager().Acquire(ctx, allocations)
		g.Expect(err).NotTo(HaveOccurred())
		ft.acquired = append(ft.acquired, rv)
		cancel()
		advance(10 * time.Second)
		g.Expect(ft.holding()).To(Equal(len(allocations)))
		rv.Release()
		advance(100 * time.Millisecond)
		g.Expect(ft.holding()).To(BeZero())
	})
}

func TestAcquireReservesAllOrNothing(t *testing.T) {
	refuse := func(address string) error { return &reservation.RefusedError{Address: address} }
	loseAnswer := func(string) error { return &NoAnswerError{} }
	cases := map[string]struct {
		fail func(address string) error
		// lost is set when the order at b has no answer and may be carried out later.
		lost bool
	}{
		"one refusal":     {refuse, false},
		"one lost answer": {loseAnswer, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(g *WithT, ft *fakeTargets) {
				ft.reserve = func(address string) error {
					if address == "b" {
						return tc.fail(address)
					}
					return nil
				}
				start := time.Now()
				_, err := ft.manager().Acquire(context.Background(), allocations)
				g.Expect(err).To(HaveOccurred())
				var re *reservation.RefusedError
				g.Expect(errors.As(err, &re)).To(Equal(!tc.lost))
				advance(time.Minute)
				g.Expect(ft.holding()).To(BeZero())
				g.Expect(ft.count("release", "a")).To(Equal(1))
				g.Expect(ft.count("release", "c")).To(Equal(1))
				if !tc.lost {
					g.Expect(ft.count("release", "b")).To(BeZero())
					return
				}
				g.Expect(ft.count("release", "b")).To(BeNumerically(">", 2))
				g.Expect(ft.lastAt("release", "b").Sub(start)).To(BeNumerically(">=", maxOrderDelay))
			})
		})
	}
}

func TestAcquireTimesOutAtUnresponsiveTarget(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		mg := ft.manager()
		mg.Reserve = func(ctx context.Context, address, id string, tokens int64, leaseDuration time.Duration, onAnswer func(responsehead.Head)) error {
			if address == "b" {
				<-ctx.Done()
				return ctx.Err()
			}
			return ft.onReserve(ctx, address, id, tokens, leaseDuration, onAnswer)
		}
		start := time.Now()
		_, err := mg.Acquire(context.Background(), allocations)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		advance(time.Minute)
		g.Expect(ft.holding()).To(BeZero())
	})
}

func TestReleaseIsRetriedAfterLostAnswer(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		rv, err := ft.manager().Acquire(context.Background(), allocations)
		g.Expect(err).NotTo(HaveOccurred())
		ft.acquired = append(ft.acquired, rv)
		lost := 2
		ft.release = func(address string) error {
			if address == "b" && lost > 0 {
				lost--
				return &NoAnswerError{}
			}
			return nil
		}
		rv.Release()
		advance(time.Minute)
		g.Expect(ft.holding()).To(BeZero())
		g.Expect(ft.count("release", "a")).To(Equal(1))
		g.Expect(ft.count("release", "b")).To(BeNumerically(">=", 3))
	})
}

func TestMemoryExpiresWithoutRenewals(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		rv, err := ft.manager().Acquire(context.Background(), allocations)
		g.Expect(err).NotTo(HaveOccurred())
		ft.acquired = append(ft.acquired, rv)
		ft.set(func() { ft.reserve = func(string) error { return &NoAnswerError{} } })
		advance(maxExpiry)
		g.Expect(ft.holding()).To(BeZero())
		rv.Release()
		advance(time.Minute)
	})
}

// Memory is renewed at many targets, some of which stop answering.
func TestUnresponsiveTargetsDoNotLetOthersExpire(t *testing.T) {
	const numTargets, numUnresponsive = 16, 6
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		var many []reservation.Allocation
		for no := range numTargets {
			many = append(many, reservation.Allocation{Address: fmt.Sprintf("t%02d", no), Tokens: 100})
		}
		var mu sync.Mutex
		stopped := false
		mg := ft.manager()
		mg.Reserve = func(ctx context.Context, address, id string, tokens int64, leaseDuration time.Duration, onAnswer func(responsehead.Head)) error {
			mu.Lock()
			unresponsive := stopped && address < fmt.Sprintf("t%02d", numUnresponsive)
			mu.Unlock()
			if unresponsive {
				<-ctx.Done()
				return ctx.Err()
			}
			return ft.onReserve(ctx, address, id, tokens, leaseDuration, onAnswer)
		}
		rv, err := mg.Acquire(context.Background(), many)
		g.Expect(err).NotTo(HaveOccurred())
		ft.acquired = append(ft.acquired, rv)
		mu.Lock()
		stopped = true
		mu.Unlock()
		for range 40 {
			advance(250 * time.Millisecond)
			g.Expect(ft.holding()).To(BeNumerically(">=", numTargets-numUnresponsive))
		}
		rv.Release()
		advance(time.Minute)
	})
}

// The last renewal at one target has no answer when the reservation is released, and the target carries it out after the
// release.
func TestReleaseIsRepeatedAfterRenewalWithoutAnswer(t *testing.T) {
	runInBubble(t, func(g *WithT, ft *fakeTargets) {
		mg := ft.manager()
		var mu sync.Mutex
		late := false
		mg.Reserve = func(ctx context.Context, address, id string, tokens int64, leaseDuration time.Duration, onAnswer func(responsehead.Head)) error {
			mu.Lock()
			lost := late && address == "b"
			mu.Unlock()
			if !lost {
				return ft.onReserve(ctx, address, id, tokens, leaseDuration, onAnswer)
			}
			go func() {
				time.Sleep(3 * time.Second)
				_ = ft.onReserve(context.Background(), address, id, tokens, leaseDuration, onAnswer) // the result of a late order is lost
			}()
			<-ctx.Done()
			return ctx.Err()
		}
		rv, err := mg.Acquire(context.Background(), allocations)
		g.Expect(err).NotTo(HaveOccurred())
		ft.acquired = append(ft.acquired, rv)
		mu.Lock()
		late = true
		mu.Unlock()
		advance(1100 * time.Millisecond)
		released := time.Now()
		rv.Release()
		advance(time.Minute)
		g.Expect(ft.holding()).To(BeZero())
		g.Expect(ft.lastAt("release", "b").Sub(released)).To(BeNumerically(">=", 3*time.Second),
			"no release after a late renewal has reserved the memory again")
	})
}

// Memory is refused for a context with a request ID and for one without.
func TestLogLinesIncludeRequestID(t *testing.T) {
	cases := map[string]struct {
		ctx  context.Context
		want string
	}{
		"a request":  {reservation.WithRequestID(context.Background(), "r-1"), "r-1"},
		"no request": {context.Background(), ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(g *WithT, ft *fakeTargets) {
				mh := memory.New()
				mg := ft.manager()
				mg.Log = &log.Logger{Handler: mh, Level: log.InfoLevel}
				ft.reserve = func(string) error { return &reservation.RefusedError{} }
				_, err := mg.Acquire(tc.ctx, allocations)
				g.Expect(err).To(HaveOccurred())
				g.Expect(mh.Entries).To(HaveLen(len(allocations)))
				g.Expect(mh.Entries[0].Fields).To(HaveKeyWithValue("request", tc.want))
				advance(time.Minute)
			})
		})
	}
}

// Memory is released while its targets answer and while they do not.
func TestWaitReleasedWaitsForFirstReleases(t *testing.T) {
	cases := map[string]struct {
		release func(string) error
		// minWait and maxWait limit the wait, which has a timeout of 1 s.
		minWait, maxWait time.Duration
	}{
		"targets answer": {nil, roundTrip, 4 * roundTrip},
		"answers are lost: no wait for retries": {
			func(string) error { return &NoAnswerError{} }, roundTrip, 4 * roundTrip,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ft := newFakeTargets()
				ft.release = tc.release
				mg := ft.manager()
				rv, err := mg.Acquire(t.Context(), []reservation.Allocation{{Address: "a", Tokens: 1}, {Address: "b", Tokens: 1}})
				g.Expect(err).NotTo(HaveOccurred())
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				start := time.Now()
				rv.Release()
				g.Expect(mg.WaitReleased(ctx)).To(Succeed())
				g.Expect(time.Since(start)).To(And(BeNumerically(">=", tc.minWait), BeNumerically("<=", tc.maxWait)))
				g.Expect(ft.count("release", "a") + ft.count("release", "b")).To(Equal(2))
				time.Sleep(time.Minute)
			})
		})
	}
}
