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
	// fullUntil is when a target that had no memory may be taken at its predicted load again, by incarnation.
	fullUntil map[string]time.Time
	// freed is closed and replaced when room may have become free.
	freed chan struct{}
}

func newBook() *book {
	return &book{own: map[string]placement.Load{}, peers: map[string]map[string]placement.Load{}, fullUntil: map[string]time.Time{}, freed: make(chan struct{})}
}

// add adds to this instance's load at a target. The lock is held.
func (bk *book) add(id string, lo placement.Load) { bk.own[id] = bk.own[id].Plus(lo) }

// remove takes a load away again. The lock is held.
func (bk *book) remove(id string, lo placement.Load) {
	left := bk.own[id].Minus(lo)
	if left == (placement.Load{}) {
		delete(bk.own, id)
		return
	}
	bk.own[id] = left
}

// total is the load at a target over all instances. The lock is held.
func (bk *book) total(id string) placement.Load {
	lo := bk.own[id]
	for _, loads := range bk.peers {
		if pl, ok := loads[id]; ok {
			lo = lo.Plus(pl)
		}
	}
	return lo
}

func (bk *book) ownLoads() map[string]placement.Load {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	return maps.Clone(bk.own)
}

func (bk *book) setPeer(peer string, loads map[string]placement.Load) {
	bk.mu.Lock()
	if loads == nil {
		delete(bk.peers, peer)
	} else {
		bk.peers[peer] = loads
	}
	bk.mu.Unlock()
	bk.wake()
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
