package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// book is what is in flight at each target, here and as peers tell.
type book struct {
	mu sync.Mutex
	// own has no empty loads.
	own map[string]placement.Load
	// peers holds the newest loads that each peer told.
	peers map[string]map[string]placement.Load
	// told is the sum of the loads in peers by target, without empty ones: a choice among 150 targets adds up none of
	// what 294 peers told.
	told map[string]placement.Load
	// fullUntil is when a target that had no memory may be taken at its predicted load again, by incarnation.
	fullUntil map[string]time.Time
	// hinted holds the incarnations whose back-off from this instance is told to peers as a load.
	hinted map[string]struct{}
	// freed is closed and replaced when room may have become free.
	freed chan struct{}
}

func newBook() *book {
	return &book{
		own: map[string]placement.Load{}, peers: map[string]map[string]placement.Load{}, told: map[string]placement.Load{},
		fullUntil: map[string]time.Time{}, hinted: map[string]struct{}{}, freed: make(chan struct{}),
	}
}

// add adds to this instance's load at a target. The lock is held.
func (bk *book) add(id string, lo placement.Load) { bk.own[id] = bk.own[id].Plus(lo) }

// remove takes a load away again. The lock is held.
func (bk *book) remove(id string, lo placement.Load) {
	subtract(bk.own, id, lo)
}

// subtract takes a load away from those by target, which hold no empty ones.
func subtract(loads map[string]placement.Load, id string, lo placement.Load) {
	left := loads[id].Minus(lo)
	if left == (placement.Load{}) {
		delete(loads, id)
		return
	}
	loads[id] = left
}

// total is the load at a target over all instances. The lock is held.
func (bk *book) total(id string) placement.Load {
	return bk.own[id].Plus(bk.told[id])
}

func (bk *book) ownLoads() map[string]placement.Load {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	return maps.Clone(bk.own)
}

func (bk *book) setPeer(peer string, loads map[string]placement.Load) {
	bk.mu.Lock()
	bk.replace(peer, loads)
	bk.mu.Unlock()
	bk.wake()
}

// replace puts a peer's new loads in place of the last ones. The lock is held.
func (bk *book) replace(peer string, loads map[string]placement.Load) {
	for id, lo := range bk.peers[peer] {
		subtract(bk.told, id, lo)
	}
	if loads == nil {
		delete(bk.peers, peer)
		return
	}
	bk.peers[peer] = loads
	for id, lo := range loads {
		bk.told[id] = bk.told[id].Plus(lo)
	}
}

// full notes that a target had no memory.
func (bk *book) full(id string, until time.Time) {
	bk.mu.Lock()
	bk.fullUntil[id] = until
	bk.mu.Unlock()
}

// isFull reports whether a target lately had no memory. The lock is held.
func (bk *book) isFull(id string, now time.Time) bool {
	until, told := bk.fullUntil[id]
	if told && now.After(until) {
		delete(bk.fullUntil, id)
		return false
	}
	return told
}

// woken returns a channel that is closed when room may have become free.
func (bk *book) woken() <-chan struct{} {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	return bk.freed
}

func (bk *book) wake() {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	close(bk.freed)
	bk.freed = make(chan struct{})
}
