package upstream

import (
	"context"
	"maps"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// defaultIdleTimeout is how long an idle connection may be reused if the target does not announce how long it keeps it.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveMargin is subtracted from the keep-alive timeout that the target announces.
	keepAliveMargin = 700 * time.Millisecond
	// defaultMaxIdle bounds the idle connections to one target until SetMaxIdle is called.
	defaultMaxIdle = 8
	// reducedIdlePeriod is how long the idle timeout of a target stays reduced after it silently dropped a connection. It is
	// longer than the intervals between such resets under load, and short enough to limit the cost of the additional
	// connections.
	reducedIdlePeriod = 10 * time.Second
)

// reducedIdle is the idle timeout of one target after it silently dropped a connection.
type reducedIdle struct {
	timeout time.Duration
	until   time.Time
}

// Pool is a pool of keep-alive connections to targets. It is safe for concurrent use.
type Pool struct {
	now    func() time.Time
	opened *metrics.Counter
	// paused returns the total time for which the process was paused; never nil.
	paused func() time.Duration
	// dial opens new connections; never nil. It fails with a DialError.
	dial func(ctx context.Context, address string) (net.Conn, error)
	// onDirectRead is called whenever data was received on a direct connection; never nil.
	onDirectRead func()
	// isReusableNow reports whether a connection to an address may be used for another request; never nil.
	isReusableNow func(address string, st State) bool
	// finalReadSteps is how many steps the reading of a response may take after the call's deadline.
	finalReadSteps int64
	// maxIdle is at least one.
	maxIdle atomic.Int64

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used one last.
	idle map[string][]*conn
	// open holds all connections, idle and in use, by address. Empty entries are removed.
	open map[string]map[*conn]struct{}
	// watches holds the watches of the processes at addresses from which responses end with their connections.
	watches map[string]*processWatch
	// reduced holds the reduced idle timeouts of targets that recently dropped a connection, by address.
	reduced map[string]reducedIdle
}

// Option configures a Pool.
type Option func(*Pool)

// WithPaused sets the function that returns the total time for which the process was paused so far.
func WithPaused(paused func() time.Duration) Option {
	return func(pl *Pool) { pl.paused = paused }
}

// WithDial sets the function that opens connections to targets, in place of Dialer.Dial. It fails with a DialError.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(pl *Pool) { pl.dial = dial }
}

// WithOnDirectRead sets a function that is called whenever data was received on a connection that leads through no peer.
func WithOnDirectRead(onRead func()) Option {
	return func(pl *Pool) { pl.onDirectRead = onRead }
}

// WithReusable sets a function that reports whether an idle connection to an address may be used for another request.
func WithReusable(isReusable func(address string, st State) bool) Option {
	return func(pl *Pool) { pl.isReusableNow = isReusable }
}

// NewPool returns an empty pool. The counter of opened connections is registered in ms.
func NewPool(now func() time.Time, ms *metrics.Set, dialTimeout time.Duration, opts ...Option) *Pool {
	pl := &Pool{
		now: now, finalReadSteps: int64(finalReadTimeout / finalReadStep), idle: map[string][]*conn{}, open: map[string]map[*conn]struct{}{}, watches: map[string]*processWatch{},
		reduced: map[string]reducedIdle{},
		opened:  ms.GetOrCreateCounter("silvermount_target_connections_opened_total"),
		paused:  func() time.Duration { return 0 }, onDirectRead: func() {}, isReusableNow: func(string, State) bool { return true },
	}
	for _, opt := range opts {
		opt(pl)
	}
	if pl.dial == nil {
		pl.dial = Dialer{Timeout: dialTimeout, Connect: Connect, Now: now, Paused: pl.paused}.Dial
	}
	pl.SetMaxIdle(defaultMaxIdle)
	return pl
}

// SetMaxIdle bounds the idle connections to one target. The bound is at least one.
func (pl *Pool) SetMaxIdle(limit int) { pl.maxIdle.Store(int64(max(1, limit))) }

// acquire returns an idle connection if one can be reused, else a new one.
func (pl *Pool) acquire(ctx context.Context, address string, newConnection bool) (cn *conn, reused bool, err error) {
	for !newConnection {
		cn = pl.popIdle(address)
		if cn == nil {
			break
		}
		if pl.isReusable(address, cn) {
			return cn, true, nil
		}
		pl.discard(address, cn)
	}
	cn, err = pl.connect(ctx, address)
	return cn, false, err
}

// connect opens a connection and counts it.
func (pl *Pool) connect(ctx context.Context, address string) (*conn, error) {
	nc, err := pl.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	cn := newConn(nc, func() {})
	if cn.peer == "" {
		cn.onRead = pl.onDirectRead
	}
	pl.opened.Inc()
	pl.mu.Lock()
	if pl.open[address] == nil {
		pl.open[address] = map[*conn]struct{}{}
	}
	pl.open[address][cn] = struct{}{}
	pl.mu.Unlock()
	return cn, nil
}

