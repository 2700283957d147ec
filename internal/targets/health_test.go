package targets_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/targets"
)

// outcomes notes good answers (a dot) and failures (any other sign) of a target.
func recordOutcomes(dr *targets.Directory, id, signs string) {
	for _, sign := range signs {
		if sign == '.' {
			dr.RecordSuccess(id)
			continue
		}
		dr.RecordFailure(id)
	}
}

func TestTargetThatFails(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	rest := []string{"b", "c", "d"}
	tests := map[string]struct {
		happen func(cl *clock, dr *targets.Directory)
		// proven and sure are what requests of either caution may take.
		proven, sure []string
	}{
		"two failures make it suspect": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "....xx")
		}, all, rest},
		"one does not": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "....x")
		}, all, all},
		"a good answer clears it": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xx.")
		}, all, all},
		"time clears it": {func(cl *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xx")
			cl.advance(5 * time.Second)
		}, all, all},
		"half of all targets may be suspect": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xx")
			recordOutcomes(dr, "b", "xx")
		}, all, []string{"c", "d"}},
		"more are taken as they are": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xx")
			recordOutcomes(dr, "b", "xx")
			recordOutcomes(dr, "c", "xx")
		}, all, all},
		"three failures in a row leave it out": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx")
		}, rest, rest},
		"two of three do too": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xx.xx")
		}, rest, rest},
		"one in ten does not": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", strings.Repeat("x.........", 50))
		}, all, all},
		"failing again after the pause lengthens it, good answers between or not": {func(cl *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx")
			cl.advance(time.Second)
			recordOutcomes(dr, "a", ".xx")
			cl.advance(1900 * time.Millisecond)
		}, rest, rest},
		"and it is tried again after that": {func(cl *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx")
			cl.advance(time.Second)
			recordOutcomes(dr, "a", ".xx")
			cl.advance(2 * time.Second)
		}, all, rest},
		"a good answer that was under way does not bring it back": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx.")
		}, rest, rest},
		"several in a row do": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx....")
		}, all, all},
		"what was under way does not lengthen it": {func(cl *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxxxxxxxxxxx")
			cl.advance(time.Second)
		}, all, rest},
		"the pause is bounded": {func(cl *clock, dr *targets.Directory) {
			for range 10 {
				recordOutcomes(dr, "a", "xxx")
				cl.advance(8 * time.Second)
			}
		}, all, all},
		"earlier pauses are forgotten": {func(cl *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx")
			cl.advance(time.Second)
			recordOutcomes(dr, "a", "xxx")
			cl.advance(25 * time.Second)
			recordOutcomes(dr, "a", "xxx")
			cl.advance(time.Second)
		}, all, rest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, newTargets(all...), cl.now())
			tc.happen(cl, dr)
			g.Expect(idsOf(dr.Usable("s", targets.RequireReachable))).To(Equal(tc.proven))
			g.Expect(idsOf(dr.Usable("s", targets.RequireHealthy))).To(Equal(tc.sure))
		})
	}
}
