package targets_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/targets"
)

// inZone makes targets of an availability zone.
func inZone(zone string) func(string) targets.Target {
	return func(id string) targets.Target {
		return targets.Target{ID: id, Service: "s", Address: id + ".example:80", AvailabilityZone: zone}
	}
}

// twoZones lists two targets near and two far.
func twoZones(near, far []string) []targets.Target {
	return append(makeTargets(inZone("near"), near), makeTargets(inZone("far"), far)...)
}

func TestEntriesThatLapseWhileTheStoreIsAway(t *testing.T) {
	n1n2, f1f2 := []string{"n1", "n2"}, []string{"f1", "f2"}
	tests := map[string]struct {
		happen func(cl *clock, dr *targets.Directory)
		want   []string
	}{
		"keep their targets for two seconds of the return": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			cl.advance(1900 * time.Millisecond)
		}, []string{"f1", "f2", "n1", "n2"}},
		"and no longer, however many they are": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			cl.advance(2 * time.Second)
		}, nil},
		"the time runs from the question that was answered": {func(cl *clock, dr *targets.Directory) {
			asked := cl.now()
			cl.advance(time.Second)
			dr.RecordStoreRecovery(asked)
			applyList(dr, nil, asked)
			cl.advance(time.Second)
		}, nil},
		"one that goes later has no more time": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, twoZones(n1n2, f1f2), cl.now())
			cl.advance(1500 * time.Millisecond)
			applyDelete(dr, "n1", cl.now())
			cl.advance(500 * time.Millisecond)
		}, []string{"f1", "f2", "n2"}},
		"one that goes after that is gone at once": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, twoZones(n1n2, f1f2), cl.now())
			cl.advance(2 * time.Second)
			applyDelete(dr, "n1", cl.now())
		}, []string{"f1", "f2", "n2"}},
		"one that takes no connection gets nothing": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			dr.RecordUnreachable("n1")
		}, []string{"f1", "f2", "n2"}},
		"one whose availability zone was not heard since gets nothing": {func(cl *clock, dr *targets.Directory) {
			cl.advance(time.Second)
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, twoZones(n1n2, nil), cl.now())
			dr.RecordStoreFailure()
			cl.advance(time.Second)
			dr.RecordReachable("n1")
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, twoZones([]string{"n1"}, nil), cl.now())
		}, []string{"n1", "n2"}},
		"but when there is no other": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			for _, id := range []string{"f1", "f2", "n1", "n2"} {
				dr.RecordUnreachable(id)
			}
		}, []string{"f1", "f2", "n1", "n2"}},
		"one that is leaving gets nothing": {func(cl *clock, dr *targets.Directory) {
			dr.MarkLeaving("n1")
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
		}, []string{"f1", "f2", "n2"}},
		"one that a peer with a sound store misses is gone": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, twoZones(n1n2, []string{"f1"}), targets.Lapsed{}, cl.now())
		}, []string{"f1", "n1", "n2"}},
		"also when the own store is just back": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRecovery(cl.now())
			applyPeerList(dr, twoZones(n1n2, []string{"f1"}), targets.Lapsed{}, cl.now())
		}, []string{"f1", "n1", "n2"}},
		"one that a peer misses whose store is just back has the time that the peer has": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, twoZones(n1n2, []string{"f1"}), targets.Lapsed{GraceLeft: time.Second}, cl.now())
			cl.advance(900 * time.Millisecond)
		}, []string{"f1", "f2", "n1", "n2"}},
		"and no more": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, twoZones(n1n2, []string{"f1"}), targets.Lapsed{GraceLeft: time.Second}, cl.now())
			cl.advance(time.Second)
		}, []string{"f1", "n1", "n2"}},
		"one that was gone before is not made a lapse by a peer": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, twoZones(n1n2, []string{"f1"}), targets.Lapsed{}, cl.now())
			told := targets.Lapsed{Targets: makeTargets(inZone("far"), []string{"f2"}), GraceLeft: time.Second}
			applyPeerList(dr, twoZones(n1n2, []string{"f1"}), told, cl.now())
		}, []string{"f1", "n1", "n2"}},
		"one that is first heard of from a peer takes work": {func(cl *clock, dr *targets.Directory) {
			told := targets.Lapsed{Targets: makeTargets(inZone("far"), []string{"f3"}), GraceLeft: time.Second}
			applyPeerList(dr, twoZones(n1n2, f1f2), told, cl.now())
		}, []string{"f1", "f2", "f3", "n1", "n2"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, twoZones(n1n2, f1f2), cl.now())
			dr.RecordStoreFailure()
			cl.advance(time.Second)
			dr.RecordReachable("n1")
			dr.RecordReachable("f1")
			tc.happen(cl, dr)
			g.Expect(idsOf(dr.Usable("s", targets.AllowProbe))).To(Equal(tc.want))
		})
	}
}

func TestLapsesAreToldToPeers(t *testing.T) {
	tests := map[string]struct {
		happen func(cl *clock, dr *targets.Directory)
		left   time.Duration
		want   []string
	}{
		"nothing while the store is well": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "a", cl.now())
		}, 0, nil},
		"after a return": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreFailure()
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			cl.advance(time.Second)
		}, time.Second, []string{"a"}},
		"nothing later": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreFailure()
			dr.RecordStoreRecovery(cl.now())
			applyList(dr, nil, cl.now())
			cl.advance(3 * time.Second)
		}, 0, nil},
		"what a peer told": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, nil, targets.Lapsed{GraceLeft: time.Second}, cl.now())
		}, time.Second, []string{"a"}},
		"never more than a return gives": {func(cl *clock, dr *targets.Directory) {
			applyPeerList(dr, nil, targets.Lapsed{GraceLeft: time.Minute}, cl.now())
		}, 2 * time.Second, []string{"a"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, newTargets("a"), cl.now())
			tc.happen(cl, dr)
			la := dr.Lapsed()
			g.Expect(la.GraceLeft).To(Equal(tc.left))
			g.Expect(idsOf(la.Targets)).To(Equal(tc.want))
		})
	}
}
