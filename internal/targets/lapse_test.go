package targets_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// inZone returns a constructor of targets in an availability zone.
func inZone(zone string) func(string) targets.Target {
	return func(id string) targets.Target {
		return targets.Target{ID: id, Service: "s", Address: id + ".example:80", AvailabilityZone: zone}
	}
}

// twoZones returns targets in the availability zones "near" and "far".
func twoZones(near, far []string) []targets.Target {
	return append(makeTargets(inZone("near"), near), makeTargets(inZone("far"), far)...)
}

func TestEntriesThatLapseInStoreOutage(t *testing.T) {
	near, far := []string{"n1", "n2"}, []string{"f1", "f2"}
	tests := map[string]struct {
		events func(cl *clock, dr *targets.Directory)
		want   []string
	}{
		"targets accept work during the grace period": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			cl.advance(1900 * time.Millisecond)
		}, []string{"f1", "f2", "n1", "n2"}},
		"no target accepts work after the grace period": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			cl.advance(2 * time.Second)
		}, nil},
		"the grace period starts when the answered call was made": {func(cl *clock, dr *targets.Directory) {
			callAt := cl.now()
			cl.advance(time.Second)
			dr.RecordStoreRecovery(callAt)
			applyList(dr, nil, callAt)
			cl.advance(time.Second)
		}, nil},
		"an entry that disappears during the grace period does not extend it": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, twoZones(near, far), cl.now())
			cl.advance(1500 * time.Millisecond)
			applyDelete(dr, "n1", cl.now())
			cl.advance(500 * time.Millisecond)
		}, []string{"f1", "f2", "n2"}},
		"an entry that disappears after the grace period is gone at once": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, twoZones(near, far), cl.now())
			cl.advance(2 * time.Second)
			applyDelete(dr, "n1", cl.now())
		}, []string{"f1", "f2", "n2"}},
		"an outage that was over for peers long ago grants no grace period": {func(cl *clock, dr *targets.Directory) {
			dr.Confirm(cl.now())
			cl.advance(time.Minute)
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, twoZones([]string{"n1"}, far), cl.now())
		}, []string{"f1", "f2", "n1"}},
		"the grace period starts when peers confirm the list": {func(cl *clock, dr *targets.Directory) {
			dr.Confirm(cl.now())
			cl.advance(1900 * time.Millisecond)
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, twoZones([]string{"n1"}, far), cl.now())
		}, []string{"f1", "f2", "n1", "n2"}},
		"a confirmation from before the outage does not end it": {func(cl *clock, dr *targets.Directory) {
			dr.Confirm(cl.now().Add(-time.Second))
			cl.advance(time.Minute)
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			cl.advance(1900 * time.Millisecond)
		}, []string{"f1", "f2", "n1", "n2"}},
		"an unreachable target is not used": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			dr.RecordUnreachable("n1")
		}, []string{"f1", "f2", "n2"}},
		"a zone without an answer since the outage is not used": {func(cl *clock, dr *targets.Directory) {
			cl.advance(time.Second)
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, twoZones(near, nil), cl.now())
			dr.RecordStoreFailure()
			cl.advance(time.Second)
			dr.RecordReachable("n1")
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, twoZones([]string{"n1"}, nil), cl.now())
		}, []string{"n1", "n2"}},
		"unreachable targets are used when there is no other": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			for _, id := range []string{"f1", "f2", "n1", "n2"} {
				dr.RecordUnreachable(id)
			}
		}, []string{"f1", "f2", "n1", "n2"}},
		"a leaving target is not used": {func(cl *clock, dr *targets.Directory) {
			dr.MarkLeaving("n1")
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
		}, []string{"f1", "f2", "n2"}},
		"an entry missing at a peer without an outage is gone": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, twoZones(near, []string{"f1"}), targets.Lapsed{}, cl.now())
		}, []string{"f1", "n1", "n2"}},
		"an entry missing at a peer without an outage is gone despite an own outage": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyPeerList(dr, twoZones(near, []string{"f1"}), targets.Lapsed{}, cl.now())
		}, []string{"f1", "n1", "n2"}},
		"an entry missing at a peer after an outage gets the peer's grace period": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, twoZones(near, []string{"f1"}), targets.Lapsed{GraceLeft: time.Second}, cl.now())
			cl.advance(900 * time.Millisecond)
		}, []string{"f1", "f2", "n1", "n2"}},
		"an entry missing at a peer is gone after the peer's grace period": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, twoZones(near, []string{"f1"}), targets.Lapsed{GraceLeft: time.Second}, cl.now())
			cl.advance(time.Second)
		}, []string{"f1", "n1", "n2"}},
		"a peer does not make a lapse of a target that was gone before": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, twoZones(near, []string{"f1"}), targets.Lapsed{}, cl.now())
			lapsed := targets.Lapsed{Targets: makeTargets(inZone("far"), []string{"f2"}), GraceLeft: time.Second}
			applyPeerList(dr, twoZones(near, []string{"f1"}), lapsed, cl.now())
		}, []string{"f1", "n1", "n2"}},
		"a lapsed target first reported by a peer accepts work": {func(cl *clock, dr *targets.Directory) {
			lapsed := targets.Lapsed{Targets: makeTargets(inZone("far"), []string{"f3"}), GraceLeft: time.Second}
			applyPeerList(dr, twoZones(near, far), lapsed, cl.now())
		}, []string{"f1", "f2", "f3", "n1", "n2"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, twoZones(near, far), cl.now())
			dr.RecordStoreFailure()
			cl.advance(time.Second)
			dr.RecordReachable("n1")
			dr.RecordReachable("f1")
			tc.events(cl, dr)
			g.Expect(idsOf(dr.Usable("s", targets.AllowProbe))).To(Equal(tc.want))
		})
	}
}

