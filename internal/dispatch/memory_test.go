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

// largePromptTokens is more than half of the memory of three targets.
const largePromptTokens = 15_000

// TestLargePromptWaitsForMemoryOfAnother has the second of two large prompts wait until the first releases its memory.
func TestLargePromptWaitsForMemoryOfAnother(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		first := hs.mustAcquire(promptRequest(largePromptTokens))
		second := hs.acquireInBackground(promptRequest(largePromptTokens))
		time.Sleep(objective / 2)
		synctest.Wait()
		hs.Expect(second).To(BeEmpty(), "both prompts were given the same memory")
		first.Release()
		// This is far less than the poll interval of a waiting request that nothing wakes.
		time.Sleep(2 * roundTripTime)
		synctest.Wait()
		hs.Expect(second).To(HaveLen(1), "the release did not wake the waiting request")
		(<-second).Release()
		time.Sleep(settleTime)
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

// TestLongPromptWaitsForMemoryInsteadOfBeingRefused guards against refusing a long prompt that lacks memory only because
// another prompt holds it.
func TestLongPromptWaitsForMemoryInsteadOfBeingRefused(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		large := func() dispatch.Request {
			rq := promptRequest(50_000)
			rq.Service.Engine.MemoryTokens = 30_000
			return rq
		}
		first := hs.mustAcquire(large())
		first.RecordFirstToken()
		second := hs.acquireInBackground(large())
		time.Sleep(objective / 2)
		synctest.Wait()
		hs.Expect(second).To(BeEmpty(), "both prompts were given the same memory, or one was refused")
		first.Release()
		time.Sleep(objective / 2)
		synctest.Wait()
		hs.Expect(second).To(HaveLen(1))
		(<-second).Release()
		time.Sleep(settleTime)
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

func TestLargePromptsNeverExceedMemory(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				sl, err := hs.Acquire(context.Background(), promptRequest(11_000+200*i))
				if err != nil {
					return // some are refused, but none may be placed without memory
				}
				defer sl.Release()
				for target := range 3 {
					if held := hs.OwnLoads()[id(target)].MemoryTokens; held > memory {
						hs.t.Errorf("%d tokens are in use at target %s", held, id(target))
					}
				}
				time.Sleep(50 * time.Millisecond)
				sl.RecordFirstToken()
				time.Sleep(50 * time.Millisecond)
			})
		}
		wg.Wait()
		time.Sleep(settleTime)
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

func TestLargePromptReservesMemoryAtSeveralTargets(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		sl := hs.mustAcquire(promptRequest(largePromptTokens))
		hs.Expect(len(sl.Helpers)).To(BeNumerically(">=", 2))
		hs.Expect(sl.Helpers[0].ID).To(Equal(sl.Target.ID))
		held := int64(0)
		for i := range 3 {
			hs.Expect(hs.OwnLoads()[id(i)].MemoryTokens).To(BeNumerically("<=", memory))
			held += hs.OwnLoads()[id(i)].MemoryTokens
		}
		hs.Expect(held).To(BeNumerically(">=", 15_000))
		sl.RecordFirstToken()
		sl.Release()
		time.Sleep(time.Second)
		reserved, released := hs.reservations.targetCounts()
		hs.Expect(reserved).To(Equal(len(sl.Helpers)))
		hs.Expect(released).To(Equal(reserved))
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}

// TestLargePromptAvoidsTargetThatRefusesReservation leaves enough memory at the other targets.
func TestLargePromptAvoidsTargetThatRefusesReservation(t *testing.T) {
	for i := range 3 {
		t.Run(id(i), func(t *testing.T) {
			runInBubble(t, 3, func(hs *harness) {
				hs.reservations.refusing["10.0.0."+strconv.Itoa(i)+":80"] = true
				sl := hs.mustAcquire(promptRequest(largePromptTokens))
				for _, hp := range sl.Helpers {
					hs.Expect(hp.ID).NotTo(Equal(id(i)))
				}
				sl.Release()
				time.Sleep(settleTime)
			})
		})
	}
}

