package gossip

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// clock is a clock that a test sets.
type clock struct{ now time.Time }

func (ck *clock) read() time.Time { return ck.now }

// newUnstartedNode returns a node that does not run, and the clock that it reads.
func newUnstartedNode(t *testing.T) (*node, *clock) {
	t.Helper()
	ck := &clock{now: time.Unix(0, 0)}
	nd := newNode(t, Options{Self: Member{Name: "a"}, HeartbeatInterval: defaultHeartbeatInterval, Now: ck.read})
	return nd, ck
}

func (nd *node) receiveEntry(mi memberInfo, e entry) {
	nd.ms.mu.Lock()
	events := nd.ms.applyEntry(mi, e, nd.ms.opts.Now())
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
	a, ck := newUnstartedNode(t)
	a.receiveEntry(infoB, entry{Heartbeat: 1})
	intervals := int(defaultLostAfter / defaultHeartbeatInterval)
	a.heartbeats(ck, intervals-1)
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
	a, ck := newUnstartedNode(t)
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
	a, ck := newUnstartedNode(t)
	var ages []time.Duration
	a.ms.opts.ReceiveState = func(_ Member, _ []byte, madeAt time.Time) { ages = append(ages, ck.now.Sub(madeAt)) }
	a.receiveEntry(infoB, entry{Heartbeat: 1, State: payload{Version: 1, Age: 30 * time.Millisecond}})
	a.heartbeats(ck, int(defaultLostAfter/defaultHeartbeatInterval))
	a.receiveEntry(infoB, entry{Heartbeat: 2})
	g.Expect(ages).To(Equal([]time.Duration{30 * time.Millisecond, 30*time.Millisecond + defaultLostAfter}))
}

// TestStateReadAfterPauseCountsAsOld reads a state at various times after this process was paused for seven seconds. Soon after
// the pause the state may have waited in a buffer during it, so the pause is added to the state's age.
func TestStateReadAfterPauseCountsAsOld(t *testing.T) {
	const sentAge, pause = 30 * time.Millisecond, 7 * time.Second
	tests := map[string]struct {
		// heartbeatFirst is set if the process sends a heartbeat, and so detects the pause, before it reads the state.
		heartbeatFirst bool
		// heartbeats is the number of heartbeat intervals between the pause and the read.
		heartbeats int
		want       time.Duration
	}{
		"read at once":                   {want: sentAge + pause - defaultHeartbeatInterval},
		"read after own heartbeat":       {heartbeatFirst: true, want: sentAge + pause - defaultHeartbeatInterval},
		"read half a second later":       {heartbeatFirst: true, heartbeats: 2, want: sentAge + pause - defaultHeartbeatInterval},
		"read after buffers are drained": {heartbeatFirst: true, heartbeats: 8, want: sentAge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, ck := newUnstartedNode(t)
			var age time.Duration
			a.ms.opts.ReceiveState = func(_ Member, _ []byte, madeAt time.Time) { age = ck.now.Sub(madeAt) }
			a.heartbeats(ck, 10)
			a.receiveEntry(infoB, entry{Heartbeat: 1, State: payload{Version: 1, Age: sentAge}})
			g.Expect(age).To(Equal(sentAge))
			ck.now = ck.now.Add(pause)
			if tt.heartbeatFirst {
				a.ms.heartbeat()
			}
			a.heartbeats(ck, tt.heartbeats)
			a.receiveEntry(infoB, entry{Heartbeat: 2, State: payload{Version: 2, Age: sentAge}})
			g.Expect(age).To(Equal(tt.want))
		})
	}
}

func TestApplyEntry(t *testing.T) {
	newer := memberInfo{Member: Member{Name: "b", Incarnation: "2"}}
	higherGeneration := memberInfo{Member: Member{Name: "b", Incarnation: "0"}, Generation: 1}
	type update struct {
		mi memberInfo
		e  entry
	}
	tests := map[string]struct {
		updates []update
		state   string
		lost    int
	}{
		"older state is ignored": {
			updates: []update{{infoB, entry{Heartbeat: 5, State: payload{Version: 5, Body: []byte("5")}}}, {infoB, entry{Heartbeat: 6, State: payload{Version: 4, Body: []byte("4")}}}},
			state:   "5",
		},
		"late heartbeat does not make member live": {
			updates: []update{{infoB, entry{Heartbeat: 5, HeartbeatAge: defaultLostAfter, State: payload{Version: 5, Body: []byte("5")}}}},
		},
		"higher generation replaces lower one": {
			updates: []update{{infoB, entry{Heartbeat: 5, State: payload{Version: 5, Body: []byte("5")}}}, {higherGeneration, entry{Heartbeat: 1, State: payload{Version: 1, Body: []byte("1")}}}},
			state:   "1", lost: 1,
		},
		"earlier incarnation is ignored": {
			updates: []update{{newer, entry{Heartbeat: 1, State: payload{Version: 1, Body: []byte("1")}}}, {infoB, entry{Heartbeat: 9, State: payload{Version: 9, Body: []byte("9")}}}},
			state:   "1",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := newUnstartedNode(t)
			for _, u := range tt.updates {
				a.receiveEntry(u.mi, u.e)
			}
			g.Expect(a.stateOf("b")()).To(Equal(tt.state))
			g.Expect(a.lostMembers()).To(HaveLen(tt.lost))
		})
	}
}

func TestProcessTakesHigherGenerationThanEarlierIncarnation(t *testing.T) {
	g := NewWithT(t)
	a, _ := newUnstartedNode(t)
	a.receiveEntry(memberInfo{Member: Member{Name: "a", Incarnation: "0"}, Generation: 3}, entry{Heartbeat: 7})
	g.Expect(a.ms.self.Generation).To(BeEquivalentTo(4))
	g.Expect(a.liveNames()).To(Equal([]string{"a"}))
}

func TestFrameContainsOnlyNewestState(t *testing.T) {
	g := NewWithT(t)
	a, _ := newUnstartedNode(t)
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
	a, _ := newUnstartedNode(t)
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
	a, ck := newUnstartedNode(t)
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
