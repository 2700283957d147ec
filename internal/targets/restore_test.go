package targets_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// TestTargetsAfterStoreRestore guards against two faults after the store is restored from a copy that is some seconds old.
// Targets that started after the copy was made are missing from it, and were treated as gone until they wrote their entries
// again. A target that disappeared after the copy was made is listed again, and was sent requests that nobody answered.
func TestTargetsAfterStoreRestore(t *testing.T) {
	both, onlyA := []string{"a", "b"}, []string{"a"}
	tests := map[string]struct {
		events func(cl *clock, dr *targets.Directory)
		want   []string
	}{
		"a target missing from the copy accepts work during the grace period": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), onlyA), cl.now())
			cl.advance(1900 * time.Millisecond)
		}, []string{"a", "b"}},
		"a target missing from the copy is gone after the grace period": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), onlyA), cl.now())
			cl.advance(2 * time.Second)
		}, []string{"a"}},
		"a target that was gone accepts none while the copy lists it": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), both), cl.now())
		}, []string{"a"}},
		"a target that was gone accepts none while a peer lists it": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyPeerList(dr, makeTargets(inZone("near"), both), targets.Lapsed{}, cl.now())
		}, []string{"a"}},
		"a target that was gone accepts work once its entry is written": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), both), cl.now())
			applyPut(dr, inZone("near")("b"), cl.now())
		}, []string{"a", "b"}},
		"a target still listed after the quarantine accepts work": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), both), cl.now())
			cl.advance(5 * time.Second)
			applyList(dr, makeTargets(inZone("near"), both), cl.now())
		}, []string{"a", "b"}},
		"a confirmation ends the quarantine too": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyPeerList(dr, makeTargets(inZone("near"), both), targets.Lapsed{}, cl.now())
			cl.advance(5 * time.Second)
			dr.Confirm(cl.now())
		}, []string{"a", "b"}},
		"a target removed during the quarantine accepts none": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), both), cl.now())
			applyDelete(dr, "b", cl.now())
			cl.advance(5 * time.Second)
			dr.Confirm(cl.now())
		}, []string{"a"}},
		"a leaving target accepts none, whatever the copy lists": {func(cl *clock, dr *targets.Directory) {
			dr.MarkLeaving("b")
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), both), cl.now())
			cl.advance(10 * time.Second)
			applyList(dr, makeTargets(inZone("near"), both), cl.now())
		}, []string{"a"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := &clock{at: time.Unix(1_000_000, 0)}
			dr := targets.New(cl.now)
			applyList(dr, makeTargets(inZone("near"), both), cl.now())
			cl.advance(time.Second)
			tc.events(cl, dr)
			var got []string
			for _, id := range both {
				if dr.TakesWork(id) {
					got = append(got, id)
				}
			}
			g.Expect(got).To(Equal(tc.want))
		})
	}
}

func TestNewEraIsLaterWhateverItsRevision(t *testing.T) {
	g := NewWithT(t)
	dr := targets.New(time.Now)
	dr.ApplyList(nil, nil, position.Position{Revision: 480}, time.Now())
	dr.ApplyList(nil, nil, position.Position{Era: 1, Revision: 300}, time.Now())
	dr.ApplyList(nil, nil, position.Position{Revision: 500}, time.Now())
	at, _ := dr.ListPosition()
	g.Expect(at).To(Equal(position.Position{Era: 1, Revision: 300}))
}
