package pathstate_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/pathstate"
)

// clock is a clock that moves a millisecond with each reading.
type clock struct{ now time.Time }

func (ck *clock) Now() time.Time {
	ck.now = ck.now.Add(time.Millisecond)
	return ck.now
}

func (ck *clock) advance(d time.Duration) { ck.now = ck.now.Add(d) }

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func TestRoute(t *testing.T) {
	tests := map[string]struct {
		events     func(tr *pathstate.Tracker)
		wantA      pathstate.Route
		wantOthers pathstate.Route
	}{
		"nothing known": {func(*pathstate.Tracker) {}, pathstate.DirectFirst, pathstate.DirectFirst},
		"one target only reached by a peer": {func(tr *pathstate.Tracker) {
			tr.RecordReachedByPeer("a", "p")
		}, pathstate.PeersFirst, pathstate.DirectFirst},
		"two targets only reached by peers": {func(tr *pathstate.Tracker) {
			tr.RecordReachedByPeer("a", "p")
			tr.RecordReachedByPeer("b", "p")
		}, pathstate.PeersFirst, pathstate.Both},
		"the same target twice": {func(tr *pathstate.Tracker) {
			tr.RecordReachedByPeer("a", "p")
			tr.RecordReachedByPeer("a", "q")
		}, pathstate.PeersFirst, pathstate.DirectFirst},
		"another target accepted a connection between": {func(tr *pathstate.Tracker) {
			tr.RecordReachedByPeer("a", "p")
			tr.RecordConnected("c")
			tr.RecordReachedByPeer("b", "p")
		}, pathstate.PeersFirst, pathstate.DirectFirst},
		"an answer on an open connection proves nothing about new ones": {func(tr *pathstate.Tracker) {
			tr.RecordReachedByPeer("a", "p")
			tr.RecordHeard()
			tr.RecordReachedByPeer("b", "p")
		}, pathstate.PeersFirst, pathstate.Both},
		"a target that never failed accepts a connection": {func(tr *pathstate.Tracker) {
			tr.RecordReachedByPeer("a", "p")
			tr.RecordReachedByPeer("b", "p")
			tr.RecordConnected("c")
		}, pathstate.PeersFirst, pathstate.DirectFirst},
		"a lost path works again": {func(tr *pathstate.Tracker) {
			tr.RecordReachedByPeer("a", "p")
			tr.RecordReachedByPeer("b", "p")
			tr.RecordConnected("b")
		}, pathstate.DirectFirst, pathstate.DirectFirst},
		"a doubtful path fails again": {func(tr *pathstate.Tracker) {
			tr.RecordReachedByPeer("a", "p")
			tr.RecordReachedByPeer("b", "p")
			tr.RecordConnected("b")
			tr.RecordReachedByPeer("a", "p")
		}, pathstate.PeersFirst, pathstate.DirectFirst},
		"neither this instance nor peers reach the target": {func(tr *pathstate.Tracker) {
			tr.RecordUnreached("a")
			tr.RecordUnreached("b")
		}, pathstate.DirectFirst, pathstate.DirectFirst},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tr := pathstate.New(newClock().Now)
			tc.events(tr)
			g.Expect(tr.Route("a")).To(Equal(tc.wantA))
			g.Expect(tr.Route("never used")).To(Equal(tc.wantOthers))
			g.Expect(tr.IsLost("a")).To(Equal(tc.wantA != pathstate.DirectFirst))
			g.Expect(tr.AllLost()).To(Equal(tc.wantOthers == pathstate.Both))
		})
	}
}

