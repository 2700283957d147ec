package dispatch_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/placement"
)

// maxPromptsOnOneTarget returns the largest number of prompts that choose the same target without knowing of each other.
func (hs *harness) maxPromptsOnOneTarget(prompts int) int {
	chosen := map[string]int{}
	for i := range prompts {
		rq := promptRequest(500)
		rq.ID = "request-" + strconv.Itoa(i)
		rq.Service.Engine.Slots = 16
		sl := hs.mustAcquire(rq)
		chosen[sl.Target.ID]++
		sl.Release()
	}
	maxCount := 0
	for _, count := range chosen {
		maxCount = max(maxCount, count)
	}
	return maxCount
}

// fleetLoads returns the loads of 64 targets with four decoding requests each, except one with ten, which is the best target
// for one more prompt.
func fleetLoads() map[string]placement.Load {
	loads := map[string]placement.Load{}
	for i := range 64 {
		decoding := 4
		if i == 7 {
			decoding = 10
		}
		lo := placement.Load{Decoding: decoding, ContextTokens: int64(decoding) * 500, MemoryTokens: int64(decoding) * 600}
		for cl := range lo.PauseRisk {
			lo.PauseRisk[cl] = placement.WorthOf(0.1 * float64(decoding))
		}
		loads[id(i)] = lo
	}
	return loads
}

// TestPromptsSpreadOverTargetsDespitePropagationDelay places as many prompts as a large fleet does before its instances know
// of the first one. If all were sent to one target, most of them would wait for a slot there.
func TestPromptsSpreadOverTargetsDespitePropagationDelay(t *testing.T) {
	const prompts = 60
	tests := map[string]struct {
		delay          time.Duration
		maxOnOneTarget int
	}{
		"no delay":    {delay: 0, maxOnOneTarget: prompts},
		"short delay": {delay: 3 * time.Millisecond, maxOnOneTarget: prompts},
		"long delay":  {delay: 100 * time.Millisecond, maxOnOneTarget: 16},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, 64, func(hs *harness) {
				hs.SetPropagationDelay(func() time.Duration { return tc.delay })
				hs.SetPeerLoads("peer", fleetLoads())
				hs.Expect(hs.maxPromptsOnOneTarget(prompts)).To(BeNumerically("<=", tc.maxOnOneTarget))
				if tc.maxOnOneTarget == prompts {
					hs.Expect(hs.maxPromptsOnOneTarget(prompts)).To(BeNumerically(">", 16))
				}
			})
		})
	}
}

// TestLongPromptChoosesFromAllTargets places a long prompt that needs the prefill of every target.
func TestLongPromptChoosesFromAllTargets(t *testing.T) {
	runInBubble(t, 17, func(hs *harness) {
		hs.SetPropagationDelay(func() time.Duration { return time.Hour })
		hs.SetPeerLoads("peer", map[string]placement.Load{id(0): {Decoding: 1, ContextTokens: 100, MemoryTokens: 100}})
		rq := promptRequest(17_000)
		rq.Service.Engine.MemoryTokens, rq.Service.Engine.PrefillTimePerThousand = 100_000, 100*time.Millisecond
		rq.Objective = 150 * time.Millisecond
		sl := hs.mustAcquire(rq)
		ids := []string{sl.Target.ID}
		for _, hp := range sl.Helpers {
			ids = append(ids, hp.ID)
		}
		slices.Sort(ids)
		hs.Expect(slices.Compact(ids)).To(HaveLen(len(sl.Helpers) + 1))
		hs.Expect(len(sl.Helpers)).To(BeNumerically(">", sampleSize))
	})
}

// sampleSize is the number of targets that a short prompt would choose from with that propagation delay.
const sampleSize = 8
