package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
)

// loadsWithDecoding returns the loads of three targets with that many decoding requests each.
func loadsWithDecoding(decoding int) map[string]placement.Load {
	loads := map[string]placement.Load{}
	for i := range 3 {
		loads[id(i)] = placement.Load{Decoding: decoding, ContextTokens: int64(decoding) * 500, MemoryTokens: int64(decoding) * 600}
	}
	return loads
}

// TestShortPromptIsShedWhenSlotsAreExhausted places one more prompt at three targets with a number of decoding requests each.
func TestShortPromptIsShedWhenSlotsAreExhausted(t *testing.T) {
	tests := map[string]struct {
		decoding, tokens int
		resumed          bool
		refused          bool
	}{
		"slots are free":                     {decoding: 1, tokens: 500},
		"slots are taken":                    {decoding: 3 * slots, tokens: 500, refused: true},
		"slots are taken, stream is resumed": {decoding: 3 * slots, tokens: 500, resumed: true},
		"half of the slots are taken":        {decoding: slots / 2, tokens: 500},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 3, func(hs *harness) {
				hs.SetPeerLoads("peer", loadsWithDecoding(tc.decoding))
				rq := promptRequest(tc.tokens)
				rq.Service.Engine.MemoryTokens = 100_000
				rq.Objective, rq.Resumed = 300*time.Millisecond, tc.resumed
				if !tc.refused {
					hs.mustAcquire(rq)
					return
				}
				start := time.Now()
				fe := hs.mustBeRefused(rq)
				hs.Expect(time.Since(start)).To(BeZero())
				hs.Expect(fe.Code).To(Equal(failure.Overloaded))
				hs.Expect(fe.Outcome).To(Equal(failure.NotRun))
				hs.Expect(fe.RetryAfter).To(BeNumerically(">", 500*time.Millisecond))
				hs.Expect(fe.RetryAfter).To(BeNumerically("<", 3*time.Second))
			})
		})
	}
}
