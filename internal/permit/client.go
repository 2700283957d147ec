package permit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// askTimeout bounds the wait for an issuer's answer: many round trips between availability zones, and a small part of the shortest
	// objective.
	askTimeout = 100 * time.Millisecond
	// unansweredFor is how long a target is closed whose issuer did not answer: four times until a lost instance is taken for lost.
	unansweredFor = 500 * time.Millisecond
)

// Request asks for a permit.
type Request struct {
	Target targets.Target
	// Limit is what the instance that asks believes of the target.
	Limit ratelimit.Limit
	// Wait is how long the request may wait for its turn.
	Wait time.Duration
}

// Ask puts a request to the issuer of its target.
type Ask func(ctx context.Context, rq Request) (Answer, error)

// Client asks for permits, and remembers which targets have none to give. It is safe for use by any goroutine.
type Client struct {
	now     func() time.Time
	limitOf func(target string) ratelimit.Limit
	granted *metrics.Counter
	refused *metrics.Counter
	failed  *metrics.Counter

	// anyClosed is set while closed has entries: a choice among all targets of a fleet without limits takes no lock for each.
	anyClosed atomic.Bool

	mu  sync.Mutex
	ask Ask
	// closed is when a target may be asked for again; entries in the past are removed when they are met.
	closed map[string]time.Time
}

// NewClient returns a client that knows limits by a function. Until SetAsk is called it gets no permit.
func NewClient(now func() time.Time, limitOf func(target string) ratelimit.Limit, ms *metrics.Set) *Client {
	return &Client{
		now: now, limitOf: limitOf, closed: map[string]time.Time{},
		granted: ms.GetOrCreateCounter("silvermount_permits_granted_total"),
		refused: ms.GetOrCreateCounter("silvermount_permits_refused_total"),
		failed:  ms.GetOrCreateCounter("silvermount_permits_unanswered_total"),
	}
}

// SetAsk sets how issuers are asked.
func (cl *Client) SetAsk(ask Ask) { cl.mu.Lock(); defer cl.mu.Unlock(); cl.ask = ask }

// Limited reports whether a target needs permits.
func (cl *Client) Limited(target string) bool { return cl.limitOf(target).Limited }

// Closed returns when a target may be asked for again; it reports false when that is now.
func (cl *Client) Closed(target string) (time.Time, bool) {
	if !cl.anyClosed.Load() {
		return time.Time{}, false
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	at, closed := cl.closed[target]
	if !closed {
		return time.Time{}, false
	}
	if !cl.now().Before(at) || !cl.limitOf(target).Limited {
		delete(cl.closed, target)
		cl.anyClosed.Store(len(cl.closed) > 0)
		return time.Time{}, false
	}
	return at, true
}

// Take asks for a permit. A target without a limit needs none. One that is refused, or whose issuer gives no answer, is closed for a
// while.
func (cl *Client) Take(ctx context.Context, tg targets.Target, wait time.Duration) Answer {
	li := cl.limitOf(tg.ID)
	if !li.Limited {
		return Answer{Granted: true}
	}
	an, err := cl.put(ctx, Request{Target: tg, Limit: li, Wait: wait})
	switch {
	case err != nil:
		cl.failed.Inc()
		an = Answer{After: unansweredFor}
	case an.Granted:
		cl.granted.Inc()
		return an
	default:
		cl.refused.Inc()
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.closed[tg.ID] = cl.now().Add(max(an.After, time.Millisecond))
	cl.anyClosed.Store(true)
	return an
}

func (cl *Client) put(ctx context.Context, rq Request) (Answer, error) {
	cl.mu.Lock()
	ask := cl.ask
	cl.mu.Unlock()
	if ask == nil {
		return Answer{}, &NoIssuerError{}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return ask(ctx, rq)
}

// NoIssuerError says that nobody can be asked yet.
type NoIssuerError struct{}

// Error says so.
func (*NoIssuerError) Error() string { return "no issuer of permits is known" }
