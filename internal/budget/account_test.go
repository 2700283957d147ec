package budget

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestSlowestTransferIsEndedWhenMemoryIsShort guards against requests that are refused, or fast transfers that are ended, because slow
// parties hold the memory.
func TestSlowestTransferIsEndedWhenMemoryIsShort(t *testing.T) {
	type transfer struct {
		held, taken int64
		// age is how long the transfer has taken.
		age time.Duration
		// none is set if no transfer is in progress, done if the other party has taken everything.
		none, done bool
	}
	tests := map[string]struct {
		transfers []transfer
		need      int64
		// want are the transfers that are ended, wantNot that the memory is not acquired.
		want    []int
		wantNot bool
	}{
		"the slowest is ended":                         {[]transfer{{40, 100, time.Second, false, false}, {40, 1, time.Second, false, false}}, 30, []int{1}, false},
		"only as many as needed":                       {[]transfer{{50, 0, 3 * time.Second, false, false}, {50, 0, 2 * time.Second, false, false}}, 50, []int{0}, false},
		"several":                                      {[]transfer{{50, 5, time.Second, false, false}, {50, 0, time.Second, false, false}}, 80, []int{0, 1}, false},
		"rate, not bytes":                              {[]transfer{{50, 50, 10 * time.Second, false, false}, {50, 20, time.Second, false, false}}, 50, []int{0}, false},
		"within the grace, which passes":               {[]transfer{{100, 0, time.Millisecond, false, false}}, 10, []int{0}, false},
		"everything was taken, the target computes":    {[]transfer{{100, 10, time.Minute, false, true}}, 10, nil, true},
		"no transfer":                                  {[]transfer{{100, 0, time.Minute, true, false}}, 10, nil, true},
		"memory is free":                               {[]transfer{{50, 0, time.Minute, false, false}}, 50, nil, false},
		"more than the whole":                          {[]transfer{{100, 0, time.Minute, false, false}}, 101, nil, true},
		"all that is slow does not suffice":            {[]transfer{{40, 0, time.Second, false, false}, {60, 0, time.Second, true, false}}, 50, nil, true},
		"a slower one without which another suffices":  {[]transfer{{20, 0, 2 * time.Second, false, false}, {80, 0, time.Second, false, false}}, 60, []int{1}, false},
		"a transfer that holds nothing is never ended": {[]transfer{{0, 0, time.Minute, false, false}, {100, 9, time.Second, false, false}}, 10, []int{1}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			mm := NewMemory(100)
			ended := make([]atomic.Bool, len(tc.transfers))
			for i, tr := range tc.transfers {
				var ac *Account
				ac = mm.Open(func(int64) {
					ended[i].Store(true)
					go ac.Close()
				})
				g.Expect(ac.TryAcquire(tr.held)).To(BeTrue())
				if !tr.none {
					ac.BeginTransfer(func() Progress { return Progress{Taken: tr.taken, Done: tr.done} })
					ac.sampledAt = time.Now().Add(-tr.age)
				}
			}
			own := mm.Open(func(int64) { t.Error("the account that acquires is ended") })
			own.BeginTransfer(func() Progress { return Progress{} })
			own.sampledAt = time.Now().Add(-time.Hour)
			g.Expect(own.Acquire(tc.need)).To(Equal(!tc.wantNot))
			var got []int
			for i := range ended {
				if ended[i].Load() {
					got = append(got, i)
				}
			}
			g.Expect(got).To(Equal(tc.want))
		})
	}
}

// TestTransfersAreOnlyEndedForBodiesThatFitThen guards against small requests that are ended on a busy machine for the first part of a large
// body, which is refused later for want of memory all the same.
func TestTransfersAreOnlyEndedForBodiesThatFitThen(t *testing.T) {
	const limit = 16 << 20
	tests := map[string]struct {
		// held is the memory of a slow transfer, size that of the body whose first part is to be received.
		held, size int64
		wantEnded  bool
	}{
		"the whole body fits":          {4 << 20, 4 << 20, true},
		"only its first part fits":     {200_000, 4 << 20, false},
		"a small body":                 {200_000, 100_000, true},
		"a body larger than the limit": {4 << 20, 2 * limit, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			mm := NewMemory(limit)
			var ended atomic.Bool
			var ac *Account
			ac = mm.Open(func(int64) { ended.Store(true); go ac.Close() })
			g.Expect(ac.TryAcquire(tc.held)).To(BeTrue())
			ac.BeginTransfer(func() Progress { return Progress{} })
			ac.sampledAt = time.Now().Add(-time.Second)
			body := mm.Open(func(int64) {})
			body.Expect(tc.size)
			for free := body.limit(1) - mm.Used(); free > 0; free = body.limit(1) - mm.Used() {
				g.Expect(mm.Open(func(int64) {}).TryAcquire(min(free, smallBytes))).To(BeTrue())
			}
			g.Expect(body.Acquire(64 << 10)).To(Equal(tc.wantEnded))
			g.Expect(ended.Load()).To(Equal(tc.wantEnded))
		})
	}
}

