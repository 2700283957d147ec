package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/quarantine"
)

const (
	// afterSettleDelay is longer than a request is delayed before its quarantine.
	afterSettleDelay = 250 * time.Millisecond
	// shortRun is the duration of a run that crashes its target, longRun that of a long answer.
	shortRun = 100 * time.Millisecond
	longRun  = 4 * time.Second
	// firstQuarantine is the duration of the first quarantine of a request.
	firstQuarantine = 5 * time.Minute
)

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (ck *clock) advance(d time.Duration) { ck.now = ck.now.Add(d) }

// instance is a Tracker with a simulated list of targets.
type instance struct {
	*quarantine.Tracker
	ck *clock
	// crashed holds the targets that have disappeared from the list of targets.
	crashed map[string]bool
	// notifications counts the calls of NotifyPeers.
	notifications int
}

func newInstance(ck *clock, targets int) *instance { return newPeer(ck, targets, "alone", 0) }

// newPeer returns an instance with a name and a number of peers.
func newPeer(ck *clock, targets int, name string, peers int) *instance {
	in := &instance{ck: ck, crashed: map[string]bool{}}
	in.Tracker = quarantine.New(quarantine.Options{
		Instance: name, Now: func() time.Time { return ck.now }, TargetCount: func() int { return targets }, PeerCount: func() int { return peers },
		Crashed: func(id string) bool { return in.crashed[id] }, NotifyPeers: func() { in.notifications++ }, Metrics: metrics.NewSet(),
		Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	})
	return in
}

func request(name string) fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Request{Organisation: "red", RequestURI: name})
}

// setOf returns the fingerprints of a request. A whole request must come first.
func setOf(fps ...fingerprint.Fingerprint) fingerprint.Set {
	return fingerprint.NewSet(fps[0].HeadHash(), func() fingerprint.Fingerprint { return fps[0] }, slices.Clone(fps[1:])...)
}

// The following methods do for a whole request what those of the Tracker do for a set of fingerprints.

func (in *instance) Check(fp fingerprint.Fingerprint) quarantine.Decision {
	return in.Tracker.Check(setOf(fp))
}

func (in *instance) RecordAnswered(fp fingerprint.Fingerprint) { in.Tracker.RecordAnswered(setOf(fp)) }

func (in *instance) BeginRun(fp fingerprint.Fingerprint) *quarantine.ActiveRun {
	return in.Tracker.BeginRun(setOf(fp))
}

func (in *instance) HasEvidence(fp fingerprint.Fingerprint) bool {
	return in.Tracker.HasEvidence(setOf(fp))
}

// Quarantined returns how many targets had crashed under a request that is refused.
func (in *instance) Quarantined(fp fingerprint.Fingerprint) (crashes int, quarantined bool) {
	qu, refused := in.Refused(setOf(fp))
	return qu.Crashes, refused
}

// interrupt lets a target interrupt runs of the named requests and, if crashes is set, crash.
func (in *instance) interrupt(target string, crashes bool, elapsed time.Duration, names ...string) {
	for _, name := range names {
		in.RecordInterrupted(quarantine.InterruptedRun{
			Fingerprints: []fingerprint.Fingerprint{request(name)}, Incarnation: target, Elapsed: elapsed, At: in.ck.now,
		})
	}
	if crashes {
		in.RecordCrash(target)
	}
}

// gossipTo sends the encoded snapshot of the instance to others.
func (in *instance) gossipTo(t *testing.T, others ...*instance) {
	t.Helper()
	b := in.Snapshot().Encode(in.ck.now)
	sn, err := quarantine.Decode(b, in.ck.now)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, other := range others {
		other.MergePeer("peer", sn)
	}
}

func (in *instance) quarantined(name string) bool { return in.Check(request(name)).Quarantined }

