package retryledger_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/retryledger"
)

const (
	window   = 10 * time.Second
	validity = time.Second
	lifetime = window + validity
)

// fakeStore is a store whose pages the ledgers of a test share.
type fakeStore struct {
	now     time.Time
	version int64
	pages   map[string]objectstore.Object
	calls   int
	// beforeWrite is called before each write; loseAnswer makes the next write's answer get lost.
	beforeWrite func()
	loseAnswer  bool
	down        bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{now: time.Unix(1000, 0), pages: map[string]objectstore.Object{}, beforeWrite: func() {}}
}

func (fs *fakeStore) get(_ context.Context, service string) (objectstore.Object, error) {
	fs.calls++
	if fs.down {
		return objectstore.Object{}, &objectstore.UnavailableError{Cause: context.DeadlineExceeded}
	}
	ob, ok := fs.pages[service]
	if !ok {
		return ob, &objectstore.NotFoundError{Name: service}
	}
	return ob, nil
}

func (fs *fakeStore) list(context.Context) (objectstore.Listing, error) {
	fs.calls++
	var l objectstore.Listing
	for _, ob := range fs.pages {
		l.Items = append(l.Items, ob)
	}
	return l, nil
}

func (fs *fakeStore) write(_ context.Context, service string, version int64, value json.RawMessage) (objectstore.Object, error) {
	fs.calls++
	fs.beforeWrite()
	if fs.down {
		return objectstore.Object{}, &objectstore.UnavailableError{Cause: context.DeadlineExceeded}
	}
	if ob := fs.pages[service]; ob.Version != version {
		return ob, &objectstore.ConflictError{Name: service}
	}
	fs.version++
	fs.pages[service] = objectstore.Object{Name: service, Version: fs.version, Value: value}
	if fs.loseAnswer {
		fs.loseAnswer = false
		return objectstore.Object{}, &objectstore.UnknownOutcomeError{Cause: context.DeadlineExceeded}
	}
	return fs.pages[service], nil
}

// open returns the ledger of a new life of an instance.
func (fs *fakeStore) open(limit int) *retryledger.Ledger {
	lg := retryledger.New(retryledger.Options{
		Store: retryledger.Store{Get: fs.get, List: fs.list, Write: fs.write}, Now: func() time.Time { return fs.now },
		Sleep: func(context.Context, time.Duration) {},
	})
	lg.SetLimits(retryledger.Limits{Retries: limit, Window: window, Validity: validity})
	return lg
}

// reserveAll reserves retries one after the other until none are left, and returns their number.
func reserveAll(g *WithT, lg *retryledger.Ledger) int {
	for n := 0; ; {
		rs, err := lg.Reserve(context.Background(), "s", 100)
		if err != nil {
			var ee *retryledger.ExhaustedError
			g.Expect(err).To(BeAssignableToTypeOf(ee))
			return n
		}
		n += rs.Retries
	}
}

func TestReservationsStayWithinLimitOverLives(t *testing.T) {
	g := NewWithT(t)
	fs := newFakeStore()
	g.Expect(reserveAll(g, fs.open(50))).To(Equal(50))
	later := fs.open(50)
	g.Expect(reserveAll(g, later)).To(BeZero())
	fs.now = fs.now.Add(lifetime - time.Millisecond)
	g.Expect(reserveAll(g, later)).To(BeZero())
	fs.now = fs.now.Add(time.Millisecond)
	g.Expect(reserveAll(g, later)).To(Equal(50))
}

// TestLifeWithoutKnowledgeWaitsForWholeLifetime guards against a new life that takes reservations for older than they are.
func TestLifeWithoutKnowledgeWaitsForWholeLifetime(t *testing.T) {
	g := NewWithT(t)
	fs := newFakeStore()
	reserveAll(g, fs.open(50))
	fs.now = fs.now.Add(lifetime)
	later := fs.open(50)
	g.Expect(reserveAll(g, later)).To(BeZero())
	fs.now = fs.now.Add(lifetime)
	g.Expect(reserveAll(g, later)).To(Equal(50))
}

func TestObservedReservationsExpireAfterStart(t *testing.T) {
	g := NewWithT(t)
	fs := newFakeStore()
	reserveAll(g, fs.open(50))
	later := fs.open(50)
	g.Expect(later.Observe(context.Background())).To(Succeed())
	fs.now = fs.now.Add(lifetime)
	g.Expect(reserveAll(g, later)).To(Equal(50))
}

