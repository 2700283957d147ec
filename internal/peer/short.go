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
	shortAsks = 2
	// shortTimeout bounds the wait for their answers.
	shortTimeout = 20 * time.Millisecond
)

// ChooseShort chooses the best owned target for a peer's short prompt.
type ChooseShort func(model string, rq policy.Prompt) (target string, wait time.Duration, ok bool)

// SetChooseShort sets the choice that answers to peers are made by.
func (ms *Mesh) SetChooseShort(f ChooseShort) { ms.chooseShort.Store(&f) }

func (ms *Mesh) answerShort(from fleet.Instance, ask *peerpb.ShortAsk) *peerpb.Frame {
	ans := &peerpb.ShortAnswer{Id: ask.GetId()}
	rq := policy.Prompt{Tokens: int(ask.GetTokens()), MaxOutputTokens: int(ask.GetOutput())}
	if choose := ms.chooseShort.Load(); choose != nil && !ms.stopping() {
		if target, wait, ok := (*choose)(ask.GetModel(), rq); ok {
			ans.Target, ans.WaitMicros = target, uint32(min(wait, maxAge).Microseconds())
			ms.fl.RecordOffer(target, grant.Key{Holder: from.Incarnation, ID: ask.GetId()}, rq.Tokens, wait)
		}
	}
	return &peerpb.Frame{Kind: &peerpb.Frame_ShortAnswer{ShortAnswer: ans}}
}

// AskShort asks some other owners, of this availability zone where there are any, and returns what they offer in time.
func (ms *Mesh) AskShort(ctx context.Context, model string, rq policy.Prompt) []offer.Offer {
	ctx, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	links := ms.someOwners(model)
	offers := make([]offer.Offer, len(links))
	var wg sync.WaitGroup
	for i, lk := range links {
		wg.Go(func() { offers[i] = lk.askShort(ctx, ms.nextID.Add(1), model, rq) })
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

func (ms *Mesh) someOwners(model string) []*link {
	near, far := ms.fl.PeersOwning(model)
	shuffle := func(names []string) {
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	shuffle(near)
	shuffle(far)
	var links []*link
	for _, name := range append(near, far...) {
		if lk := ms.linkTo(name); lk != nil && len(links) < shortAsks {
			links = append(links, lk)
		}
	}
	return links
}

func (lk *link) askShort(ctx context.Context, id uint64, model string, rq policy.Prompt) offer.Offer {
	ch := make(chan *peerpb.ShortAnswer, 1)
	lk.mu.Lock()
	lk.shorts[id] = ch
	lk.mu.Unlock()
	ask := &peerpb.ShortAsk{Id: id, Model: model, Tokens: uint32(rq.Tokens), Output: uint32(rq.MaxOutputTokens)}
	if lk.out.Offer(&peerpb.Frame{Kind: &peerpb.Frame_ShortAsk{ShortAsk: ask}}) {
		select {
		case ans := <-ch:
			return lk.made(ans)
		case <-ctx.Done():
		}
	}
	lk.mu.Lock()
	delete(lk.shorts, id)
	lk.mu.Unlock()
	select {
	case ans := <-ch:
		return lk.made(ans)
	default:
		return offer.Offer{}
	}
}

func (lk *link) made(ans *peerpb.ShortAnswer) offer.Offer {
	if ans.GetTarget() == "" {
		return offer.Offer{}
	}
	var once sync.Once
	return offer.Offer{
		Target: ans.GetTarget(), PredictedWait: time.Duration(ans.GetWaitMicros()) * time.Microsecond,
		Release: func() { once.Do(func() { lk.release(ans.GetId(), ans.GetTarget()) }) },
	}
}

// takeShort hands an answer to who waits for it; one that nobody waits for any more is given back.
func (lk *link) takeShort(ans *peerpb.ShortAnswer) {
	lk.mu.Lock()
	ch := lk.shorts[ans.GetId()]
	delete(lk.shorts, ans.GetId())
	if ch != nil {
		ch <- ans
	}
	lk.mu.Unlock()
	if ch == nil && ans.GetTarget() != "" {
		lk.release(ans.GetId(), ans.GetTarget())
	}
}
