package reservation_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/reservation"
)

const (
	// holdMost is the users' bound on the time for which memory is set aside beyond the last use of it.
	holdMost = 4 * time.Second
	// lateMost is how much later a lost order may still be carried out.
	lateMost = 12 * time.Second
	// travel is how long an order and its answer take.
	travel = 5 * time.Millisecond
)

// LostError says that an order had no answer.
type LostError struct{}

// Error says so.
func (*LostError) Error() string { return "no answer" }

// order is one order that came to a target.
type order struct {
	op, address, id string
	tokens          int64
	at              time.Time
}

// fakeTargets carries out orders.
type fakeTargets struct {
	mu     sync.Mutex
	orders []order
	// held holds until when memory is set aside, by address.
	held map[string]time.Time
	// reserve and release say how an order ends; nil is well.
	reserve, release func(address string) error
	ids              int
	// taken is released at the end of a test, at least once more.
	taken []*reservation.Reservation
}

func newFakeTargets() *fakeTargets { return &fakeTargets{held: map[string]time.Time{}} }

func (ft *fakeTargets) keeper() *reservation.Manager {
	return &reservation.Manager{
		Timeout: 400 * time.Millisecond, LeaseDuration: 3 * time.Second,
		Reserve: ft.onReserve, Release: ft.onRelease, NewID: ft.newID,
		Log: &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
	}
}

func (ft *fakeTargets) newID() string {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.ids++
	return fmt.Sprintf("mem-%d", ft.ids)
}

func (ft *fakeTargets) onReserve(ctx context.Context, address, id string, tokens int64, hold time.Duration, _ func(answer.Head)) error {
	time.Sleep(travel)
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.orders = append(ft.orders, order{"reserve", address, id, tokens, time.Now()})
	if ft.reserve != nil {
		if err := ft.reserve(address); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	ft.held[address] = time.Now().Add(hold)
	return nil
}

func (ft *fakeTargets) onRelease(_ context.Context, address, id string, _ func(answer.Head)) error {
	time.Sleep(travel)
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.orders = append(ft.orders, order{op: "release", address: address, id: id, at: time.Now()})
	if ft.release != nil {
		if err := ft.release(address); err != nil {
			return err
		}
	}
	delete(ft.held, address)
	return nil
}

func (ft *fakeTargets) set(edit func()) { ft.mu.Lock(); defer ft.mu.Unlock(); edit() }

// count returns the orders of a sort at an address.
func (ft *fakeTargets) count(op, address string) int {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	n := 0
	for _, od := range ft.orders {
		if od.op == op && od.address == address {
			n++
		}
	}
	return n
}

// lastAt returns when the newest order of a sort came to an address.
func (ft *fakeTargets) lastAt(op, address string) time.Time {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	last := time.Time{}
	for _, od := range ft.orders {
		if od.op == op && od.address == address {
			last = od.at
		}
	}
	return last
}

// holding returns how many targets hold memory now.
func (ft *fakeTargets) holding() int {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	n := 0
	for _, until := range ft.held {
		if time.Now().Before(until) {
			n++
		}
	}
	return n
}

var places = []reservation.Allocation{{Address: "a", Tokens: 100}, {Address: "b", Tokens: 200}, {Address: "c", Tokens: 300}}

func bubble(t *testing.T, run func(g *WithT, ft *fakeTargets)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ft := newFakeTargets()
		t.Cleanup(func() {
			for _, rv := range ft.taken {
				rv.Release()
			}
			time.Sleep(time.Minute)
		})
		run(NewWithT(t), ft)
	})
}

func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
