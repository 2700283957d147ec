package gossip

import (
	"context"
	"time"
)

// farewellLook is the time between two looks whether all links were told.
const flushPollInterval = time.Millisecond

// untilTold returns a context that ends once this instance's last state was told to all peers after ctx ended: they would
// go on with what it had in flight until it counts as lost.
func (ms *Mesh) cancelAfterFlush(ctx context.Context) (context.Context, context.CancelFunc) {
	held, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		ms.flushOnce.Do(ms.flushState)
		cancel()
	})
	return held, func() {
		stop()
		cancel()
	}
}

// tellLast publishes the state and waits until it is on its way by every link, or Options.Farewell is over.
func (ms *Mesh) flushState() {
	over := time.NewTimer(ms.opts.FlushTimeout)
	defer over.Stop()
	look := time.NewTicker(flushPollInterval)
	defer look.Stop()
	ms.mu.Lock()
	before := ms.refreshesStarted
	ms.mu.Unlock()
	ms.PublishState()
	for last := uint64(0); ; {
		select {
		case <-look.C:
		case <-over.C:
			return
		}
		if last == 0 {
			last = ms.changeAfterRefresh(before)
		}
		if last > 0 && ms.allLinksFlushed(last) {
			return
		}
	}
}

// refreshedSince returns the newest change once a refresh has ended that began after another one; zero before.
func (ms *Mesh) changeAfterRefresh(before uint64) uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.refreshesFinished <= before {
		return 0
	}
	return ms.changes.newest
}

// toldAll reports whether all links have sent a change.
func (ms *Mesh) allLinksFlushed(last uint64) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for lk := range ms.links {
		if lk.peer.Name != "" && lk.flushedChange < last {
			return false
		}
	}
	return true
}
