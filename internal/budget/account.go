package budget

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// transferGrace is how long a transfer may take before it can be ended. A party that is not slow takes what is held for it within
	// this time.
	transferGrace = 250 * time.Millisecond
	// slowBytesPerSecond is the rate from which on a transfer is not slow. At this rate, a body of 4 MB takes a minute, longer than any
	// request may.
	slowBytesPerSecond = 64 << 10
	// maxReclaimWait bounds the wait for the memory of ended transfers: the grace, and the time in which a request gives up its memory.
	maxReclaimWait = 500 * time.Millisecond
	// recheckInterval is the time after which a wait for memory looks for transfers that are beyond the grace by now.
	recheckInterval = 25 * time.Millisecond
	// smallBytes is up to which size an account is small. One part in smallShare of the memory is left to small accounts, so that bodies of
	// several MB do not keep out the many requests that need little.
	smallBytes = 256 << 10
	smallShare = 8
	// spareShares is how many such parts spare memory leaves free: that of small accounts, and one beside it.
	spareShares = 2
)

// Progress is how far a transfer is.
type Progress struct {
	// Taken is the number of bytes that the other party has taken.
	Taken int64
	// Done is set once it has taken everything.
	Done bool
}

// Account is the memory that one request holds. While the request waits for another party to take bytes, a transfer, it can be ended for the
// benefit of others. An Account is safe for concurrent use.
type Account struct {
	mm *Memory
	// end makes the request give up its memory; never nil. It is called once at most.
	end func(held int64)
	// endMu is held while end is called, and while a transfer begins or ends: end is only called during a transfer.
	endMu sync.Mutex

	// The fields below are guarded by the lock of mm.

	// held is the number of bytes.
	held int64
	// expected is how many bytes the account will hold at least.
	expected int64
	// progress returns how far the present transfer is; nil without one.
	progress func() Progress
	// sampledAt is when the present transfer began, or was last found not to be slow; sampledBytes is what had been taken by then.
	sampledAt    time.Time
	sampledBytes int64
	// ended is set once end is to be called. It is reset if the transfer was over by then.
	ended bool
}

// Open returns an account without memory. If memory is short while it has a slow transfer, end is called with the bytes it holds: the
// request must then close the account soon.
func (mm *Memory) Open(end func(held int64)) *Account { return &Account{mm: mm, end: end} }

// Expect tells how many bytes the account will hold. A large body then takes none of the memory that is left to small accounts, also not
// for its first bytes.
func (ac *Account) Expect(n int64) {
	ac.mm.mu.Lock()
	defer ac.mm.mu.Unlock()
	ac.expected = n
}

// TryAcquire acquires n bytes, or returns false when fewer are free.
func (ac *Account) TryAcquire(n int64) bool {
	ac.mm.mu.Lock()
	defer ac.mm.mu.Unlock()
	return ac.tryAcquire(n)
}

// TryAcquireSpare acquires n bytes for what the request can do without. It leaves a part of the memory free for what others need.
func (ac *Account) TryAcquireSpare(n int64) bool {
	ac.mm.mu.Lock()
	defer ac.mm.mu.Unlock()
	return ac.mm.used+n <= ac.mm.limit-spareShares*ac.mm.limit/smallShare && ac.tryAcquire(n)
}

// tryAcquire is TryAcquire. The lock is held.
func (ac *Account) tryAcquire(n int64) bool {
	if ac.mm.used+n > ac.limit(n) {
		return false
	}
	ac.mm.used += n
	ac.held += n
	return true
}

// limit returns how many bytes may be used after the account has acquired n more. The lock is held.
func (ac *Account) limit(n int64) int64 {
	alone := ac.mm.used == ac.held
	if alone || max(ac.expected, ac.held+n) <= smallBytes {
		return ac.mm.limit
	}
	return ac.mm.limit - ac.mm.limit/smallShare
}

// Acquire acquires n bytes. When fewer are free, it ends the slowest transfers of other accounts, if their memory suffices, and waits briefly.
// It returns false if too little became free in that time.
func (ac *Account) Acquire(n int64) bool {
	timeout := time.NewTimer(maxReclaimWait)
	defer timeout.Stop()
	for {
		acquired, victims, freed := ac.acquireOrChoose(n)
		if acquired || freed == nil {
			return acquired
		}
		for _, vc := range victims {
			vc.account.endDuringTransfer(vc.held)
		}
		select {
		case <-freed:
		case <-time.After(recheckInterval):
		case <-timeout.C:
			return ac.TryAcquire(n)
		}
	}
}

// endDuringTransfer calls end if the transfer is still in progress.
func (ac *Account) endDuringTransfer(held int64) {
	ac.endMu.Lock()
	defer ac.endMu.Unlock()
	if ac.confirmEnd() {
		ac.end(held)
	}
}

// confirmEnd reports whether the transfer is still in progress. If not, the account is not ended.
func (ac *Account) confirmEnd() bool {
	ac.mm.mu.Lock()
	defer ac.mm.mu.Unlock()
	if ac.progress != nil {
		return true
	}
	ac.ended = false
	ac.mm.ending -= ac.held
	return false
}

