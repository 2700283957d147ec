package targets_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/targets"
)

// makeFarUnreachable makes two targets of the far availability zone unreachable.
func makeFarUnreachable(_ *clock, dr *targets.Directory) {
	dr.RecordUnreachable("f1")
	dr.RecordUnreachable("f2")
}

func TestExclusionOfUnreachableZone(t *testing.T) {
	near := []string{"n1", "n2"}
	probes := []string{"f1", "f2", "f3"}
	all := []string{"f1", "f2", "f3", "n1", "n2"}
	tests := map[string]struct {
		events func(cl *clock, dr *targets.Directory)
		// allowProbe and reachable are the usable targets for requests of either caution.
		allowProbe, reachable []string
	}{
		"two unreachable targets exclude the zone": {makeFarUnreachable, near, near},
		"one unreachable target does not exclude the zone": {func(_ *clock, dr *targets.Directory) {
			dr.RecordUnreachable("f1")
		}, []string{"f2", "f3", "n1", "n2"}, []string{"f2", "f3", "n1", "n2"}},
		"one target unreachable twice does not exclude the zone": {func(_ *clock, dr *targets.Directory) {
			dr.RecordUnreachable("f1")
			dr.RecordUnreachable("f1")
		}, []string{"f2", "f3", "n1", "n2"}, []string{"f2", "f3", "n1", "n2"}},
		"two unreachable targets beside one that just answered": {func(cl *clock, dr *targets.Directory) {
			dr.RecordReachable("f3")
			makeFarUnreachable(cl, dr)
		}, []string{"f3", "n1", "n2"}, []string{"f3", "n1", "n2"}},
		"two silent targets with an answer between them": {func(cl *clock, dr *targets.Directory) {
			dr.RecordSilence("f1")
			dr.RecordReachable("f1")
			cl.advance(2 * time.Second)
			dr.RecordSilence("f2")
		}, all, all},
		"two silent targets exclude the zone": {func(cl *clock, dr *targets.Directory) {
			dr.RecordReachable("f3")
			cl.advance(1700 * time.Millisecond)
			dr.RecordSilence("f1")
			dr.RecordSilence("f2")
		}, near, near},
		"two silent targets beside one that answered within a second": {func(cl *clock, dr *targets.Directory) {
			dr.RecordReachable("f3")
			cl.advance(900 * time.Millisecond)
			dr.RecordSilence("f1")
			dr.RecordSilence("f2")
		}, all, all},
		"two lost instances exclude the zone": {func(_ *clock, dr *targets.Directory) {
			dr.RecordPeerLoss("far", "e1")
			dr.RecordPeerLoss("far", "e2")
		}, near, near},
		"two lost instances while targets of the zone answer": {func(_ *clock, dr *targets.Directory) {
			dr.RecordReachable("f1")
			dr.RecordPeerLoss("far", "e1")
			dr.RecordPeerLoss("far", "e2")
		}, all, all},
		"a lost instance and a silent target exclude the zone": {func(_ *clock, dr *targets.Directory) {
			dr.RecordPeerLoss("far", "e1")
			dr.RecordSilence("f3")
		}, near, near},
		"failures outside the window do not count": {func(cl *clock, dr *targets.Directory) {
			dr.RecordSilence("f1")
			cl.advance(6 * time.Second)
			dr.RecordSilence("f2")
		}, all, all},
		"the zone is probed after the pause": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(time.Second)
		}, probes, near},
		"only one probe is sent at a time": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(time.Second)
			dr.RecordDispatch("f3")
		}, near, near},
		"another probe is sent after the probe timeout": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(time.Second)
			dr.RecordDispatch("f3")
			cl.advance(2 * time.Second)
		}, probes, near},
		"an answered probe ends the exclusion": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(time.Second)
			dr.RecordDispatch("f3")
			dr.RecordReachable("f3")
		}, all, all},
		"an answer during the pause ends the exclusion": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			dr.RecordReachable("f3")
		}, all, all},
		"a failed probe lengthens the pause": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(time.Second)
			dr.RecordDispatch("f3")
			dr.RecordSilence("f3")
			cl.advance(1500 * time.Millisecond)
		}, near, near},
		"the pause is bounded": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			for range 20 {
				cl.advance(2400 * time.Millisecond)
				dr.RecordDispatch("f3")
				dr.RecordSilence("f3")
			}
			cl.advance(2400 * time.Millisecond)
		}, probes, near},
		"a failure during the pause does not lengthen it": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(500 * time.Millisecond)
			dr.RecordSilence("f3")
			cl.advance(400 * time.Millisecond)
		}, probes, near},
		"an unprobed zone is taken as reachable after a while": {func(cl *clock, dr *targets.Directory) {
			makeFarUnreachable(cl, dr)
			cl.advance(6 * time.Second)
		}, all, all},
		"all targets are usable when all zones are excluded": {func(cl *clock, dr *targets.Directory) {
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
			tc.events(cl, dr)
			g.Expect(idsOf(dr.Usable("s", targets.AllowProbe))).To(Equal(tc.allowProbe))
			g.Expect(idsOf(dr.Usable("s", targets.RequireReachable))).To(Equal(tc.reachable))
		})
	}
}
