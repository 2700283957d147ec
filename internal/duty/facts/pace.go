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
	// aloneMost bounds a silent watch whatever the bound: evidence is up to two watches old, and keys are refused for a proof that is
	// older than 4.4 s.
	aloneMost = 1500 * time.Millisecond
	// listenerWait bounds a listener's watch, which is a question: what was heard is old already.
	listenerWait = 50 * time.Millisecond
)

// windows are the times that follow from the bound in which a change in the store has to be known by every instance that the
// store answers. They hold whoever follows the store for the fleet: when no follower is answered, the last listener has asked after
// rest, listenerLater and listenerSpread, 0.83 of the bound, and the rest is for its call and for peers to tell of the answer.
type windows struct {
	// watch bounds a silent watch of a follower. What it proves held when it was asked, so that evidence of a quiet store is up
	// to two watches old, and the way to the others.
	watch time.Duration
	// alone bounds a silent watch of an instance that follows the store for itself. With the silence that is allowed beyond it, a
	// pause and a list it stays below the bound. Others of a small fleet ask at other moments and tell it, so it is longer than a
	// follower's: each call has its price.
	alone time.Duration
	// rest is the age of what peers tell from which the first stand-ins ask the store themselves. standInSpread is the time by
	// which the last of them ask later, since who asks first tells the others.
	rest, standInSpread time.Duration
	// listenerLater is how much longer listeners leave it to the stand-ins: a call and the way of its answer through the fleet.
	// listenerSpread is the time by which the last of them ask later.
	listenerLater, listenerSpread time.Duration
}

func newWindows(bound time.Duration) windows {
	return windows{
		watch: bound / 4, alone: min(bound*2/3, aloneMost), rest: bound * 3 / 5, standInSpread: bound / 20,
		listenerLater: bound / 10, listenerSpread: bound / 8,
	}
}

// pace says how often one instance asks the store.
type pace struct {
	windows
	part func() forwarding.Role
	// spread is this instance's share of the time over which the instances of its part ask, drawn once.
	spread float64
	// started is when this instance began to follow.
	started time.Time
	// seeds is set when there may be peers, first when the whole fleet starts for the first time.
	seeds, first bool
	// listed is set by the first pause, which is for peers to be met.
	listed bool
}

func newPace(bound time.Duration, part func() forwarding.Role, seeds, first bool) *pace {
	return &pace{windows: newWindows(bound), part: part, spread: rand.Float64(), started: time.Now(), seeds: seeds, first: first}
}

// rests reports whether what was heard at a time is enough. Who heard nothing yet asks at once, but when the whole fleet starts:
// then it waits for peers, and for what they tell.
func (pc *pace) rests(heard time.Time) bool {
	part := pc.part()
	least := pc.rest
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
	case forwarding.RoleStandby:
		return age < least+pc.share(pc.standInSpread)
	case forwarding.RoleListener:
		return age < least+pc.listenerLater+pc.share(pc.listenerSpread)
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
	case forwarding.RoleFollower:
		if news {
			return rand.N(newsPause)
		}
	case forwarding.RoleStandby, forwarding.RoleListener:
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

// wait returns the bound of a silent watch.
func (pc *pace) wait() time.Duration {
	switch pc.part() {
	case forwarding.RoleFollower:
		return pc.watch
	case forwarding.RoleStandby, forwarding.RoleListener:
		return listenerWait
	default:
		return pc.alone
	}
}

// retry returns the least and the longest pause after failed calls, where the newest evidence was heard, from whomever, at a time.
func (pc *pace) retry(heard time.Time) (least, most time.Duration) {
	switch part := pc.part(); {
	case part >= forwarding.RoleStandby:
		return listenerRetryLeast, listenerRetryMost
	case part == forwarding.RoleFollower && time.Since(heard) < pc.rest:
		return followerRetryLeast, followerRetryMost
	default:
		return aloneRetryLeast, aloneRetryMost
	}
}
