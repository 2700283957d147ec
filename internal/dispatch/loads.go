package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// book is what is in flight at each target, here and as peers tell.
type loadTable struct {
	mu sync.Mutex
	// own has no empty loads.
	ownByTarget map[string]placement.Load
	// peers holds the newest loads that each peer told.
	byPeer map[string]map[string]placement.Load
	// told is the sum of the loads in peers by target, without empty ones: a choice among 150 targets adds up none of
	// what 294 peers told.
	peerTotals map[string]placement.Load
	// fullUntil is when a target that had no memory may be taken at its predicted load again, by incarnation.
	fullUntil map[string]time.Time
	// hinted holds the incarnations whose back-off from this instance is told to peers as a load.
	backOffLoads map[string]struct{}
	// freed is closed and replaced when room may have become free.
	roomFreed chan struct{}
}

func newLoadTable() *loadTable {
	return &loadTable{
		ownByTarget: map[string]placement.Load{}, byPeer: map[string]map[string]placement.Load{}, peerTotals: map[string]placement.Load{},
		fullUntil: map[string]time.Time{}, backOffLoads: map[string]struct{}{}, roomFreed: make(chan struct{}),
	}
}

// add adds to this instance's load at a target. The lock is held.
func (lt *loadTable) add(id string, lo placement.Load) {
	lt.ownByTarget[id] = lt.ownByTarget[id].Plus(lo)
}

// remove takes a load away again. The lock is held.
func (lt *loadTable) remove(id string, lo placement.Load) {
	subtract(lt.ownByTarget, id, lo)
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
func (lt *loadTable) total(id string) placement.Load {
	return lt.ownByTarget[id].Plus(lt.peerTotals[id])
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

// replace puts a peer's new loads in place of the last ones. The lock is held.
func (lt *loadTable) replacePeer(peer string, loads map[string]placement.Load) {
	for id, lo := range lt.byPeer[peer] {
		subtract(lt.peerTotals, id, lo)
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

// full notes that a target had no memory.
func (lt *loadTable) markFull(id string, until time.Time) {
	lt.mu.Lock()
	lt.fullUntil[id] = until
	lt.mu.Unlock()
}

// isFull reports whether a target lately had no memory. The lock is held.
func (lt *loadTable) isFull(id string, now time.Time) bool {
	until, told := lt.fullUntil[id]
	if told && now.After(until) {
		delete(lt.fullUntil, id)
		return false
	}
	return told
}

// woken returns a channel that is closed when room may have become free.
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
