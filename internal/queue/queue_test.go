package queue

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

func TestOfferDropsItemsWhenFull(t *testing.T) {
	tests := map[string]struct {
		capacity, offers int
		wantLen          int
		wantDropped      uint64
	}{
		"within the capacity": {capacity: 2, offers: 2, wantLen: 2},
		"beyond the capacity": {capacity: 2, offers: 5, wantLen: 2, wantDropped: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			qu := New[int](tc.capacity)
			for i := range tc.offers {
				qu.Offer(i)
			}
			g.Expect(qu.Len()).To(Equal(tc.wantLen))
			g.Expect(qu.Dropped()).To(Equal(tc.wantDropped))
			g.Expect(<-qu.Items()).To(Equal(0))
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			g.Expect(qu.Put(ctx, 9)).To(Or(Succeed(), MatchError(context.Canceled)))
		})
	}
}
