package upstream

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// sampleInterval is how often the connections of responses are examined for their end, on average.
	sampleInterval = 50 * time.Millisecond
	// maxSampleDelay is the delay of a sample after which nothing follows from the order in which connections were seen to end: this process
	// was paused.
	maxSampleDelay = 400 * time.Millisecond
	// firstIdleDelay is when the first idle connection is opened: a shorter response is checked by a connection after its end. idleStagger is how much
	// later the second is opened, so that a target that closes idle connections after some time does not close both at once.
	firstIdleDelay = 5 * time.Millisecond
	idleStagger    = 150 * time.Millisecond
	// idleRetryInterval is the time between two connections if the target does not accept or keep the first.
	idleRetryInterval = 500 * time.Millisecond
)

// processWatch holds idle connections to an address, and observes the ends of all connections to it.
type processWatch struct {
	pool    *Pool
	address string
	cancel  context.CancelFunc

	mu sync.Mutex
	// changed is closed and replaced at each change of the fields below.
	changed chan struct{}
	// stopped is set once no sentinel is left.
	stopped   bool
	sentinels map[*Sentinel]struct{}
	idle      [2]idleConn
	// idleAge is the age at which the target was last seen to close an idle connection although it lived on; zero if it was not.
	idleAge time.Duration
	// processEndedAt is when the process was last seen to end; zero before.
	processEndedAt time.Time
	// sampledAt is when the connections were last examined, and lateSampleAt when that was last late.
	sampledAt, lateSampleAt time.Time
}

// idleConn is one of the idle connections, and the one that it replaced.
type idleConn struct {
	// dialing is set until the outcome of the present attempt at a connection is known.
	dialing bool
	// refused is set if the latest connection was refused.
	refused bool
	// cn is the open connection, and openedAt when it was opened; nil while there is none.
	cn       *conn
	openedAt time.Time
	// previous is the connection that ended last.
	previous endedConn
	// rejections is how many connections in a row ended soon after they had been opened.
	rejections int
}

// endedConn is an idle connection that has ended. The zero value stands for none.
type endedConn struct {
	openedAt, endedAt time.Time
	// orderly is set if the target, or the kernel for it, closed the connection in order.
	orderly bool
	// judged is set once it is known whether the process ended with the connection, and looks is how often that was examined before.
	judged bool
	looks  int
}

// start begins to hold connections and to examine them.
func (pw *processWatch) start() {
	ctx, cancel := context.WithCancel(context.Background())
	pw.cancel = cancel
	pw.sampledAt = time.Now()
	for i := range pw.idle {
		go func() {
			if sleep(ctx, firstIdleDelay+time.Duration(i)*idleStagger) {
				pw.holdIdle(ctx, &pw.idle[i])
			}
		}()
	}
	go func() {
		// The interval varies, so that samples do not coincide with the events of a stream.
		for sleep(ctx, sampleInterval/2+rand.N(sampleInterval)) {
			pw.sample(time.Now())
		}
	}()
}

// holdIdle holds one connection after the other, until the watch is stopped or connections are refused.
func (pw *processWatch) holdIdle(ctx context.Context, ic *idleConn) {
	for pw.open(ctx, ic) && pw.await(ctx, ic) {
	}
	pw.mu.Lock()
	cn, openedAt := ic.cn, ic.openedAt
	ic.cn = nil
	pw.mu.Unlock()
	if cn == nil {
		return
	}
	if cn.SetReadDeadline(time.Time{}) != nil {
		pw.pool.discard(pw.address, cn)
		return
	}
	pw.pool.releaseIdle(pw.address, cn, time.Since(openedAt))
}

// open takes an idle connection, or opens one. It reports false when there is to be none: the watch is stopped, or the target refuses
// connections.
func (pw *processWatch) open(ctx context.Context, ic *idleConn) bool {
	for ctx.Err() == nil {
		pw.update(func() { ic.dialing = true })
		cn, _, err := pw.pool.acquire(ctx, pw.address, false)
		if err == nil {
			stopped := false
			pw.update(func() {
				stopped = pw.stopped
				ic.cn, ic.openedAt, ic.dialing, ic.refused = cn, time.Now(), false, false
				if !cn.idleSince.IsZero() {
					ic.openedAt = ic.openedAt.Add(-cn.idleFor)
				}
			})
			return !stopped
		}
		var de *DialError
		refused := errors.As(err, &de) && de.Refused()
		pw.update(func() { ic.dialing, ic.refused = false, refused })
		if refused || !sleep(ctx, idleRetryInterval) {
			return false
		}
	}
	return false
}

// await waits until the connection ends. It reports false when the watch is stopped.
func (pw *processWatch) await(ctx context.Context, ic *idleConn) bool {
	cn := ic.cn
	_, err := cn.br.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	rejections := 0
	pw.update(func() {
		now := time.Now()
		if now.Sub(ic.openedAt) < EndSpread || !errors.Is(err, io.EOF) {
			ic.rejections++
		} else {
			ic.rejections = 0
		}
		// A connection with unexpected data shows that the target lives. A reset one was over a limit of the target, and a tunnel that was cut
		// shows nothing.
		ec := endedConn{openedAt: ic.openedAt, endedAt: now, orderly: errors.Is(err, io.EOF)}
		if ec.orderly || !ic.previous.orderly || ic.previous.judged {
			// What happens at the address after the end of a process must not hide that end.
			ic.previous = ec
		}
		ic.cn, ic.dialing = nil, true
		rejections = ic.rejections
	})
	pw.pool.discard(pw.address, cn)
	return rejections <= 1 || sleep(ctx, idleRetryInterval)
}

