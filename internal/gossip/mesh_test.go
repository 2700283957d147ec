package gossip

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestThreeMembersFindEachOtherThroughOneSeed(t *testing.T) {
	g := NewWithT(t)
	a := newNode(t, Options{Self: Member{Name: "a"}})
	a.ms.opts.Seeds = []string{a.address()}
	a.start(t)
	b := startNode(t, Options{Self: Member{Name: "b"}, Seeds: []string{a.address()}})
	c := startNode(t, Options{Self: Member{Name: "c"}, Seeds: []string{a.address()}})
	for _, nd := range []*node{a, b, c} {
		g.Eventually(nd.liveNames, waitTimeout).Should(Equal([]string{"a", "b", "c"}))
		g.Eventually(nd.stateCount, waitTimeout).Should(Equal(2))
		g.Eventually(nd.linkCount, waitTimeout).Should(Equal(2))
	}
	g.Expect(c.stateOf("b")()).To(Equal("state of b"))
}

func TestMemberJoinsDespiteUnusableSeed(t *testing.T) {
	tests := map[string]func(t *testing.T, good, own string) []string{
		"one has no listener":    func(t *testing.T, good, _ string) []string { return []string{closedAddress(t), good} },
		"one is its own address": func(_ *testing.T, good, own string) []string { return []string{own, good} },
		"one cannot be parsed":   func(_ *testing.T, good, _ string) []string { return []string{"nonsense", good} },
	}
	for name, seeds := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := startNode(t, Options{Self: Member{Name: "a"}})
			b := newNode(t, Options{Self: Member{Name: "b"}})
			b.ms.opts.Seeds = seeds(t, a.address(), b.address())
			b.start(t)
			g.Eventually(a.liveNames, waitTimeout).Should(Equal([]string{"a", "b"}))
			g.Eventually(b.stateOf("a"), waitTimeout).Should(Equal("state of a"))
		})
	}
}

func TestLinkToOwnAddressIsClosed(t *testing.T) {
	g := NewWithT(t)
	a := newNode(t, Options{Self: Member{Name: "a", Address: closedAddress(t)}})
	a.ms.opts.Seeds = []string{a.address()}
	a.start(t)
	g.Eventually(func() string {
		a.ms.mu.Lock()
		defer a.ms.mu.Unlock()
		if ds := a.ms.dials[a.address()]; ds != nil {
			return ds.peerName
		}
		return ""
	}, waitTimeout).Should(Equal("a"))
	g.Eventually(a.linkCount, waitTimeout).Should(BeZero())
	g.Expect(a.liveNames()).To(Equal([]string{"a"}))
}

func TestStatesArriveInOrderUpToNewest(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, Options{Self: Member{Name: "a"}})
	b := startNode(t, Options{Self: Member{Name: "b"}, Seeds: []string{a.address()}})
	const last = 200
	for i := range last + 1 {
		a.publish([]byte(strconv.Itoa(i)))
	}
	g.Eventually(b.stateOf("a"), waitTimeout).Should(Equal(strconv.Itoa(last)))
	var seen []int
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.receivedOrder {
		if n, err := strconv.Atoi(s); err == nil {
			seen = append(seen, n)
		}
	}
	g.Expect(slices.IsSorted(seen)).To(BeTrue(), "states came in order: %v", seen)
}

func TestPublishedStateIsSentBeforeNextHeartbeat(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, Options{Self: Member{Name: "a"}, HeartbeatInterval: never, LostAfter: 2 * never})
	b := startNode(t, Options{Self: Member{Name: "b"}, HeartbeatInterval: never, LostAfter: 2 * never, Seeds: []string{a.address()}})
	g.Eventually(b.stateOf("a"), waitTimeout).Should(Equal("state of a"))
	for i := range 5 {
		a.publish([]byte(fmt.Sprint("new ", i)))
		g.Eventually(b.stateOf("a"), waitTimeout).Should(Equal(fmt.Sprint("new ", i)))
	}
	b.publish([]byte("new"))
	g.Eventually(a.stateOf("b"), waitTimeout).Should(Equal("new"))
}

