package ring

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

func TestRing(t *testing.T) {
	tests := map[string]struct {
		capacity, offers int
		wantLen          int
		wantShed         uint64
	}{
		"fits":       {capacity: 2, offers: 2, wantLen: 2},
		"sheds over": {capacity: 2, offers: 5, wantLen: 2, wantShed: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rg := New[int](tc.capacity)
			for i := range tc.offers {
				rg.Offer(i)
			}
			g.Expect(rg.Len()).To(Equal(tc.wantLen))
			g.Expect(rg.Dropped()).To(Equal(tc.wantShed))
			g.Expect(<-rg.Items()).To(Equal(0))
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			g.Expect(rg.Put(ctx, 9)).To(Or(Succeed(), MatchError(context.Canceled)))
		})
	}
}
