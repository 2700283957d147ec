package targetsim_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/standin/targetsim"
)

// testTimeout bounds the waits for conditions that normally hold within milliseconds.
const testTimeout = 10 * time.Second

func TestAdmissionQueueAdmitsTheMostUrgentRequestFirst(t *testing.T) {
	g := NewWithT(t)
	aq := targetsim.NewAdmissionQueue(1, 2, 0)
	g.Expect(aq.Acquire(t.Context(), 5, 0)).To(BeTrue())
	order := make(chan int, 2)
	for n, priority := range []int{7, 2} {
		go func() {
			aq.Acquire(t.Context(), priority, 0)
			order <- priority
		}()
		g.Eventually(aq.WaitingCount).WithTimeout(testTimeout).Should(Equal(n + 1))
	}
	g.Expect(aq.Acquire(t.Context(), 0, 0)).To(BeFalse(), "the queue is full")
	aq.Release(0)
	g.Eventually(order).WithTimeout(testTimeout).Should(Receive(Equal(2)))
	aq.Release(0)
	g.Eventually(order).WithTimeout(testTimeout).Should(Receive(Equal(7)))
}

func TestAdmissionQueueHoldsRequestsBackWhileAReservationWaits(t *testing.T) {
	g := NewWithT(t)
	aq := targetsim.NewAdmissionQueue(4, 4, 100)
	g.Expect(aq.Acquire(t.Context(), 5, 101)).To(BeFalse(), "the request needs more than the total memory")
	g.Expect(aq.Acquire(t.Context(), 5, 60)).To(BeTrue())
	g.Expect(aq.Reserve(60, false)).To(BeNil())
	granted := aq.Reserve(60, true)
	g.Expect(aq.FreeTokens()).To(BeZero())
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(aq.Acquire(ended, 0, 10)).To(BeFalse(), "a reservation waits")
	aq.Release(60)
	g.Expect(granted).To(BeClosed())
	g.Expect(aq.UsedTokens()).To(Equal(60))
	aq.EndReservation(60, granted)
	g.Expect(aq.FreeTokens()).To(Equal(100))
}
