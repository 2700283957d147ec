package targets_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// TestRestoredStoreAndTargets.
//
// The store came back from a copy some seconds old. Targets that had started since were missing there, and were taken for gone,
// until they had written themselves in again. One that had gone since was listed again, and was sent requests which nobody answered.
func TestRestoredStoreAndTargets(t *testing.T) {
	copied, lacks := []string{"a", "b"}, []string{"a"}
	tests := map[string]struct {
		happen func(cl *clock, dr *targets.Directory)
		want   []string
	}{
		"one that the copy lacks takes work until it is written again": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), lacks), cl.now())
			cl.advance(1900 * time.Millisecond)
		}, []string{"a", "b"}},
		"and is gone when it is not": {func(cl *clock, dr *targets.Directory) {
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), lacks), cl.now())
			cl.advance(2 * time.Second)
		}, []string{"a"}},
		"one that had gone takes none while the copy lists it": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), copied), cl.now())
		}, []string{"a"}},
		"nor when a peer lists it": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyPeerList(dr, makeTargets(inZone("near"), copied), targets.Lapsed{}, cl.now())
		}, []string{"a"}},
		"it does again once its entry is written": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), copied), cl.now())
			applyPut(dr, inZone("near")("b"), cl.now())
		}, []string{"a", "b"}},
		"or once it is still listed when entries that nobody writes are gone": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), copied), cl.now())
			cl.advance(5 * time.Second)
			applyList(dr, makeTargets(inZone("near"), copied), cl.now())
		}, []string{"a", "b"}},
		"whoever tells that the list is the same": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyPeerList(dr, makeTargets(inZone("near"), copied), targets.Lapsed{}, cl.now())
			cl.advance(5 * time.Second)
			dr.Confirm(cl.now())
		}, []string{"a", "b"}},
		"but not one whose entry has gone meanwhile": {func(cl *clock, dr *targets.Directory) {
			applyDelete(dr, "b", cl.now())
			cl.advance(time.Second)
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), copied), cl.now())
			applyDelete(dr, "b", cl.now())
			cl.advance(5 * time.Second)
			dr.Confirm(cl.now())
		}, []string{"a"}},
		"one that said it leaves takes none, whatever the copy says": {func(cl *clock, dr *targets.Directory) {
			dr.MarkLeaving("b")
			dr.RecordStoreRestore(1, cl.now())
			applyList(dr, makeTargets(inZone("near"), copied), cl.now())
			cl.advance(10 * time.Second)
			applyList(dr, makeTargets(inZone("near"), copied), cl.now())
		}, []string{"a"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := &clock{at: time.Unix(1_000_000, 0)}
			dr := targets.New(cl.now)
			applyList(dr, makeTargets(inZone("near"), copied), cl.now())
			cl.advance(time.Second)
			tc.happen(cl, dr)
			var got []string
			for _, id := range copied {
				if dr.TakesWork(id) {
					got = append(got, id)
				}
			}
			g.Expect(got).To(Equal(tc.want))
		})
	}
}

func TestRestoredStoreIsLaterWhateverItsRevision(t *testing.T) {
	g := NewWithT(t)
	dr := targets.New(time.Now)
	dr.ApplyList(nil, nil, position.Position{Revision: 480}, time.Now())
	dr.ApplyList(nil, nil, position.Position{Era: 1, Revision: 300}, time.Now())
	dr.ApplyList(nil, nil, position.Position{Revision: 500}, time.Now())
	at, _ := dr.ListPosition()
	g.Expect(at).To(Equal(position.Position{Era: 1, Revision: 300}))
}