func TestCheckQuarantinesRequestsThatCrashTargets(t *testing.T) {
	crash := func(in *instance, n int, names ...string) {
		for i := range n {
			in.interrupt(fmt.Sprint("target-", i), true, shortRun, names...)
			in.ck.advance(time.Second)
		}
	}
	cases := map[string]struct {
		act  func(in *instance)
		want bool
	}{
		"nothing":         {func(*instance) {}, false},
		"two crashes":     {func(in *instance) { crash(in, 2, "fatal") }, false},
		"three crashes":   {func(in *instance) { crash(in, 3, "fatal") }, true},
		"another request": {func(in *instance) { crash(in, 3, "other") }, false},
		"interrupted by targets that did not crash": {func(in *instance) {
			for i := range 9 {
				in.interrupt(fmt.Sprint("target-", i), false, shortRun, "fatal")
			}
		}, false},
		"one target, many runs": {func(in *instance) {
			for range 9 {
				in.interrupt("target", true, shortRun, "fatal")
			}
		}, false},
		"crashes recorded before the interrupted runs": {func(in *instance) {
			for i := range 3 {
				in.RecordCrash(fmt.Sprint("target-", i))
				in.interrupt(fmt.Sprint("target-", i), false, shortRun, "fatal")
			}
		}, true},
		"crashes detected by entries that disappear seconds later": {func(in *instance) {
			for i := range 3 {
				in.interrupt(fmt.Sprint("target-", i), false, shortRun, "fatal")
				in.crashed[fmt.Sprint("target-", i)] = true
			}
			in.ck.advance(7 * time.Second)
		}, true},
		"crashes recorded long after the interruptions": {func(in *instance) {
			for i := range 3 {
				in.interrupt(fmt.Sprint("target-", i), false, shortRun, "fatal")
			}
			in.ck.advance(7 * time.Second)
			crash(in, 3)
		}, false},
		"answered between the crashes": {func(in *instance) {
			crash(in, 2, "fatal")
			in.RecordAnswered(request("fatal"))
			in.interrupt("last", true, shortRun, "fatal")
		}, false},
		"answered after its quarantine began": {func(in *instance) {
			crash(in, 3, "fatal")
			in.quarantined("fatal")
			in.RecordAnswered(request("fatal"))
		}, false},
		"lifted": {func(in *instance) {
			crash(in, 3, "fatal")
			in.quarantined("fatal")
			in.LiftQuarantine(request("fatal"))
		}, false},
		"after its quarantine ended": {func(in *instance) {
			crash(in, 3, "fatal")
			in.quarantined("fatal")
			in.ck.advance(firstQuarantine)
		}, false},
		"another crash after its quarantine ended": {func(in *instance) {
			crash(in, 3, "fatal")
			in.quarantined("fatal")
			in.ck.advance(firstQuarantine)
			in.interrupt("again", true, shortRun, "fatal")
		}, true},
		"crashes a quarter of an hour apart": {func(in *instance) {
			for i := range 3 {
				in.interrupt(fmt.Sprint("target-", i), true, shortRun, "fatal")
				in.ck.advance(15 * time.Minute)
			}
		}, false},
		"another request is quarantined": {func(in *instance) { crash(in, 3, "other") }, false},
		"long runs while other targets crash too": {func(in *instance) {
			for i := range 24 {
				in.interrupt(fmt.Sprint("other-", i), true, longRun, fmt.Sprint("other-", i))
				in.ck.advance(400 * time.Millisecond)
				if i%8 == 0 {
					in.interrupt(fmt.Sprint("target-", i), true, longRun, "fatal")
				}
			}
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(newClock(), 12)
			tc.act(in)
			in.ck.advance(afterSettleDelay)
			NewWithT(t).Expect(in.quarantined("fatal")).To(Equal(tc.want))
		})
	}
}

func TestSuspectIsDelayedBeforeQuarantine(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	for i := range 3 {
		g.Expect(in.Check(request("fatal")).Delay).To(BeZero())
		in.interrupt(fmt.Sprint("target-", i), true, shortRun, "fatal")
	}
	g.Expect(in.HasEvidence(request("fatal"))).To(BeTrue())
	dc := in.Check(request("fatal"))
	g.Expect(dc.Quarantined).To(BeFalse())
	g.Expect(dc.Delay).To(BeNumerically(">", 0))
	in.ck.advance(dc.Delay)
	g.Expect(in.Check(request("fatal"))).To(Equal(quarantine.Decision{Quarantined: true, Crashes: 3, Quarantine: in.Quarantines()[0]}))
	g.Expect(in.HasEvidence(request("another"))).To(BeFalse())
}

// TestConcurrentRequestsAreDistinguishedByEvidence runs two requests on the same crashing targets. Only clearly stronger evidence
// or many crashes lead to the quarantine of one of them.
func TestConcurrentRequestsAreDistinguishedByEvidence(t *testing.T) {
	cases := map[string]struct {
		crashes              int
		otherElapsed         time.Duration
		wantFatal, wantOther bool
	}{
		"the other request ran for long": {3, longRun, true, false},
		"alike":                          {3, shortRun, false, false},
		"alike after four crashes":       {4, shortRun, false, false},
		"always together for five crashes: the likelier one is": {5, shortRun / 2, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			in := newInstance(newClock(), 12)
			for i := range tc.crashes {
				target := fmt.Sprint("target-", i)
				in.interrupt(target, false, tc.otherElapsed, "other")
				in.interrupt(target, true, shortRun, "fatal")
				in.ck.advance(time.Second)
			}
			g.Expect(in.quarantined("fatal")).To(Equal(tc.wantFatal))
			g.Expect(in.quarantined("other")).To(Equal(tc.wantOther))
		})
	}
}

