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

	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/reservation"
)

func TestTakeKeepRelease(t *testing.T) {
	bubble(t, func(g *WithT, ft *fakeTargets) {
		rv, err := ft.keeper().Acquire(context.Background(), places)
		g.Expect(err).NotTo(HaveOccurred())
		ft.taken = append(ft.taken, rv)
		g.Expect(rv.ID()).To(Equal("mem-1"))
		for _, od := range ft.orders {
			g.Expect(od.id).To(Equal(rv.ID()))
		}
		for range 60 {
			g.Expect(ft.holding()).To(Equal(len(places)))
			pass(time.Second)
		}
		rv.Release()
		pass(100 * time.Millisecond)
		g.Expect(ft.holding()).To(BeZero())
		renewed := ft.count("reserve", "a")
		pass(time.Minute)
		g.Expect(ft.count("reserve", "a")).To(Equal(renewed))
		for _, pc := range places {
			g.Expect(ft.count("release", pc.Address)).To(Equal(1))
		}
	})
}

// TestTakeThatFailsHasGivenBack.
//
// A large prompt was refused for want of memory while two targets had room. One of three targets was full, and each plan named it
// beside one of the others. The memory that this one had set aside was given back in the background, after the failure was told, so
// that the next plan, made at once, found it taken by the plan before and counted that target as full as well. Both were tried again
// half a second later, in step, until the caller's time was over:
//
//	reserve mem-3421 200, reserve mem-d84c 409, release mem-3421 200   (the target with room, again every half second)
func TestTakeThatFailsHasGivenBack(t *testing.T) {
	bubble(t, func(g *WithT, ft *fakeTargets) {
		ft.reserve = func(address string) error {
			if address == "a" {
				return &reservation.RefusedError{Address: address}
			}
			return nil
		}
		_, err := ft.keeper().Acquire(context.Background(), places)
		g.Expect(err).To(HaveOccurred())
		g.Expect(ft.holding()).To(BeZero(), "when the failure is told")
	})
}

// TestTakeThatFailsDoesNotWaitForTheSilent: memory whose order had no answer is given back later, and lapses at the worst.
func TestTakeThatFailsDoesNotWaitForTheSilent(t *testing.T) {
	bubble(t, func(g *WithT, ft *fakeTargets) {
		ft.reserve = func(address string) error {
			if address == "b" {
				return &LostError{}
			}
			return nil
		}
		kp := ft.keeper()
		answers := kp.Release
		kp.Release = func(ctx context.Context, address, id string, heard func(answer.Head)) error {
			if address == "b" {
				<-ctx.Done()
				return ctx.Err()
			}
			return answers(ctx, address, id, heard)
		}
		began := time.Now()
		_, err := kp.Acquire(context.Background(), places)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", 4*travel))
	})
}

// TestMemoryAtAnIncarnationThatHasEnded: a target that starts again holds nothing. What was set aside there is neither renewed at the
// incarnation that comes after, which would set it aside anew for nobody, nor given back there.
func TestMemoryAtAnIncarnationThatHasEnded(t *testing.T) {
	bubble(t, func(g *WithT, ft *fakeTargets) {
		var ended atomic.Bool
		kp := ft.keeper()
		kp.IsCurrent = func(target string) bool { return target != "first" || !ended.Load() }
		rv, err := kp.Acquire(context.Background(), []reservation.Allocation{
			{Target: "first", Address: "a", Tokens: 100}, {Target: "other", Address: "b", Tokens: 100},
		})
		g.Expect(err).NotTo(HaveOccurred())
		pass(1500 * time.Millisecond)
		ended.Store(true)
		orders := ft.count("reserve", "a")
		g.Expect(orders).To(BeNumerically(">", 1), "it is renewed until then")
		pass(10 * time.Second)
		rv.Release()
		pass(time.Minute)
		g.Expect(ft.count("reserve", "a")).To(Equal(orders))
		g.Expect(ft.count("release", "a")).To(BeZero())
		g.Expect(ft.count("release", "b")).To(Equal(1))
	})
}

