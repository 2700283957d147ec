package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/quarantine"
)

// crashBurst crashes three targets that run a request while other targets crash too, so that the evidence does not suffice for a
// quarantine of the request.
func crashBurst(in *instance, name string) {
	for i := range 12 {
		in.interrupt(fmt.Sprint("other-", i), true, longRun, fmt.Sprint("other-", i))
		in.ck.advance(100 * time.Millisecond)
	}
	for i := range 3 {
		in.interrupt(fmt.Sprint("target-", i), true, shortRun, name)
	}
}

// TestRequestOnProbationIsProbedWithBackOff checks the interval before each probe of a request that may crash its targets.
func TestRequestOnProbationIsProbedWithBackOff(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	crashBurst(in, "doubtful")
	for i, interval := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		dc := in.Check(request("doubtful"))
		g.Expect(dc).To(Equal(quarantine.Decision{Crashes: 3 + i, Delay: interval}))
		in.ck.advance(interval)
		g.Expect(in.Check(request("doubtful")).Delay).To(BeZero(), "probe %d", i)
		g.Expect(in.Check(request("doubtful")).Delay).To(Equal(2*interval), "one run per probe")
		in.ck.advance(shortRun)
		_, quarantined := in.Quarantined(request("doubtful"))
		g.Expect(quarantined).To(BeFalse())
		in.interrupt(fmt.Sprint("trial-", i), true, longRun, "doubtful")
	}
}

// TestRequestOnProbationIsClearedByAnAnswer answers a probe completely.
func TestRequestOnProbationIsClearedByAnAnswer(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	crashBurst(in, "harmless")
	in.ck.advance(in.Check(request("harmless")).Delay)
	g.Expect(in.Check(request("harmless")).Delay).To(BeZero())
	in.RecordAnswered(request("harmless"))
	g.Expect(in.Check(request("harmless"))).To(Equal(quarantine.Decision{}))
}

// TestQuarantinedSendsNoProbe guards against calls of Quarantined that use up the next probe of a request.
func TestQuarantinedSendsNoProbe(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	crashBurst(in, "doubtful")
	in.ck.advance(in.Check(request("doubtful")).Delay)
	for range 5 {
		crashes, quarantined := in.Quarantined(request("doubtful"))
		g.Expect(crashes).To(BeZero())
		g.Expect(quarantined).To(BeFalse())
	}
	g.Expect(in.Check(request("doubtful")).Delay).To(BeZero())
}
