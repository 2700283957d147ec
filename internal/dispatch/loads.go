package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// loadTable holds the load in flight at each target, from this instance and as reported by peers.
type loadTable struct {
	mu sync.Mutex
	// ownByTarget is the load of this instance by incarnation. It holds no empty loads.
	ownByTarget map[string]placement.Load
	// byPeer holds the latest loads that each peer reported, by incarnation.
	byPeer map[string]map[string]placement.Load
	// peerTotals is the sum of the loads in byPeer by incarnation, without empty loads. It is maintained so that choosing
	// among 150 targets does not sum the reports of 294 peers.
	peerTotals map[string]placement.Load
	// fullUntil is the time until which an incarnation that refused memory counts as full; after it, its predicted load
	// counts again.
	fullUntil map[string]time.Time
	// shedMarks holds the plain targets that shed a request lately.
	shedMarks map[string]shedMark
	// backOffLoads holds the incarnations whose back-off from this instance is published to peers as load.
	backOffLoads map[string]struct{}
	// countsPrefill is set if prefillAdded is maintained.
	countsPrefill bool
	// prefillAdded is the prefill that all instances have added at each incarnation so far. A load counts until the first token of its
	// prompt, long after the target has done its part; what was added shows what a pass had to do.
	prefillAdded map[string]placement.Backlog
	// roomFreed is closed and replaced whenever room may have become free.
	roomFreed chan struct{}
}

// newLoadTable returns an empty table. It maintains prefillAdded only on request, since each report of a peer then takes longer.
func newLoadTable(countsPrefill bool) *loadTable {
	return &loadTable{
		countsPrefill: countsPrefill,
		ownByTarget:   map[string]placement.Load{}, byPeer: map[string]map[string]placement.Load{}, peerTotals: map[string]placement.Load{},
		fullUntil: map[string]time.Time{}, shedMarks: map[string]shedMark{}, backOffLoads: map[string]struct{}{}, prefillAdded: map[string]placement.Backlog{}, roomFreed: make(chan struct{}),
	}
}

// add adds to this instance's load at a target. The caller holds the lock.
func (lt *loadTable) add(id string, lo placement.Load) {
	lt.ownByTarget[id] = lt.ownByTarget[id].Plus(lo)
	if lt.countsPrefill {
		lt.countPrefill(id, placement.Load{}, lo)
	}
}

// maxPrefillCounts bounds the incarnations in prefillAdded, about 80 bytes each.
const maxPrefillCounts = 1 << 13

// countPrefill adds what a load has more than the one that it replaces to prefillAdded. The caller holds the lock.
func (lt *loadTable) countPrefill(id string, before, after placement.Load) {
	old, added := before.SplitPrefill.Plus(before.WholePrefill), after.SplitPrefill.Plus(after.WholePrefill)
	if added.Tokens <= old.Tokens {
		return
	}
	if len(lt.prefillAdded) >= maxPrefillCounts {
		clear(lt.prefillAdded)
	}
	lt.prefillAdded[id] = lt.prefillAdded[id].Plus(placement.Backlog{Tokens: added.Tokens - old.Tokens, Pairs: max(0, added.Pairs-old.Pairs)})
}

// remove subtracts from this instance's load at a target. The caller holds the lock.
func (lt *loadTable) remove(id string, lo placement.Load) {
	subtract(lt.ownByTarget, id, lo)
}

// subtract subtracts a load from one target's entry, and deletes the entry if nothing is left, since the maps hold no empty
// loads.
func subtract(loads map[string]placement.Load, id string, lo placement.Load) {
	left := loads[id].Minus(lo)
	if left == (placement.Load{}) {
		delete(loads, id)
		return
	}
	loads[id] = left
}

// total returns the load at a target from all instances. The caller holds the lock.
func (lt *loadTable) total(id string) placement.Load {
	return lt.ownByTarget[id].Plus(lt.peerTotals[id])
}

// inFlight returns the number of requests and of parts of prompts in flight at all targets. The caller holds the lock.
func (lt *loadTable) inFlight() int {
	sum := 0
	for _, loads := range []map[string]placement.Load{lt.ownByTarget, lt.peerTotals} {
		for _, lo := range loads {
			sum += lo.Prefilling + lo.Decoding
		}
	}
	return sum
}

func (lt *loadTable) ownLoads() map[string]placement.Load {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	return maps.Clone(lt.ownByTarget)
}

func (lt *loadTable) setPeer(peer string, loads map[string]placement.Load) {
	lt.mu.Lock()
	lt.replacePeer(peer, loads)
	lt.mu.Unlock()
	lt.wakeWaiters()
}

// replacePeer replaces the loads reported by a peer; nil removes the peer. The caller holds the lock.
func (lt *loadTable) replacePeer(peer string, loads map[string]placement.Load) {
	for id, lo := range lt.byPeer[peer] {
		subtract(lt.peerTotals, id, lo)
	}
	if lt.countsPrefill {
		for id, lo := range loads {
			lt.countPrefill(id, lt.byPeer[peer][id], lo)
		}
	}
	if loads == nil {
		delete(lt.byPeer, peer)
		return
	}
	lt.byPeer[peer] = loads
	for id, lo := range loads {
		lt.peerTotals[id] = lt.peerTotals[id].Plus(lo)
	}
}

// markFull records that a target refused memory, and until when it counts as full.
func (lt *loadTable) markFull(id string, until time.Time) {
	lt.mu.Lock()
	lt.fullUntil[id] = until
	lt.mu.Unlock()
}

// isFull reports whether a target still counts as full after refusing memory. The caller holds the lock.
func (lt *loadTable) isFull(id string, now time.Time) bool {
	until, marked := lt.fullUntil[id]
	if marked && now.After(until) {
		delete(lt.fullUntil, id)
		return false
	}
	return marked
}

// shedMark is what is known of the queue of a plain target from a request that it shed.
type shedMark struct {
	// taken is the number of requests that the target had beside that request, and until is when this is forgotten.
	taken int
	until time.Time
}

// shedMarkPeriod is how long it is remembered how many requests a target takes. The size of its queue does not change, but what peers had in
// flight there may have been counted too low.
const shedMarkPeriod = 10 * time.Second

// markShed records that a plain target shed a request, which is still part of its load here.
func (lt *loadTable) markShed(id string, now time.Time) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	for other, mark := range lt.shedMarks {
		if now.After(mark.until) {
			delete(lt.shedMarks, other)
		}
	}
	lt.shedMarks[id] = shedMark{taken: lt.total(id).Decoding - 1, until: now.Add(shedMarkPeriod)}
}

// wouldShed reports whether a plain target with that many requests sheds another one. The caller holds the lock.
func (lt *loadTable) wouldShed(id string, taken int, now time.Time) bool {
	mark, marked := lt.shedMarks[id]
	return marked && !now.After(mark.until) && taken >= mark.taken
}

// roomFreedChan returns a channel that is closed when room may have become free.
func (lt *loadTable) roomFreedChan() <-chan struct{} {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	return lt.roomFreed
}

func (lt *loadTable) wakeWaiters() {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	close(lt.roomFreed)
	lt.roomFreed = make(chan struct{})
}
