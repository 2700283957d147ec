package fault_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/standin/fault"
)

const generous = 10 * time.Second

func TestGateLetsTheMostUrgentInFirst(t *testing.T) {
	g := NewWithT(t)
	gt := fault.NewAdmissionQueue(1, 2, 0)
	g.Expect(gt.Acquire(t.Context(), 5, 0)).To(BeTrue())
	order := make(chan int, 2)
	for n, priority := range []int{7, 2} {
		go func() {
			gt.Acquire(t.Context(), priority, 0)
			order <- priority
		}()
		g.Eventually(gt.WaitingCount).WithTimeout(generous).Should(Equal(n + 1))
	}
	g.Expect(gt.Acquire(t.Context(), 0, 0)).To(BeFalse(), "the queue is full")
	gt.Release(0)
	g.Eventually(order).WithTimeout(generous).Should(Receive(Equal(2)))
	gt.Release(0)
	g.Eventually(order).WithTimeout(generous).Should(Receive(Equal(7)))
}

func TestGateHoldsRequestsBackForAReservation(t *testing.T) {
	g := NewWithT(t)
	gt := fault.NewAdmissionQueue(4, 4, 100)
	g.Expect(gt.Acquire(t.Context(), 5, 101)).To(BeFalse(), "it never fits")
	g.Expect(gt.Acquire(t.Context(), 5, 60)).To(BeTrue())
	g.Expect(gt.Reserve(60, false)).To(BeNil())
	granted := gt.Reserve(60, true)
	g.Expect(gt.FreeTokens()).To(BeZero())
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(gt.Acquire(ended, 0, 10)).To(BeFalse(), "a reservation waits")
	gt.Release(60)
	g.Expect(granted).To(BeClosed())
	g.Expect(gt.UsedTokens()).To(Equal(60))
	gt.EndReservation(60, granted)
	g.Expect(gt.FreeTokens()).To(Equal(100))
}
