// Package grant is the owner's ledger of long prompts let through to the targets that it owns.
package grant

import (
	"slices"
	"sync"
	"time"
)

// Key names one grant.
type Key struct {
	// Holder is the incarnation of the instance that asked.
	Holder string
	// ID is unique for the holder.
	ID uint64
}

// Lease is how long a grant is held without a heartbeat that tells of its use.
const LeaseDuration = 3 * time.Second

type heldGrant struct {
	target string
	memory int
	// since is when it was granted, until when it runs out.
	grantedAt, expiresAt time.Time
}

// Ledger is safe for use by any goroutine. It is lost with its owner: a new owner starts empty and learns what is in
// flight from heartbeats, so that two ledgers for a while cost speed and never a promise.
type Ledger struct {
	now          func() time.Time
	maxPerTarget int
	// busy returns the long prompts in flight at a target as heartbeats tell, and its memory.
	utilisation func(target string) (long, memoryUsed, memoryTotal int)

	mu   sync.Mutex
	held map[Key]heldGrant
}

// New returns an empty ledger that allows limit long prompts a target.
func New(limit int, busy func(target string) (long, memoryUsed, memoryTotal int), now func() time.Time) *Ledger {
	return &Ledger{now: now, maxPerTarget: limit, utilisation: busy, held: map[Key]heldGrant{}}
}

// Ask grants room at a target for at most a time, or refuses it. A grant whose answer is lost runs out with Lease.
func (lg *Ledger) TryAcquire(k Key, target string, memory int, hold time.Duration) bool {
	_, _, total := lg.utilisation(target)
	lg.mu.Lock()
	defer lg.mu.Unlock()
	now := lg.now()
	count, used := 0, 0
	for key, h := range lg.held {
		if now.After(h.expiresAt) {
			delete(lg.held, key)
			continue
		}
		if h.target == target {
			count++
			used += h.memory
		}
	}
	if count >= lg.maxPerTarget || (total > 0 && used+memory > total) {
		return false
	}
	lg.held[k] = heldGrant{target: target, memory: memory, grantedAt: now, expiresAt: now.Add(min(hold, LeaseDuration))}
	return true
}

// Renew extends the newest grants of a holder at a target, as many as a heartbeat says are in use.
func (lg *Ledger) Renew(holder, target string, inUse int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	var keys []Key
	for k, h := range lg.held {
		if k.Holder == holder && h.target == target {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return lg.held[b].grantedAt.Compare(lg.held[a].grantedAt) })
	for _, k := range keys[:min(inUse, len(keys))] {
		h := lg.held[k]
		h.expiresAt = lg.now().Add(LeaseDuration)
		lg.held[k] = h
	}
}

// Release gives a grant back. A grant that is not held is no fault: its ledger may have been another's.
func (lg *Ledger) Release(k Key) {
	lg.mu.Lock()
	delete(lg.held, k)
	lg.mu.Unlock()
}

// DropHolder releases all grants of an incarnation that is gone.
func (lg *Ledger) ReleaseHolder(incarnation string) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for k := range lg.held {
		if k.Holder == incarnation {
			delete(lg.held, k)
		}
	}
}

// Len returns how many grants are held.
func (lg *Ledger) Len() int {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return len(lg.held)
}