func TestLostMemberRejoinsWithItsState(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, Options{Self: Member{Name: "a"}})
	b := newNode(t, Options{Self: Member{Name: "b"}, Seeds: []string{a.address()}})
	stop := b.start(t)
	g.Eventually(a.stateOf("b"), waitTimeout).Should(Equal("state of b"))
	stop()
	g.Eventually(a.liveNames, waitTimeout).Should(Equal([]string{"a"}))
	g.Eventually(a.lostMembers, waitTimeout).Should(ConsistOf(b.ms.self.Member))
	a.mu.Lock()
	delete(a.received, "b")
	a.mu.Unlock()
	var err error
	b.lis, err = net.Listen("tcp", b.address())
	g.Expect(err).NotTo(HaveOccurred())
	b.start(t)
	g.Eventually(a.liveNames, waitTimeout).Should(Equal([]string{"a", "b"}))
	g.Eventually(a.stateOf("b"), waitTimeout).Should(Equal("state of b"))
	g.Expect(a.lostMembers()).To(HaveLen(1))
}

func TestRestartReplacesOldIncarnation(t *testing.T) {
	tests := map[string]struct{ before, after string }{
		"new incarnation sorts higher": {before: "1", after: "2"},
		"new incarnation sorts lower":  {before: "2", after: "1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			// No member is lost by silence in this test.
			o := Options{LostAfter: never}
			o.Self = Member{Name: "a"}
			a := startNode(t, o)
			o.Seeds = []string{a.address()}
			o.Self = Member{Name: "c"}
			c := startNode(t, o)
			o.Self = Member{Name: "b", Incarnation: tt.before}
			old := newNode(t, o)
			stop := old.start(t)
			g.Eventually(a.stateOf("b"), waitTimeout).Should(Equal("state of b"))
			g.Eventually(c.stateOf("b"), waitTimeout).Should(Equal("state of b"))
			stop()
			o.Self.Incarnation = tt.after
			b := newNode(t, o)
			b.published = []byte("after")
			b.start(t)
			for _, nd := range []*node{a, c} {
				g.Eventually(nd.stateOf("b"), waitTimeout).Should(Equal("after"))
				g.Expect(nd.ms.Live()).To(ContainElement(b.ms.self.Member))
				g.Expect(nd.lostMembers()).To(ConsistOf(old.ms.self.Member))
			}
		})
	}
}

func TestMemberThatCannotBeDialledIsReachedOverItsOwnLinks(t *testing.T) {
	for _, closed := range []string{"a", "b", "c"} {
		t.Run(closed+" cannot be dialled", func(t *testing.T) {
			g := NewWithT(t)
			o := Options{HandleFetch: func(name string) ([]byte, bool) { return []byte("the " + name), name == "map" }}
			seed := startNode(t, Options{Self: Member{Name: "s"}})
			o.Seeds = []string{seed.address()}
			nodes := map[string]*node{}
			for _, name := range []string{"a", "b", "c"} {
				o.Self = Member{Name: name}
				if name == closed {
					o.Self.Address = closedAddress(t)
				}
				nodes[name] = startNode(t, o)
			}
			for name, nd := range nodes {
				for other := range nodes {
					if other != name {
						g.Eventually(nd.stateOf(other), waitTimeout).Should(Equal("state of "+other), "at %s", name)
					}
				}
				if name == closed {
					continue
				}
				body, err := nd.ms.Fetch(t.Context(), nodes[closed].ms.self.Member, "map")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(body)).To(Equal("the map"))
				_, err = nd.ms.Fetch(t.Context(), nodes[closed].ms.self.Member, "other")
				g.Expect(err).To(MatchError(&NotFoundError{Instance: closed, Document: "other"}))
			}
		})
	}
}

