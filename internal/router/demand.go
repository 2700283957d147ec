package router

import (
	"time"

	"github.com/silvermount/silvermount/internal/policy"
)

const (
	// initialShortRate is the rate of short prompts, in prompt tokens per second, that an instance assumes when it starts.
	initialShortRate = 20_000
	// slackShare is the share of the time until its deadline within which a waiting long prompt is to be computed.
	slackShare = 0.5
	// minSlack keeps the required rate of a prompt finite when its deadline is near or past.
	minSlack = time.Second
)

// estimateDemand extrapolates the demand on this instance to all live instances. This assumes that the load balancer in front
// of them distributes requests evenly.
func (rt *Router) estimateDemand(rq Request) policy.Demand {
	instances := float64(rt.fl.LiveInstanceCount())
	d := policy.Demand{ShortRate: rt.shortArrivals.Rate() * instances}
	if rt.opts.ExpectedShortRate != nil {
		d.ShortRate = max(d.ShortRate, rt.opts.ExpectedShortRate())
	}
	if rq.Prompt.Long {
		d.RequiredLongRate = rt.requiredLongRate() * instances
	}
	return d
}

// requiredLongRate returns the rate in prompt tokens per second that the long prompts in the queue of this instance need to
// meet their deadlines.
func (rt *Router) requiredLongRate() float64 {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.opts.Now()
	requiredRate := 0.0
	for _, wt := range rt.queue {
		if !wt.request.Prompt.Long {
			continue
		}
		slack := max(minSlack, time.Duration(slackShare*float64(wt.request.Deadline.Sub(now))))
		requiredRate += float64(wt.request.Prompt.Tokens) / slack.Seconds()
	}
	return requiredRate
}
