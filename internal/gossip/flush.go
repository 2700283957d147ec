package gossip

import (
	"context"
	"time"
)

// flushPollInterval is the time between two checks whether all links have sent the final state.
const flushPollInterval = time.Millisecond

// cancelAfterFlush returns a context that is cancelled once ctx has ended and the final state has been sent to all peers.
// Otherwise the peers would count the requests that this instance had in flight until they consider it lost.
func (ms *Mesh) cancelAfterFlush(ctx context.Context) (context.Context, context.CancelFunc) {
	flushCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		ms.flushOnce.Do(ms.flushState)
		cancel()
	})
	return flushCtx, func() {
		stop()
		cancel()
	}
}

// flushState publishes the state and waits until every link has sent it, for at most Options.FlushTimeout.
func (ms *Mesh) flushState() {
	timeout := time.NewTimer(ms.opts.FlushTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(flushPollInterval)
	defer poll.Stop()
	ms.mu.Lock()
	before := ms.refreshesStarted
	ms.mu.Unlock()
	ms.PublishState()
	for change := uint64(0); ; {
		select {
		case <-poll.C:
		case <-timeout.C:
			return
		}
		if change == 0 {
			change = ms.changeAfterRefresh(before)
		}
		if change > 0 && ms.allLinksFlushed(change) {
			return
		}
	}
}

// changeAfterRefresh returns the number of the newest change once a refresh numbered above before has finished; else 0.
func (ms *Mesh) changeAfterRefresh(before uint64) uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.refreshesFinished <= before {
		return 0
	}
	return ms.changes.newest
}

// allLinksFlushed reports whether all links have sent all changes up to the given one.
func (ms *Mesh) allLinksFlushed(change uint64) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for lk := range ms.links {
		if lk.peer.Name != "" && lk.flushedChange < change {
			return false
		}
	}
	return true
}