func TestPartialMeshRelaysStates(t *testing.T) {
	g := NewWithT(t)
	const members, full = 24, 6
	var nodes []*node
	var seeds []string
	for i := range members {
		nd := startNode(t, Options{
			Self:              Member{Name: fmt.Sprintf("m%02d", i), AvailabilityZone: string(rune('x' + i%3))},
			Seeds:             seeds,
			HeartbeatInterval: 100 * time.Millisecond,
			// This many members in one process can be slow under the race detector.
			LostAfter:          waitTimeout,
			MaxFullMeshMembers: full,
		})
		if i == 0 {
			seeds = []string{nd.address()}
		}
		nodes = append(nodes, nd)
	}
	for _, nd := range nodes {
		g.Eventually(nd.stateCount, waitTimeout).Should(Equal(members - 1))
	}
	nodes[5].publish([]byte("new"))
	for i, nd := range nodes {
		if i != 5 {
			g.Eventually(nd.stateOf("m05"), waitTimeout).Should(Equal("new"), "at %d", i)
		}
	}
	for _, nd := range nodes {
		g.Expect(nd.lostMembers()).To(BeEmpty())
	}
}

func TestPartialMeshClosesUnplannedLinks(t *testing.T) {
	g := NewWithT(t)
	o := Options{MaxFullMeshMembers: 3, LostAfter: 2 * time.Second}
	var nodes []*node
	for i := range 9 {
		o.Self = Member{Name: fmt.Sprint("m", i), AvailabilityZone: string(rune('x' + i%3))}
		nodes = append(nodes, startNode(t, o))
		o.Seeds = []string{nodes[0].address()}
	}
	var all []Member
	for _, nd := range nodes {
		all = append(all, nd.ms.self.Member)
	}
	pl := newPlan(all, o.MaxFullMeshMembers)
	for i, nd := range nodes {
		var planned []string
		for j, m := range all {
			if i != j && pl.linked(all[i], m) {
				planned = append(planned, m.Name)
			}
		}
		g.Eventually(nd.liveNames, waitTimeout).Should(HaveLen(9))
		g.Eventually(nd.peers, waitTimeout).Should(Equal(planned))
	}
}

func TestPartialMeshReportsOnlyStoppedMemberLost(t *testing.T) {
	g := NewWithT(t)
	o := Options{MaxFullMeshMembers: 3, LostAfter: 3 * time.Second, HeartbeatInterval: 100 * time.Millisecond}
	var nodes []*node
	var stop func()
	for i := range 12 {
		o.Self = Member{Name: fmt.Sprintf("m%02d", i), AvailabilityZone: string(rune('x' + i%3))}
		nd := newNode(t, o)
		stop = nd.start(t)
		nodes = append(nodes, nd)
		o.Seeds = []string{nodes[0].address()}
	}
	for _, nd := range nodes {
		g.Eventually(nd.stateCount, waitTimeout).Should(Equal(11))
	}
	stop()
	dead := nodes[11].ms.self.Member
	for _, nd := range nodes[:11] {
		g.Eventually(nd.lostMembers, waitTimeout).Should(Equal([]Member{dead}))
		g.Expect(nd.liveNames()).To(HaveLen(11))
	}
}

func TestFetch(t *testing.T) {
	serve := func(name string) ([]byte, bool) { return bytes.Repeat([]byte("x"), 1<<20), name == "map" }
	g := NewWithT(t)
	a := startNode(t, Options{Self: Member{Name: "a"}, HandleFetch: serve})
	b := startNode(t, Options{Self: Member{Name: "b"}})
	body, err := b.ms.Fetch(t.Context(), a.ms.self.Member, "map")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(HaveLen(1 << 20))
	_, err = b.ms.Fetch(t.Context(), a.ms.self.Member, "other")
	g.Expect(err).To(MatchError(&NotFoundError{Instance: "a", Document: "other"}))
	_, err = b.ms.Fetch(t.Context(), Member{Name: "c", Address: closedAddress(t)}, "map")
	g.Expect(err).To(MatchError(ContainSubstring("dial peer")))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = b.ms.Fetch(ctx, a.ms.self.Member, "map")
	g.Expect(err).To(MatchError(context.Canceled))
}

func TestFetchFromSilentPeerFailsAtContextDeadline(t *testing.T) {
	g := NewWithT(t)
	// The kernel completes the handshake, but no one accepts the connection.
	silent := listen(t)
	b := startNode(t, Options{Self: Member{Name: "b"}})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := b.ms.Fetch(ctx, Member{Name: "a", Address: silent.Addr().String()}, "map")
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
}

