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
func still(t *testing.T) (*node, *clock) {
	t.Helper()
	ck := &clock{now: time.Unix(0, 0)}
	nd := newNode(t, Options{Self: Member{Name: "a"}, HeartbeatInterval: defaultInterval, Now: ck.read})
	return nd, ck
}

func (nd *node) hears(c card, e entry) {
	nd.ms.mu.Lock()
	events := nd.ms.hear(c, e, nd.ms.opts.Now())
	nd.ms.mu.Unlock()
	nd.ms.notify(events)
}

func (nd *node) beats(ck *clock, n int) {
	for range n {
		ck.now = ck.now.Add(defaultInterval)
		nd.ms.beat()
	}
}

var cardB = card{Member: Member{Name: "b", Incarnation: "1"}}

func TestSilentMemberIsLostOnce(t *testing.T) {
	g := NewWithT(t)
	a, ck := still(t)
	a.hears(cardB, entry{Pulse: 1})
	beats := int(defaultLost / defaultInterval)
	a.beats(ck, beats-1)
	g.Expect(a.names()).To(Equal([]string{"a", "b"}))
	a.beats(ck, 1)
	g.Expect(a.names()).To(Equal([]string{"a"}))
	a.beats(ck, 10)
	g.Expect(a.lostMembers()).To(Equal([]Member{cardB.Member}))
	g.Expect(a.ms.records).To(HaveKey("b"))
	a.beats(ck, int(forgetAfter/defaultInterval))
	g.Expect(a.ms.records).NotTo(HaveKey("b"))
}

func TestFrozenProcessHearsBeforeItJudges(t *testing.T) {
	g := NewWithT(t)
	a, ck := still(t)
	a.hears(cardB, entry{Pulse: 1})
	a.beats(ck, 1)
	ck.now = ck.now.Add(time.Hour)
	a.ms.beat()
	g.Expect(a.names()).To(Equal([]string{"a", "b"}))
	a.hears(cardB, entry{Pulse: 2})
	a.beats(ck, int(defaultLost/defaultInterval)-1)
	g.Expect(a.names()).To(Equal([]string{"a", "b"}))
	g.Expect(a.lostMembers()).To(BeEmpty())
	a.beats(ck, 1)
	g.Expect(a.lostMembers()).To(Equal([]Member{cardB.Member}))
}

func TestAge(t *testing.T) {
	g := NewWithT(t)
	a, ck := still(t)
	var ages []time.Duration
	a.ms.opts.ReceiveState = func(_ Member, _ []byte, made time.Time) { ages = append(ages, ck.now.Sub(made)) }
	a.hears(cardB, entry{Pulse: 1, State: part{Version: 1, Age: 30 * time.Millisecond}})
	a.beats(ck, int(defaultLost/defaultInterval))
	a.hears(cardB, entry{Pulse: 2})
	g.Expect(ages).To(Equal([]time.Duration{30 * time.Millisecond, 30*time.Millisecond + defaultLost}))
}

// TestWhatCameDuringAFreezeIsOld reads a state right after this process was frozen for seven seconds, in which it may
// have lain in a buffer, and others later.
func TestWhatCameDuringAFreezeIsOld(t *testing.T) {
	const told, frozen = 30 * time.Millisecond, 7 * time.Second
	tests := map[string]struct {
		// beaten is set when the process notices the freeze before it reads.
		beaten bool
		// beats pass between the freeze and the state.
		beats int
		want  time.Duration
	}{
		"read at once":                 {want: told + frozen - defaultInterval},
		"read after a beat of its own": {beaten: true, want: told + frozen - defaultInterval},
		"read half a second later":     {beaten: true, beats: 2, want: told + frozen - defaultInterval},
		"read when all is read":        {beaten: true, beats: 8, want: told},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, ck := still(t)
			var age time.Duration
			a.ms.opts.ReceiveState = func(_ Member, _ []byte, made time.Time) { age = ck.now.Sub(made) }
			a.beats(ck, 10)
			a.hears(cardB, entry{Pulse: 1, State: part{Version: 1, Age: told}})
			g.Expect(age).To(Equal(told))
			ck.now = ck.now.Add(frozen)
			if tt.beaten {
				a.ms.beat()
			}
			a.beats(ck, tt.beats)
			a.hears(cardB, entry{Pulse: 2, State: part{Version: 2, Age: told}})
			g.Expect(age).To(Equal(tt.want))
		})
	}
}

