package blame_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/blame"
)

// storm ends three targets under a request while others end too, so that neither is shown to be the cause.
func storm(in *instance, name string) {
	for no := range 12 {
		in.broke(fmt.Sprint("other-", no), true, lasting, fmt.Sprint("other-", no))
		in.ck.pass(100 * time.Millisecond)
	}
	for no := range 3 {
		in.broke(fmt.Sprint("target-", no), true, brief, name)
	}
}

// TestRequestOnTrialIsRunSeldom looks at a request that may end targets, at each of its trials.
func TestRequestOnTrialIsRunSeldom(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	storm(in, "doubtful")
	for no, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		vd := in.Check(request("doubtful"))
		g.Expect(vd).To(Equal(blame.Decision{Crashes: 3 + no, Delay: pause}))
		in.ck.pass(pause)
		g.Expect(in.Check(request("doubtful")).Delay).To(BeZero(), "trial %d", no)
		g.Expect(in.Check(request("doubtful")).Delay).To(Equal(2*pause), "one run a trial")
		in.ck.pass(brief)
		_, judged := in.Quarantined(request("doubtful"))
		g.Expect(judged).To(BeFalse())
		in.broke(fmt.Sprint("trial-", no), true, lasting, "doubtful")
	}
}

// TestRequestOnTrialIsClearedByAnAnswer has a trial of a request answered whole.
func TestRequestOnTrialIsClearedByAnAnswer(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	storm(in, "harmless")
	in.ck.pass(in.Check(request("harmless")).Delay)
	g.Expect(in.Check(request("harmless")).Delay).To(BeZero())
	in.RecordAnswered(request("harmless"))
	g.Expect(in.Check(request("harmless"))).To(Equal(blame.Decision{}))
}

// TestJudgedTakesNoTrial asks again and again whether a request is judged.
func TestJudgedTakesNoTrial(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	storm(in, "doubtful")
	in.ck.pass(in.Check(request("doubtful")).Delay)
	for range 5 {
		ends, judged := in.Quarantined(request("doubtful"))
		g.Expect(ends).To(BeZero())
		g.Expect(judged).To(BeFalse())
	}
	g.Expect(in.Check(request("doubtful")).Delay).To(BeZero())
}
