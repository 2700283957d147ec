package facts

import (
	"math/rand/v2"
	"time"

	"github.com/silvermount/silvermount/internal/duty/forwarding"
)

const (
	// newsPause bounds a follower's pause after changes. Targets that start one after another, or a storm of versions, then
	// cost a follower two calls a second; the pauses are drawn, so one of three usually asks within a third of it.
	newsPause = 600 * time.Millisecond
	// listenerPause bounds a listener's pause after changes, so that a storm of versions costs it at most two calls a
	// second. With the follower's pause and a fetch from a peer a version is in force within the users' three seconds.
	listenerPause = time.Second
	// meetTime bounds how long an instance that starts leaves the store alone after its first list: peers are met within
	// about half of it. It is drawn, so that instances that start together do not ask together.
	meetTime = time.Second
	// firstTime and firstSpread say for how long the instances of a fleet that starts for the first time leave the store
	// alone, since callers come later: 295 on a fifth of a core each know all others after about a second, and so who
	// follows the store.
	firstTime   = time.Second
	firstSpread = 500 * time.Millisecond
	// toldTime is how long an instance of a fleet that starts for the first time waits to be told the first list: the time
	// after which others ask, to hear of it and to fetch it.
	toldTime = 3 * time.Second
	// newsTime is how long an instance that is told of a newer configuration waits for it to come from a peer before it asks
	// the store: a second is enough on a slow link, and leaves more than another one to be in force in time.
	newsTime = time.Second
	// listenerRetryLeast and listenerRetryMost bound the pause of a listener or a stand-in after a failed call: the
	// followers try more often and tell it when the store is back.
	listenerRetryLeast = 2 * time.Second
	listenerRetryMost  = 4 * time.Second
	// followerRetryLeast and followerRetryMost bound a follower's pause while the others' word is fresh. The most is a silent
	// watch and its pause.
	followerRetryLeast = 200 * time.Millisecond
	followerRetryMost  = 2 * time.Second
	// aloneRetryLeast and aloneRetryMost bound the pause of who has no other word: several tries within the few seconds in
	// which a change must be in force.
	aloneRetryLeast = 100 * time.Millisecond
	aloneRetryMost  = 800 * time.Millisecond
	// restLeast is the age of what peers tell of the configuration from which the first stand-ins ask the store
	// themselves: two silent watches of one follower, and the way to them. standInSpread is the time by which the last of
	// them ask later, since who asks first tells the others.
	restLeast     = 3200 * time.Millisecond
	standInSpread = 150 * time.Millisecond
	// listenerLater is how much longer listeners leave it to the stand-ins: a call and the way of its answer through the
	// fleet. restSpread is the time by which the last of them ask later. What they learn still keeps the proof of keys
	// below the users' five seconds.
	listenerLater = 500 * time.Millisecond
	restSpread    = 400 * time.Millisecond
	// targetsRestLeast is the same for the targets, with watches of followerTargetsWait. No request is refused for an old
	// list; that a target is leaving, peers tell at once.
	targetsRestLeast = 8300 * time.Millisecond
	// listenerWait bounds a listener's watch, which is a question: what was heard is old already.
	listenerWait = 50 * time.Millisecond
	// followerTargetsWait bounds a silent watch of the targets by a follower: changes end it at once, and a watch that was cut
	// in silence is made good by the other followers.
	followerTargetsWait = 4 * time.Second
)

// pace says how often one instance asks the store.
type pace struct {
	part func() forwarding.Part
	// spread is this instance's share of the time over which the instances of its part ask, drawn once.
	spread float64
	// started is when this instance began to follow.
	started time.Time
	// seeds is set when there may be peers, first when the whole fleet starts for the first time.
	seeds, first bool
	// listed is set by the first pause, which is for peers to be met.
	listed bool
}

func newPace(part func() forwarding.Part, seeds, first bool) *pace {
	return &pace{part: part, spread: rand.Float64(), started: time.Now(), seeds: seeds, first: first}
}

// rests reports whether what was heard at a time is enough. The least is the age from which it is not for a stand-in. Who
// heard nothing yet asks at once, but when the whole fleet starts: then it waits for peers, and for what they tell.
func (pc *pace) rests(heard time.Time, least time.Duration) bool {
	part := pc.part()
	age := time.Since(heard)
	if heard.IsZero() {
		if !pc.first || !pc.seeds {
			return false
		}
		age = time.Since(pc.started)
		least = toldTime
		if age < firstTime+pc.share(firstSpread) {
			return true
		}
	}
	switch part {
	case forwarding.PartStandIn:
		return age < least+pc.share(standInSpread)
	case forwarding.PartListener:
		return age < least+listenerLater+pc.share(restSpread)
	default:
		return false
	}
}

func (pc *pace) share(spread time.Duration) time.Duration {
	return time.Duration(pc.spread * float64(spread))
}

// pause returns how long the store is left alone after an answer.
func (pc *pace) pause(news bool) time.Duration {
	first := !pc.listed
	pc.listed = true
	switch pc.part() {
	case forwarding.PartFollower:
		if news {
			return rand.N(newsPause)
		}
	case forwarding.PartStandIn, forwarding.PartListener:
		if news {
			return listenerPause/2 + rand.N(listenerPause/2)
		}
	default:
		if first && pc.seeds && !pc.first {
			return meetTime/2 + rand.N(meetTime/2)
		}
	}
	return 0
}

// wait returns the bound of a watch: the follower's for a follower, the other for who is alone.
func (pc *pace) wait(follower, alone time.Duration) time.Duration {
	switch pc.part() {
	case forwarding.PartFollower:
		return follower
	case forwarding.PartStandIn, forwarding.PartListener:
		return listenerWait
	default:
		return alone
	}
}

// retry returns the least and the longest pause after failed calls, where evidence was heard, from whomever, that is fresh
// up to an age.
func (pc *pace) retry(heard time.Time, fresh time.Duration) (least, most time.Duration) {
	switch part := pc.part(); {
	case part >= forwarding.PartStandIn:
		return listenerRetryLeast, listenerRetryMost
	case part == forwarding.PartFollower && time.Since(heard) < fresh:
		return followerRetryLeast, followerRetryMost
	default:
		return aloneRetryLeast, aloneRetryMost
	}
}
