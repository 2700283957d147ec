package gossip

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// echo answers queries of the name "echo" with their own body.
func echo(name string, query []byte) ([]byte, bool) { return query, name == "echo" }

func TestQuery(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, Options{Self: Member{Name: "a"}, HandleQuery: echo})
	// b is linked to a, c is not.
	b := startNode(t, Options{Self: Member{Name: "b"}, Seeds: []string{a.address()}})
	c := startNode(t, Options{Self: Member{Name: "c"}})
	g.Eventually(b.stateOf("a"), waitTimeout).Should(Equal("state of a"))
	for _, nd := range []*node{b, c} {
		for range 3 {
			answer, err := nd.ms.Query(t.Context(), a.ms.self.Member, "echo", []byte("hello"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(answer)).To(Equal("hello"))
		}
		_, err := nd.ms.Query(t.Context(), a.ms.self.Member, "other", []byte("hello"))
		g.Expect(err).To(MatchError(&NotFoundError{Instance: "a", Document: "other"}))
	}
	g.Expect(c.ms.queryConns.count).To(Equal(1), "the connection is reused")
	_, err := c.ms.Query(t.Context(), Member{Name: "d", Address: closedAddress(t)}, "echo", []byte("hello"))
	g.Expect(err).To(MatchError(ContainSubstring("dial peer")))
}

func TestQueryToSilentPeerFailsAtContextDeadline(t *testing.T) {
	g := NewWithT(t)
	// The kernel completes the handshake, but no one accepts the connection.
	silent := listen(t)
	b := startNode(t, Options{Self: Member{Name: "b"}})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := b.ms.Query(ctx, Member{Name: "a", Address: silent.Addr().String()}, "echo", []byte("hello"))
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	g.Expect(b.ms.queryConns.count).To(BeZero())
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, Options{Self: Member{Name: "a"}})
	cp := newConnPool()
	now := time.Now()
	for range maxIdleConns + 5 {
		conn, _, err := dial(t.Context(), a.address())
		g.Expect(err).NotTo(HaveOccurred())
		cp.put(a.address(), conn, now)
	}
	g.Expect(cp.count).To(Equal(maxIdleConns))
	g.Expect(cp.get(a.address(), now.Add(maxIdleTime))).To(BeNil(), "all have been idle for too long")
	g.Expect(cp.count).To(BeZero())
}

func TestMemberCountsIncludeRecentlyLostMembers(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, Options{Self: Member{Name: "a"}, LostAfter: 200 * time.Millisecond})
	b := newNode(t, Options{Self: Member{Name: "b"}, Seeds: []string{a.address()}, LostAfter: 200 * time.Millisecond})
	stop := b.start(t)
	both := func() []int {
		live, known := a.ms.MemberCounts()
		return []int{live, known}
	}
	g.Eventually(both, waitTimeout).Should(Equal([]int{2, 2}))
	stop()
	g.Eventually(both, waitTimeout).Should(Equal([]int{1, 2}))
}
