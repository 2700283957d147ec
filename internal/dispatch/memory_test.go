package dispatch_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
)

// largest needs more than half of the memory of three targets.
const largest = 15_000

// TestTwoLargePromptsDoNotSeeTheSameMemory lets the second one wait until the first gives its memory back.
func TestTwoLargePromptsDoNotSeeTheSameMemory(t *testing.T) {
	bubble(t, 3, func(hs *bench) {
		first := hs.take(prompt(largest))
		second := hs.send(prompt(largest))
		time.Sleep(objective / 2)
		synctest.Wait()
		hs.Expect(second).To(BeEmpty(), "both got the same memory")
		first.Release()
		// Far less than the pause between two looks of a request that nothing wakes.
		time.Sleep(2 * travel)
		synctest.Wait()
		hs.Expect(second).To(HaveLen(1), "the release did not wake the request that waits")
		(<-second).Release()
		time.Sleep(settle)
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

// TestALongPromptWaitsForMemory keeps a prompt that lacks memory only because another one holds it from being refused.
func TestALongPromptWaitsForMemory(t *testing.T) {
	bubble(t, 3, func(hs *bench) {
		large := func() dispatch.Request {
			rq := prompt(50_000)
			rq.Service.Engine.Memory = 30_000
			return rq
		}
		first := hs.take(large())
		first.RecordFirstToken()
		second := hs.send(large())
		time.Sleep(objective / 2)
		synctest.Wait()
		hs.Expect(second).To(BeEmpty(), "both got the same memory, or one was refused")
		first.Release()
		time.Sleep(objective / 2)
		synctest.Wait()
		hs.Expect(second).To(HaveLen(1))
		(<-second).Release()
		time.Sleep(settle)
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

func TestLargePromptsNeverExceedTheMemory(t *testing.T) {
	bubble(t, 3, func(hs *bench) {
		var wg sync.WaitGroup
		for no := range 20 {
			wg.Go(func() {
				sl, err := hs.Acquire(context.Background(), prompt(11_000+200*no))
				if err != nil {
					return // some are refused; what counts is that none is placed without memory
				}
				defer sl.Release()
				for at := range 3 {
					if held := hs.OwnLoads()[id(at)].Memory; held > memory {
						hs.t.Errorf("%d tokens are booked at %s", held, id(at))
					}
				}
				time.Sleep(50 * time.Millisecond)
				sl.RecordFirstToken()
				time.Sleep(50 * time.Millisecond)
			})
		}
		wg.Wait()
		time.Sleep(settle)
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

func TestLargePromptTakesMemoryAtSeveral(t *testing.T) {
	bubble(t, 3, func(hs *bench) {
		sl := hs.take(prompt(largest))
		hs.Expect(len(sl.Helpers)).To(BeNumerically(">=", 2))
		hs.Expect(sl.Helpers[0].ID).To(Equal(sl.Target.ID))
		held := int64(0)
		for no := range 3 {
			hs.Expect(hs.OwnLoads()[id(no)].Memory).To(BeNumerically("<=", memory))
			held += hs.OwnLoads()[id(no)].Memory
		}
		hs.Expect(held).To(BeNumerically(">=", 15_000))
		sl.RecordFirstToken()
		sl.Release()
		time.Sleep(time.Second)
		reserved, released := hs.orders.sums()
		hs.Expect(reserved).To(Equal(len(sl.Helpers)))
		hs.Expect(released).To(Equal(reserved))
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

// TestLargePromptGoesAroundATargetThatRefuses leaves enough room at the others.
func TestLargePromptGoesAroundATargetThatRefuses(t *testing.T) {
	for no := range 3 {
		t.Run(id(no), func(t *testing.T) {
			bubble(t, 3, func(hs *bench) {
				hs.orders.refuse["10.0.0."+strconv.Itoa(no)+":80"] = true
				sl := hs.take(prompt(largest))
				for _, hp := range sl.Helpers {
					hs.Expect(hp.ID).NotTo(Equal(id(no)))
				}
				sl.Release()
				time.Sleep(settle)
			})
		})
	}
}

func TestLargePromptGoesAroundATargetThatDoesNotAnswer(t *testing.T) {
	bubble(t, 3, func(hs *bench) {
		hs.orders.silent["10.0.0.1:80"] = true
		sl := hs.take(prompt(largest))
		hs.Expect(sl.Helpers).NotTo(BeEmpty())
		for _, hp := range sl.Helpers {
			hs.Expect(hp.ID).NotTo(Equal(id(1)))
		}
		sl.Release()
		time.Sleep(settle)
	})
}

// TestHelperThatIsGoneIsNotChosenAgain has a target turn a prompt away for one of its helpers.
func TestHelperThatIsGoneIsNotChosenAgain(t *testing.T) {
	bubble(t, 6, func(hs *bench) {
		rq := func() dispatch.Request {
			rq := prompt(9000)
			rq.Service.Engine.PerThousandRead = 300 * time.Millisecond
			return rq
		}
		sl := hs.take(rq())
		hs.Expect(sl.Helpers).NotTo(BeEmpty())
		gone := sl.Helpers[0]
		sl.RecordShed(gone.Address)
		sl.Release()
		for range 4 {
			next := hs.take(rq())
			for _, hp := range next.Helpers {
				hs.Expect(hp.ID).NotTo(Equal(gone.ID))
			}
			next.Release()
		}
	})
}

func TestRefusedLargePromptLeavesNothingBehind(t *testing.T) {
	bubble(t, 3, func(hs *bench) {
		for no := range 3 {
			hs.orders.refuse["10.0.0."+strconv.Itoa(no)+":80"] = no > 0
		}
		fe := hs.refused(prompt(largest))
		hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
		hs.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
		time.Sleep(settle)
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
		hs.orders.mu.Lock()
		defer hs.orders.mu.Unlock()
		hs.Expect(hs.orders.released).To(Equal(hs.orders.reserved))
	})
}

// TestRefusedMemoryIsNotAskedForWithoutAPause counts the orders of one request that waits, at three targets of which two
// have no memory. Each order costs the targets work.
func TestRefusedMemoryIsNotAskedForWithoutAPause(t *testing.T) {
	const step = 20 * time.Millisecond
	bubble(t, 3, func(hs *bench) {
		for no := range 3 {
			hs.orders.refuse["10.0.0."+strconv.Itoa(no)+":80"] = no > 0
		}
		hs.refused(prompt(largest))
		time.Sleep(settle)
		hs.orders.mu.Lock()
		defer hs.orders.mu.Unlock()
		hs.Expect(hs.orders.asked).To(BeNumerically("<=", 3*int(objective/step)))
	})
}

// TestAllTargetsThatRefusedAreLeftOut has three of eight targets without room: one plan that meets them all is enough to
// know.
func TestAllTargetsThatRefusedAreLeftOut(t *testing.T) {
	bubble(t, 8, func(hs *bench) {
		for no := range 3 {
			hs.orders.refuse["10.0.0."+strconv.Itoa(no)+":80"] = true
		}
		rq := prompt(7 * memory / 2)
		rq.Service.Engine.PerThousandRead, rq.Objective = 100*time.Millisecond, 600*time.Millisecond
		sl := hs.take(rq)
		hs.Expect(sl.Helpers).NotTo(BeEmpty())
		hs.orders.mu.Lock()
		asked := hs.orders.asked
		hs.orders.mu.Unlock()
		hs.Expect(asked).To(BeNumerically("<=", 2*8))
		sl.Release()
		time.Sleep(settle)
	})
}
