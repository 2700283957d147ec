package upstream

import (
	"sync"
	"time"
)

// Life is what is known of the process of a target when a response has ended.
type Life string

// The states of knowledge.
const (
	// Outlived means that the process lives on: a connection that was open before the response ended was open afterwards.
	Outlived Life = "outlived"
	// Accepted means that a connection was accepted, by the process that listens there now.
	Accepted Life = "accepted"
	// Ended means that the process ended with the response, or before all of it had arrived: none of its connections is left.
	Ended Life = "ended"
	// ShuttingDown means that the process closed idle connections while it still sent the response, and refuses further ones.
	ShuttingDown Life = "shutting_down"
	// Refused means that connections are refused, and nothing else is known.
	Refused Life = "refused"
	// Unknown means that no connection was open, for another reason.
	Unknown Life = "unknown"
)

// EndSpread is how far apart the ends of the connections of one process may be seen when it ends: several round trips within a region.
const EndSpread = 50 * time.Millisecond

// Sentinel finds out whether the process of a target lives on when a response without length and chunks ends. The kernel closes the
// connections of a process that ends as if the process had closed them itself. Another connection that outlives the response shows that the target
// ended the response; if none does, the process has ended. All sentinels of one address share up to two idle connections. A Sentinel is safe
// for concurrent use.
type Sentinel struct {
	pw *processWatch
	// cn is the connection of the response; nil if that comes from another target.
	cn        *conn
	startedAt time.Time
	closeOnce sync.Once

	// The fields below are guarded by the lock of pw.

	// endedAt is when the response was seen to have ended; zero before.
	endedAt time.Time
	// life is what was known once the ends of other connections must have been seen; empty before.
	life Life
}

// Watch begins to watch the target of the response. Close must be called.
func (rs *Response) Watch() *Sentinel { return rs.pool.watch(rs.address, rs.cn) }

// Watch begins to watch the target at an address, from which no response comes. Close must be called.
func (pl *Pool) Watch(address string) *Sentinel { return pl.watch(address, nil) }

func (pl *Pool) watch(address string, cn *conn) *Sentinel {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pw := pl.watches[address]
	if pw == nil {
		pw = &processWatch{pool: pl, address: address, changed: make(chan struct{}), sentinels: map[*Sentinel]struct{}{}}
		pw.start()
		pl.watches[address] = pw
	}
	sn := &Sentinel{pw: pw, cn: cn, startedAt: time.Now()}
	pw.mu.Lock()
	defer pw.mu.Unlock()
	pw.sentinels[sn] = struct{}{}
	return sn
}

// Close ends the watch. Idle connections that no other sentinel needs return to the pool. Further calls have no effect.
func (sn *Sentinel) Close() { sn.closeOnce.Do(sn.remove) }

func (sn *Sentinel) remove() {
	pw := sn.pw
	pw.pool.mu.Lock()
	defer pw.pool.mu.Unlock()
	pw.mu.Lock()
	defer pw.mu.Unlock()
	delete(pw.sentinels, sn)
	if len(pw.sentinels) > 0 {
		return
	}
	delete(pw.pool.watches, pw.address)
	pw.stopped = true
	for _, ic := range pw.idle {
		if ic.cn != nil {
			_ = ic.cn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
		}
	}
	pw.cancel()
}

// AtEnd returns what is known of the target after a response was read to its end. It waits for the ends of other connections, EndSpread or as long
// as the response took. If that was too short for an idle connection, it opens one, and waits for that twice EndSpread at most. It does so even
// if the request is over: the response may still be taken for whole.
func (sn *Sentinel) AtEnd() Life {
	pw := sn.pw
	pw.mu.Lock()
	if sn.endedAt.IsZero() {
		sn.endedAt = time.Now()
	}
	endedAt, took := sn.endedAt, sn.endedAt.Sub(sn.startedAt)
	hadIdle := pw.hadIdle()
	pw.mu.Unlock()
	if took < EndSpread && !hadIdle {
		return pw.probe()
	}
	settled := time.After(time.Until(endedAt.Add(min(EndSpread, took))))
	for {
		others := pw.pool.openConns(pw.address)
		pw.mu.Lock()
		if sn.life == "" && settled == nil {
			sn.life = pw.lifeAt(sn, others)
		}
		life, changed := sn.life, pw.changed
		pw.mu.Unlock()
		if life != "" {
			return life
		}
		select {
		case <-changed:
		case <-settled:
			settled = nil
		}
	}
}