// TestLapsedTargetOfPeerIsNotListed guards against requests to a target that left long ago: a peer reports it as lapsed beside its list or
// the changes of its list, and the instance, which listed the targets after it had left, takes it for a listed one for good.
func TestLapsedTargetOfPeerIsNotListed(t *testing.T) {
	at := func(revision int64) position.Position { return position.Position{Revision: revision} }
	updates := map[string]func(dr *targets.Directory, la targets.Lapsed, now time.Time) []targets.Change{
		"list": func(dr *targets.Directory, la targets.Lapsed, now time.Time) []targets.Change {
			return dr.ApplyPeerList(newTargets("a", "b"), la, at(7), now)
		},
		"changes": func(dr *targets.Directory, la targets.Lapsed, now time.Time) []targets.Change {
			return dr.ApplyPeerChanges(targets.PeerChanges{Since: at(5), At: at(7), Changed: newTargets("b")}, la, now)
		},
		"changes that remove it": func(dr *targets.Directory, la targets.Lapsed, now time.Time) []targets.Change {
			return dr.ApplyPeerChanges(targets.PeerChanges{Since: at(5), At: at(7), Changed: newTargets("b"), Removed: []string{"gone"}}, la, now)
		},
	}
	const grace = 1500 * time.Millisecond
	lapsed := targets.Lapsed{Targets: newTargets("gone"), GraceLeft: grace}
	for name, update := range updates {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			dr.ApplyList(newTargets("a"), nil, at(5), cl.now())
			changes := update(dr, lapsed, cl.now())
			g.Expect(changes).To(ContainElement(targets.Change{Target: newTargets("gone")[0], Kind: "lapsed", Grace: grace}))
			g.Expect(dr.Len()).To(Equal(2), "it is not listed")
			cl.advance(grace - 1)
			g.Expect(dr.TakesWork("gone")).To(BeTrue())
			cl.advance(1)
			g.Expect(dr.TakesWork("gone")).To(BeFalse())
			g.Expect(idsOf(dr.Usable("s", targets.AllowProbe))).To(Equal([]string{"a", "b"}))
			pc, known := dr.ChangesSince(at(6))
			g.Expect(!known || slices.Contains(pc.Removed, "gone")).To(BeTrue(), "peers learn that it has no entry")
		})
	}
	t.Run("no grace left", func(t *testing.T) {
		g := NewWithT(t)
		cl := newClock()
		dr := targets.New(cl.now)
		dr.ApplyList(newTargets("a"), nil, at(5), cl.now())
		updates["changes"](dr, targets.Lapsed{Targets: newTargets("gone")}, cl.now())
		g.Expect(dr.TakesWork("gone")).To(BeFalse())
	})
}

func TestLapsedTargetsForPeers(t *testing.T) {
	tests := map[string]struct {
		events    func(cl *clock, dr *targets.Directory)
		graceLeft time.Duration
		want      []string
	}{
		"nothing without an outage": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "a", cl.now())
		}, 0, nil},
		"after a recovery": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreFailure()
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			cl.advance(time.Second)
		}, time.Second, []string{"a"}},
		"nothing after an outage of this instance alone": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreFailure()
			cl.advance(time.Second)
			dr.Confirm(cl.now())
			applyPeerList(dr, nil, targets.Lapsed{}, cl.now())
		}, 0, nil},
		"nothing after the grace period": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreFailure()
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			cl.advance(3 * time.Second)
		}, 0, nil},
		"grace period of a peer": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, nil, targets.Lapsed{GraceLeft: time.Second}, cl.now())
		}, time.Second, []string{"a"}},
		"grace period of a peer is bounded": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, nil, targets.Lapsed{GraceLeft: time.Minute}, cl.now())
		}, 2 * time.Second, []string{"a"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, newTargets("a"), cl.now())
			tc.events(cl, dr)
			la := dr.Lapsed()
			g.Expect(la.GraceLeft).To(Equal(tc.graceLeft))
			g.Expect(idsOf(la.Targets)).To(Equal(tc.want))
		})
	}
}