func TestLargePromptAvoidsTargetThatDoesNotAnswerReservation(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		hs.reservations.silent["10.0.0.1:80"] = true
		sl := hs.mustAcquire(promptRequest(largePromptTokens))
		hs.Expect(sl.Helpers).NotTo(BeEmpty())
		for _, hp := range sl.Helpers {
			hs.Expect(hp.ID).NotTo(Equal(id(1)))
		}
		sl.Release()
		time.Sleep(settleTime)
	})
}

// TestAbsentHelperIsNotChosenAgain has a target reject a prompt because one of its helpers is absent.
func TestAbsentHelperIsNotChosenAgain(t *testing.T) {
	runInBubble(t, 6, func(hs *harness) {
		newRequest := func() dispatch.Request {
			rq := promptRequest(9000)
			rq.Service.Engine.PrefillTimePerThousand = 300 * time.Millisecond
			return rq
		}
		sl := hs.mustAcquire(newRequest())
		hs.Expect(sl.Helpers).NotTo(BeEmpty())
		absent := sl.Helpers[0]
		sl.RecordShed(absent.Address)
		sl.Release()
		for range 4 {
			next := hs.mustAcquire(newRequest())
			for _, hp := range next.Helpers {
				hs.Expect(hp.ID).NotTo(Equal(absent.ID))
			}
			next.Release()
		}
	})
}

func TestRefusedLargePromptReleasesItsReservations(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		for i := range 3 {
			hs.reservations.refusing["10.0.0."+strconv.Itoa(i)+":80"] = i > 0
		}
		fe := hs.mustBeRefused(promptRequest(largePromptTokens))
		hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
		hs.Expect(fe.RetryAfter).To(BeNumerically(">", 0))
		time.Sleep(settleTime)
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
		hs.reservations.mu.Lock()
		defer hs.reservations.mu.Unlock()
		hs.Expect(hs.reservations.released).To(Equal(hs.reservations.reserved))
	})
}

// TestRefusedReservationsAreNotRetriedWithoutDelay counts the reservations of one waiting request, at three targets of which
// two refuse. Each reservation costs the targets work.
func TestRefusedReservationsAreNotRetriedWithoutDelay(t *testing.T) {
	const pollInterval = 20 * time.Millisecond
	runInBubble(t, 3, func(hs *harness) {
		for i := range 3 {
			hs.reservations.refusing["10.0.0."+strconv.Itoa(i)+":80"] = i > 0
		}
		hs.mustBeRefused(promptRequest(largePromptTokens))
		time.Sleep(settleTime)
		hs.reservations.mu.Lock()
		defer hs.reservations.mu.Unlock()
		hs.Expect(hs.reservations.requested).To(BeNumerically("<=", 3*int(objective/pollInterval)))
	})
}

// TestAllTargetsThatRefusedReservationAreExcluded has three of eight targets refuse reservations. One plan that includes all
// three must be enough to exclude them all.
func TestAllTargetsThatRefusedReservationAreExcluded(t *testing.T) {
	runInBubble(t, 8, func(hs *harness) {
		for i := range 3 {
			hs.reservations.refusing["10.0.0."+strconv.Itoa(i)+":80"] = true
		}
		rq := promptRequest(7 * memory / 2)
		rq.Service.Engine.PrefillTimePerThousand, rq.Objective = 100*time.Millisecond, 600*time.Millisecond
		sl := hs.mustAcquire(rq)
		hs.Expect(sl.Helpers).NotTo(BeEmpty())
		hs.reservations.mu.Lock()
		requested := hs.reservations.requested
		hs.reservations.mu.Unlock()
		hs.Expect(requested).To(BeNumerically("<=", 2*8))
		sl.Release()
		time.Sleep(settleTime)
	})
}

// TestPauseDuringReservationExcludesNoTarget guards against targets that count as absent because this process was paused until its order had
// timed out. With two targets, a prompt that needs the memory of both would wait for a target that has answered.
func TestPauseDuringReservationExcludesNoTarget(t *testing.T) {
	runInBubble(t, 2, func(hs *harness) {
		hs.reservations.pause = time.Second
		start := time.Now()
		sl := hs.mustAcquire(promptRequest(largePromptTokens))
		hs.Expect(hs.reservations.totalPaused()).To(Equal(time.Second))
		hs.Expect(time.Since(start)).To(BeNumerically("<", objective/2), "both targets are used again at once")
		sl.Release()
		time.Sleep(settleTime)
	})
}
