package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/admission"
	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/offer"
	"github.com/silvermount/silvermount/internal/peer/peerpb"
	"github.com/silvermount/silvermount/internal/policy"
)

const (
	// maxOfferPeers is the number of owners that are asked for offers for one short prompt.
	maxOfferPeers = 2
	// offerTimeout bounds the wait for offers.
	offerTimeout = 20 * time.Millisecond
)

// ShortPromptChooser selects the best target that this instance owns for a peer's short prompt. It returns false if there is none.
type ShortPromptChooser func(model string, pr policy.Prompt) (target string, wait time.Duration, ok bool)

// SetShortPromptChooser sets the function that answers peers' requests for offers. Before it is set, no offers are made.
func (ms *Mesh) SetShortPromptChooser(f ShortPromptChooser) { ms.chooseShortTarget.Store(&f) }

func (ms *Mesh) respondShort(from fleet.Instance, ask *peerpb.ShortAsk) *peerpb.Frame {
	ans := &peerpb.ShortAnswer{Id: ask.GetId()}
	pr := policy.Prompt{Tokens: int(ask.GetTokens()), MaxOutputTokens: int(ask.GetOutput())}
	if choose := ms.chooseShortTarget.Load(); choose != nil && !ms.stopping() {
		if target, wait, ok := (*choose)(ask.GetModel(), pr); ok {
			ans.Target, ans.WaitMicros = target, uint32(min(wait, maxAge).Microseconds())
			ms.fl.RecordOffer(target, admission.Key{Holder: from.Incarnation, ID: ask.GetId()}, pr.Tokens, wait)
		}
	}
	return &peerpb.Frame{Kind: &peerpb.Frame_ShortAnswer{ShortAnswer: ans}}
}

// RequestShortOffers asks a few other owners, preferably in this availability zone, and returns the offers that arrive within
// offerTimeout.
func (ms *Mesh) RequestShortOffers(ctx context.Context, model string, pr policy.Prompt) []offer.Offer {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	links := ms.pickOwnerLinks(model)
	offers := make([]offer.Offer, len(links))
	var wg sync.WaitGroup
	for i, lk := range links {
		wg.Go(func() { offers[i] = lk.requestOffer(ctx, ms.nextID.Add(1), model, pr) })
	}
	wg.Wait()
	var valid []offer.Offer
	for _, of := range offers {
		if of.Target != "" {
			valid = append(valid, of)
		}
	}
	return valid
}

// pickOwnerLinks returns links to random owners of targets with the model, those in this availability zone first.
func (ms *Mesh) pickOwnerLinks(model string) []*link {
	sameZone, otherZones := ms.fl.PeersOwning(model)
	shuffle := func(names []string) {
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	shuffle(sameZone)
	shuffle(otherZones)
	var links []*link
	for _, name := range append(sameZone, otherZones...) {
		if lk := ms.linkTo(name); lk != nil && len(links) < maxOfferPeers {
			links = append(links, lk)
		}
	}
	return links
}

func (lk *link) requestOffer(ctx context.Context, id uint64, model string, pr policy.Prompt) offer.Offer {
	ch := make(chan *peerpb.ShortAnswer, 1)
	lk.mu.Lock()
	lk.pendingOffers[id] = ch
	lk.mu.Unlock()
	ask := &peerpb.ShortAsk{Id: id, Model: model, Tokens: uint32(pr.Tokens), Output: uint32(pr.MaxOutputTokens)}
	if lk.sendQueue.Offer(&peerpb.Frame{Kind: &peerpb.Frame_ShortAsk{ShortAsk: ask}}) {
		select {
		case ans := <-ch:
			return lk.toOffer(ans)
		case <-ctx.Done():
		}
	}
	lk.mu.Lock()
	delete(lk.pendingOffers, id)
	lk.mu.Unlock()
	select {
	case ans := <-ch:
		return lk.toOffer(ans)
	default:
		return offer.Offer{}
	}
}

func (lk *link) toOffer(ans *peerpb.ShortAnswer) offer.Offer {
	if ans.GetTarget() == "" {
		return offer.Offer{}
	}
	var once sync.Once
	return offer.Offer{
		Target: ans.GetTarget(), PredictedWait: time.Duration(ans.GetWaitMicros()) * time.Microsecond,
		Release: func() { once.Do(func() { lk.releaseGrant(ans.GetId(), ans.GetTarget()) }) },
	}
}

// handleShortAnswer delivers an offer to its waiting request. An offer that no request waits for any more is released.
func (lk *link) handleShortAnswer(ans *peerpb.ShortAnswer) {
	lk.mu.Lock()
	ch := lk.pendingOffers[ans.GetId()]
	delete(lk.pendingOffers, ans.GetId())
	if ch != nil {
		ch <- ans
	}
	lk.mu.Unlock()
	if ch == nil && ans.GetTarget() != "" {
		lk.releaseGrant(ans.GetId(), ans.GetTarget())
	}
}
