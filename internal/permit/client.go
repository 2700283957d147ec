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
	// requestTimeout bounds the wait for an issuer's decision. It allows for many round trips between availability zones, and is
	// a small part of the shortest objective.
	requestTimeout = 100 * time.Millisecond
	// unansweredBlock is how long a target is blocked after its issuer did not answer: a quarter of the time after which a silent
	// instance is considered lost.
	unansweredBlock = 500 * time.Millisecond
)

// Request is a request for a permit.
type Request struct {
	Target targets.Target
	// Limit is the rate limit of the target as known to the requesting instance.
	Limit ratelimit.Limit
	// MaxWait is how long the request may wait for a permit to become available.
	MaxWait time.Duration
}

// RequestFunc sends a request for a permit to the issuer of the target, and returns its decision.
type RequestFunc func(ctx context.Context, rq Request) (Decision, error)

// Client requests permits, and remembers which targets have none available. It is safe for concurrent use.
type Client struct {
	now        func() time.Time
	limitOf    func(target string) ratelimit.Limit
	granted    *metrics.Counter
	refused    *metrics.Counter
	unanswered *metrics.Counter
	// local decides on a request whose issuer did not answer. It reports false if only the issuer may.
	local func(target string) (Decision, bool)

	// anyBlocked is set while blockedUntil has entries. It avoids locking for each target when no target of the fleet is limited.
	anyBlocked atomic.Bool

	mu      sync.Mutex
	request RequestFunc
	// blockedUntil holds the earliest time for the next request by target. Expired entries are removed when they are looked up.
	blockedUntil map[string]time.Time
}

// Option configures a Client in NewClient.
type Option func(*Client)

// WithLocal sets a function that decides on a request for a permit whose issuer did not answer. It reports false if only the issuer may.
func WithLocal(local func(target string) (Decision, bool)) Option {
	return func(cl *Client) { cl.local = local }
}

// NewClient returns a client that looks up the rate limits of targets with limitOf. It acquires no permits of limited targets
// until SetRequestFunc is called.
func NewClient(now func() time.Time, limitOf func(target string) ratelimit.Limit, ms *metrics.Set, opts ...Option) *Client {
	cl := &Client{
		local: func(string) (Decision, bool) { return Decision{}, false },
		now:   now, limitOf: limitOf, blockedUntil: map[string]time.Time{},
		granted:    ms.GetOrCreateCounter("silvermount_permits_granted_total"),
		refused:    ms.GetOrCreateCounter("silvermount_permits_refused_total"),
		unanswered: ms.GetOrCreateCounter("silvermount_permits_unanswered_total"),
	}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

// SetRequestFunc sets the function that sends requests to issuers.
func (cl *Client) SetRequestFunc(request RequestFunc) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.request = request
}

// Limited reports whether requests to a target need permits.
func (cl *Client) Limited(target string) bool { return cl.limitOf(target).Limited }

// BlockedUntil returns when the next permit of a target may be requested. It reports false if one may be requested now.
func (cl *Client) BlockedUntil(target string) (time.Time, bool) {
	if !cl.anyBlocked.Load() {
		return time.Time{}, false
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	until, blocked := cl.blockedUntil[target]
	if !blocked {
		return time.Time{}, false
	}
	if !cl.now().Before(until) || !cl.limitOf(target).Limited {
		delete(cl.blockedUntil, target)
		cl.anyBlocked.Store(len(cl.blockedUntil) > 0)
		return time.Time{}, false
	}
	return until, true
}

// Acquire requests a permit. A target without a rate limit needs none. A target is blocked for a while if its issuer refuses the
// permit or does not answer.
func (cl *Client) Acquire(ctx context.Context, tg targets.Target, maxWait time.Duration) Decision {
	li := cl.limitOf(tg.ID)
	if !li.Limited {
		return Decision{Granted: true}
	}
	dc, err := cl.sendRequest(ctx, Request{Target: tg, Limit: li, MaxWait: maxWait})
	switch {
	case err != nil:
		cl.unanswered.Inc()
		dc = cl.decideUnanswered(tg.ID)
		if dc.Granted {
			return dc
		}
	case dc.Granted:
		cl.granted.Inc()
		return dc
	default:
		cl.refused.Inc()
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.blockedUntil[tg.ID] = cl.now().Add(max(dc.Delay, time.Millisecond))
	cl.anyBlocked.Store(true)
	return dc
}

// decideUnanswered decides on a request whose issuer did not answer. Without a permit, the target is blocked for a while, so that not each
// request waits for the issuer.
func (cl *Client) decideUnanswered(target string) Decision {
	if dc, decided := cl.local(target); decided && dc.Granted {
		return dc
	}
	return Decision{Delay: unansweredBlock}
}

func (cl *Client) sendRequest(ctx context.Context, rq Request) (Decision, error) {
	cl.mu.Lock()
	request := cl.request
	cl.mu.Unlock()
	if request == nil {
		return Decision{}, &NoIssuerError{}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return request(ctx, rq)
}

// NoIssuerError reports that SetRequestFunc has not been called yet.
type NoIssuerError struct{}

// Error implements the error interface.
func (*NoIssuerError) Error() string { return "no permit issuer is known yet" }
