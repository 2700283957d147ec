package targets_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/targets"
)

// cutOff makes two targets of the far availability zone take no connection.
func makeFarUnreachable(_ *clock, dr *targets.Directory) {
	dr.RecordUnreachable("f1")
	dr.RecordUnreachable("f2")
}

func TestAvailabilityZoneThatIsCutOff(t *testing.T) {
	near := []string{"n1", "n2"}
	probed := []string{"f1", "f2", "f3"}
	all := []string{"f1", "f2", "f3", "n1", "n2"}
	tests := map[string]struct {
		happen func(cl *clock, dr *targets.Directory)
		// any and proven are what requests of either caution may take.
		any, proven []string
	}{
		"two targets that take no connection take it out": {makeFarUnreachable, near, near},
		"one does not": {func(_ *clock, dr *targets.Directory) {
			dr.RecordUnreachable("f1")
		}, []string{"f2", "f3", "n1", "n2"}, []string{"f2", "f3", "n1", "n2"}},
		"nor does one that takes none twice": {func(_ *clock, dr *targets.Directory) {
			dr.RecordUnreachable("f1")
			dr.RecordUnreachable("f1")
		}, []string{"f2", "f3", "n1", "n2"}, []string{"f2", "f3", "n1", "n2"}},
		"nor do two beside one that answers": {func(cl *clock, dr *targets.Directory) {
			dr.RecordReachable("f3")
			makeFarUnreachable(cl, dr)
		}, []string{"f3", "n1", "n2"}, []string{"f3", "n1", "n2"}},
		"nor do two with an answer between them": {func(cl *clock, dr *targets.Directory) {
			dr.RecordSilence("f1")
			dr.RecordReachable("f1")
			cl.advance(2 * time.Second)
			dr.RecordSilence("f2")
		}, all, all},
		"two silent targets take it out": {func(cl *clock, dr *targets.Directory) {
			dr.RecordReachable("f3")
			cl.advance(1700 * time.Millisecond)
			dr.RecordSilence("f1")
			dr.RecordSilence("f2")
		}, near, near},
		"not beside one that answered within a second": {func(cl *clock, dr *targets.Directory) {
			dr.RecordReachable("f3")
			cl.advance(900 * time.Millisecond)
			dr.RecordSilence("f1")
			dr.RecordSilence("f2")
		}, all, all},
		"two lost instances take it out": {func(_ *clock, dr *targets.Directory) {
			dr.RecordPeerLoss("far", "e1")
			dr.RecordPeerLoss("far", "e2")
		}, near, near},
		"not while its targets answer": {func(_ *clock, dr *targets.Directory) {
			dr.RecordReachable("f1")
			dr.RecordPeerLoss("far", "e1")
			dr.RecordPeerLoss("far", "e2")
		}, all, all},
		"a lost instance and a silent target take it out": {func(_ *clock, dr *targets.Directory) {
			dr.RecordPeerLoss("far", "e1")
			dr.RecordSilence("f3")
		}, near, near},
		"what was long ago does not count": {func(cl *clock, dr *targets.Directory) {
			dr.RecordSilence("f1")
			cl.advance(6 * time.Second)
			dr.RecordSilence("f2")
		}, all, all},
		"it is probed after the pause": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(time.Second)
		}, probed, near},
		"by one request": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(time.Second)
			dr.RecordDispatch("f3")
		}, near, near},
		"and by another when that one has not ended in time": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(time.Second)
			dr.RecordDispatch("f3")
			cl.advance(2 * time.Second)
		}, probed, near},
		"a probe that is answered brings it back": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(time.Second)
			dr.RecordDispatch("f3")
			dr.RecordReachable("f3")
		}, all, all},
		"an answer during the pause brings all of it back": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			dr.RecordReachable("f3")
		}, all, all},
		"a probe that fails lengthens the pause": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(time.Second)
			dr.RecordDispatch("f3")
			dr.RecordSilence("f3")
			cl.advance(1500 * time.Millisecond)
		}, near, near},
		"up to its bound": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			for range 20 {
				cl.advance(2400 * time.Millisecond)
				dr.RecordDispatch("f3")
				dr.RecordSilence("f3")
			}
			cl.advance(2400 * time.Millisecond)
		}, probed, near},
		"what was under way when it was cut off does not": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(500 * time.Millisecond)
			dr.RecordSilence("f3")
			cl.advance(400 * time.Millisecond)
		}, probed, near},
		"it comes back when nobody probes it": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(6 * time.Second)
		}, all, all},
		"all are tried when all are cut off": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			dr.RecordUnreachable("n1")
			dr.RecordUnreachable("n2")
		}, all, all},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cl := newClock()
			dr := targets.New(cl.now)
			applyList(dr, twoZones(near, []string{"f1", "f2", "f3"}), cl.now())
			tc.happen(cl, dr)
			g.Expect(idsOf(dr.Usable("s", targets.AllowProbe))).To(Equal(tc.any))
			g.Expect(idsOf(dr.Usable("s", targets.RequireReachable))).To(Equal(tc.proven))
		})
	}
}