func TestPeerThatNeverReadsDelaysNoOtherPeer(t *testing.T) {
	g := NewWithT(t)
	const bodyBytes, rounds = 1 << 20, 30
	a := startNode(t, Options{Self: Member{Name: "a"}})
	b := startNode(t, Options{Self: Member{Name: "b"}, Seeds: []string{a.address()}})
	g.Eventually(b.stateOf("a"), waitTimeout).Should(Equal("state of a"))

	conn, _, err := dial(t.Context(), a.address())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	stream, err := conn.NewStream(t.Context(), exchangeRPC, encoding{})
	g.Expect(err).NotTo(HaveOccurred())
	hello := memberInfo{Member: Member{Name: "silent", Incarnation: "1", Address: closedAddress(t)}}
	g.Expect(stream.MsgSend(&frame{Entries: []entry{{Info: &hello, Heartbeat: 1}}}, encoding{})).To(Succeed())
	g.Eventually(a.peers, waitTimeout).Should(Equal([]string{"b", "silent"}))

	for i := range rounds {
		body := bytes.Repeat([]byte{byte('a' + i)}, bodyBytes)
		a.publish(body)
		g.Eventually(func() bool { return b.stateOf("a")() == string(body) }, waitTimeout).Should(BeTrue())
	}
	g.Eventually(a.peers, waitTimeout).Should(Equal([]string{"b"}))
	g.Expect(a.lostMembers()).NotTo(ContainElement(b.ms.self.Member))
}

func TestStoppingIsPropagated(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, Options{Self: Member{Name: "a"}})
	b := startNode(t, Options{Self: Member{Name: "b"}, Seeds: []string{a.address()}})
	g.Eventually(b.liveNames, waitTimeout).Should(Equal([]string{"a", "b"}))
	a.ms.SetStopping()
	g.Eventually(func() bool { return b.ms.Live()[0].Stopping }, waitTimeout).Should(BeTrue())
	g.Expect(b.lostMembers()).To(BeEmpty())
}

func TestStoreUnreachableIsPropagated(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, Options{Self: Member{Name: "a"}})
	b := startNode(t, Options{Self: Member{Name: "b"}, Seeds: []string{a.address()}})
	g.Eventually(b.liveNames, waitTimeout).Should(Equal([]string{"a", "b"}))
	for _, unreachable := range []bool{true, false, true} {
		before := b.ms.MembershipVersion()
		a.ms.SetStoreUnreachable(unreachable)
		g.Eventually(func() bool { return b.ms.Live()[0].StoreUnreachable }, waitTimeout).Should(Equal(unreachable))
		g.Expect(b.ms.MembershipVersion()).To(BeNumerically(">", before))
	}
	g.Expect(b.lostMembers()).To(BeEmpty())
}

// TestFinalStateIsSentBeforeShutdown changes a member's state right before it shuts down, as when its last request ends. If
// shutdown closed the links while that state is still queued, the other members would count the request as in flight until they
// consider the member lost.
func TestFinalStateIsSentBeforeShutdown(t *testing.T) {
	tests := map[string]struct{ first, second string }{
		"by a link that the member opened": {"a", "b"},
		"by a link that the peer opened":   {"b", "a"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			// The member with the lower name dials.
			leaving := newNode(t, Options{Self: Member{Name: tc.first}, MinSendInterval: 20 * time.Millisecond, LostAfter: never, FlushTimeout: waitTimeout})
			stop := leaving.start(t)
			remaining := startNode(t, Options{Self: Member{Name: tc.second}, Seeds: []string{leaving.address()}, LostAfter: never})
			g.Eventually(remaining.stateOf(tc.first), waitTimeout).Should(Equal("state of " + tc.first))
			g.Eventually(leaving.stateOf(tc.second), waitTimeout).Should(Equal("state of " + tc.second))
			leaving.publish([]byte("nothing in flight"))
			stop()
			g.Eventually(remaining.stateOf(tc.first), waitTimeout).Should(Equal("nothing in flight"))
		})
	}
}