// sleep waits for a duration. It reports false if ctx has ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// update changes the state.
func (pw *processWatch) update(change func()) {
	pw.mu.Lock()
	defer pw.mu.Unlock()
	change()
	pw.notify()
}

// notify wakes those that wait for a change. The caller holds the lock.
func (pw *processWatch) notify() {
	close(pw.changed)
	pw.changed = make(chan struct{})
}

// sample examines the connections.
func (pw *processWatch) sample(now time.Time) {
	others := pw.pool.openConns(pw.address)
	pw.mu.Lock()
	defer pw.mu.Unlock()
	if now.Sub(pw.sampledAt) > maxSampleDelay {
		pw.lateSampleAt = now
	}
	pw.sampledAt = now
	for i := range pw.idle {
		if ec := &pw.idle[i].previous; !now.Before(ec.endedAt.Add(EndSpread)) {
			pw.judgeEnd(ec, others)
		}
	}
	for sn := range pw.sentinels {
		if sn.endedAt.IsZero() && sn.cn != nil && sn.cn.endReceived() {
			sn.endedAt = now
		}
		if !sn.endedAt.IsZero() && sn.life == "" && !now.Before(sn.endedAt.Add(EndSpread)) {
			sn.life = pw.lifeAt(sn, others)
			pw.notify()
		}
	}
}

// maxLooks is how often connections with unread data are examined before they count as those of a process that has ended.
const maxLooks = 10

// judgeEnd finds out whether the process ended with an idle connection. The caller holds the lock.
func (pw *processWatch) judgeEnd(ec *endedConn, others []*conn) {
	if ec.judged || !ec.orderly {
		return
	}
	lives, unread := pw.livesAt(ec.endedAt, nil, others)
	if ec.looks++; !lives && unread && ec.looks < maxLooks {
		return
	}
	ec.judged = true
	switch age := ec.endedAt.Sub(ec.openedAt); {
	case lives:
		pw.idleAge = age
	case pw.idleAge > 0 && (age-pw.idleAge).Abs() <= EndSpread:
		// The target has closed another connection at the same age.
	case !pw.lateSampleAt.IsZero() && ec.endedAt.Sub(pw.lateSampleAt).Abs() <= 2*EndSpread:
		// The connections may have ended at any time of the pause.
	default:
		pw.processEndedAt = ec.endedAt
	}
}

// livesAt reports whether a connection that was opened EndSpread or longer before a time was open EndSpread after it, or is open now, and whether
// there are others with unread data, which may hide their ends. The connection of a response whose end is examined does not count. The caller
// holds the lock.
func (pw *processWatch) livesAt(at time.Time, except *conn, others []*conn) (lives, unread bool) {
	opened, open := at.Add(-EndSpread), at.Add(EndSpread)
	for _, ic := range pw.idle {
		if ic.cn != nil && !ic.openedAt.After(opened) || !ic.previous.openedAt.After(opened) && ic.previous.endedAt.After(open) {
			return true, false
		}
	}
	for _, cn := range others {
		if cn == except || cn.openedAt.After(opened) || !cn.isEstablished() {
			continue
		}
		if !cn.hasUnreadData() {
			return true, false
		}
		unread = true
	}
	return false, unread
}

// hadIdle reports whether there is or was an idle connection. The caller holds the lock.
func (pw *processWatch) hadIdle() bool {
	for _, ic := range pw.idle {
		if ic.cn != nil || !ic.previous.endedAt.IsZero() {
			return true
		}
	}
	return false
}

// lifeAt returns what is known of the process EndSpread after the end of a response. The caller holds the lock.
func (pw *processWatch) lifeAt(sn *Sentinel, others []*conn) Life {
	for i := range pw.idle {
		pw.judgeEnd(&pw.idle[i].previous, others)
	}
	held, refused, closed := false, false, false
	for _, ic := range pw.idle {
		held = held || ic.cn != nil
		refused = refused || ic.refused
		closed = closed || ic.previous.orderly
	}
	lives, _ := pw.livesAt(sn.endedAt, sn.cn, others)
	switch {
	case pw.processEndedAt.After(sn.startedAt) && pw.processEndedAt.Before(sn.endedAt.Add(EndSpread)):
		// What the process sent before may arrive for some time after its end, and a target goes on for a while after it has lost a helper.
		return Ended
	case lives:
		return Outlived
	case refused && closed:
		return ShuttingDown
	case refused:
		return Refused
	case held:
		return Accepted
	default:
		return Unknown
	}
}

// probe opens a connection to learn whether a process listens.
func (pw *processWatch) probe() Life {
	ctx, cancel := context.WithTimeout(context.Background(), 2*EndSpread)
	defer cancel()
	err := pw.pool.Probe(ctx, pw.address)
	var de *DialError
	switch {
	case err == nil:
		return Accepted
	case errors.As(err, &de) && de.Refused():
		return Refused
	default:
		return Unknown
	}
}
