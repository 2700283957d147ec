package router

import (
	"context"
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/offer"
	"github.com/silvermount/silvermount/internal/policy"
)

// maxOwnWaitShare is the predicted wait at an owned target, as a share of the prompt's own prefill time, above which other
// owners are asked for offers.
const maxOwnWaitShare = 0.3

// chooseViaOwners places a short prompt on an owned target, or on the target of another owner that offers a shorter wait.
func (rt *Router) chooseViaOwners(ctx context.Context, rq Request, timeLeft time.Duration) (*Slot, error) {
	ownedOnly := rq
	ownedOnly.Filter.OwnedOnly = true
	ownSlot, err := rt.choose(ownedOnly, timeLeft)
	if err == nil && ownSlot.PredictedWait <= time.Duration(maxOwnWaitShare*float64(ownSlot.prefillTime)) {
		return ownSlot, nil
	}
	best := rt.bestOffer(ctx, rq)
	switch {
	case best == nil && err != nil:
		// No owned target has room and there is no offer, so choose among all targets by this instance's own view of them.
		return rt.choose(rq, timeLeft)
	case best == nil:
		return ownSlot, nil
	case err == nil && ownSlot.PredictedWait <= best.PredictedWait:
		best.Release()
		return ownSlot, nil
	}
	if err == nil {
		ownSlot.rollBack()
	}
	return rt.acceptOffer(rq, *best)
}

// bestOffer asks other owners and returns the offer with the shortest wait, or nil if there is none. It releases the others.
func (rt *Router) bestOffer(ctx context.Context, rq Request) *offer.Offer {
	if rt.opts.RequestOffers == nil {
		return nil
	}
	var best *offer.Offer
	for _, of := range rt.opts.RequestOffers(ctx, rq.Filter.Model, rq.Prompt) {
		switch {
		case slices.Contains(rq.Filter.Exclude, of.Target):
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

// acceptOffer returns a slot at the target that another owner offered. Releasing the slot releases the offer.
func (rt *Router) acceptOffer(rq Request, of offer.Offer) (*Slot, error) {
	t, ok := rt.fl.Target(of.Target)
	if !ok {
		of.Release()
		return nil, &noRoomError{target: of.Target}
	}
	sl := &Slot{Target: t, PredictedWait: of.PredictedWait, load: loadOf(rq.Prompt, 0), fleet: rt.fl, releaseFuncs: []func(){of.Release}}
	rt.fl.AddLoad(t.Name, sl.load)
	return sl, nil
}

// ChooseOwnedTarget chooses the best target owned by this instance for a short prompt of another instance.
func (rt *Router) ChooseOwnedTarget(model string, pr policy.Prompt) (target string, wait time.Duration, ok bool) {
	rt.decideMu.Lock()
	defer rt.decideMu.Unlock()
	cs := rt.fl.Candidates(fleet.Filter{Model: model, IncludePeerLoad: true, OwnedOnly: true})
	if len(cs.Candidates) == 0 {
		return "", 0, false
	}
	dec := rt.opts.Policy.Choose(policy.Input{
		Prompt: pr, Candidates: cs.Candidates, Limits: rt.opts.Limits, Sequence: rt.sequence.Add(1),
	})
	if !dec.Placed {
		return "", 0, false
	}
	return cs.Candidates[dec.Index].Name, dec.PredictedWait, true
}
