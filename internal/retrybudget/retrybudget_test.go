package retrybudget_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/retrybudget"
	"github.com/silvermount/silvermount/internal/retryledger"
)

// fixture is a budget with a fake ledger.
type fixture struct {
	*retrybudget.Budget
	now time.Time
	// left is what the ledger has, err its error, and calls the number of reservations tried.
	left  int
	err   error
	calls int
	// returned is the number of retries that were returned to the ledger.
	returned int
}

func newFixture(left int) *fixture {
	fx := &fixture{now: time.Unix(1000, 0), left: left}
	fx.Budget = retrybudget.New(retrybudget.Options{
		Ratio: 0.2, Now: func() time.Time { return fx.now }, Spawn: func(f func()) { f() }, Log: &log.Logger{Handler: discard.New()},
		Reserve: fx.reserve,
		Release: func(_ context.Context, _ retryledger.Reservation, unused int) error {
			fx.returned += unused
			return nil
		},
	})
	return fx
}

func (fx *fixture) reserve(_ context.Context, service string, n int) (retryledger.Reservation, error) {
	fx.calls++
	if fx.err != nil {
		return retryledger.Reservation{}, fx.err
	}
	if fx.left == 0 {
		return retryledger.Reservation{}, &retryledger.ExhaustedError{Service: service, Until: fx.now.Add(10 * time.Second)}
	}
	n = min(n, fx.left)
	fx.left -= n
	return retryledger.Reservation{Service: service, ID: "r", Retries: n, Until: fx.now.Add(time.Second), Free: fx.left}, nil
}

// withdrawAll withdraws until nothing is left, and returns the number of retries.
func (fx *fixture) withdrawAll(service string) int {
	n := 0
	for fx.Withdraw(service).Granted() {
		n++
	}
	return n
}

func TestNewLifeBeginsEmpty(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture(0)
	fx.SetShare(5, 2)
	g.Expect(fx.withdrawAll("s")).To(BeZero())
	for range 100 {
		fx.Deposit("s")
	}
	g.Expect(fx.withdrawAll("s")).To(Equal(5))
}

func TestServiceIsNotFundedByAnother(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture(0)
	fx.SetShare(5, 2)
	for range 100 {
		fx.Deposit("other")
	}
	g.Expect(fx.withdrawAll("s")).To(BeZero())
	g.Expect(fx.withdrawAll("other")).To(Equal(5))
}

func TestRemovedServiceBeginsEmptyAgain(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture(0)
	fx.SetShare(5, 2)
	for range 100 {
		fx.Deposit("s")
	}
	fx.Retain(func(name string) bool { return name != "s" })
	g.Expect(fx.withdrawAll("s")).To(BeZero())
}

func TestEverythingInTheLedgerCanBeWithdrawn(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture(70)
	g.Expect(fx.withdrawAll("s")).To(Equal(70))
}

func TestReservedRetriesExpireAndAreReturned(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture(70)
	g.Expect(fx.Withdraw("s").Source).To(Equal(retrybudget.SourceLedger))
	reserved := 70 - fx.left
	fx.left = 0
	fx.now = fx.now.Add(time.Second)
	fx.Expire()
	g.Expect(fx.returned).To(Equal(reserved - 1))
	g.Expect(fx.Withdraw("s").Granted()).To(BeFalse())
}

// TestRequestsRefillWhatWasReserved guards against a ratio that is lost while the share of the instance is small.
func TestRequestsRefillWhatWasReserved(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture(4)
	g.Expect(fx.withdrawAll("s")).To(Equal(4))
	for range 11 {
		fx.Deposit("s")
	}
	g.Expect(fx.withdrawAll("s")).To(Equal(2))
}