// TestSimilarRequestsAreDistinguishedByAnAnswer guards against a quarantine of the wrong one of two requests with equal evidence.
func TestSimilarRequestsAreDistinguishedByAnAnswer(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	for i := range 3 {
		in.interrupt(fmt.Sprint("target-", i), true, shortRun, "fatal", "other")
	}
	in.ck.advance(afterSettleDelay)
	g.Expect(in.quarantined("fatal")).To(BeFalse())
	in.RecordAnswered(request("other"))
	g.Expect(in.quarantined("fatal")).To(BeTrue())
	g.Expect(in.quarantined("other")).To(BeFalse())
}

func TestRepeatedQuarantinesDoubleInDuration(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	for i := range 3 {
		in.interrupt(fmt.Sprint("target-", i), true, shortRun, "fatal")
	}
	in.ck.advance(afterSettleDelay)
	for level, want := range []time.Duration{
		5 * time.Minute, 10 * time.Minute, 20 * time.Minute, 40 * time.Minute, 80 * time.Minute,
		2 * time.Hour, 2 * time.Hour,
	} {
		g.Expect(in.quarantined("fatal")).To(BeTrue())
		qu := in.Quarantines()[0]
		g.Expect(qu.Until.Sub(qu.Since)).To(Equal(want))
		g.Expect(qu.Level).To(Equal(level + 1))
		in.ck.advance(want)
		g.Expect(in.quarantined("fatal")).To(BeFalse())
		in.interrupt(fmt.Sprint("once-more-", level), true, shortRun, "fatal")
		in.ck.advance(afterSettleDelay)
	}
}

// TestStateIsBoundedInAFloodOfRequests collects evidence against far more requests than the Tracker holds.
func TestStateIsBoundedInAFloodOfRequests(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	for i := range 1000 {
		var names []string
		for j := range 100 {
			names = append(names, fmt.Sprint("flood-", i, "-", j))
		}
		in.interrupt(fmt.Sprint("target-", i), i%2 == 0, longRun, names...)
		in.ck.advance(10 * time.Millisecond)
	}
	g.Expect(len(in.Snapshot().Encode(in.ck.now))).To(BeNumerically("<", 16<<10))
	g.Expect(in.Quarantines()).To(BeEmpty())
	for i := range 3 {
		in.interrupt(fmt.Sprint("fatal-", i), true, time.Millisecond, "fatal")
	}
	in.ck.advance(afterSettleDelay)
	g.Expect(in.quarantined("fatal")).To(BeTrue())
}

// TestCrashesSeenOnlyInTheTargetListCount lets targets crash without a refused connection: their entries disappear seconds later.
func TestCrashesSeenOnlyInTheTargetListCount(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 12)
	for i := range 3 {
		in.interrupt(fmt.Sprint("target-", i), false, shortRun, "fatal")
		in.crashed[fmt.Sprint("target-", i)] = true
	}
	g.Expect(in.HasEvidence(request("fatal"))).To(BeFalse())
	in.ck.advance(7 * time.Second)
	g.Expect(in.HasEvidence(request("fatal"))).To(BeTrue())
	g.Expect(in.notifications).To(BeNumerically(">", 0), "peers are notified")
	g.Expect(in.quarantined("fatal")).To(BeTrue())
}

// TestQueuedRunsDoNotHideTheCause queues a request behind others on some of the targets before it crashes them, so that the time
// it ran there is unknown. Another request that ran on fewer of the crashed targets, by coincidence for a short time, must not be
// quarantined in its place.
func TestQueuedRunsDoNotHideTheCause(t *testing.T) {
	g := NewWithT(t)
	in := newInstance(newClock(), 7)
	for i := range 8 {
		in.interrupt(fmt.Sprint("by-itself-", i), true, longRun, fmt.Sprint("once-", i))
		in.ck.advance(100 * time.Millisecond)
	}
	for i := range 3 {
		target := fmt.Sprint("waited-", i)
		in.interrupt(target, false, longRun, "fatal")
		in.interrupt(target, true, time.Millisecond, "other")
		in.interrupt(fmt.Sprint("at-once-", i), true, time.Millisecond, "fatal")
	}
	in.ck.advance(afterSettleDelay)
	g.Expect(in.quarantined("other")).To(BeFalse())
	g.Expect(in.quarantined("fatal")).To(BeTrue())
	g.Expect(in.quarantined("other")).To(BeFalse())
}