// Probe opens a connection to an address and keeps it idle for the next request. It fails with a DialError.
func (pl *Pool) Probe(ctx context.Context, address string) error {
	cn, err := pl.connect(ctx, address)
	if err != nil {
		return err
	}
	pl.release(address, cn)
	return nil
}

// popIdle removes and returns the most recently used idle connection to an address; nil without one.
func (pl *Pool) popIdle(address string) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	list := pl.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	pl.idle[address] = list[:len(list)-1]
	return cn
}

// isReusable reports whether an idle connection is within its idle timeout, still open, and without unexpected data.
func (pl *Pool) isReusable(address string, cn *conn) bool {
	timeout := defaultIdleTimeout
	if cn.keepAliveTimeout > 0 {
		timeout = cn.keepAliveTimeout - keepAliveMargin
	}
	cn.idleFor = pl.now().Sub(cn.idleSince)
	return cn.idleFor < min(timeout, pl.reducedIdleTimeout(address)) && pl.isReusableNow(address, cn.state()) && cn.isOpenAndEmpty()
}

// reducedIdleTimeout returns the reduced idle timeout of a target, or the largest duration if it is not reduced.
func (pl *Pool) reducedIdleTimeout(address string) time.Duration {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ri, ok := pl.reduced[address]
	if !ok || !pl.now().Before(ri.until) {
		return math.MaxInt64
	}
	return ri.timeout
}

// recordStaleConnection reduces the idle timeout of a target that dropped a connection which had been idle for idleFor. The
// timeout becomes half of that, as the target may have dropped the connection some time before.
func (pl *Pool) recordStaleConnection(address string, idleFor time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.reduced[address] = reducedIdle{timeout: idleFor / 2, until: pl.now().Add(reducedIdlePeriod)}
}

// release returns a connection to the pool whose last response is complete. It closes the connection if the maximum of idle
// connections to the address is reached.
func (pl *Pool) release(address string, cn *conn) { pl.releaseIdle(address, cn, 0) }

// releaseIdle is release for a connection that has been idle for some time already.
func (pl *Pool) releaseIdle(address string, cn *conn, idleFor time.Duration) {
	cn.idleSince = pl.now().Add(-idleFor)
	pl.mu.Lock()
	full := int64(len(pl.idle[address])) >= pl.maxIdle.Load()
	if !full {
		pl.idle[address] = append(pl.idle[address], cn)
	}
	pl.mu.Unlock()
	if full {
		pl.discard(address, cn)
	}
}

// discard closes a connection and removes it from the count of open ones.
func (pl *Pool) discard(address string, cn *conn) {
	cn.closeIgnoringError()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	delete(pl.open[address], cn)
	if len(pl.open[address]) == 0 {
		delete(pl.open, address)
	}
}

// OpenCount returns how many connections to an address are open, idle and in use.
func (pl *Pool) OpenCount(address string) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return len(pl.open[address])
}

// openConns returns the direct connections to an address that are open, idle and in use.
func (pl *Pool) openConns(address string) []*conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var conns []*conn
	for cn := range pl.open[address] {
		if cn.peer == "" {
			conns = append(conns, cn)
		}
	}
	return conns
}

// CloseIdle closes the idle connections to an address whose process has restarted and does not know them.
func (pl *Pool) CloseIdle(address string) {
	pl.mu.Lock()
	conns := pl.idle[address]
	delete(pl.idle, address)
	delete(pl.reduced, address)
	pl.mu.Unlock()
	for _, cn := range conns {
		pl.discard(address, cn)
	}
}

// EvictExpired closes idle connections that have exceeded their timeout, and those through peers that carry no more requests. It also
// removes expired reductions of the timeout.
func (pl *Pool) EvictExpired() {
	now := pl.now()
	expired := map[string][]*conn{}
	pl.mu.Lock()
	maps.DeleteFunc(pl.reduced, func(_ string, ri reducedIdle) bool { return !now.Before(ri.until) })
	for address, list := range pl.idle {
		var kept []*conn
		for _, cn := range list {
			if now.Sub(cn.idleSince) < max(defaultIdleTimeout, cn.keepAliveTimeout) && (cn.peer == "" || pl.isReusableNow(address, cn.state())) {
				kept = append(kept, cn)
				continue
			}
			expired[address] = append(expired[address], cn)
		}
		if len(kept) == 0 {
			delete(pl.idle, address)
			continue
		}
		pl.idle[address] = kept
	}
	pl.mu.Unlock()
	for address, list := range expired {
		for _, cn := range list {
			pl.discard(address, cn)
		}
	}
}
