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

	"github.com/silvermount/silvermount/internal/reservation"
	"github.com/silvermount/silvermount/internal/responsehead"
)

const (
	// maxExpiry is the required upper limit on the time for which memory stays reserved after its last use.
	maxExpiry = 4 * time.Second
	// maxOrderDelay is the time after which an order without an answer may still be carried out.
	maxOrderDelay = 12 * time.Second
	// roundTrip is the time that an order and its answer take.
	roundTrip = 5 * time.Millisecond
)

// NoAnswerError is returned for an order without an answer.
type NoAnswerError struct{}

func (*NoAnswerError) Error() string { return "no answer" }

// order is an order that a target received.
type order struct {
	op, address, id string
	tokens          int64
	at              time.Time
}

// fakeTargets carries out orders for any address.
type fakeTargets struct {
	mu     sync.Mutex
	orders []order
	// expiries holds the time at which reserved memory expires, by address.
	expiries map[string]time.Time
	// reserve and release return the result of an order at an address. If one is nil, these orders succeed.
	reserve, release func(address string) error
	ids              int
	// acquired is released at the end of a test, in addition to any release by the test.
	acquired []*reservation.Reservation
}

func newFakeTargets() *fakeTargets { return &fakeTargets{expiries: map[string]time.Time{}} }

func (ft *fakeTargets) manager() *reservation.Manager {
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

func (ft *fakeTargets) onReserve(ctx context.Context, address, id string, tokens int64, leaseDuration time.Duration, _ func(responsehead.Head)) error {
	time.Sleep(roundTrip)
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
	ft.expiries[address] = time.Now().Add(leaseDuration)
	return nil
}

func (ft *fakeTargets) onRelease(_ context.Context, address, id string, _ func(responsehead.Head)) error {
	time.Sleep(roundTrip)
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.orders = append(ft.orders, order{op: "release", address: address, id: id, at: time.Now()})
	if ft.release != nil {
		if err := ft.release(address); err != nil {
			return err
		}
	}
	delete(ft.expiries, address)
	return nil
}

func (ft *fakeTargets) set(update func()) { ft.mu.Lock(); defer ft.mu.Unlock(); update() }

// count returns the number of orders with an operation at an address.
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

// lastAt returns the arrival time of the last order with an operation at an address.
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

// holding returns the number of targets with reserved memory.
func (ft *fakeTargets) holding() int {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	n := 0
	for _, expiry := range ft.expiries {
		if time.Now().Before(expiry) {
			n++
		}
	}
	return n
}

var allocations = []reservation.Allocation{{Address: "a", Tokens: 100}, {Address: "b", Tokens: 200}, {Address: "c", Tokens: 300}}

func runInBubble(t *testing.T, run func(g *WithT, ft *fakeTargets)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ft := newFakeTargets()
		t.Cleanup(func() {
			for _, rv := range ft.acquired {
				rv.Release()
			}
			time.Sleep(time.Minute)
		})
		run(NewWithT(t), ft)
	})
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
