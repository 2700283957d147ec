package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/placement"
)

// TestAcceptableDelay checks that a fleet whose targets are mostly idle may exchange loads seldom, and a busy one may not.
func TestAcceptableDelay(t *testing.T) {
	tests := map[string]struct {
		targets, decodingAtEach int
		least, most             time.Duration
	}{
		"nothing in flight":                {100, 0, time.Second, time.Second},
		"one request at each target":       {100, 1, 20 * time.Millisecond, 100 * time.Millisecond},
		"all slots taken":                  {100, 16, time.Millisecond, 5 * time.Millisecond},
		"twice the targets and requests":   {200, 1, 20 * time.Millisecond, 100 * time.Millisecond},
		"few targets, all slots are taken": {10, 16, time.Millisecond, 5 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, tc.targets, func(hs *harness) {
				loads := map[string]placement.Load{}
				for i := range tc.targets {
					loads[id(i)] = placement.Load{Decoding: tc.decodingAtEach}
				}
				hs.SetPeerLoads("peer", loads)
				hs.Expect(hs.AcceptableDelay()).To(And(BeNumerically(">=", tc.least), BeNumerically("<=", tc.most)))
			})
		})
	}
}
