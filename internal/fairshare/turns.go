package fairshare

import (
	"math/bits"
	"time"
)

const (
	// sizeCount is the number of sizes of prompts, each from a power of two of milliseconds of engine time to the next.
	sizeCount = 16
	// minServedRatio is how often prompts of a size are served, compared with all of the organisation, before the next one is refused
	// for its share. Half is promised to the largest; the rest is for refusals that other instances do not know of.
	minServedRatio = 0.75
	// turnsPeriod is the time after which a prompt counts half. The largest tenth of an organisation may be one prompt in ten seconds at an
	// instance of a large fleet.
	turnsPeriod = 8 * Window
)

// tally counts the prompts of one size.
type tally struct{ offered, served float64 }

// Turns counts how often the prompts of each size of an organisation are served at this instance, so that a share does not go to short
// prompts alone.
type Turns struct {
	byKey map[Key]*turns
}

// turns are the counts of one organisation.
type turns struct {
	sizes [sizeCount]tally
	all   tally
	at    time.Time
}

// NewTurns returns empty counts.
func NewTurns() *Turns { return &Turns{byKey: map[Key]*turns{}} }

// sizeOf returns the size of a prompt by its engine time.
func sizeOf(engineTime time.Duration) int {
	return min(sizeCount-1, bits.Len64(uint64(max(0, engineTime.Milliseconds()))))
}

// Record counts a prompt that was placed or refused.
func (tu *Turns) Record(ke Key, engineTime time.Duration, served bool, now time.Time) {
	or := tu.turnsOf(ke, now)
	if or == nil {
		return
	}
	for _, ta := range []*tally{&or.sizes[sizeOf(engineTime)], &or.all} {
		ta.offered++
		if served {
			ta.served++
		}
	}
}

// turnsOf returns the counts of an organisation, faded to now; nil if there is no room for another one.
func (tu *Turns) turnsOf(ke Key, now time.Time) *turns {
	or := tu.byKey[ke]
	if or == nil {
		if len(tu.byKey) >= maxOrganisations {
			tu.dropIdle(now)
		}
		if len(tu.byKey) >= maxOrganisations {
			return nil
		}
		or = &turns{at: now}
		tu.byKey[ke] = or
	}
	or.fadeTo(now)
	return or
}

// fadeTo halves the counts for each period that has passed.
func (or *turns) fadeTo(now time.Time) {
	for ; now.Sub(or.at) >= turnsPeriod; or.at = or.at.Add(turnsPeriod) {
		if or.all.offered < 1 {
			or.at = now
			return
		}
		or.all.halve()
		for i := range or.sizes {
			or.sizes[i].halve()
		}
	}
}

func (ta *tally) halve() { ta.offered, ta.served = ta.offered/2, ta.served/2 }

// dropIdle removes the counts of organisations without a prompt in the last period.
func (tu *Turns) dropIdle(now time.Time) {
	for ke, or := range tu.byKey {
		if now.Sub(or.at) >= turnsPeriod {
			delete(tu.byKey, ke)
		}
	}
}

// IsDue reports whether prompts of a size were served so much less often than all of the organisation that the next one must not be refused
// for its share. The draw is a random number in [0, 1): what is missing is a fraction of a prompt where few are seen, and one of several
// instances then exempts a whole one.
func (tu *Turns) IsDue(ke Key, engineTime time.Duration, draw float64, now time.Time) bool {
	or := tu.turnsOf(ke, now)
	if or == nil || or.all.offered == 0 {
		return false
	}
	usual, size := or.all.served/or.all.offered, or.sizes[sizeOf(engineTime)]
	return draw < minServedRatio*usual*size.offered-size.served
}