// TestTakeOutlivesItsContext ends the context of the request that took the memory.
func TestTakeOutlivesItsContext(t *testing.T) {
	bubble(t, func(g *WithT, ft *fakeTargets) {
		ctx, cancel := context.WithCancel(context.Background())
		rv, err := ft.keeper().Acquire(ctx, places)
		g.Expect(err).NotTo(HaveOccurred())
		ft.taken = append(ft.taken, rv)
		cancel()
		pass(10 * time.Second)
		g.Expect(ft.holding()).To(Equal(len(places)))
		rv.Release()
		pass(100 * time.Millisecond)
		g.Expect(ft.holding()).To(BeZero())
	})
}

func TestAllOrNothing(t *testing.T) {
	refuse := func(address string) error { return &reservation.RefusedError{Address: address} }
	lose := func(string) error { return &LostError{} }
	cases := map[string]struct {
		fail func(address string) error
		// lost is set when the order at b has no answer, and may be carried out later.
		lost bool
	}{
		"refused at one": {refuse, false},
		"lost at one":    {lose, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(g *WithT, ft *fakeTargets) {
				ft.reserve = func(address string) error {
					if address == "b" {
						return tc.fail(address)
					}
					return nil
				}
				began := time.Now()
				_, err := ft.keeper().Acquire(context.Background(), places)
				g.Expect(err).To(HaveOccurred())
				var re *reservation.RefusedError
				g.Expect(errors.As(err, &re)).To(Equal(!tc.lost))
				pass(time.Minute)
				g.Expect(ft.holding()).To(BeZero())
				g.Expect(ft.count("release", "a")).To(Equal(1))
				g.Expect(ft.count("release", "c")).To(Equal(1))
				if !tc.lost {
					g.Expect(ft.count("release", "b")).To(BeZero())
					return
				}
				g.Expect(ft.count("release", "b")).To(BeNumerically(">", 2))
				g.Expect(ft.lastAt("release", "b").Sub(began)).To(BeNumerically(">=", lateMost))
			})
		})
	}
}

func TestSilentTargetDoesNotHoldATakeUp(t *testing.T) {
	bubble(t, func(g *WithT, ft *fakeTargets) {
		kp := ft.keeper()
		kp.Reserve = func(ctx context.Context, address, id string, tokens int64, hold time.Duration, heard func(answer.Head)) error {
			if address == "b" {
				<-ctx.Done()
				return ctx.Err()
			}
			return ft.onReserve(ctx, address, id, tokens, hold, heard)
		}
		began := time.Now()
		_, err := kp.Acquire(context.Background(), places)
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		pass(time.Minute)
		g.Expect(ft.holding()).To(BeZero())
	})
}

func TestReleaseIsRepeatedAfterALostAnswer(t *testing.T) {
	bubble(t, func(g *WithT, ft *fakeTargets) {
		rv, err := ft.keeper().Acquire(context.Background(), places)
		g.Expect(err).NotTo(HaveOccurred())
		ft.taken = append(ft.taken, rv)
		lost := 2
		ft.release = func(address string) error {
			if address == "b" && lost > 0 {
				lost--
				return &LostError{}
			}
			return nil
		}
		rv.Release()
		pass(time.Minute)
		g.Expect(ft.holding()).To(BeZero())
		g.Expect(ft.count("release", "a")).To(Equal(1))
		g.Expect(ft.count("release", "b")).To(BeNumerically(">=", 3))
	})
}

func TestMemoryOfADeadKeeperLapses(t *testing.T) {
	bubble(t, func(g *WithT, ft *fakeTargets) {
		rv, err := ft.keeper().Acquire(context.Background(), places)
		g.Expect(err).NotTo(HaveOccurred())
		ft.taken = append(ft.taken, rv)
		ft.set(func() { ft.reserve = func(string) error { return &LostError{} } })
		pass(holdMost)
		g.Expect(ft.holding()).To(BeZero())
		rv.Release()
		pass(time.Minute)
	})
}