// victim is an account that is ended, with the memory that it holds.
type victim struct {
	account *Account
	held    int64
	// rate is that of its transfer in bytes per second.
	rate float64
}

// acquireOrChoose acquires n bytes, or marks the accounts to end for them. freed is closed when memory was released; it is nil if there is
// nothing to wait for.
func (ac *Account) acquireOrChoose(n int64) (acquired bool, victims []victim, freed <-chan struct{}) {
	mm := ac.mm
	mm.mu.Lock()
	defer mm.mu.Unlock()
	if n > mm.limit || ac.tryAcquire(n) {
		return n <= mm.limit, nil, nil
	}
	// Transfers are only ended for a body that then fits as a whole.
	needed := max(n, ac.expected-ac.held)
	victims = mm.chooseVictims(ac, mm.used+needed-ac.limit(n)-mm.ending, time.Now())
	for _, vc := range victims {
		vc.account.ended = true
		mm.ending += vc.held
	}
	if mm.ending == 0 && !mm.hasOtherTransfer(ac) {
		return false, nil, nil
	}
	if mm.freed == nil {
		mm.freed = make(chan struct{})
	}
	return false, victims, mm.freed
}

// chooseVictims returns accounts with slow transfers that together hold the missing bytes, the slowest first and of equal ones the oldest.
// It returns none if all of them hold less than that, and none without which the others suffice: ending those would help nobody. The lock
// is held.
func (mm *Memory) chooseVictims(except *Account, missing int64, now time.Time) []victim {
	if missing <= 0 {
		return nil
	}
	var candidates []victim
	for ac := range mm.transfers {
		if ac == except || ac.ended || ac.held == 0 {
			continue
		}
		if rate, slow := ac.slowRate(now); slow {
			candidates = append(candidates, victim{account: ac, held: ac.held, rate: rate})
		}
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.rate, b.rate), a.account.sampledAt.Compare(b.account.sampledAt))
	})
	var chosen []victim
	for _, vc := range candidates {
		if missing <= 0 {
			break
		}
		chosen = append(chosen, vc)
		missing -= vc.held
	}
	if missing > 0 {
		return nil
	}
	surplus := -missing
	for i, vc := range slices.Backward(chosen) {
		if vc.held <= surplus {
			surplus -= vc.held
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen
}

// slowRate returns the rate of a transfer in bytes per second, and reports whether it is slow. A transfer that was fast begins a new sample:
// the first bytes of each are taken at once by buffers, also those of a slow party. The lock is held.
func (ac *Account) slowRate(now time.Time) (rate float64, slow bool) {
	elapsed := now.Sub(ac.sampledAt)
	if elapsed < transferGrace {
		return 0, false
	}
	pg := ac.progress()
	rate = float64(pg.Taken-ac.sampledBytes) / elapsed.Seconds()
	if rate >= slowBytesPerSecond {
		ac.sampledAt, ac.sampledBytes = now, pg.Taken
	}
	return rate, rate < slowBytesPerSecond && !pg.Done
}

// hasOtherTransfer reports whether another account may release memory soon: it has a transfer, which may be within the grace. The lock is held.
func (mm *Memory) hasOtherTransfer(except *Account) bool {
	for ac := range mm.transfers {
		if ac != except && ac.held > 0 && !ac.progress().Done {
			return true
		}
	}
	return false
}

// Release returns n acquired bytes.
func (ac *Account) Release(n int64) {
	ac.mm.mu.Lock()
	defer ac.mm.mu.Unlock()
	ac.release(n)
}

// release is Release. The lock is held.
func (ac *Account) release(n int64) {
	ac.held -= n
	if ac.ended {
		ac.mm.ending -= n
	}
	ac.mm.release(n)
}

// Close returns all memory and ends the transfer.
func (ac *Account) Close() {
	ac.EndTransfer()
	ac.mm.mu.Lock()
	defer ac.mm.mu.Unlock()
	ac.release(ac.held)
}

// BeginTransfer begins a transfer. progress must not block, and is called by other goroutines.
func (ac *Account) BeginTransfer(progress func() Progress) {
	ac.endMu.Lock()
	defer ac.endMu.Unlock()
	ac.mm.mu.Lock()
	defer ac.mm.mu.Unlock()
	ac.progress, ac.sampledAt, ac.sampledBytes = progress, time.Now(), 0
	ac.mm.transfers[ac] = struct{}{}
}

// EndTransfer ends the present transfer, if any. Afterwards the account is not ended until the next one begins.
func (ac *Account) EndTransfer() {
	ac.endMu.Lock()
	defer ac.endMu.Unlock()
	ac.mm.mu.Lock()
	defer ac.mm.mu.Unlock()
	ac.progress = nil
	delete(ac.mm.transfers, ac)
}

// Ended reports whether the account was ended for the benefit of others.
func (ac *Account) Ended() bool {
	ac.mm.mu.Lock()
	defer ac.mm.mu.Unlock()
	return ac.ended
}
