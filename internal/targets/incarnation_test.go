package targets_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/targets"
)

// incarnationOfA returns the incarnation of the target "a" that started at a time in milliseconds. All have the same address.
func incarnationOfA(startedAt int64) targets.Target {
	tg := targetAt("a@"+time.UnixMilli(startedAt).UTC().Format("05.000"), "a.example:80")
	tg.Name, tg.StartedAt = "a", time.UnixMilli(startedAt)
	return tg
}

// TestIncarnationsOfOneName: a target restarts under the same name and has lost its state. The state of the previous incarnation,
// in particular that it is leaving, must not apply to the new one.
func TestIncarnationsOfOneName(t *testing.T) {
	first, second := incarnationOfA(1000), incarnationOfA(2000)
	leavingFirst := first
	leavingFirst.Leaving = true
	tests := map[string]struct {
		events func(cl *clock, dr *targets.Directory)
		// first and second say whether each incarnation accepts work after the events.
		first, second bool
	}{
		"restart of a leaving target": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, leavingFirst, cl.now())
			applyPut(dr, second, cl.now())
		}, false, true},
		"restart after the entry was removed": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "a", cl.now())
			applyPut(dr, second, cl.now())
		}, false, true},
		"restart without prior notice": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
		}, false, true},
		"a complete list contains the new incarnation": {func(cl *clock, dr *targets.Directory) {
			applyList(dr, []targets.Target{second}, cl.now())
		}, false, true},
		"an outdated entry arrives late": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			applyPut(dr, leavingFirst, cl.now())
			applyPut(dr, first, cl.now())
		}, false, true},
		"an outdated list arrives late": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			applyPeerList(dr, []targets.Target{leavingFirst}, targets.Lapsed{}, cl.now())
			applyPut(dr, second, cl.now())
		}, false, true},
		"a peer still reports the old incarnation as leaving": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			dr.MarkLeaving(first.ID)
		}, false, true},
		"the new incarnation leaves": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			dr.MarkLeaving(second.ID)
		}, false, false},
		"the entry of the new incarnation is removed": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			applyDelete(dr, "a", cl.now())
		}, false, false},
		"the entry of the old incarnation lapsed in a store outage": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreFailure()
			dr.RecordStoreRecovery(cl.now())
			applyDelete(dr, "a", cl.now())
			applyPut(dr, second, cl.now())
		}, false, true},
		"a peer reports the old incarnation as lapsed": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, second, cl.now())
			applyPeerList(dr, []targets.Target{second}, targets.Lapsed{Targets: []targets.Target{first}, GraceLeft: time.Second}, cl.now())
		}, false, true},
		"failures of the old incarnation": {func(cl *clock, dr *targets.Directory) {
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
			tc.events(cl, dr)
			g.Expect(dr.TakesWork(first.ID)).To(Equal(tc.first))
			g.Expect(dr.TakesWork(second.ID)).To(Equal(tc.second))
			g.Expect(dr.Connectivity(second.ID)).To(Equal(targets.Connectivity{}))
			_, listed := dr.Listed()
			g.Expect(idsOf(listed)).NotTo(ContainElement(first.ID))
		})
	}
}

// TestReplaced guards against a restart that no refused connection shows, and against taking a planned one for a crash.
func TestReplaced(t *testing.T) {
	first, second := incarnationOfA(1000), incarnationOfA(2000)
	leavingFirst := first
	leavingFirst.Leaving = true
	sameAddress := targetAt("b", first.Address)
	tests := map[string]struct {
		before, after []targets.Target
		want          bool
	}{
		"no other incarnation":                {[]targets.Target{first}, nil, false},
		"removed":                             {[]targets.Target{first}, []targets.Target{targetAt("b", "b.example:80")}, false},
		"later incarnation":                   {[]targets.Target{first}, []targets.Target{second}, true},
		"later incarnation of a leaving one":  {[]targets.Target{leavingFirst}, []targets.Target{second}, false},
		"another target with the address":     {[]targets.Target{first}, []targets.Target{first, sameAddress}, true},
		"leaving, another with the address":   {[]targets.Target{leavingFirst}, []targets.Target{leavingFirst, sameAddress}, false},
		"an earlier target had the address":   {[]targets.Target{sameAddress}, []targets.Target{sameAddress, first}, false},
		"an earlier target, which is removed": {[]targets.Target{sameAddress}, []targets.Target{first}, false},
		"not known":                           {[]targets.Target{second}, nil, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, tc.before, cl.now())
			if tc.after != nil {
				applyList(dr, tc.after, cl.now())
			}
			g.Expect(dr.Replaced(first.ID)).To(Equal(tc.want))
		})
	}
}
