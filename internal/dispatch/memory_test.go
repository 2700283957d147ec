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
	bubble(t, 3, func(be *bench) {
		first := be.take(prompt(largest))
		second := be.send(prompt(largest))
		time.Sleep(objective / 2)
		synctest.Wait()
		be.Expect(second).To(BeEmpty(), "both got the same memory")
		first.Release()
		// Far less than the pause between two looks of a request that nothing wakes.
		time.Sleep(2 * travel)
		synctest.Wait()
		be.Expect(second).To(HaveLen(1), "the release did not wake the request that waits")
		(<-second).Release()
		time.Sleep(settle)
		be.Expect(be.OwnLoads()).To(BeEmpty())
	})
}

// TestALongPromptWaitsForMemory keeps a prompt that lacks memory only because another one holds it from being refused.
func TestALongPromptWaitsForMemory(t *testing.T) {
	bubble(t, 3, func(be *bench) {
		large := func() dispatch.Request {
			as := prompt(50_000)
			as.Service.Engine.Memory = 30_000
			return as
		}
		first := be.take(large())
		first.RecordFirstToken()
		second := be.send(large())
		time.Sleep(objective / 2)
		synctest.Wait()
		be.Expect(second).To(BeEmpty(), "both got the same memory, or one was refused")
		first.Release()
		time.Sleep(objective / 2)
		synctest.Wait()
		be.Expect(second).To(HaveLen(1))
		(<-second).Release()
		time.Sleep(settle)
		be.Expect(be.OwnLoads()).To(BeEmpty())
	})
}

func TestLargePromptsNeverExceedTheMemory(t *testing.T) {
	bubble(t, 3, func(be *bench) {
		var wg sync.WaitGroup
		for no := range 20 {
			wg.Go(func() {
				sl, err := be.Acquire(context.Background(), prompt(11_000+200*no))
				if err != nil {
					return // some are refused; what counts is that none is placed without memory
				}
				defer sl.Release()
				for at := range 3 {
					if held := be.OwnLoads()[id(at)].Memory; held > memory {
						be.t.Errorf("%d tokens are booked at %s", held, id(at))
					}
				}
				time.Sleep(50 * time.Millisecond)
				sl.RecordFirstToken()
				time.Sleep(50 * time.Millisecond)
			})
		}
		wg.Wait()
		time.Sleep(settle)
		be.Expect(be.OwnLoads()).To(BeEmpty())
	})
}

func TestLargePromptTakesMemoryAtSeveral(t *testing.T) {
	bubble(t, 3, func(be *bench) {
		sl := be.take(prompt(largest))
		be.Expect(len(sl.Helpers)).To(BeNumerically(">=", 2))
		be.Expect(sl.Helpers[0].ID).To(Equal(sl.Target.ID))
		held := int64(0)
		for no := range 3 {
			be.Expect(be.OwnLoads()[id(no)].Memory).To(BeNumerically("<=", memory))
			held += be.OwnLoads()[id(no)].Memory
		}
		be.Expect(held).To(BeNumerically(">=", 15_000))
		sl.RecordFirstToken()
		sl.Release()
		time.Sleep(time.Second)
		reserved, released := be.orders.sums()
		be.Expect(reserved).To(Equal(len(sl.Helpers)))
		be.Expect(released).To(Equal(reserved))
		be.Expect(be.OwnLoads()).To(BeEmpty())
	})
}

// TestLargePromptGoesAroundATargetThatRefuses leaves enough room at the others.
func TestLargePromptGoesAroundATargetThatRefuses(t *testing.T) {
	for no := range 3 {
		t.Run(id(no), func(t *testing.T) {
			bubble(t, 3, func(be *bench) {
				be.orders.refuse["10.0.0."+strconv.Itoa(no)+":80"] = true
				sl := be.take(prompt(largest))
				for _, hp := range sl.Helpers {
					be.Expect(hp.ID).NotTo(Equal(id(no)))
				}
				sl.Release()
				time.Sleep(settle)
			})
		})
	}
}

func TestLargePromptGoesAroundATargetThatDoesNotAnswer(t *testing.T) {
	bubble(t, 3, func(be *bench) {
		be.orders.silent["10.0.0.1:80"] = true
		sl := be.take(prompt(largest))
		be.Expect(sl.Helpers).NotTo(BeEmpty())
		for _, hp := range sl.Helpers {
			be.Expect(hp.ID).NotTo(Equal(id(1)))
		}
		sl.Release()
		time.Sleep(settle)
	})
}

// TestHelperThatIsGoneIsNotChosenAgain has a target turn a prompt away for one of its helpers.
func TestHelperThatIsGoneIsNotChosenAgain(t *testing.T) {
	bubble(t, 6, func(be *bench) {
		as := func() dispatch.Request {
			as := prompt(9000)
			as.Service.Engine.PerThousandRead = 300 * time.Millisecond
			return as
		}
		sl := be.take(as())
		be.Expect(sl.Helpers).NotTo(BeEmpty())
		gone := sl.Helpers[0]
		sl.RecordShed(gone.Address)
		sl.Release()
		for range 4 {
			next := be.take(as())
			for _, hp := range next.Helpers {
				be.Expect(hp.ID).NotTo(Equal(gone.ID))
			}
			next.Release()
		}
	})
}

func TestRefusedLargePromptLeavesNothingBehind(t *testing.T) {
	bubble(t, 3, func(be *bench) {
		for no := range 3 {
			be.orders.refuse["10.0.0."+strconv.Itoa(no)+":80"] = no > 0
		}
		fe := be.refused(prompt(largest))
		be.Expect(fe.Outcome).To(Equal(failure.NotRun))
		be.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
		time.Sleep(settle)
		be.Expect(be.OwnLoads()).To(BeEmpty())
		be.orders.mu.Lock()
		defer be.orders.mu.Unlock()
		be.Expect(be.orders.released).To(Equal(be.orders.reserved))
	})
}

// TestRefusedMemoryIsNotAskedForWithoutAPause counts the orders of one request that waits, at three targets of which two
// have no memory. Each order costs the targets work.
func TestRefusedMemoryIsNotAskedForWithoutAPause(t *testing.T) {
	const step = 20 * time.Millisecond
	bubble(t, 3, func(be *bench) {
		for no := range 3 {
			be.orders.refuse["10.0.0."+strconv.Itoa(no)+":80"] = no > 0
		}
		be.refused(prompt(largest))
		time.Sleep(settle)
		be.orders.mu.Lock()
		defer be.orders.mu.Unlock()
		be.Expect(be.orders.asked).To(BeNumerically("<=", 3*int(objective/step)))
	})
}

// TestAllTargetsThatRefusedAreLeftOut has three of eight targets without room: one plan that meets them all is enough to
// know.
func TestAllTargetsThatRefusedAreLeftOut(t *testing.T) {
	bubble(t, 8, func(be *bench) {
		for no := range 3 {
			be.orders.refuse["10.0.0."+strconv.Itoa(no)+":80"] = true
		}
		as := prompt(7 * memory / 2)
		as.Service.Engine.PerThousandRead, as.Objective = 100*time.Millisecond, 600*time.Millisecond
		sl := be.take(as)
		be.Expect(sl.Helpers).NotTo(BeEmpty())
		be.orders.mu.Lock()
		asked := be.orders.asked
		be.orders.mu.Unlock()
		be.Expect(asked).To(BeNumerically("<=", 2*8))
		sl.Release()
		time.Sleep(settle)
	})
}
