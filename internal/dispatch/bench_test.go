package dispatch_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/silvermount/silvermount/internal/dispatch"
)

// BenchmarkDecision measures one choice for a short and for a long prompt, with short answers in flight at a tenth of the targets.
func BenchmarkDecision(b *testing.B) {
	kinds := map[string]func(*clocked) dispatch.Request{"short": (*clocked).short, "long": (*clocked).long}
	for _, count := range []int{60, 295, 1600} {
		for name, ask := range kinds {
			b.Run(fmt.Sprint(name, "/", count), func(b *testing.B) {
				// A choice that has to wait would do so for ever on a clock that stands still.
				ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
				defer cancel()
				ids := make([]string, count)
				for no := range ids {
					ids[no] = "t" + strconv.Itoa(no)
				}
				hs := newClockedAt(func() time.Time { return time.Unix(1000, 0) }, ids...)
				take := func(rq dispatch.Request) *dispatch.Slot {
					sl, err := hs.ds.Acquire(ctx, rq)
					if err != nil {
						b.Fatal(err)
					}
					return sl
				}
				for range count / 10 {
					take(hs.short()).RecordFirstToken()
				}
				for b.Loop() {
					take(ask(hs)).Release()
				}
			})
		}
	}
}
