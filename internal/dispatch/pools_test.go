package dispatch_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
)

// readAt returns the targets that read a part of a prompt.
func readAt(sl *dispatch.Slot) []string {
	ids := []string{sl.Target.ID}
	for _, hp := range sl.Helpers {
		ids = append(ids, hp.ID)
	}
	return ids
}

// TestAShortPromptIsNotDelayedByLongOnes.
//
// In a wave of long prompts each was read at all targets that were free, so that a short prompt found none where no part was being
// read, and its answer paused for as long as that took: 25 of 192 were late by that. Some targets now stay free of long parts, and all
// instances know which.
func TestAShortPromptIsNotDelayedByLongOnes(t *testing.T) {
	// Each long prompt is read at three targets.
	const count, longs = 20, 6
	ids := make([]string, count)
	for no := range ids {
		ids[no] = "t" + strconv.Itoa(no)
	}
	var pooled []string
	for _, instance := range []string{"a", "b", "c"} {
		g := NewWithT(t)
		hs := newClockedOf(instance, func() time.Time { return time.Unix(1000, 0) }, ids...)
		first, err := hs.ds.Acquire(t.Context(), hs.short())
		g.Expect(err).NotTo(HaveOccurred())
		first.Release()
		var reading []string
		for range longs {
			sl, err := hs.ds.Acquire(t.Context(), hs.long())
			g.Expect(err).NotTo(HaveOccurred())
			reading = append(reading, readAt(sl)...)
		}
		g.Expect(len(reading)).To(BeNumerically(">=", count-2))
		next, err := hs.ds.Acquire(t.Context(), hs.short())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reading).NotTo(ContainElement(next.Target.ID), "a short one is written where no part is read")
		pooled = append(pooled, next.Target.ID)
	}
	NewWithT(t).Expect(slices.Compact(pooled)).To(HaveLen(1), "all instances keep the same free")
}

// TestAFullShortPoolIsLeft: short answers take all slots of the short pool, and the next one is placed elsewhere.
func TestAFullShortPoolIsLeft(t *testing.T) {
	g := NewWithT(t)
	hs := newClocked("t0", "t1", "t2", "t3")
	used := map[string]int{}
	for range 3 * engine.Slots {
		sl, err := hs.ds.Acquire(t.Context(), hs.short())
		g.Expect(err).NotTo(HaveOccurred())
		sl.RecordFirstToken()
		used[sl.Target.ID]++
	}
	for id, n := range used {
		g.Expect(n).To(BeNumerically("<=", engine.Slots), id)
	}
}

// urgent asks for a short prompt whose first token must come soon.
func urgent() dispatch.Request {
	rq := prompt(1000)
	rq.Objective = 300 * time.Millisecond
	return rq
}

// TestAFailedAttemptCountsAtItsTargetForAWhile.
//
// A target that resets every connection looks idle, and was chosen first by each instance until that had failed there itself.
func TestAFailedAttemptCountsAtItsTargetForAWhile(t *testing.T) {
	bubble(t, 2, func(hs *bench) {
		sl := hs.take(urgent())
		failed := sl.Target.ID
		sl.RecordFailure()
		sl.Release()
		told := hs.OwnLoads()
		hs.Expect(told).To(HaveKey(failed), "peers hear of it")
		for range 3 {
			next := hs.take(urgent())
			hs.Expect(next.Target.ID).NotTo(Equal(failed))
			next.Release()
		}
		time.Sleep(3 * time.Second)
		hs.Expect(hs.OwnLoads()).To(BeEmpty())
	})
}