func TestIsolated(t *testing.T) {
	unreached := func(tr *pathstate.Tracker, ck *clock) {
		for i := range 3 {
			tr.RecordUnreached(fmt.Sprint(i))
			ck.advance(260 * time.Millisecond)
		}
	}
	tests := map[string]struct {
		events func(tr *pathstate.Tracker, ck *clock)
		want   bool
	}{
		"three targets": {func(tr *pathstate.Tracker, ck *clock) { unreached(tr, ck) }, true},
		"three targets at once": {func(tr *pathstate.Tracker, _ *clock) {
			for i := range 3 {
				tr.RecordUnreached(fmt.Sprint(i))
			}
		}, false},
		"three targets at once, again and again": {func(tr *pathstate.Tracker, ck *clock) {
			for i := range 9 {
				tr.RecordUnreached(fmt.Sprint(i % 3))
				ck.advance(80 * time.Millisecond)
			}
		}, true},
		"three targets at once, again after a timeout of their connections": {func(tr *pathstate.Tracker, ck *clock) {
			for i := range 6 {
				tr.RecordUnreached(fmt.Sprint(i % 3))
				if i == 2 {
					ck.advance(1050 * time.Millisecond)
				}
			}
		}, true},
		"three targets, one at a time": {func(tr *pathstate.Tracker, ck *clock) {
			for i := range 3 {
				tr.RecordUnreached(fmt.Sprint(i))
				ck.advance(1050 * time.Millisecond)
			}
		}, false},
		"three targets at once, an answer, again": {func(tr *pathstate.Tracker, ck *clock) {
			for i := range 6 {
				tr.RecordUnreached(fmt.Sprint(i % 3))
				if i == 2 {
					ck.advance(time.Millisecond)
					tr.RecordHeard()
					ck.advance(1050 * time.Millisecond)
				}
			}
		}, false},
		"one target, three times": {func(tr *pathstate.Tracker, _ *clock) {
			for range 3 {
				tr.RecordUnreached("a")
			}
		}, false},
		"an answer between": {func(tr *pathstate.Tracker, _ *clock) {
			tr.RecordUnreached("a")
			tr.RecordUnreached("b")
			tr.RecordHeard()
			tr.RecordUnreached("c")
		}, false},
		"an answer afterwards": {func(tr *pathstate.Tracker, ck *clock) {
			unreached(tr, ck)
			tr.RecordHeard()
		}, false},
		"a peer reaches a target": {func(tr *pathstate.Tracker, ck *clock) {
			unreached(tr, ck)
			tr.RecordReachedByPeer("a", "p")
		}, false},
		"without further evidence": {func(tr *pathstate.Tracker, ck *clock) {
			unreached(tr, ck)
			ck.advance(time.Second)
		}, false},
		"with further evidence": {func(tr *pathstate.Tracker, ck *clock) {
			unreached(tr, ck)
			for range 8 {
				ck.advance(250 * time.Millisecond)
				tr.RecordUnreached("a")
			}
		}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ck := newClock()
			tr := pathstate.New(ck.Now)
			tc.events(tr, ck)
			NewWithT(t).Expect(tr.Isolated()).To(Equal(tc.want))
		})
	}
}

// TestNextProbe checks that one target is probed at a time, each lost one in turn.
func TestNextProbe(t *testing.T) {
	g := NewWithT(t)
	tr := pathstate.New(newClock().Now)
	listed := func(address string) bool { return address != "gone" }
	_, due := tr.NextProbe(listed)
	g.Expect(due).To(BeFalse())
	for _, address := range []string{"a", "b", "gone"} {
		tr.RecordReachedByPeer(address, "p")
	}
	var probes []string
	for range 4 {
		address, due := tr.NextProbe(listed)
		g.Expect(due).To(BeTrue())
		probes = append(probes, address)
	}
	g.Expect(probes).To(Equal([]string{"a", "b", "a", "b"}))
	g.Expect(tr.LostCount()).To(Equal(2))
}

// TestChangesNameTheirEvidence checks what is reported when all paths are lost and work again.
func TestChangesNameTheirEvidence(t *testing.T) {
	g := NewWithT(t)
	var changes []pathstate.Change
	ck := newClock()
	tr := pathstate.New(ck.Now, pathstate.WithOnChange(func(ch pathstate.Change) { changes = append(changes, ch) }))
	tr.RecordConnected("a")
	tr.RecordReachedByPeer("a", "p")
	tr.RecordReachedByPeer("b", "q")
	tr.RecordReachedByPeer("c", "q")
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].AllLost).To(BeTrue())
	g.Expect(changes[0].LostTargets).To(Equal(2))
	g.Expect(changes[0].Evidence.Peer).To(Equal("q"))
	g.Expect(changes[0].Evidence.Address).To(Equal("b"))
	g.Expect(changes[0].Evidence.ReachedAt).To(BeTemporally(">", changes[0].ConnectedAt))
	tr.RecordConnected("b")
	g.Expect(changes).To(HaveLen(2))
	g.Expect(changes[1].AllLost).To(BeFalse())
	g.Expect(changes[1].Since).NotTo(BeZero())
}