// TestMemoryOfEndedTransferIsNotCountedTwice guards against the end of more transfers while the memory of the first is on its way.
func TestMemoryOfEndedTransferIsNotCountedTwice(t *testing.T) {
	g := NewWithT(t)
	mm := NewMemory(100)
	var ended atomic.Int64
	accounts := make([]*Account, 2)
	for i := range accounts {
		accounts[i] = mm.Open(func(int64) { ended.Add(1); time.AfterFunc(maxReclaimWait/6, accounts[i].Close) })
		accounts[i].TryAcquire(50)
		accounts[i].BeginTransfer(func() Progress { return Progress{} })
		accounts[i].sampledAt = time.Now().Add(-time.Second)
	}
	results := make(chan bool)
	for range 2 {
		ac := mm.Open(func(int64) {})
		go func() { results <- ac.Acquire(25) }()
	}
	g.Expect(<-results).To(BeTrue())
	g.Expect(<-results).To(BeTrue())
	g.Expect(ended.Load()).To(Equal(int64(1)))
	g.Expect(mm.Used()).To(Equal(int64(100)))
	accounts[0].Close()
	accounts[1].Close()
	g.Expect(mm.Used()).To(Equal(int64(50)))
	g.Expect(mm.ending).To(BeZero())
}

// TestSmallAccountsHaveMemoryLeft guards against a few large bodies that keep out the many small ones, and against a body that never fits.
func TestSmallAccountsHaveMemoryLeft(t *testing.T) {
	g := NewWithT(t)
	const limit = 16 << 20
	mm := NewMemory(limit)
	open := func() *Account { return mm.Open(func(int64) {}) }
	g.Expect(open().TryAcquire(limit / 2)).To(BeTrue())
	g.Expect(open().TryAcquire(limit / 2)).To(BeFalse())
	g.Expect(open().TryAcquire(limit * 3 / 8)).To(BeTrue())
	g.Expect(open().Acquire(smallBytes + 1)).To(BeFalse())
	beginning := open()
	beginning.Expect(limit / 2)
	g.Expect(beginning.TryAcquire(1)).To(BeFalse(), "the first bytes of a large body")
	for range limit / smallShare / smallBytes {
		g.Expect(open().TryAcquire(smallBytes)).To(BeTrue())
	}
	g.Expect(open().TryAcquire(1)).To(BeFalse())
	mm = NewMemory(limit)
	g.Expect(open().TryAcquireSpare(limit * 3 / 4)).To(BeTrue())
	g.Expect(open().TryAcquireSpare(1)).To(BeFalse(), "what is not needed leaves memory for the rest")
	mm = NewMemory(limit)
	g.Expect(open().TryAcquire(limit)).To(BeTrue(), "a body that is alone may use all memory")
}

// TestFastTransferIsNotEnded guards against the end of a transfer that takes long only because it is large, and against a slow one that is
// taken for fast since buffers took its first bytes.
func TestFastTransferIsNotEnded(t *testing.T) {
	const early = 1 << 20
	tests := map[string]struct {
		bytesPerSecond float64
		wantEnded      bool
	}{"fast": {4 * slowBytesPerSecond, false}, "slow after its first bytes": {slowBytesPerSecond / 64, true}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			mm := NewMemory(100)
			var ended atomic.Bool
			var ac *Account
			ac = mm.Open(func(int64) { ended.Store(true); go ac.Close() })
			g.Expect(ac.TryAcquire(100)).To(BeTrue())
			startedAt := time.Now().Add(-time.Second)
			ac.BeginTransfer(func() Progress {
				return Progress{Taken: early + int64(tc.bytesPerSecond*time.Since(startedAt).Seconds())}
			})
			ac.sampledAt = startedAt
			g.Expect(mm.Open(func(int64) {}).Acquire(1)).To(Equal(tc.wantEnded))
			g.Expect(ended.Load()).To(Equal(tc.wantEnded))
		})
	}
}

// TestFinishedTransferIsNotEnded guards against the end of a request whose transfer finished after it was chosen.
func TestFinishedTransferIsNotEnded(t *testing.T) {
	g := NewWithT(t)
	mm := NewMemory(100)
	ac := mm.Open(func(int64) { t.Error("ended after the transfer") })
	g.Expect(ac.TryAcquire(100)).To(BeTrue())
	ac.BeginTransfer(func() Progress { return Progress{} })
	ac.sampledAt = time.Now().Add(-time.Second)
	other := mm.Open(func(int64) {})
	_, victims, _ := other.acquireOrChoose(10)
	g.Expect(victims).To(HaveLen(1))
	ac.EndTransfer()
	ac.endDuringTransfer(victims[0].held)
	g.Expect(ac.Ended()).To(BeFalse())
	g.Expect(mm.ending).To(BeZero())
}
