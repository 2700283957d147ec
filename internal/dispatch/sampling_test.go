package dispatch_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/placement"
)

// busiest returns how many of the prompts that do not know of each other choose the same target, at most.
func (hs *bench) busiest(prompts int) int {
	chosen := map[string]int{}
	for no := range prompts {
		rq := prompt(500)
		rq.ID = "request-" + strconv.Itoa(no)
		rq.Service.Engine.Slots = 16
		sl := hs.take(rq)
		chosen[sl.Target.ID]++
		sl.Release()
	}
	most := 0
	for _, count := range chosen {
		most = max(most, count)
	}
	return most
}

// fleetLoads is 64 targets with four writers each, one of them with ten: the best shelter for one more.
func fleetLoads() map[string]placement.Load {
	loads := map[string]placement.Load{}
	for no := range 64 {
		writers := 4
		if no == 7 {
			writers = 10
		}
		lo := placement.Load{Writers: writers, Context: int64(writers) * 500, Memory: int64(writers) * 600}
		for cl := range lo.AtRisk {
			lo.AtRisk[cl] = placement.WorthOf(0.1 * float64(writers))
		}
		loads[id(no)] = lo
	}
	return loads
}

// TestPromptsThatDoNotKnowOfEachOther places as many prompts as a large fleet does before its instances hear of the first
// one. Sent to one target, most of them would wait for a slot there.
func TestPromptsThatDoNotKnowOfEachOther(t *testing.T) {
	const prompts = 60
	tests := map[string]struct {
		lag  time.Duration
		most int
	}{
		"known at once":           {lag: 0, most: prompts},
		"known after a short lag": {lag: 3 * time.Millisecond, most: prompts},
		"known after a long lag":  {lag: 100 * time.Millisecond, most: 16},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, 64, func(hs *bench) {
				hs.SetPropagationDelay(func() time.Duration { return tc.lag })
				hs.SetPeerLoads("peer", fleetLoads())
				hs.Expect(hs.busiest(prompts)).To(BeNumerically("<=", tc.most))
				if tc.most == prompts {
					hs.Expect(hs.busiest(prompts)).To(BeNumerically(">", 16))
				}
			})
		})
	}
}

// TestLongPromptsSeeAllTargets has a long prompt that needs every target to read it.
func TestLongPromptsSeeAllTargets(t *testing.T) {
	bubble(t, 17, func(hs *bench) {
		hs.SetPropagationDelay(func() time.Duration { return time.Hour })
		hs.SetPeerLoads("peer", map[string]placement.Load{id(0): {Writers: 1, Context: 100, Memory: 100}})
		rq := prompt(17_000)
		rq.Service.Engine.Memory, rq.Service.Engine.PerThousandRead = 100_000, 100*time.Millisecond
		rq.Objective = 150 * time.Millisecond
		sl := hs.take(rq)
		read := []string{sl.Target.ID}
		for _, he := range sl.Helpers {
			read = append(read, he.ID)
		}
		slices.Sort(read)
		hs.Expect(slices.Compact(read)).To(HaveLen(len(sl.Helpers) + 1))
		hs.Expect(len(sl.Helpers)).To(BeNumerically(">", leastSampled))
	})
}

// leastSampled is the number of targets that a short prompt would see with that lag.
const leastSampled = 8
