package lease

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/standin/platformsim"
)

const ttl = 10 * time.Second

type clock struct{ at time.Duration }

func (ck *clock) now() time.Duration { return ck.at }

func newLeases(t *testing.T) (a, b *Lease, ck *clock, st *platformsim.Store) {
	t.Helper()
	st = platformsim.New()
	sr := httptest.NewServer(st.Handler())
	t.Cleanup(sr.Close)
	client := objectstore.New(sr.URL)
	ck = &clock{at: time.Hour}
	return New(client, "orders-a", "inst-a", ttl, ck.now), New(client, "orders-a", "inst-b", ttl, ck.now), ck, st
}

// TestAtMostOneHolderAfterPause guards against two instances holding the lease at the same time, after pauses of the holder
// shorter than, equal to and longer than its ttl.
func TestAtMostOneHolderAfterPause(t *testing.T) {
	for _, pause := range []time.Duration{ttl / 2, ttl - 1, ttl, ttl + 1, 3 * ttl} {
		t.Run(pause.String(), func(t *testing.T) {
			g := NewWithT(t)
			a, b, ck, _ := newLeases(t)
			g.Expect(a.TryAcquireOrRenew(t.Context())).To(Succeed())
			first, ok := a.Held(0)
			g.Expect(ok).To(BeTrue())
			g.Expect(b.TryAcquireOrRenew(t.Context())).To(Succeed())
			ck.at += pause
			g.Expect(b.TryAcquireOrRenew(t.Context())).To(Succeed())
			second, heldByB := b.Held(0)
			_, heldByA := a.Held(0)
			g.Expect(heldByB && heldByA).To(BeFalse(), "the paused holder detects the expiry by its own clock")
			g.Expect(heldByB).To(Equal(pause > ttl))
			if heldByB {
				g.Expect(second).To(BeNumerically(">", first))
				g.Expect(a.TryAcquireOrRenew(t.Context())).To(Succeed())
				_, reacquired := a.Held(0)
				g.Expect(reacquired).To(BeFalse())
			}
		})
	}
}

func TestLeaseNotHeldAfterLostResponse(t *testing.T) {
	g := NewWithT(t)
	a, _, _, st := newLeases(t)
	st.LoseResponses(1)
	g.Expect(a.TryAcquireOrRenew(t.Context())).NotTo(Succeed())
	_, ok := a.Held(0)
	g.Expect(ok).To(BeFalse())
	g.Expect(a.TryAcquireOrRenew(t.Context())).To(Succeed())
	epoch, ok := a.Held(0)
	g.Expect(ok).To(BeTrue())
	g.Expect(epoch).To(Equal(int64(1)))
}
