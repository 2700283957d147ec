package fleet

import (
	"time"

	"github.com/silvermount/silvermount/internal/admission"
	"github.com/silvermount/silvermount/internal/policy"
)

// offerTimeMargin is the factor by which an offered prompt is counted longer than its predicted wait and prefill time.
const offerTimeMargin = 1.2

// offeredPrompt is a short prompt of a peer for which an owned target was offered.
type offeredPrompt struct {
	tokens, band int
	// until is the time up to which the prompt counts as load.
	until time.Time
}

// RecordOffer counts a short prompt of a peer as load on an owned target, until RemoveOffer or until the prompt should have been
// computed, with a margin.
func (fl *Fleet) RecordOffer(target string, k admission.Key, tokens int, wait time.Duration) {
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
	prefillTime := time.Duration(float64(tokens) / rate * float64(time.Second))
	kt.offers[k] = offeredPrompt{
		tokens: tokens, band: policy.LengthBand(tokens),
		until: fl.now().Add(time.Duration(float64(wait+prefillTime) * offerTimeMargin)),
	}
}

// RemoveOffer stops counting a prompt that RecordOffer added.
func (fl *Fleet) RemoveOffer(target string, k admission.Key) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		delete(kt.offers, k)
	}
}

// countOffers replaces the prefill of peers' short prompts in a load, which comes from heartbeats, by that of offers. It deletes
// expired offers. The caller holds the lock.
func (fl *Fleet) countOffers(kt *knownTarget, lo *Load) {
	now := fl.now()
	for b := range numOfferedBands {
		lo.PrefillTokens[b] = kt.ownLoad.PrefillTokens[b]
	}
	for k, op := range kt.offers {
		if now.After(op.until) {
			delete(kt.offers, k)
			continue
		}
		lo.PrefillTokens[op.band] += op.tokens
	}
}

// numOfferedBands is the number of length bands, from the shortest, whose prompts are counted from offers: all but the longest.
const numOfferedBands = policy.NumLengthBands - 1
