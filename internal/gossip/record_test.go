package gossip

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// clock is a clock that a test moves.
type clock struct{ now time.Time }

func (ck *clock) read() time.Time { return ck.now }

// still is a node that does not run, with a clock that the test moves.
func newStoppedNode(t *testing.T) (*node, *clock) {
	t.Helper()
	ck := &clock{now: time.Unix(0, 0)}
	nd := newNode(t, Options{Self: Member{Name: "a"}, HeartbeatInterval: defaultHeartbeatInterval, Now: ck.read})
	return nd, ck
}

func (nd *node) receiveEntry(c memberInfo, e entry) {
	nd.ms.mu.Lock()
	events := nd.ms.applyEntry(c, e, nd.ms.opts.Now())
	nd.ms.mu.Unlock()
	nd.ms.runCallbacks(events)
}

func (nd *node) heartbeats(ck *clock, n int) {
	for range n {
		ck.now = ck.now.Add(defaultHeartbeatInterval)
		nd.ms.heartbeat()
	}
}

var infoB = memberInfo{Member: Member{Name: "b", Incarnation: "1"}}

func TestSilentMemberIsReportedLostOnce(t *testing.T) {
	g := NewWithT(t)
	a, ck := newStoppedNode(t)
	a.receiveEntry(infoB, entry{Heartbeat: 1})
	beats := int(defaultLostAfter / defaultHeartbeatInterval)
	a.heartbeats(ck, beats-1)
	g.Expect(a.liveNames()).To(Equal([]string{"a", "b"}))
	a.heartbeats(ck, 1)
	g.Expect(a.liveNames()).To(Equal([]string{"a"}))
	a.heartbeats(ck, 10)
	g.Expect(a.lostMembers()).To(Equal([]Member{infoB.Member}))
	g.Expect(a.ms.records).To(HaveKey("b"))
	a.heartbeats(ck, int(forgetAfter/defaultHeartbeatInterval))
	g.Expect(a.ms.records).NotTo(HaveKey("b"))
}

func TestPauseOfThisProcessDoesNotCountAsPeerSilence(t *testing.T) {
	g := NewWithT(t)
	a, ck := newStoppedNode(t)
	a.receiveEntry(infoB, entry{Heartbeat: 1})
	a.heartbeats(ck, 1)
	ck.now = ck.now.Add(time.Hour)
	a.ms.heartbeat()
	g.Expect(a.liveNames()).To(Equal([]string{"a", "b"}))
	a.receiveEntry(infoB, entry{Heartbeat: 2})
	a.heartbeats(ck, int(defaultLostAfter/defaultHeartbeatInterval)-1)
	g.Expect(a.liveNames()).To(Equal([]string{"a", "b"}))
	g.Expect(a.lostMembers()).To(BeEmpty())
	a.heartbeats(ck, 1)
	g.Expect(a.lostMembers()).To(Equal([]Member{infoB.Member}))
}

func TestStateAgeGrowsWhileMemberIsLost(t *testing.T) {
	g := NewWithT(t)
	a, ck := newStoppedNode(t)
	var ages []time.Duration
	a.ms.opts.ReceiveState = func(_ Member, _ []byte, made time.Time) { ages = append(ages, ck.now.Sub(made)) }
	a.receiveEntry(infoB, entry{Heartbeat: 1, State: payload{Version: 1, Age: 30 * time.Millisecond}})
	a.heartbeats(ck, int(defaultLostAfter/defaultHeartbeatInterval))
	a.receiveEntry(infoB, entry{Heartbeat: 2})
	g.Expect(ages).To(Equal([]time.Duration{30 * time.Millisecond, 30*time.Millisecond + defaultLostAfter}))
}

// TestWhatCameDuringAFreezeIsOld reads a state right after this process was frozen for seven seconds, in which it may
// have lain in a buffer, and others later.
func TestStateReadAfterPauseCountsAsOld(t *testing.T) {
	const told, frozen = 30 * time.Millisecond, 7 * time.Second
	tests := map[string]struct {
		// beaten is set when the process notices the freeze before it reads.
		beaten bool
		// beats pass between the freeze and the state.
		beats int
		want  time.Duration
	}{
		"read at once":                 {want: told + frozen - defaultHeartbeatInterval},
		"read after a beat of its own": {beaten: true, want: told + frozen - defaultHeartbeatInterval},
		"read half a second later":     {beaten: true, beats: 2, want: told + frozen - defaultHeartbeatInterval},
		"read when all is read":        {beaten: true, beats: 8, want: told},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, ck := newStoppedNode(t)
			var age time.Duration
			a.ms.opts.ReceiveState = func(_ Member, _ []byte, made time.Time) { age = ck.now.Sub(made) }
			a.heartbeats(ck, 10)
			a.receiveEntry(infoB, entry{Heartbeat: 1, State: payload{Version: 1, Age: told}})
			g.Expect(age).To(Equal(told))
			ck.now = ck.now.Add(frozen)
			if tt.beaten {
				a.ms.heartbeat()
			}
			a.heartbeats(ck, tt.beats)
			a.receiveEntry(infoB, entry{Heartbeat: 2, State: payload{Version: 2, Age: told}})
			g.Expect(age).To(Equal(tt.want))
		})
	}
}

