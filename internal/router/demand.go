package router

import (
	"time"

	"github.com/silvermount/silvermount/internal/policy"
)

const (
	// assumedShort is the demand in tokens a second that an instance assumes when it starts.
	assumedShort = 20_000
	// slackPart is the part of the time left by which a long prompt shall have started.
	slackPart = 0.5
	// leastSlack keeps the need of a late prompt finite.
	leastSlack = time.Second
)

// demand estimates the demand over all instances from this one's share: the balancer spreads requests evenly.
func (rt *Router) demand(ask Request) policy.Demand {
	instances := float64(rt.fl.LiveInstanceCount())
	d := policy.Demand{ShortRate: rt.arriving.Rate() * instances}
	if rt.opts.ExpectedShortRate != nil {
		d.ShortRate = max(d.ShortRate, rt.opts.ExpectedShortRate())
	}
	if ask.Prompt.Long {
		d.RequiredLongRate = rt.longNeed() * instances
	}
	return d
}

// longNeed is the prompt tokens a second that the long prompts waiting here need to be in time.
func (rt *Router) longNeed() float64 {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.opts.Now()
	need := 0.0
	for _, wt := range rt.waiting {
		if !wt.ask.Prompt.Long {
			continue
		}
		slack := max(leastSlack, time.Duration(slackPart*float64(wt.ask.Deadline.Sub(now))))
		need += float64(wt.ask.Prompt.Tokens) / slack.Seconds()
	}
	return need
}
