package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/placement"
)

// loadsWithWriters returns the loads of three targets with that many writers each.
func loadsWithWriters(writers int) map[string]placement.Load {
	loads := map[string]placement.Load{}
	for i := range 3 {
		loads[id(i)] = placement.Load{Decoding: writers, ContextTokens: int64(writers) * 500, MemoryTokens: int64(writers) * 600}
	}
	return loads
}

// TestShortPromptIsShedWhenSlotsAreExhausted places one more prompt at three targets with a number of writers each.
func TestShortPromptIsShedWhenSlotsAreExhausted(t *testing.T) {
	tests := map[string]struct {
		writers, tokens int
		resumed         bool
		refused         bool
	}{
		"slots are free":                     {writers: 1, tokens: 500},
		"slots are taken":                    {writers: 3 * slots, tokens: 500, refused: true},
		"slots are taken, stream is resumed": {writers: 3 * slots, tokens: 500, resumed: true},
		"half of the slots are taken":        {writers: slots / 2, tokens: 500},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 3, func(hs *harness) {
				hs.SetPeerLoads("peer", loadsWithWriters(tc.writers))
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
