package targets_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/targets"
)

// life returns an incarnation of the target "a", all at one address.
func incarnationOfA(born int64) targets.Target {
	tg := targetAt("a@"+time.UnixMilli(born).UTC().Format("05.000"), "a.example:80")
	tg.Name, tg.StartedAt = "a", time.UnixMilli(born)
	return tg
}

// TestIncarnationsUnderTheSameID: a target starts again under the id that it had, and knows nothing of before. What was believed of
// the incarnation before, leaving above all, is no word on the new one.
func TestIncarnationsUnderTheSameID(t *testing.T) {
	first, second := incarnationOfA(1000), incarnationOfA(2000)
	leavingFirst := first
	leavingFirst.Leaving = true
	tests := map[string]struct {
		happen func(cl *clock, dr *targets.Directory)
		// first and second say which of them takes work in the end.
		first, second bool
	}{
		"one that left starts again": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, leavingFirst, cl.now())
			applyPut(dr, second, cl.now())
		}, false, true},
		"one whose entry went starts again": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "a", cl.now())
			applyPut(dr, second, cl.now())
		}, false, true},
		"it starts again without a word": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
		}, false, true},
		"a list has the new one": {func(cl *clock, dr *targets.Directory) {
			applyList(dr, []targets.Target{second}, cl.now())
		}, false, true},
		"an old entry comes late": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			applyPut(dr, leavingFirst, cl.now())
			applyPut(dr, first, cl.now())
		}, false, true},
		"an old list comes late": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			applyPeerList(dr, []targets.Target{leavingFirst}, targets.Lapsed{}, cl.now())
			applyPut(dr, second, cl.now())
		}, false, true},
		"a peer still tells that the old one leaves": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			dr.MarkLeaving(first.ID)
		}, false, true},
		"the new one leaves": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			dr.MarkLeaving(second.ID)
		}, false, false},
		"the new one's entry goes": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			applyDelete(dr, "a", cl.now())
		}, false, false},
		"the old one's entry lapsed with the store away": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreFailure()
			dr.RecordStoreRecovery(cl.now())
			applyDelete(dr, "a", cl.now())
			applyPut(dr, second, cl.now())
		}, false, true},
		"a peer tells of the old one as lapsed": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			applyPeerList(dr, []targets.Target{second}, targets.Lapsed{Targets: []targets.Target{first}, GraceLeft: time.Second}, cl.now())
		}, false, true},
		"failures of the old one": {func(cl *clock, dr *targets.Directory) {
			for range 5 {
				dr.RecordFailure(first.ID)
				dr.RecordUnreachable(first.ID)
			}
			applyPut(dr, second, cl.now())
		}, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, []targets.Target{first}, cl.now())
			tc.happen(cl, dr)
			g.Expect(dr.TakesWork(first.ID)).To(Equal(tc.first))
			g.Expect(dr.TakesWork(second.ID)).To(Equal(tc.second))
			g.Expect(dr.Connectivity(second.ID)).To(Equal(targets.Connectivity{}))
			_, listed := dr.Listed()
			g.Expect(idsOf(listed)).NotTo(ContainElement(first.ID))
		})
	}
}
