// Package admission keeps track of the long prompts that the owner of targets admits to them.
package admission

import (
	"slices"
	"sync"
	"time"
)

// Key identifies a grant.
type Key struct {
	// Holder is the incarnation of the instance that requested the grant.
	Holder string
	// ID is unique per holder.
	ID uint64
}

// LeaseDuration is the time after which a grant expires unless a heartbeat of the holder states that it is in use.
const LeaseDuration = 3 * time.Second

// heldGrant is a grant that is neither released nor known to have expired.
type heldGrant struct {
	target string
	// memory is in tokens.
	memory               int
	grantedAt, expiresAt time.Time
}

// Ledger holds the grants of one owner. It is safe for concurrent use. It is lost when its owner stops: a new owner starts with
// an empty ledger and learns the load in flight from heartbeats. For a while, the ledgers of two owners together can grant too
// much, which costs speed but breaks no guarantee.
type Ledger struct {
	now          func() time.Time
	maxPerTarget int
	// utilisation returns the long prompts and the memory in flight at a target according to heartbeats, and its total memory.
	utilisation func(target string) (long, memoryUsed, memoryTotal int)

	mu   sync.Mutex
	held map[Key]heldGrant
}

// New returns an empty ledger that admits at most maxPerTarget long prompts to each target.
func New(maxPerTarget int, utilisation func(target string) (long, memoryUsed, memoryTotal int), now func() time.Time) *Ledger {
	return &Ledger{now: now, maxPerTarget: maxPerTarget, utilisation: utilisation, held: map[Key]heldGrant{}}
}

// TryAcquire issues a grant for a prompt with this memory in tokens, if the target has room for it, and reports whether it did.
// The grant expires after maxHold, or after LeaseDuration if that is shorter, unless Renew extends it. This removes grants whose
// answer to the holder is lost.
func (lg *Ledger) TryAcquire(k Key, target string, memory int, maxHold time.Duration) bool {
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
	lg.held[k] = heldGrant{target: target, memory: memory, grantedAt: now, expiresAt: now.Add(min(maxHold, LeaseDuration))}
	return true
}

// Renew extends the leases of the inUse newest grants of a holder at a target, where inUse comes from a heartbeat.
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

// Release removes a grant. An unknown grant is ignored, since a previous owner of the target may have issued it.
func (lg *Ledger) Release(k Key) {
	lg.mu.Lock()
	delete(lg.held, k)
	lg.mu.Unlock()
}

// ReleaseHolder removes all grants of an incarnation that has ended or is silent.
func (lg *Ledger) ReleaseHolder(incarnation string) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for k := range lg.held {
		if k.Holder == incarnation {
			delete(lg.held, k)
		}
	}
}

// Len returns the number of grants held, including expired ones that no call has removed yet.
func (lg *Ledger) Len() int {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return len(lg.held)
}