func TestApplyEntry(t *testing.T) {
	newer := memberInfo{Member: Member{Name: "b", Incarnation: "2"}}
	ruled := memberInfo{Member: Member{Name: "b", Incarnation: "0"}, Generation: 1}
	type heard struct {
		c memberInfo
		e entry
	}
	tests := map[string]struct {
		heard []heard
		state string
		lost  int
	}{
		"an older state is passed over": {
			heard: []heard{{infoB, entry{Heartbeat: 5, State: payload{Version: 5, Body: []byte("5")}}}, {infoB, entry{Heartbeat: 6, State: payload{Version: 4, Body: []byte("4")}}}},
			state: "5",
		},
		"a late pulse brings no one to life": {
			heard: []heard{{infoB, entry{Heartbeat: 5, HeartbeatAge: defaultLostAfter, State: payload{Version: 5, Body: []byte("5")}}}},
		},
		"a higher generation replaces": {
			heard: []heard{{infoB, entry{Heartbeat: 5, State: payload{Version: 5, Body: []byte("5")}}}, {ruled, entry{Heartbeat: 1, State: payload{Version: 1, Body: []byte("1")}}}},
			state: "1", lost: 1,
		},
		"an earlier incarnation is passed over": {
			heard: []heard{{newer, entry{Heartbeat: 1, State: payload{Version: 1, Body: []byte("1")}}}, {infoB, entry{Heartbeat: 9, State: payload{Version: 9, Body: []byte("9")}}}},
			state: "1",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := newStoppedNode(t)
			for _, h := range tt.heard {
				a.receiveEntry(h.c, h.e)
			}
			g.Expect(a.stateOf("b")()).To(Equal(tt.state))
			g.Expect(a.lostMembers()).To(HaveLen(tt.lost))
		})
	}
}

func TestProcessTakesHigherGenerationThanEarlierIncarnation(t *testing.T) {
	g := NewWithT(t)
	a, _ := newStoppedNode(t)
	a.receiveEntry(memberInfo{Member: Member{Name: "a", Incarnation: "0"}, Generation: 3}, entry{Heartbeat: 7})
	g.Expect(a.ms.self.Generation).To(BeEquivalentTo(4))
	g.Expect(a.liveNames()).To(Equal([]string{"a"}))
}

func TestFrameContainsOnlyNewestState(t *testing.T) {
	g := NewWithT(t)
	a, _ := newStoppedNode(t)
	lk := a.ms.newLink(nil, nil, "")
	for i := range 100 {
		a.publish([]byte(fmt.Sprint(i)))
		a.ms.refreshState()
	}
	fr := lk.nextFrame()
	g.Expect(fr.Entries).To(HaveLen(1))
	g.Expect(string(fr.Entries[0].State.Body)).To(Equal("99"))
	g.Expect(lk.nextFrame().empty()).To(BeTrue())
	a.ms.heartbeat()
	a.ms.refreshState()
	fr = lk.nextFrame()
	g.Expect(fr.Entries).To(HaveLen(1))
	g.Expect(fr.Entries[0].Info).To(BeNil())
	g.Expect(fr.Entries[0].State.Body).To(BeNil())
	g.Expect(len(fr.append(nil))).To(BeNumerically("<", 8))
}

func TestNewGenerationIsSentWithState(t *testing.T) {
	g := NewWithT(t)
	a, _ := newStoppedNode(t)
	a.ms.refreshState()
	lk := a.ms.newLink(nil, nil, "")
	g.Expect(lk.nextFrame().Entries).To(HaveLen(1))
	a.receiveEntry(memberInfo{Member: Member{Name: "a", Incarnation: "0"}}, entry{Heartbeat: 7})
	fr := lk.nextFrame()
	g.Expect(fr.Entries).To(HaveLen(1))
	g.Expect(fr.Entries[0].Info.Generation).To(BeEquivalentTo(1))
	g.Expect(string(fr.Entries[0].State.Body)).To(Equal("state of a"))
}

func TestReturningMemberIsSentInFull(t *testing.T) {
	g := NewWithT(t)
	a, ck := newStoppedNode(t)
	lk := a.ms.newLink(nil, nopCloser{}, "")
	lk.setSubscription(subscription{Scope: scopeMembers})
	a.receiveEntry(infoB, entry{Heartbeat: 1})
	g.Expect(lk.nextFrame().Entries).To(HaveLen(2))
	a.heartbeats(ck, int(defaultLostAfter/defaultHeartbeatInterval))
	g.Expect(lk.nextFrame().Entries).To(HaveLen(1))
	a.receiveEntry(infoB, entry{Heartbeat: 2})
	fr := lk.nextFrame()
	g.Expect(fr.Entries).To(HaveLen(1))
	g.Expect(fr.Entries[0].Info.Name).To(Equal("b"))
}

type nopCloser struct{}

func (nopCloser) Close() error { return nil }
