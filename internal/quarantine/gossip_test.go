package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestEvidenceOfAllInstancesCounts shows each of three instances one crash only.
func TestEvidenceOfAllInstancesCounts(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, b, c := newInstance(ck, 12), newInstance(ck, 12), newInstance(ck, 12)
	for i, in := range []*instance{a, b, c} {
		in.interrupt(fmt.Sprint("target-", i), true, shortRun, "fatal")
	}
	a.gossipTo(t, b, c)
	b.gossipTo(t, a, c)
	c.gossipTo(t, a, b)
	ck.advance(afterSettleDelay)
	for _, in := range []*instance{a, b, c} {
		g.Expect(in.quarantined("fatal")).To(BeTrue())
	}
}

// TestCrashDetectedByAPeerCounts lets one instance detect the crash of a target that interrupted a run of another instance.
func TestCrashDetectedByAPeerCounts(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, b := newInstance(ck, 12), newInstance(ck, 12)
	for i := range 3 {
		target := fmt.Sprint("target-", i)
		a.interrupt(target, false, shortRun, "fatal")
		b.interrupt(target, true, longRun, "other")
	}
	b.gossipTo(t, a)
	a.gossipTo(t, b)
	ck.advance(afterSettleDelay)
	g.Expect(a.quarantined("fatal")).To(BeTrue())
	g.Expect(b.quarantined("fatal")).To(BeTrue())
	g.Expect(a.quarantined("other")).To(BeFalse())
}

// TestStartingInstanceLearnsQuarantinesFromAPeer starts an instance after a quarantine. It learns of it from a peer that did not
// see the crashes.
func TestStartingInstanceLearnsQuarantinesFromAPeer(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, b, late := newInstance(ck, 12), newInstance(ck, 12), newInstance(ck, 12)
	for i := range 3 {
		a.interrupt(fmt.Sprint("target-", i), true, shortRun, "fatal")
	}
	ck.advance(afterSettleDelay)
	g.Expect(a.quarantined("fatal")).To(BeTrue())
	a.gossipTo(t, b)
	ck.advance(time.Minute)
	b.gossipTo(t, late)
	g.Expect(late.quarantined("fatal")).To(BeTrue())
	ck.advance(firstQuarantine - time.Minute)
	for _, in := range []*instance{a, b, late} {
		g.Expect(in.quarantined("fatal")).To(BeFalse())
		in.gossipTo(t, a, b, late)
	}
	for _, in := range []*instance{a, b, late} {
		g.Expect(in.quarantined("fatal")).To(BeFalse(), "an ended quarantine is not renewed by gossip")
	}
}

// TestStartingInstanceHoldsWhatPeersSuspect starts an instance whose peers have not judged their evidence yet, since no request came.
func TestStartingInstanceHoldsWhatPeersSuspect(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, late := newInstance(ck, 12), newInstance(ck, 12)
	for i := range 4 {
		a.interrupt(fmt.Sprint("target-", i), true, shortRun, "fatal")
	}
	ck.advance(3 * time.Second)
	a.gossipTo(t, late)
	dc := late.Check(request("fatal"))
	g.Expect(dc.Delay).To(BeNumerically(">", 0))
	ck.advance(dc.Delay)
	g.Expect(late.quarantined("fatal")).To(BeTrue())
}

// TestStaleQuarantineFromAPeerIsIgnored lets a peer that was cut off send a quarantine that the other instances have ended since.
func TestStaleQuarantineFromAPeerIsIgnored(t *testing.T) {
	cases := map[string]struct {
		release func(in *instance)
		// propagated is set when an instance that did not end the quarantine itself also tells the isolated peer of its end.
		propagated bool
	}{
		"by an answer":   {func(in *instance) { in.RecordAnswered(request("fatal")) }, false},
		"by an operator": {func(in *instance) { in.LiftQuarantine(request("fatal")) }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ck := newClock()
			a, b, isolated := newInstance(ck, 12), newInstance(ck, 12), newInstance(ck, 12)
			for i := range 3 {
				a.interrupt(fmt.Sprint("target-", i), true, shortRun, "fatal")
			}
			ck.advance(afterSettleDelay)
			g.Expect(a.quarantined("fatal")).To(BeTrue())
			a.gossipTo(t, b, isolated)
			ck.advance(time.Second)
			tc.release(a)
			a.gossipTo(t, b)
			g.Expect(b.quarantined("fatal")).To(BeFalse())
			ck.advance(30 * time.Second)
			isolated.gossipTo(t, a, b)
			g.Expect(a.quarantined("fatal")).To(BeFalse())
			g.Expect(b.quarantined("fatal")).To(BeFalse())
			b.gossipTo(t, isolated)
			g.Expect(isolated.quarantined("fatal")).To(Equal(!tc.propagated))
			// Crashes after the release lead to a new quarantine.
			for i := range 3 {
				b.interrupt(fmt.Sprint("later-", i), true, shortRun, "fatal")
			}
			ck.advance(afterSettleDelay)
			g.Expect(b.quarantined("fatal")).To(BeTrue())
		})
	}
}

func TestPeersAreNotifiedOnlyOfChanges(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	in.interrupt("target", false, shortRun, "fatal")
	g.Expect(in.notifications).To(BeZero(), "the target is not known to have crashed")
	in.RecordCrash("target")
	g.Expect(in.notifications).To(Equal(1))
	in.RecordCrash("target")
	g.Expect(in.notifications).To(Equal(1))
	in.RecordAnswered(request("other"))
	g.Expect(in.notifications).To(Equal(1))
	in.RecordAnswered(request("fatal"))
	g.Expect(in.notifications).To(Equal(2))
}
