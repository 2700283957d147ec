package dispatch_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
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

// BenchmarkQueuedAcquire measures one more request that joins a queue of 1,000, the release of the only slot, and the wake of the first one,
// which takes the slot.
func BenchmarkQueuedAcquire(b *testing.B) {
	const waiting = 999
	dr := targets.New(time.Now)
	dr.ApplyList([]targets.Target{{ID: "t1", Service: "s", Slots: 1, AvailabilityZone: "a"}}, nil, position.Position{}, time.Now())
	ds := dispatch.New(dr, nil, dispatch.Options{Instance: "i", AvailabilityZone: "a", Now: time.Now, Queue: &dispatch.QueueOptions{}})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	placed := make(chan *dispatch.Slot, waiting)
	send := func() {
		now := time.Now()
		rq := dispatch.Request{
			ID: "r", Service: routes.Service{Name: "s"}, Objective: time.Hour, Arrived: now, Deadline: now.Add(2 * time.Hour),
		}
		go func() {
			if sl, err := ds.Acquire(ctx, rq); err == nil {
				placed <- sl
			}
		}()
	}
	send()
	held := <-placed
	for range waiting {
		send()
	}
	for ds.QueueLength() < waiting {
		time.Sleep(time.Millisecond)
	}
	for b.Loop() {
		send()
		held.Release()
		held = <-placed
	}
}
