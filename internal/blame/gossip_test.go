package blame_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestInstancesAddUpWhatTheySaw lets each of three instances see one end.
func TestInstancesAddUpWhatTheySaw(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, b, c := newInstance(ck, 12), newInstance(ck, 12), newInstance(ck, 12)
	for no, in := range []*instance{a, b, c} {
		in.broke(fmt.Sprint("target-", no), true, brief, "fatal")
	}
	a.tell(t, b, c)
	b.tell(t, a, c)
	c.tell(t, a, b)
	ck.pass(settled)
	for _, in := range []*instance{a, b, c} {
		g.Expect(in.judged("fatal")).To(BeTrue())
	}
}

// TestEndThatAPeerSaw lets one instance see the end of a target that broke off the runs of another.
func TestEndThatAPeerSaw(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, b := newInstance(ck, 12), newInstance(ck, 12)
	for no := range 3 {
		target := fmt.Sprint("target-", no)
		a.broke(target, false, brief, "fatal")
		b.broke(target, true, lasting, "other")
	}
	b.tell(t, a)
	a.tell(t, b)
	ck.pass(settled)
	g.Expect(a.judged("fatal")).To(BeTrue())
	g.Expect(b.judged("fatal")).To(BeTrue())
	g.Expect(a.judged("other")).To(BeFalse())
}

// TestOneThatStartsHears lets an instance start after the others judged, and hear of it from one that did not see the ends.
func TestOneThatStartsHears(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, b, late := newInstance(ck, 12), newInstance(ck, 12), newInstance(ck, 12)
	for no := range 3 {
		a.broke(fmt.Sprint("target-", no), true, brief, "fatal")
	}
	ck.pass(settled)
	g.Expect(a.judged("fatal")).To(BeTrue())
	a.tell(t, b)
	ck.pass(time.Minute)
	b.tell(t, late)
	g.Expect(late.judged("fatal")).To(BeTrue())
	ck.pass(lapse - time.Minute)
	for _, in := range []*instance{a, b, late} {
		g.Expect(in.judged("fatal")).To(BeFalse())
		in.tell(t, a, b, late)
	}
	for _, in := range []*instance{a, b, late} {
		g.Expect(in.judged("fatal")).To(BeFalse(), "told again after its time")
	}
}

// TestWhatWasTakenBackStaysSo lets a peer that was cut off tell a judgement that the others have taken back.
func TestWhatWasTakenBackStaysSo(t *testing.T) {
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
				a.broke(fmt.Sprint("target-", no), true, brief, "fatal")
			}
			ck.pass(settled)
			g.Expect(a.judged("fatal")).To(BeTrue())
			a.tell(t, b, cut)
			ck.pass(time.Second)
			tc.take(a)
			a.tell(t, b)
			g.Expect(b.judged("fatal")).To(BeFalse())
			ck.pass(30 * time.Second)
			cut.tell(t, a, b)
			g.Expect(a.judged("fatal")).To(BeFalse())
			g.Expect(b.judged("fatal")).To(BeFalse())
			b.tell(t, cut)
			g.Expect(cut.judged("fatal")).To(Equal(!tc.heard))
			// It is judged again for what it does afterwards.
			for no := range 3 {
				b.broke(fmt.Sprint("later-", no), true, brief, "fatal")
			}
			ck.pass(settled)
			g.Expect(b.judged("fatal")).To(BeTrue())
		})
	}
}

func TestPeersHearOfWhatIsNew(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	in.broke("target", false, brief, "fatal")
	g.Expect(in.news).To(BeZero(), "nothing is known of the target yet")
	in.RecordCrash("target")
	g.Expect(in.news).To(Equal(1))
	in.RecordCrash("target")
	g.Expect(in.news).To(Equal(1))
	in.RecordAnswered(request("other"))
	g.Expect(in.news).To(Equal(1))
	in.RecordAnswered(request("fatal"))
	g.Expect(in.news).To(Equal(2))
}
