package dispatch_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/silvermount/silvermount/internal/dispatch"
)

// BenchmarkAcquire measures one choice of a target for a short and for a long prompt, with short answers in flight at a
// tenth of the targets.
func BenchmarkAcquire(b *testing.B) {
	kinds := map[string]func(*clockHarness) dispatch.Request{"short": (*clockHarness).shortPrompt, "long": (*clockHarness).longPrompt}
	for _, count := range []int{60, 295, 1600} {
		for name, newRequest := range kinds {
			b.Run(fmt.Sprint(name, "/", count), func(b *testing.B) {
				// A request that has to wait would block forever, since the clock stands still.
				ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
				defer cancel()
				ids := make([]string, count)
				for i := range ids {
					ids[i] = "t" + strconv.Itoa(i)
				}
				hs := newClockHarness(func() time.Time { return time.Unix(1000, 0) }, ids...)
				take := func(rq dispatch.Request) *dispatch.Slot {
					sl, err := hs.dispatcher.Acquire(ctx, rq)
					if err != nil {
						b.Fatal(err)
					}
					return sl
				}
				for range count / 10 {
					take(hs.shortPrompt()).RecordFirstToken()
				}
				for b.Loop() {
					take(newRequest(hs)).Release()
				}
			})
		}
	}
}
