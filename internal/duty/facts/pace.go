package facts

import (
	"math/rand/v2"
	"time"

	"github.com/silvermount/silvermount/internal/duty/forwarding"
)

const (
	// newsPause bounds a relay's pause after changes. Targets that start one after another, or a storm of versions, then
	// cost a relay two calls a second; the pauses are drawn, so one of six relays usually asks within a sixth of it.
	newsPause = 600 * time.Millisecond
	// listenerPause bounds a listener's pause after changes, so that a storm of versions costs it at most two calls a
	// second. With the relay's pause and a fetch from a peer a version is in force within the users' three seconds.
	listenerPause = time.Second
	// meetTime bounds how long an instance that starts leaves the store alone after its first list: peers are met within
	// about half of it. It is drawn, so that relays that start together do not ask together.
	meetTime = time.Second
	// listenerRetryLeast and listenerRetryMost bound a listener's pause after a failed call: the relays try more often and
	// tell it when the store is back.
	listenerRetryLeast = 2 * time.Second
	listenerRetryMost  = 4 * time.Second
	// relayRetryLeast and relayRetryMost bound a relay's pause while the others' word is fresh. The most is a silent
	// watch and its pause.
	relayRetryLeast = 200 * time.Millisecond
	relayRetryMost  = 2 * time.Second
	// aloneRetryLeast and aloneRetryMost bound the pause of who has no other word: several tries within the few seconds in
	// which a change must be in force.
	aloneRetryLeast = 100 * time.Millisecond
	aloneRetryMost  = 800 * time.Millisecond
	// restLeast is the age of what peers tell of the configuration from which the first listeners ask the store
	// themselves: two silent watches of one relay, and the way to the listener. restSpread is the time by which the last
	// ask later, since who asks first tells the others. What they learn still keeps the proof of keys below the users'
	// five seconds.
	restLeast  = 3300 * time.Millisecond
	restSpread = 600 * time.Millisecond
	// targetsRestLeast is the same for the targets, with watches of relayTargetsWait. No request is refused for an old
	// list; that a target is leaving, peers tell at once.
	targetsRestLeast = 8300 * time.Millisecond
	// listenerWait bounds a listener's watch, which is a question: what was heard is old already.
	listenerWait = 50 * time.Millisecond
	// relayTargetsWait bounds a silent watch of the targets by a relay: changes end it at once, and a watch that was cut
	// in silence is made good by the other relays.
	relayTargetsWait = 4 * time.Second
)

// pace says how often one instance asks the store.
type pace struct {
	part func() forwarding.Part
	// spread is this instance's share of restSpread, drawn once.
	spread time.Duration
	// seeds is set when there may be peers.
	seeds bool
	// met is set by the first pause, which is for peers to be met.
	met bool
}

func newPace(part func() forwarding.Part, seeds bool) *pace {
	return &pace{part: part, spread: rand.N(restSpread), seeds: seeds}
}

// rests reports whether what was heard at a time is enough. The least is the age from which it is not.
func (pc *pace) rests(heard time.Time, least time.Duration) bool {
	return time.Since(heard) < least+pc.spread && pc.part() == forwarding.PartListener
}

// pause returns how long the store is left alone after an answer.
func (pc *pace) pause(news bool) time.Duration {
	first := !pc.met
	pc.met = true
	switch pc.part() {
	case forwarding.PartRelay:
		if news {
			return rand.N(newsPause)
		}
	case forwarding.PartListener:
		if news {
			return listenerPause/2 + rand.N(listenerPause/2)
		}
	default:
		if first && pc.seeds {
			return meetTime/2 + rand.N(meetTime/2)
		}
	}
	return 0
}

// wait returns the bound of a watch: the relay's for a relay, the other for who is alone.
func (pc *pace) wait(relay, alone time.Duration) time.Duration {
	switch pc.part() {
	case forwarding.PartRelay:
		return relay
	case forwarding.PartListener:
		return listenerWait
	default:
		return alone
	}
}

// retry returns the least and the longest pause after failed calls, where evidence was heard, from whomever, that is fresh
// up to an age.
func (pc *pace) retry(heard time.Time, fresh time.Duration) (least, most time.Duration) {
	switch part := pc.part(); {
	case part == forwarding.PartListener:
		return listenerRetryLeast, listenerRetryMost
	case part == forwarding.PartRelay && time.Since(heard) < fresh:
		return relayRetryLeast, relayRetryMost
	default:
		return aloneRetryLeast, aloneRetryMost
	}
}
