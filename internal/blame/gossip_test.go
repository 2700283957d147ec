package blame_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestInstancesAddUpWhatTheySaw lets each of three instances see one end.
func TestEvidenceOfAllInstancesCounts(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, b, c := newInstance(ck, 12), newInstance(ck, 12), newInstance(ck, 12)
	for no, in := range []*instance{a, b, c} {
		in.interrupt(fmt.Sprint("target-", no), true, shortRun, "fatal")
	}
	a.gossipTo(t, b, c)
	b.gossipTo(t, a, c)
	c.gossipTo(t, a, b)
	ck.advance(afterSettleDelay)
	for _, in := range []*instance{a, b, c} {
		g.Expect(in.quarantined("fatal")).To(BeTrue())
	}
}

// TestEndThatAPeerSaw lets one instance see the end of a target that broke off the runs of another.
func TestCrashDetectedByAPeerCounts(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, b := newInstance(ck, 12), newInstance(ck, 12)
	for no := range 3 {
		target := fmt.Sprint("target-", no)
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

// TestOneThatStartsHears lets an instance start after the others judged, and hear of it from one that did not see the ends.
func TestStartingInstanceLearnsQuarantinesFromAPeer(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, b, late := newInstance(ck, 12), newInstance(ck, 12), newInstance(ck, 12)
	for no := range 3 {
		a.interrupt(fmt.Sprint("target-", no), true, shortRun, "fatal")
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
		g.Expect(in.quarantined("fatal")).To(BeFalse(), "told again after its time")
	}
}

// TestWhatWasTakenBackStaysSo lets a peer that was cut off tell a judgement that the others have taken back.
func TestStaleQuarantineFromAPeerIsIgnored(t *testing.T) {
	cases := map[string]struct {
		take func(in *instance)
		// heard is set when the one that was cut off is told too, by one that did not take it back itself.
		heard bool
	}{
		"by a whole answer": {func(in *instance) { in.RecordAnswered(request("fatal")) }, false},
		"by an operator":    {func(in *instance) { in.LiftQuarantine(request("fatal")) }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ck := newClock()
			a, b, cut := newInstance(ck, 12), newInstance(ck, 12), newInstance(ck, 12)
			for no := range 3 {
				a.interrupt(fmt.Sprint("target-", no), true, shortRun, "fatal")
			}
			ck.advance(afterSettleDelay)
			g.Expect(a.quarantined("fatal")).To(BeTrue())
			a.gossipTo(t, b, cut)
			ck.advance(time.Second)
			tc.take(a)
			a.gossipTo(t, b)
			g.Expect(b.quarantined("fatal")).To(BeFalse())
			ck.advance(30 * time.Second)
			cut.gossipTo(t, a, b)
			g.Expect(a.quarantined("fatal")).To(BeFalse())
			g.Expect(b.quarantined("fatal")).To(BeFalse())
			b.gossipTo(t, cut)
			g.Expect(cut.quarantined("fatal")).To(Equal(!tc.heard))
			// It is judged again for what it does afterwards.
			for no := range 3 {
				b.interrupt(fmt.Sprint("later-", no), true, shortRun, "fatal")
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
	g.Expect(in.notifications).To(BeZero(), "nothing is known of the target yet")
	in.RecordCrash("target")
	g.Expect(in.notifications).To(Equal(1))
	in.RecordCrash("target")
	g.Expect(in.notifications).To(Equal(1))
	in.RecordAnswered(request("other"))
	g.Expect(in.notifications).To(Equal(1))
	in.RecordAnswered(request("fatal"))
	g.Expect(in.notifications).To(Equal(2))
}
