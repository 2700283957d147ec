package targets_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/targets"
)

// recordOutcomes records outcomes of a target: a success for each dot, a failure for any other character.
func recordOutcomes(dr *targets.Directory, id, outcomes string) {
	for _, o := range outcomes {
		if o == '.' {
			dr.RecordSuccess(id)
			continue
		}
		dr.RecordFailure(id)
	}
}

func TestEjectionOfFailingTargets(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	rest := []string{"b", "c", "d"}
	tests := map[string]struct {
		events func(cl *clock, dr *targets.Directory)
		// reachable and healthy are the usable targets for requests of either caution.
		reachable, healthy []string
	}{
		"two failures in a row make a target suspect": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "....xx")
		}, all, rest},
		"one failure does not make a target suspect": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "....x")
		}, all, all},
		"a success ends the suspicion": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xx.")
		}, all, all},
		"the suspicion ends after a while": {func(cl *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xx")
			cl.advance(5 * time.Second)
		}, all, all},
		"half of the targets may be suspect": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xx")
			recordOutcomes(dr, "b", "xx")
		}, all, []string{"c", "d"}},
		"a majority of suspect targets stays usable": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xx")
			recordOutcomes(dr, "b", "xx")
			recordOutcomes(dr, "c", "xx")
		}, all, all},
		"three failures in a row eject a target": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx")
		}, rest, rest},
		"four failures of five eject a target": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xx.xx")
		}, rest, rest},
		"one failure in ten does not eject a target": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", strings.Repeat("x.........", 50))
		}, all, all},
		"a second ejection is longer, despite a success in between": {func(cl *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx")
			cl.advance(time.Second)
			recordOutcomes(dr, "a", ".xx")
			cl.advance(1900 * time.Millisecond)
		}, rest, rest},
		"a target is readmitted after its second ejection": {func(cl *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx")
			cl.advance(time.Second)
			recordOutcomes(dr, "a", ".xx")
			cl.advance(2 * time.Second)
		}, all, rest},
		"one success in flight does not readmit a target": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx.")
		}, rest, rest},
		"four successes in flight readmit a target": {func(_ *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxx....")
		}, all, all},
		"failures in flight do not extend the ejection": {func(cl *clock, dr *targets.Directory) {
			recordOutcomes(dr, "a", "xxxxxxxxxxxx")
			cl.advance(time.Second)
		}, all, rest},
		"the duration of ejections is bounded": {func(cl *clock, dr *targets.Directory) {
			for range 10 {
				recordOutcomes(dr, "a", "xxx")
				cl.advance(8 * time.Second)
			}
		}, all, all},
		"earlier ejections are forgotten": {func(cl *clock, dr *targets.Directory) {
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
			tc.events(cl, dr)
			g.Expect(idsOf(dr.Usable("s", targets.RequireReachable))).To(Equal(tc.reachable))
			g.Expect(idsOf(dr.Usable("s", targets.RequireHealthy))).To(Equal(tc.healthy))
		})
	}
}
