package backoff_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/backoff"
)

// testTracker is a Tracker with a manual clock and no jitter.
type testTracker struct {
	*WithT
	*backoff.Tracker
	now time.Time
}

func newTestTracker(t *testing.T) *testTracker {
	tr := &testTracker{WithT: NewWithT(t), now: time.Unix(1000, 0)}
	tr.Tracker = backoff.New(func() time.Time { return tr.now }, func() float64 { return 0 })
	return tr
}

func (tr *testTracker) begin(span time.Duration) bool { return tr.Begin("a", span, tr.now) }

func (tr *testTracker) phase() backoff.Phase {
	ph, _ := tr.Phase("a")
	return ph
}

func TestTargetIsBlockedUntilBackOffEnds(t *testing.T) {
	tr := newTestTracker(t)
	tr.Expect(tr.phase()).To(Equal(backoff.Available))
	tr.Expect(tr.begin(3 * time.Second)).To(BeTrue())
	end := tr.now.Add(3 * time.Second)
	tr.now = end.Add(-time.Nanosecond)
	tr.Expect(tr.phase()).To(Equal(backoff.Blocked))
	until, backedOff := tr.Until("a")
	tr.Expect(backedOff).To(BeTrue())
	tr.Expect(until).To(Equal(end))
	tr.now = end
	tr.Expect(tr.phase()).To(Equal(backoff.HalfOpen))
	_, backedOff = tr.Until("a")
	tr.Expect(backedOff).To(BeFalse())
	ph, _ := tr.Phase("another incarnation")
	tr.Expect(ph).To(Equal(backoff.Available))
}

func TestShorterBackOffDoesNotShortenOneInForce(t *testing.T) {
	tr := newTestTracker(t)
	tr.begin(3 * time.Second)
	tr.now = tr.now.Add(time.Second)
	tr.Expect(tr.begin(time.Second)).To(BeFalse(), "a back-off is in force already")
	tr.now = tr.now.Add(1900 * time.Millisecond)
	tr.Expect(tr.phase()).To(Equal(backoff.Blocked))
	tr.begin(time.Second)
	tr.now = tr.now.Add(900 * time.Millisecond)
	tr.Expect(tr.phase()).To(Equal(backoff.Blocked), "a back-off that ends later extends it")
}

func TestTargetRecoversGradually(t *testing.T) {
	tr := newTestTracker(t)
	tr.begin(time.Second)
	sentDuringBackOff := tr.now
	tr.now = tr.now.Add(time.Second)
	tr.RecordDispatch("a")
	tr.Expect(tr.phase()).To(Equal(backoff.Blocked), "the first probe is in flight")
	tr.RecordSuccess("a", sentDuringBackOff)
	tr.Expect(tr.phase()).To(Equal(backoff.Blocked), "an answer to a request sent during the back-off is ignored")
	sent := 1
	for tr.phase() != backoff.Available {
		tr.RecordSuccess("a", tr.now)
		for tr.phase() == backoff.HalfOpen {
			tr.RecordDispatch("a")
			sent++
		}
	}
	tr.Expect(sent).To(BeNumerically("<=", 12))
}

func TestUnansweredProbeIsFollowedByAnother(t *testing.T) {
	tr := newTestTracker(t)
	tr.begin(time.Second)
	tr.now = tr.now.Add(time.Second)
	tr.RecordDispatch("a")
	ph, retryAt := tr.Phase("a")
	tr.Expect(ph).To(Equal(backoff.Blocked))
	tr.now = retryAt
	tr.Expect(tr.phase()).To(Equal(backoff.HalfOpen))
}

func TestSecondBackOffRestartsProbing(t *testing.T) {
	tr := newTestTracker(t)
	tr.begin(time.Second)
	tr.now = tr.now.Add(time.Second)
	tr.RecordSuccess("a", tr.now)
	tr.Expect(tr.begin(time.Second)).To(BeTrue())
	tr.Expect(tr.phase()).To(Equal(backoff.Blocked))
	tr.now = tr.now.Add(time.Second)
	tr.RecordDispatch("a")
	tr.Expect(tr.phase()).To(Equal(backoff.Blocked))
}

func TestJitterSpreadsReturnOfInstances(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	ends := map[time.Time]bool{}
	for no := range 100 {
		tr := backoff.New(func() time.Time { return start }, func() float64 { return float64(no) / 100 })
		tr.Begin("a", 3*time.Second, start)
		until, _ := tr.Until("a")
		g.Expect(until).To(BeTemporally(">=", start.Add(3*time.Second)))
		g.Expect(until).To(BeTemporally("<", start.Add(3300*time.Millisecond)))
		ends[until] = true
	}
	g.Expect(len(ends)).To(BeNumerically(">=", 100))
}

func TestPruneKeepsBackOffsInForce(t *testing.T) {
	tr := newTestTracker(t)
	missing := func(string) bool { return false }
	tr.begin(time.Hour)
	tr.Prune(missing)
	tr.Expect(tr.phase()).To(Equal(backoff.Blocked), "a target that is missing may be listed again")
	tr.Expect(tr.ActiveCount()).To(Equal(1))
	tr.now = tr.now.Add(time.Hour)
	tr.Expect(tr.ActiveCount()).To(BeZero())
	tr.Prune(missing)
	tr.Expect(tr.phase()).To(Equal(backoff.Available))
}