func TestFailedReservationsAreNotRepeatedAtOnce(t *testing.T) {
	errs := map[string]error{
		"exhausted":    &retryledger.ExhaustedError{Until: time.Unix(2000, 0)},
		"store down":   &objectstore.UnavailableError{Cause: context.DeadlineExceeded},
		"lost answer":  &objectstore.UnknownOutcomeError{Cause: context.DeadlineExceeded},
		"many writers": &retryledger.ContentionError{},
	}
	for name, err := range errs {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fx := newFixture(10)
			fx.err = err
			g.Expect(fx.Available("s")).To(BeTrue())
			for range 50 {
				g.Expect(fx.Withdraw("s").Granted()).To(BeFalse())
			}
			g.Expect(fx.Available("s")).To(BeFalse())
			g.Expect(fx.calls).To(Equal(1))
			fx.err = nil
			fx.now = fx.now.Add(time.Second)
			g.Expect(fx.Available("s")).To(BeTrue())
			g.Expect(fx.withdrawAll("s")).To(Equal(10))
		})
	}
}

func TestBalanceIsHandedToTheZone(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture(10)
	fx.SetShare(0.5, 20)
	var credits []float64
	fx.SetBorrow(func(_ string, credit float64) (bool, error) {
		credits = append(credits, credit)
		return len(credits) < 3, nil
	})
	for range 10 {
		fx.Deposit("s")
	}
	g.Expect(fx.Withdraw("s").Source).To(Equal(retrybudget.SourceZone))
	fx.Deposit("s")
	g.Expect(fx.Withdraw("s").Source).To(Equal(retrybudget.SourceZone))
	g.Expect(fx.Withdraw("s").Granted()).To(BeFalse())
	g.Expect(credits).To(Equal([]float64{0.5, 0.2, 0}))
	g.Expect(fx.calls).To(BeZero())
}

// noAnswerError means that the holder does not answer.
type noAnswerError struct{}

func (noAnswerError) Error() string { return "no answer" }

// TestLedgerServesWhileHolderIsLost guards against retries that are denied until the loss of the zone's holder is noticed.
func TestLedgerServesWhileHolderIsLost(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture(10)
	fx.SetBorrow(func(string, float64) (bool, error) { return false, noAnswerError{} })
	g.Expect(fx.withdrawAll("s")).To(Equal(10))
}

func TestReservationIsPendingForPeers(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture(4)
	granted, pending := fx.TryWithdraw("s")
	g.Expect(granted).To(BeFalse())
	g.Expect(pending).To(BeTrue())
	for range 4 {
		granted, _ = fx.TryWithdraw("s")
		g.Expect(granted).To(BeTrue())
	}
	fx.TryWithdraw("s")
	_, pending = fx.TryWithdraw("s")
	g.Expect(pending).To(BeFalse())
}

// TestManyFailuresAtOnceNeedFewReservations withdraws for 60 requests at the same time.
func TestManyFailuresAtOnceNeedFewReservations(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture(1000)
	var granted atomic.Int64
	var wg sync.WaitGroup
	for range 60 {
		wg.Go(func() {
			if fx.Withdraw("s").Granted() {
				granted.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(granted.Load()).To(BeEquivalentTo(60))
	g.Expect(fx.calls).To(BeNumerically("<=", 6))
}

// TestPartsOfFloorStayWithinIt adds up everything that can be withdrawn without a request, for fleets of all sizes.
func TestPartsOfFloorStayWithinIt(t *testing.T) {
	tests := map[string]struct {
		floor          float64
		zones, perZone int
	}{
		"six instances":  {106, 3, 2},
		"nine instances": {106, 3, 3},
		"dozens":         {228, 3, 25},
		"140":            {256, 5, 28},
		"hundreds":       {660, 5, 59},
		"a thousand":     {1040, 5, 197},
		"two thousand":   {2080, 5, 394},
		"one zone":       {20, 1, 3},
		"small floor":    {1, 3, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			instances := float64(tc.zones * tc.perZone)
			ledger := float64(retrybudget.LedgerRetries(tc.floor))
			sh := retrybudget.NewShare(tc.floor, tc.zones, tc.perZone)
			g.Expect(ledger + instances*sh.Own + float64(tc.zones)*sh.Zone).To(BeNumerically("<=", 0.96*tc.floor))
			if tc.floor >= instances {
				initial := retrybudget.InitialShare(tc.floor, tc.zones)
				g.Expect(ledger + instances*initial.Own + float64(tc.zones)*initial.Zone).To(BeNumerically("<=", tc.floor))
			}
		})
	}
}
