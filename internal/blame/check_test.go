package blame_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/blame"
)

// storm ends three targets under a request while others end too, so that neither is shown to be the cause.
func crashBurst(in *instance, name string) {
	for no := range 12 {
		in.interrupt(fmt.Sprint("other-", no), true, longRun, fmt.Sprint("other-", no))
		in.ck.advance(100 * time.Millisecond)
	}
	for no := range 3 {
		in.interrupt(fmt.Sprint("target-", no), true, shortRun, name)
	}
}

// TestRequestOnTrialIsRunSeldom looks at a request that may end targets, at each of its trials.
func TestRequestOnProbationIsProbedWithBackOff(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	crashBurst(in, "doubtful")
	for no, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		vd := in.Check(request("doubtful"))
		g.Expect(vd).To(Equal(blame.Decision{Crashes: 3 + no, Delay: pause}))
		in.ck.advance(pause)
		g.Expect(in.Check(request("doubtful")).Delay).To(BeZero(), "trial %d", no)
		g.Expect(in.Check(request("doubtful")).Delay).To(Equal(2*pause), "one run a trial")
		in.ck.advance(shortRun)
		_, judged := in.Quarantined(request("doubtful"))
		g.Expect(judged).To(BeFalse())
		in.interrupt(fmt.Sprint("trial-", no), true, longRun, "doubtful")
	}
}

// TestRequestOnTrialIsClearedByAnAnswer has a trial of a request answered whole.
func TestRequestOnProbationIsClearedByAnAnswer(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	crashBurst(in, "harmless")
	in.ck.advance(in.Check(request("harmless")).Delay)
	g.Expect(in.Check(request("harmless")).Delay).To(BeZero())
	in.RecordAnswered(request("harmless"))
	g.Expect(in.Check(request("harmless"))).To(Equal(blame.Decision{}))
}

// TestJudgedTakesNoTrial asks again and again whether a request is judged.
func TestQuarantinedSendsNoProbe(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	crashBurst(in, "doubtful")
	in.ck.advance(in.Check(request("doubtful")).Delay)
	for range 5 {
		ends, judged := in.Quarantined(request("doubtful"))
		g.Expect(ends).To(BeZero())
		g.Expect(judged).To(BeFalse())
	}
	g.Expect(in.Check(request("doubtful")).Delay).To(BeZero())
}
