package backoff_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/backoff"
)

// clockedBook is a book on a clock that a test moves, without spread.
type testTracker struct {
	*WithT
	*backoff.Tracker
	now time.Time
}

func newTestTracker(t *testing.T) *testTracker {
	cb := &testTracker{WithT: NewWithT(t), now: time.Unix(1000, 0)}
	cb.Tracker = backoff.New(func() time.Time { return cb.now }, func() float64 { return 0 })
	return cb
}

func (tt *testTracker) ask(span time.Duration) bool { return tt.Begin("a", span, tt.now) }

func (tt *testTracker) phase() backoff.Phase {
	ph, _ := tt.Phase("a")
	return ph
}

func TestBackOffBindsUntilItsEnd(t *testing.T) {
	cb := newTestTracker(t)
	cb.Expect(cb.phase()).To(Equal(backoff.Available))
	cb.Expect(cb.ask(3 * time.Second)).To(BeTrue())
	end := cb.now.Add(3 * time.Second)
	cb.now = end.Add(-time.Nanosecond)
	cb.Expect(cb.phase()).To(Equal(backoff.Blocked))
	until, backedOff := cb.Until("a")
	cb.Expect(backedOff).To(BeTrue())
	cb.Expect(until).To(Equal(end))
	cb.now = end
	cb.Expect(cb.phase()).To(Equal(backoff.HalfOpen))
	_, backedOff = cb.Until("a")
	cb.Expect(backedOff).To(BeFalse())
	ph, _ := cb.Phase("another incarnation")
	cb.Expect(ph).To(Equal(backoff.Available))
}

func TestShorterBackOffShortensNothing(t *testing.T) {
	cb := newTestTracker(t)
	cb.ask(3 * time.Second)
	cb.now = cb.now.Add(time.Second)
	cb.Expect(cb.ask(time.Second)).To(BeFalse(), "it is known already")
	cb.now = cb.now.Add(1900 * time.Millisecond)
	cb.Expect(cb.phase()).To(Equal(backoff.Blocked))
	cb.ask(time.Second)
	cb.now = cb.now.Add(900 * time.Millisecond)
	cb.Expect(cb.phase()).To(Equal(backoff.Blocked), "a later one lengthens it")
}

func TestTargetOpensStepByStep(t *testing.T) {
	cb := newTestTracker(t)
	cb.ask(time.Second)
	sentBefore := cb.now
	cb.now = cb.now.Add(time.Second)
	cb.RecordDispatch("a")
	cb.Expect(cb.phase()).To(Equal(backoff.Blocked), "one request is on its way")
	cb.RecordSuccess("a", sentBefore)
	cb.Expect(cb.phase()).To(Equal(backoff.Blocked), "what was sent before proves nothing")
	sent := 1
	for cb.phase() != backoff.Available {
		cb.RecordSuccess("a", cb.now)
		for cb.phase() == backoff.HalfOpen {
			cb.RecordDispatch("a")
			sent++
		}
	}
	cb.Expect(sent).To(BeNumerically("<=", 12))
}

func TestSilentTrialIsFollowedByAnother(t *testing.T) {
	cb := newTestTracker(t)
	cb.ask(time.Second)
	cb.now = cb.now.Add(time.Second)
	cb.RecordDispatch("a")
	ph, opens := cb.Phase("a")
	cb.Expect(ph).To(Equal(backoff.Blocked))
	cb.now = opens
	cb.Expect(cb.phase()).To(Equal(backoff.HalfOpen))
}

func TestTargetThatAsksAgainIsOnTrialAgain(t *testing.T) {
	cb := newTestTracker(t)
	cb.ask(time.Second)
	cb.now = cb.now.Add(time.Second)
	cb.RecordSuccess("a", cb.now)
	cb.Expect(cb.ask(time.Second)).To(BeTrue())
	cb.Expect(cb.phase()).To(Equal(backoff.Blocked))
	cb.now = cb.now.Add(time.Second)
	cb.RecordDispatch("a")
	cb.Expect(cb.phase()).To(Equal(backoff.Blocked))
}

func TestInstancesComeBackOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(1000, 0)
	ends := map[time.Time]bool{}
	for no := range 100 {
		bk := backoff.New(func() time.Time { return began }, func() float64 { return float64(no) / 100 })
		bk.Begin("a", 3*time.Second, began)
		until, _ := bk.Until("a")
		g.Expect(until).To(BeTemporally(">=", began.Add(3*time.Second)))
		g.Expect(until).To(BeTemporally("<", began.Add(3300*time.Millisecond)))
		ends[until] = true
	}
	g.Expect(len(ends)).To(BeNumerically(">=", 100))
}

func TestForgetKeepsWhatBinds(t *testing.T) {
	cb := newTestTracker(t)
	gone := func(string) bool { return false }
	cb.ask(time.Hour)
	cb.Prune(gone)
	cb.Expect(cb.phase()).To(Equal(backoff.Blocked), "an entry that goes may come back")
	cb.Expect(cb.ActiveCount()).To(Equal(1))
	cb.now = cb.now.Add(time.Hour)
	cb.Expect(cb.ActiveCount()).To(BeZero())
	cb.Prune(gone)
	cb.Expect(cb.phase()).To(Equal(backoff.Available))
}
