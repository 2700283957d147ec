package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/fleet"
	"github.com/silvermount/silvermount/internal/grant"
	"github.com/silvermount/silvermount/internal/offer"
	"github.com/silvermount/silvermount/internal/peer/peerpb"
	"github.com/silvermount/silvermount/internal/policy"
)

const (
	// shortAsks is how many owners are asked for one short prompt.
	maxOfferPeers = 2
	// shortTimeout bounds the wait for their answers.
	offerTimeout = 20 * time.Millisecond
)

// ChooseShort chooses the best owned target for a peer's short prompt.
type ShortPromptChooser func(model string, rq policy.Request) (target string, wait time.Duration, ok bool)

// SetChooseShort sets the choice that answers to peers are made by.
func (ms *Mesh) SetShortPromptChooser(f ShortPromptChooser) { ms.chooseShortTarget.Store(&f) }

func (ms *Mesh) respondShort(from fleet.Instance, ask *peerpb.ShortAsk) *peerpb.Frame {
	ans := &peerpb.ShortAnswer{Id: ask.GetId()}
	rq := policy.Request{Tokens: int(ask.GetTokens()), Output: int(ask.GetOutput())}
	if choose := ms.chooseShortTarget.Load(); choose != nil && !ms.stopping() {
		if target, wait, ok := (*choose)(ask.GetModel(), rq); ok {
			ans.Target, ans.WaitMicros = target, uint32(min(wait, maxAge).Microseconds())
			ms.fl.NoteAsked(target, grant.Key{Holder: from.Incarnation, ID: ask.GetId()}, rq.Tokens, wait)
		}
	}
	return &peerpb.Frame{Kind: &peerpb.Frame_ShortAnswer{ShortAnswer: ans}}
}

// AskShort asks some other owners, of this availability zone where there are any, and returns what they offer in time.
func (ms *Mesh) RequestShortOffers(ctx context.Context, model string, rq policy.Request) []offer.Offer {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	links := ms.pickOwnerLinks(model)
	offers := make([]offer.Offer, len(links))
	var wg sync.WaitGroup
	for i, lk := range links {
		wg.Go(func() { offers[i] = lk.requestOffer(ctx, ms.nextID.Add(1), model, rq) })
	}
	wg.Wait()
	var made []offer.Offer
	for _, of := range offers {
		if of.Target != "" {
			made = append(made, of)
		}
	}
	return made
}

func (ms *Mesh) pickOwnerLinks(model string) []*link {
	near, far := ms.fl.OtherOwners(model)
	shuffle := func(names []string) {
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	shuffle(near)
	shuffle(far)
	var links []*link
	for _, name := range append(near, far...) {
		if lk := ms.linkTo(name); lk != nil && len(links) < maxOfferPeers {
			links = append(links, lk)
		}
	}
	return links
}

func (lk *link) requestOffer(ctx context.Context, id uint64, model string, rq policy.Request) offer.Offer {
	ch := make(chan *peerpb.ShortAnswer, 1)
	lk.mu.Lock()
	lk.pendingOffers[id] = ch
	lk.mu.Unlock()
	ask := &peerpb.ShortAsk{Id: id, Model: model, Tokens: uint32(rq.Tokens), Output: uint32(rq.Output)}
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
		Target: ans.GetTarget(), Wait: time.Duration(ans.GetWaitMicros()) * time.Microsecond,
		Release: func() { once.Do(func() { lk.releaseGrant(ans.GetId(), ans.GetTarget()) }) },
	}
}

// takeShort hands an answer to who waits for it; one that nobody waits for any more is given back.
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