// TestOneSilentTargetDoesNotLetTheOthersLapse keeps memory at many targets of which some do not answer any more.
func TestOneSilentTargetDoesNotLetTheOthersLapse(t *testing.T) {
	const targets, silent = 16, 6
	bubble(t, func(g *WithT, ft *fakeTargets) {
		var many []reservation.Allocation
		for no := range targets {
			many = append(many, reservation.Allocation{Address: fmt.Sprintf("t%02d", no), Tokens: 100})
		}
		var mu sync.Mutex
		quiet := false
		kp := ft.keeper()
		kp.Reserve = func(ctx context.Context, address, id string, tokens int64, hold time.Duration, heard func(answer.Head)) error {
			mu.Lock()
			stuck := quiet && address < fmt.Sprintf("t%02d", silent)
			mu.Unlock()
			if stuck {
				<-ctx.Done()
				return ctx.Err()
			}
			return ft.onReserve(ctx, address, id, tokens, hold, heard)
		}
		rv, err := kp.Acquire(context.Background(), many)
		g.Expect(err).NotTo(HaveOccurred())
		ft.taken = append(ft.taken, rv)
		mu.Lock()
		quiet = true
		mu.Unlock()
		for range 40 {
			pass(250 * time.Millisecond)
			g.Expect(ft.holding()).To(BeNumerically(">=", targets-silent))
		}
		rv.Release()
		pass(time.Minute)
	})
}

// TestReleaseAfterALostRenewal releases while the last renewal at one target has no answer: it may still be carried
// out, after the release.
func TestReleaseAfterALostRenewal(t *testing.T) {
	bubble(t, func(g *WithT, ft *fakeTargets) {
		kp := ft.keeper()
		var mu sync.Mutex
		late := false
		kp.Reserve = func(ctx context.Context, address, id string, tokens int64, hold time.Duration, heard func(answer.Head)) error {
			mu.Lock()
			lost := late && address == "b"
			mu.Unlock()
			if !lost {
				return ft.onReserve(ctx, address, id, tokens, hold, heard)
			}
			go func() {
				time.Sleep(3 * time.Second)
				_ = ft.onReserve(context.Background(), address, id, tokens, hold, heard) // nobody hears of its end
			}()
			<-ctx.Done()
			return ctx.Err()
		}
		rv, err := kp.Acquire(context.Background(), places)
		g.Expect(err).NotTo(HaveOccurred())
		ft.taken = append(ft.taken, rv)
		mu.Lock()
		late = true
		mu.Unlock()
		pass(1100 * time.Millisecond)
		released := time.Now()
		rv.Release()
		pass(time.Minute)
		g.Expect(ft.holding()).To(BeZero())
		g.Expect(ft.lastAt("release", "b").Sub(released)).To(BeNumerically(">=", 3*time.Second),
			"memory that a late renewal sets aside once more is not given back")
	})
}

// TestLinesNameTheRequest refuses the memory of a request and one without a name.
func TestLinesNameTheRequest(t *testing.T) {
	cases := map[string]struct {
		ctx  context.Context
		want string
	}{
		"a request":  {reservation.WithRequestID(context.Background(), "r-1"), "r-1"},
		"no request": {context.Background(), ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(g *WithT, ft *fakeTargets) {
				mh := memory.New()
				kp := ft.keeper()
				kp.Log = &log.Logger{Handler: mh, Level: log.InfoLevel}
				ft.reserve = func(string) error { return &reservation.RefusedError{} }
				_, err := kp.Acquire(tc.ctx, places)
				g.Expect(err).To(HaveOccurred())
				g.Expect(mh.Entries).To(HaveLen(len(places)))
				g.Expect(mh.Entries[0].Fields).To(HaveKeyWithValue("request", tc.want))
				pass(time.Minute)
			})
		})
	}
}

// TestReleasedWaitsForWhatIsGivenBack releases memory while its targets answer, and while they do not.
func TestReleasedWaitsForWhatIsGivenBack(t *testing.T) {
	cases := map[string]struct {
		release func(string) error
		// least and most bound the wait; the patience is a second.
		least, most time.Duration
	}{
		"targets answer": {nil, travel, 4 * travel},
		"an answer is lost: what is told again later is not waited for": {
			func(string) error { return &LostError{} }, travel, 4 * travel,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ft := newFakeTargets()
				ft.release = tc.release
				kp := ft.keeper()
				rv, err := kp.Acquire(t.Context(), []reservation.Allocation{{Address: "a", Tokens: 1}, {Address: "b", Tokens: 1}})
				g.Expect(err).NotTo(HaveOccurred())
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				began := time.Now()
				rv.Release()
				g.Expect(kp.WaitReleased(ctx)).To(Succeed())
				g.Expect(time.Since(began)).To(And(BeNumerically(">=", tc.least), BeNumerically("<=", tc.most)))
				g.Expect(ft.count("release", "a") + ft.count("release", "b")).To(Equal(2))
				time.Sleep(time.Minute)
			})
		})
	}
}