func TestHear(t *testing.T) {
	newer := card{Member: Member{Name: "b", Incarnation: "2"}}
	ruled := card{Member: Member{Name: "b", Incarnation: "0"}, Generation: 1}
	type heard struct {
		c card
		e entry
	}
	tests := map[string]struct {
		heard []heard
		state string
		lost  int
	}{
		"an older state is passed over": {
			heard: []heard{{cardB, entry{Pulse: 5, State: part{Version: 5, Body: []byte("5")}}}, {cardB, entry{Pulse: 6, State: part{Version: 4, Body: []byte("4")}}}},
			state: "5",
		},
		"a late pulse brings no one to life": {
			heard: []heard{{cardB, entry{Pulse: 5, PulseAge: defaultLost, State: part{Version: 5, Body: []byte("5")}}}},
		},
		"a higher generation replaces": {
			heard: []heard{{cardB, entry{Pulse: 5, State: part{Version: 5, Body: []byte("5")}}}, {ruled, entry{Pulse: 1, State: part{Version: 1, Body: []byte("1")}}}},
			state: "1", lost: 1,
		},
		"an earlier incarnation is passed over": {
			heard: []heard{{newer, entry{Pulse: 1, State: part{Version: 1, Body: []byte("1")}}}, {cardB, entry{Pulse: 9, State: part{Version: 9, Body: []byte("9")}}}},
			state: "1",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := still(t)
			for _, h := range tt.heard {
				a.hears(h.c, h.e)
			}
			g.Expect(a.stateOf("b")()).To(Equal(tt.state))
			g.Expect(a.lostMembers()).To(HaveLen(tt.lost))
		})
	}
}

func TestProcessTakesAHigherGenerationThanAnEarlierOne(t *testing.T) {
	g := NewWithT(t)
	a, _ := still(t)
	a.hears(card{Member: Member{Name: "a", Incarnation: "0"}, Generation: 3}, entry{Pulse: 7})
	g.Expect(a.ms.self.Generation).To(BeEquivalentTo(4))
	g.Expect(a.names()).To(Equal([]string{"a"}))
}

func TestNewsHoldsTheNewestStateOnly(t *testing.T) {
	g := NewWithT(t)
	a, _ := still(t)
	lk := a.ms.newLink(nil, nil, "")
	for i := range 100 {
		a.publish([]byte(fmt.Sprint(i)))
		a.ms.refresh()
	}
	fr := lk.news()
	g.Expect(fr.Entries).To(HaveLen(1))
	g.Expect(string(fr.Entries[0].State.Body)).To(Equal("99"))
	g.Expect(lk.news().empty()).To(BeTrue())
	a.ms.beat()
	a.ms.refresh()
	fr = lk.news()
	g.Expect(fr.Entries).To(HaveLen(1))
	g.Expect(fr.Entries[0].Card).To(BeNil())
	g.Expect(fr.Entries[0].State.Body).To(BeNil())
	g.Expect(len(fr.append(nil))).To(BeNumerically("<", 8))
}

func TestNewGenerationIsToldWithItsState(t *testing.T) {
	g := NewWithT(t)
	a, _ := still(t)
	a.ms.refresh()
	lk := a.ms.newLink(nil, nil, "")
	g.Expect(lk.news().Entries).To(HaveLen(1))
	a.hears(card{Member: Member{Name: "a", Incarnation: "0"}}, entry{Pulse: 7})
	fr := lk.news()
	g.Expect(fr.Entries).To(HaveLen(1))
	g.Expect(fr.Entries[0].Card.Generation).To(BeEquivalentTo(1))
	g.Expect(string(fr.Entries[0].State.Body)).To(Equal("state of a"))
}

func TestMemberThatComesBackIsToldAnew(t *testing.T) {
	g := NewWithT(t)
	a, ck := still(t)
	lk := a.ms.newLink(nil, nopCloser{}, "")
	lk.subscribed(subscription{Scope: scopeMembers})
	a.hears(cardB, entry{Pulse: 1})
	g.Expect(lk.news().Entries).To(HaveLen(2))
	a.beats(ck, int(defaultLost/defaultInterval))
	g.Expect(lk.news().Entries).To(HaveLen(1))
	a.hears(cardB, entry{Pulse: 2})
	fr := lk.news()
	g.Expect(fr.Entries).To(HaveLen(1))
	g.Expect(fr.Entries[0].Card.Name).To(Equal("b"))
}

type nopCloser struct{}

func (nopCloser) Close() error { return nil }
