package upstream

import (
	"context"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// restMost is how long an idle connection is used again when the target does not say how long it keeps it.
	restMost = 4 * time.Second
	// keepMargin is taken off the time that the target says.
	keepMargin = 700 * time.Millisecond
	// idleMost bounds the idle connections to one target until SetIdle is called.
	idleMost = 8
	// shortFor is how long a target's connections rest less after it dropped one without a sign: longer than the pauses
	// between such resets under load, and short beside the price of a new connection for each request.
	shortFor = 10 * time.Second
)

// shortRest is how long connections to one target may rest after it dropped one.
type shortRest struct {
	most  time.Duration
	until time.Time
}

// Pool keeps connections to targets. It is safe for use by any goroutine.
type Pool struct {
	now    func() time.Time
	dialed *metrics.Counter
	// dialTimeout bounds the opening of a connection.
	dialTimeout time.Duration
	// idleMost is at least one.
	idleMost atomic.Int64

	mu sync.Mutex
	// idle holds the connections at rest by address, the last used at the end.
	idle map[string][]*conn
	// open counts all connections by address; entries at zero are removed.
	open map[string]int
	// short holds the targets that dropped a connection lately, by address.
	short map[string]shortRest
}

// NewPool returns an empty pool that counts new connections in a metric.
func NewPool(now func() time.Time, ms *metrics.Set, dialTimeout time.Duration) *Pool {
	pl := &Pool{
		now: now, dialTimeout: dialTimeout, idle: map[string][]*conn{}, open: map[string]int{},
		short:  map[string]shortRest{},
		dialed: ms.GetOrCreateCounter("silvermount_target_connections_opened_total"),
	}
	pl.SetMaxIdle(idleMost)
	return pl
}

// SetIdle bounds the idle connections to one target; at least one is kept.
func (pl *Pool) SetMaxIdle(most int) { pl.idleMost.Store(int64(max(1, most))) }

// get returns a connection at rest, or a new one.
func (pl *Pool) get(ctx context.Context, address string, exclusive bool) (cn *conn, reused bool, err error) {
	// A connection at rest may be gone without a sign: a request that may run only once would end with its outcome
	// unknown. It gets a new one.
	for !exclusive {
		cn = pl.take(address)
		if cn == nil {
			break
		}
		if pl.usable(address, cn) {
			return cn, true, nil
		}
		pl.drop(address, cn)
	}
	cn, err = pl.dial(ctx, address)
	return cn, false, err
}

// dial opens a connection and counts it.
func (pl *Pool) dial(ctx context.Context, address string) (*conn, error) {
	cn, err := dial(ctx, address, pl.dialTimeout, pl.now)
	if err != nil {
		return nil, err
	}
	pl.dialed.Inc()
	pl.mu.Lock()
	pl.open[address]++
	pl.mu.Unlock()
	return cn, nil
}

// Probe asks an address for a connection, which then rests for the next request. It fails with a DialError.
func (pl *Pool) Probe(ctx context.Context, address string) error {
	cn, err := pl.dial(ctx, address)
	if err != nil {
		return err
	}
	pl.rest(address, cn)
	return nil
}

func (pl *Pool) take(address string) *conn {
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

func (pl *Pool) usable(address string, cn *conn) bool {
	most := restMost
	if cn.keep > 0 {
		most = cn.keep - keepMargin
	}
	cn.rested = pl.now().Sub(cn.restedAt)
	return cn.rested < min(most, pl.shortMost(address)) && cn.quiet()
}

// shortMost is how long a connection may rest by what the target dropped lately.
func (pl *Pool) shortMost(address string) time.Duration {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	sr, ok := pl.short[address]
	if !ok || !pl.now().Before(sr.until) {
		return math.MaxInt64
	}
	return sr.most
}

// forgot notes that a target dropped a connection which had rested for some time. It may have dropped it earlier.
func (pl *Pool) forgot(address string, rested time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.short[address] = shortRest{most: rested / 2, until: pl.now().Add(shortFor)}
}

// rest takes a connection back whose last answer was whole.
func (pl *Pool) rest(address string, cn *conn) {
	cn.restedAt = pl.now()
	pl.mu.Lock()
	full := int64(len(pl.idle[address])) >= pl.idleMost.Load()
	if !full {
		pl.idle[address] = append(pl.idle[address], cn)
	}
	pl.mu.Unlock()
	if full {
		pl.drop(address, cn)
	}
}

func (pl *Pool) drop(address string, cn *conn) {
	cn.abandon()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.open[address]--
	if pl.open[address] <= 0 {
		delete(pl.open, address)
	}
}

// Open returns how many connections lead to an address.
func (pl *Pool) OpenCount(address string) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.open[address]
}

// Forget closes the connections at rest to an address, whose process has started again and knows nothing of them.
func (pl *Pool) CloseIdle(address string) {
	pl.mu.Lock()
	old := pl.idle[address]
	delete(pl.idle, address)
	delete(pl.short, address)
	pl.mu.Unlock()
	for _, cn := range old {
		pl.drop(address, cn)
	}
}

// Sweep closes connections that have rested too long.
func (pl *Pool) EvictExpired() {
	now := pl.now()
	old := map[string][]*conn{}
	pl.mu.Lock()
	maps.DeleteFunc(pl.short, func(_ string, sr shortRest) bool { return !now.Before(sr.until) })
	for address, list := range pl.idle {
		var kept []*conn
		for _, cn := range list {
			if now.Sub(cn.restedAt) < max(restMost, cn.keep) {
				kept = append(kept, cn)
				continue
			}
			old[address] = append(old[address], cn)
		}
		if len(kept) == 0 {
			delete(pl.idle, address)
			continue
		}
		pl.idle[address] = kept
	}
	pl.mu.Unlock()
	for address, list := range old {
		for _, cn := range list {
			pl.drop(address, cn)
		}
	}
}
