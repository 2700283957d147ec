package gossip

import (
	"context"
	"time"
)

// farewellLook is the time between two looks whether all links were told.
const farewellLook = time.Millisecond

// untilTold returns a context that ends once this instance's last state was told to all peers after ctx ended: they would
// go on with what it had in flight until it counts as lost.
func (ms *Mesh) untilTold(ctx context.Context) (context.Context, context.CancelFunc) {
	held, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		ms.farewell.Do(ms.tellLast)
		cancel()
	})
	return held, func() {
		stop()
		cancel()
	}
}

// tellLast publishes the state and waits until it is on its way by every link, or Options.Farewell is over.
func (ms *Mesh) tellLast() {
	over := time.NewTimer(ms.opts.FlushTimeout)
	defer over.Stop()
	look := time.NewTicker(farewellLook)
	defer look.Stop()
	ms.mu.Lock()
	before := ms.refreshing
	ms.mu.Unlock()
	ms.PublishState()
	for last := uint64(0); ; {
		select {
		case <-look.C:
		case <-over.C:
			return
		}
		if last == 0 {
			last = ms.refreshedSince(before)
		}
		if last > 0 && ms.toldAll(last) {
			return
		}
	}
}

// refreshedSince returns the newest change once a refresh has ended that began after another one; zero before.
func (ms *Mesh) refreshedSince(before uint64) uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.refreshed <= before {
		return 0
	}
	return ms.log.last
}

// toldAll reports whether all links have sent a change.
func (ms *Mesh) toldAll(last uint64) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for lk := range ms.links {
		if lk.peer.Name != "" && lk.told < last {
			return false
		}
	}
	return true
}
