package dispatch_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/failure"
)

// TestAuthorisationWithdrawnDuringReservation guards against prompts that are sent although their key was revoked while memory was
// reserved for them. The reservation takes a round trip to several targets.
func TestAuthorisationWithdrawnDuringReservation(t *testing.T) {
	runInBubble(t, 3, func(hs *harness) {
		start := time.Now()
		rq := promptRequest(largePromptTokens)
		rq.Authorise = func() error {
			if time.Since(start) > 0 {
				return failure.New(failure.Unauthorized, failure.NotRun, "the key was revoked")
			}
			return nil
		}
		_, err := hs.Acquire(context.Background(), rq)
		hs.Expect(err).To(HaveOccurred())
		time.Sleep(settleTime)
		hs.Expect(hs.OwnLoads()).To(BeEmpty(), "the slot and the memory are released")
	})
}
