package router

import (
	"context"
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/offer"
	"github.com/silvermount/silvermount/internal/policy"
)

// askFrom is the part of a prompt's own time that it may wait at an owned target before others are asked.
const maxOwnWaitShare = 0.3

// viaOwners places a short prompt at an owned target, or at that of another owner who offers a shorter wait.
func (rt *Router) chooseViaOwners(ctx context.Context, ask Request, left time.Duration) (*Slot, error) {
	own := ask
	own.Filter.OwnedOnly = true
	home, err := rt.choose(own, left)
	if err == nil && home.PredictedWait <= time.Duration(maxOwnWaitShare*float64(home.prefillTime)) {
		return home, nil
	}
	best := rt.bestOffer(ctx, ask)
	switch {
	case best == nil && err != nil:
		// Nobody answered: this instance's own view of all targets has to do.
		return rt.choose(ask, left)
	case best == nil:
		return home, nil
	case err == nil && home.PredictedWait <= best.PredictedWait:
		best.Release()
		return home, nil
	}
	if err == nil {
		home.rollBack()
	}
	return rt.acceptOffer(ask, *best)
}

// bestOffer asks other owners and returns the offer with the least wait; the others are given back.
func (rt *Router) bestOffer(ctx context.Context, ask Request) *offer.Offer {
	if rt.opts.RequestOffers == nil {
		return nil
	}
	var best *offer.Offer
	for _, of := range rt.opts.RequestOffers(ctx, ask.Filter.Model, ask.Prompt) {
		switch {
		case slices.Contains(ask.Filter.Exclude, of.Target):
			of.Release()
		case best == nil:
			best = &of
		case of.PredictedWait < best.PredictedWait:
			best.Release()
			best = &of
		default:
			of.Release()
		}
	}
	return best
}

// accept takes a place that another owner offered.
func (rt *Router) acceptOffer(ask Request, of offer.Offer) (*Slot, error) {
	t, ok := rt.fl.Target(of.Target)
	if !ok {
		of.Release()
		return nil, &noRoomError{target: of.Target}
	}
	pl := &Slot{Target: t, PredictedWait: of.PredictedWait, load: loadOf(ask.Prompt, 0), fleet: rt.fl, releaseFuncs: []func(){of.Release}}
	rt.fl.AddLoad(t.Name, pl.load)
	return pl, nil
}

// Offer chooses the best owned target for another instance's short prompt.
func (rt *Router) ChooseOwnedTarget(model string, rq policy.Prompt) (target string, wait time.Duration, ok bool) {
	rt.decideMu.Lock()
	defer rt.decideMu.Unlock()
	vw := rt.fl.Candidates(fleet.Filter{Model: model, IncludePeerLoad: true, OwnedOnly: true})
	if len(vw.Candidates) == 0 {
		return "", 0, false
	}
	dec := rt.opts.Policy.Choose(policy.Input{
		Prompt: rq, Candidates: vw.Candidates, Limits: rt.opts.Limits, Sequence: rt.sequence.Add(1),
	})
	if !dec.Placed {
		return "", 0, false
	}
	return vw.Candidates[dec.Index].Name, dec.PredictedWait, true
}