func TestReservationLeavesRetriesToOthers(t *testing.T) {
	g := NewWithT(t)
	fs := newFakeStore()
	first, err := fs.open(40).Reserve(context.Background(), "s", 100)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Retries).To(Equal(10))
	g.Expect(first.Free).To(Equal(30))
	g.Expect(first.Until).To(Equal(fs.now.Add(validity)))
}

func TestConflictingReservationsAreBothCounted(t *testing.T) {
	g := NewWithT(t)
	fs := newFakeStore()
	one, other := fs.open(40), fs.open(40)
	conflicts := 0
	fs.beforeWrite = func() {
		if conflicts++; conflicts == 1 {
			_, err := other.Reserve(context.Background(), "s", 4)
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	rs, err := one.Reserve(context.Background(), "s", 4)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rs.Free).To(Equal(32))
}

func TestReservationWithLostAnswerCounts(t *testing.T) {
	g := NewWithT(t)
	fs := newFakeStore()
	lg := fs.open(40)
	fs.loseAnswer = true
	_, err := lg.Reserve(context.Background(), "s", 10)
	g.Expect(err).To(HaveOccurred())
	g.Expect(reserveAll(g, lg)).To(Equal(30))
}

func TestUnusedRetriesAreReturned(t *testing.T) {
	g := NewWithT(t)
	fs := newFakeStore()
	lg := fs.open(40)
	rs, err := lg.Reserve(context.Background(), "s", 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lg.Release(context.Background(), rs, 7)).To(Succeed())
	g.Expect(reserveAll(g, fs.open(40))).To(Equal(37))
	g.Expect(lg.Release(context.Background(), rs, 3)).To(Succeed())
	g.Expect(string(fs.pages["s"].Value)).NotTo(ContainSubstring(rs.ID))
}

// TestNothingIsReservedAfterStoreLostReservations guards against a store that comes back from an older copy.
func TestNothingIsReservedAfterStoreLostReservations(t *testing.T) {
	g := NewWithT(t)
	fs := newFakeStore()
	lg := fs.open(40)
	_, err := lg.Reserve(context.Background(), "s", 4)
	g.Expect(err).NotTo(HaveOccurred())
	older := fs.pages["s"]
	reserveAll(g, lg)
	fs.pages["s"] = older
	fs.now = fs.now.Add(2 * time.Second)
	g.Expect(reserveAll(g, lg)).To(BeZero())
	fs.now = fs.now.Add(lifetime)
	g.Expect(reserveAll(g, lg)).To(Equal(40))
}

func TestExhaustedLedgerCallsTheStoreOncePerSecond(t *testing.T) {
	g := NewWithT(t)
	fs := newFakeStore()
	lg := fs.open(40)
	reserveAll(g, lg)
	before := fs.calls
	for range 100 {
		reserveAll(g, lg)
		fs.now = fs.now.Add(50 * time.Millisecond)
	}
	g.Expect(fs.calls - before).To(BeNumerically("<=", 5))
}

func TestTidyRemovesExpiredReservations(t *testing.T) {
	tests := map[string]struct {
		// own is set if the instance that tidies made the reservation.
		own  bool
		wait time.Duration
		want bool
	}{
		"own, in use":              {true, lifetime - time.Millisecond, false},
		"own, expired":             {true, lifetime, true},
		"of another, just expired": {false, lifetime, false},
		"of another, left":         {false, 2 * lifetime, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fs := newFakeStore()
			maker, other := fs.open(40), fs.open(40)
			rs, err := maker.Reserve(context.Background(), "s", 4)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(other.Observe(context.Background())).To(Succeed())
			fs.now = fs.now.Add(tc.wait)
			tidier := other
			if tc.own {
				tidier = maker
			}
			g.Expect(tidier.Tidy(context.Background())).To(Succeed())
			g.Expect(json.Valid(fs.pages["s"].Value)).To(BeTrue())
			if tc.want {
				g.Expect(string(fs.pages["s"].Value)).NotTo(ContainSubstring(rs.ID))
				return
			}
			g.Expect(string(fs.pages["s"].Value)).To(ContainSubstring(rs.ID))
		})
	}
}

func TestServicesHaveLedgersOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	fs := newFakeStore()
	lg := fs.open(40)
	reserveAll(g, lg)
	rs, err := lg.Reserve(context.Background(), "other", 4)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rs.Free).To(Equal(36))
	lg.Retain(func(string) bool { return false })
	g.Expect(reserveAll(g, lg)).To(BeZero())
}
