package router

import (
	"time"

	"github.com/silvermount/silvermount/internal/policy"
)

const (
	// assumedShort is the demand in tokens a second that an instance assumes when it starts.
	initialShortRate = 20_000
	// slackPart is the part of the time left by which a long prompt shall have started.
	slackShare = 0.5
	// leastSlack keeps the need of a late prompt finite.
	minSlack = time.Second
)

// demand estimates the demand over all instances from this one's share: the balancer spreads requests evenly.
func (rt *Router) estimateDemand(ask Request) policy.Demand {
	instances := float64(rt.fl.LiveInstanceCount())
	d := policy.Demand{ShortRate: rt.shortArrivals.Rate() * instances}
	if rt.opts.ExpectedShortRate != nil {
		d.ShortRate = max(d.ShortRate, rt.opts.ExpectedShortRate())
	}
	if ask.Prompt.Long {
		d.RequiredLongRate = rt.requiredLongRate() * instances
	}
	return d
}

// longNeed is the prompt tokens a second that the long prompts waiting here need to be in time.
func (rt *Router) requiredLongRate() float64 {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.opts.Now()
	need := 0.0
	for _, wt := range rt.queue {
		if !wt.request.Prompt.Long {
			continue
		}
		slack := max(minSlack, time.Duration(slackShare*float64(wt.request.Deadline.Sub(now))))
		need += float64(wt.request.Prompt.Tokens) / slack.Seconds()
	}
	return need
}
