package targets_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/targets"
)

// clock is a manual clock.
type clock struct{ at time.Time }

func (cl *clock) now() time.Time          { return cl.at }
func (cl *clock) advance(d time.Duration) { cl.at = cl.at.Add(d) }
func newClock() *clock                    { return &clock{at: time.Unix(1000, 0)} }

// newTarget returns a target of service "s" with an address of its own.
func newTarget(id string) targets.Target { return targetAt(id, id+".example:80") }

// targetAt returns a target of service "s" at an address.
func targetAt(id, address string) targets.Target {
	return targets.Target{ID: id, Service: "s", Address: address}
}

func leavingTarget(id string) targets.Target {
	return targets.Target{ID: id, Service: "s", Leaving: true}
}
func newTargets(ids ...string) []targets.Target { return makeTargets(newTarget, ids) }

func makeTargets(build func(string) targets.Target, ids []string) []targets.Target {
	var tgs []targets.Target
	for _, id := range ids {
		tgs = append(tgs, build(id))
	}
	return tgs
}

func idsOf(tgs []targets.Target) []string {
	var out []string
	for _, tg := range tgs {
		out = append(out, tg.ID)
	}
	return out
}

func TestTakesWork(t *testing.T) {
	tests := map[string]struct {
		events func(cl *clock, dr *targets.Directory)
		want   []string
	}{
		"listed targets accept work": {func(*clock, *targets.Directory) {}, []string{"a", "b", "c"}},
		"a leaving target accepts none": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, leavingTarget("a"), cl.now())
		}, []string{"b", "c"}},
		"leaving is permanent": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, leavingTarget("a"), cl.now())
			applyList(dr, newTargets("a", "b", "c"), cl.now())
		}, []string{"b", "c"}},
		"leaving marked by a peer": {func(_ *clock, dr *targets.Directory) {
			dr.MarkLeaving("b")
		}, []string{"a", "c"}},
		"leaving marked before the target is listed": {func(cl *clock, dr *targets.Directory) {
			dr.MarkLeaving("d")
			applyPut(dr, newTarget("d"), cl.now())
		}, []string{"a", "b", "c"}},
		"a target that is gone accepts none": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "a", cl.now())
		}, []string{"b", "c"}},
		"a target that is listed again accepts work": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "a", cl.now())
			applyPut(dr, newTarget("a"), cl.now())
		}, []string{"a", "b", "c"}},
		"a failing target is ejected": {func(_ *clock, dr *targets.Directory) {
			for range 3 {
				dr.RecordFailure("a")
			}
		}, []string{"b", "c"}},
		"no more than half of the targets are ejected": {func(_ *clock, dr *targets.Directory) {
			for range 3 {
				dr.RecordFailure("a")
				dr.RecordFailure("b")
			}
		}, []string{"a", "b", "c"}},
		"an ejected target is readmitted after its pause": {func(cl *clock, dr *targets.Directory) {
			for range 3 {
				dr.RecordFailure("a")
			}
			cl.advance(1100 * time.Millisecond)
		}, []string{"a", "b", "c"}},
		"an unreachable target is excluded": {func(_ *clock, dr *targets.Directory) {
			dr.RecordUnreachable("a")
		}, []string{"b", "c"}},
		"a majority of unreachable targets is excluded": {func(_ *clock, dr *targets.Directory) {
			dr.RecordReachable("c")
			dr.RecordUnreachable("a")
			dr.RecordUnreachable("b")
		}, []string{"c"}},
		"all targets are usable when all are unreachable": {func(_ *clock, dr *targets.Directory) {
			for _, id := range []string{"a", "b", "c"} {
				dr.RecordUnreachable(id)
			}
		}, []string{"a", "b", "c"}},
		"an unreachable target is tried again after its pause": {func(cl *clock, dr *targets.Directory) {
			dr.RecordUnreachable("a")
			cl.advance(time.Second)
		}, []string{"a", "b", "c"}},
		"the pause doubles while a target stays unreachable": {func(cl *clock, dr *targets.Directory) {
			dr.RecordUnreachable("a")
			cl.advance(time.Second)
			dr.RecordUnreachable("a")
			cl.advance(time.Second)
		}, []string{"b", "c"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, newTargets("a", "b", "c"), cl.now())
			tc.events(cl, dr)
			g.Expect(idsOf(dr.Usable("s", targets.AllowProbe))).To(Equal(tc.want))
			for _, id := range tc.want {
				g.Expect(dr.TakesWork(id)).To(BeTrue())
			}
		})
	}
}

// TestOneUsableTargetPerAddress lists a target at the address of another one that still accepts work as far as the directory knows.
func TestOneUsableTargetPerAddress(t *testing.T) {
	const shared = "10.0.0.1:80"
	tests := map[string]struct {
		events func(cl *clock, dr *targets.Directory)
		want   []string
	}{
		"newer one while both are listed": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, targetAt("a", shared), cl.now())
		}, []string{"a", "other"}},
		"newer one after the older lapsed in a store outage": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreFailure()
			applyList(dr, []targets.Target{targetAt("a", shared), newTarget("other")}, cl.now())
		}, []string{"a", "other"}},
		"older one once the newer is unreachable": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, targetAt("a", shared), cl.now())
			dr.RecordUnreachable("a")
		}, []string{"b", "other"}},
		"older one once the newer is leaving": {func(cl *clock, dr *targets.Directory) {
			applyPut(dr, targetAt("a", shared), cl.now())
			dr.MarkLeaving("a")
		}, []string{"b", "other"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, []targets.Target{targetAt("b", shared), newTarget("other")}, cl.now())
			tc.events(cl, dr)
			g.Expect(idsOf(dr.Usable("s", targets.AllowProbe))).To(Equal(tc.want))
		})
	}
}

func TestChangesAreReportedOnce(t *testing.T) {
	g := NewWithT(t)
	cl := newClock()
	dr := targets.New(cl.now)
	g.Expect(applyList(dr, newTargets("a"), cl.now())).To(HaveLen(1))
	g.Expect(applyList(dr, newTargets("a"), cl.now())).To(BeEmpty())
	g.Expect(applyDelete(dr, "a", cl.now())).To(HaveLen(1))
	g.Expect(applyDelete(dr, "a", cl.now())).To(BeEmpty())
	g.Expect(dr.MarkLeaving("a")).To(BeTrue())
	g.Expect(dr.MarkLeaving("a")).To(BeFalse())
	g.Expect(dr.LeavingIDs()).To(Equal([]string{"a"}))
}

func TestConnectivityOfUnreachableTargets(t *testing.T) {
	tests := map[string]struct {
		unreachable []string
		want        targets.Connectivity
	}{
		"never":               {nil, targets.Connectivity{}},
		"once":                {[]string{"a"}, targets.Connectivity{ConnectFailures: 1, ExcludedFor: 800 * time.Millisecond}},
		"twice":               {[]string{"a", "a"}, targets.Connectivity{ConnectFailures: 2, ExcludedFor: 1600 * time.Millisecond}},
		"another target too":  {[]string{"b", "a"}, targets.Connectivity{ConnectFailures: 1, ExcludedFor: 800 * time.Millisecond, ZoneExcluded: true}},
		"unknown target only": {[]string{"d"}, targets.Connectivity{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, newTargets("a", "b", "c"), cl.now())
			for _, id := range tc.unreachable {
				dr.RecordUnreachable(id)
			}
			g.Expect(dr.Connectivity("a")).To(Equal(tc.want))
			g.Expect(dr.Connectivity("d")).To(Equal(targets.Connectivity{}))
		})
	}
}
