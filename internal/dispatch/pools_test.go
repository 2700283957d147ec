package dispatch_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
)

// prefillTargets returns the targets that prefill a part of the slot's prompt.
func prefillTargets(sl *dispatch.Slot) []string {
	ids := []string{sl.Target.ID}
	for _, hp := range sl.Helpers {
		ids = append(ids, hp.ID)
	}
	return ids
}

// TestShortPromptIsNotDelayedByLongPrompts guards against the prefill of long prompts at all free targets. In a wave of long
// prompts, a short prompt then found no target without the prefill of a part, and its answer paused for as long: 25 of 192
// were late for that reason. Now some targets stay free of long parts, and all instances choose the same ones.
func TestShortPromptIsNotDelayedByLongPrompts(t *testing.T) {
	// Each long prompt is prefilled at three targets.
	const count, longs = 20, 6
	ids := make([]string, count)
	for i := range ids {
		ids[i] = "t" + strconv.Itoa(i)
	}
	var pooled []string
	for _, instance := range []string{"a", "b", "c"} {
		g := NewWithT(t)
		hs := newClockHarnessOf(instance, func() time.Time { return time.Unix(1000, 0) }, ids...)
		first, err := hs.dispatcher.Acquire(t.Context(), hs.shortPrompt())
		g.Expect(err).NotTo(HaveOccurred())
		first.Release()
		var prefilling []string
		for range longs {
			sl, err := hs.dispatcher.Acquire(t.Context(), hs.longPrompt())
			g.Expect(err).NotTo(HaveOccurred())
			prefilling = append(prefilling, prefillTargets(sl)...)
		}
		g.Expect(len(prefilling)).To(BeNumerically(">=", count-2))
		next, err := hs.dispatcher.Acquire(t.Context(), hs.shortPrompt())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(prefilling).NotTo(ContainElement(next.Target.ID), "the short prompt is placed where no part is prefilled")
		pooled = append(pooled, next.Target.ID)
	}
	NewWithT(t).Expect(slices.Compact(pooled)).To(HaveLen(1), "all instances keep the same target free")
}

// TestFullShortPoolOverflowsToOtherTargets fills all slots of the short pool with short answers. The next prompt must be
// placed at another target.
func TestFullShortPoolOverflowsToOtherTargets(t *testing.T) {
	g := NewWithT(t)
	hs := newFrozenClockHarness("t0", "t1", "t2", "t3")
	used := map[string]int{}
	for range 3 * engine.Slots {
		sl, err := hs.dispatcher.Acquire(t.Context(), hs.shortPrompt())
		g.Expect(err).NotTo(HaveOccurred())
		sl.RecordFirstToken()
		used[sl.Target.ID]++
	}
	for id, n := range used {
		g.Expect(n).To(BeNumerically("<=", engine.Slots), id)
	}
}

// TestFirstPromptsOfManyInstancesSpread guards against the start of traffic in a large fleet: no answer is in flight yet, so the short
// pool was a single target, and all instances sent their first prompts there before they heard of each other.
func TestFirstPromptsOfManyInstancesSpread(t *testing.T) {
	const instances, count = 60, 400
	ids := make([]string, count)
	for i := range ids {
		ids[i] = "t" + strconv.Itoa(i)
	}
	g := NewWithT(t)
	chosen := map[string]int{}
	for i := range instances {
		hs := newClockHarnessOf("i"+strconv.Itoa(i), func() time.Time { return time.Unix(1000, 0) }, ids...)
		rq := hs.shortPrompt()
		rq.ID = "request-" + strconv.Itoa(i)
		sl, err := hs.dispatcher.Acquire(t.Context(), rq)
		g.Expect(err).NotTo(HaveOccurred())
		chosen[sl.Target.ID]++
	}
	for id, n := range chosen {
		g.Expect(n).To(BeNumerically("<=", instances/5), id)
	}
}

// urgentPrompt returns a request with a short prompt and a short objective.
func urgentPrompt() dispatch.Request {
	rq := promptRequest(1000)
	rq.Objective = 300 * time.Millisecond
	return rq
}

// TestFailedAttemptCountsAsLoadTemporarily guards against a target that resets every connection and therefore looks idle:
// each instance chose it first until it had failed there itself.
func TestFailedAttemptCountsAsLoadTemporarily(t *testing.T) {
	runInBubble(t, 2, func(hs *harness) {
		sl := hs.mustAcquire(urgentPrompt())
		failed := sl.Target.ID
		sl.RecordFailure()
		sl.Release()
		published := hs.OwnLoads()
		hs.Expect(published).To(HaveKey(failed), "the load is published to peers")
		for range 3 {
			next := hs.mustAcquire(urgentPrompt())
			hs.Expect(next.Target.ID).NotTo(Equal(failed))
			next.Release()
		}
		time.Sleep(3 * time.Second)
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}
