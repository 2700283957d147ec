package fleet

import (
	"time"

	"github.com/silvermount/silvermount/internal/grant"
	"github.com/silvermount/silvermount/internal/policy"
)

// askedShare is how much longer than predicted a prompt that was asked for is counted.
const offerTimeMargin = 1.2

// asked is a short prompt that a peer sends to an owned target.
type offeredPrompt struct {
	tokens, band int
	until        time.Time
}

// NoteAsked counts a peer's short prompt at an owned target until it has surely been computed.
func (fl *Fleet) RecordOffer(target string, k grant.Key, tokens int, wait time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kt := fl.targets[target]
	if kt == nil {
		return
	}
	rate := kt.prefillRate
	if rate <= 0 {
		rate = assumedPrefillRate
	}
	work := time.Duration(float64(tokens) / rate * float64(time.Second))
	kt.offers[k] = offeredPrompt{
		tokens: tokens, band: policy.LengthBand(tokens),
		until: fl.now().Add(time.Duration(float64(wait+work) * offerTimeMargin)),
	}
}

// DropAsked takes back what NoteAsked counted.
func (fl *Fleet) RemoveOffer(target string, k grant.Key) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		delete(kt.offers, k)
	}
}

// countAsked puts what peers asked for in the place of what their heartbeats tell of short prompts.
func (fl *Fleet) countOffers(kt *knownTarget, all *Load) {
	now := fl.now()
	for b := range numOfferedBands {
		all.PrefillTokens[b] = kt.ownLoad.PrefillTokens[b]
	}
	for k, a := range kt.offers {
		if now.After(a.until) {
			delete(kt.offers, k)
			continue
		}
		all.PrefillTokens[a.band] += a.tokens
	}
}

// shortBands is the number of length bands whose prompts are asked for one by one.
const numOfferedBands = policy.NumLengthBands - 1
