package storesync

import (
	"math/rand/v2"
	"time"

	"github.com/silvermount/silvermount/internal/duty/gatewaydeps"
)

const (
	// maxFollowerPause is the longest pause of a follower after changes. It limits the calls of a follower to about two per second
	// when targets start one after another or versions change rapidly. Pauses are random, so one of three followers usually calls
	// within a third of it.
	maxFollowerPause = 600 * time.Millisecond
	// maxListenerPause is the longest pause of a listener after changes. The shortest is half of it, which limits a listener to two
	// calls per second when versions change rapidly. Together with the pause of a follower and a fetch from a peer, a version is
	// still in force within the three seconds that users require.
	maxListenerPause = time.Second
	// maxDiscoveryPause is the longest pause of a starting instance after its first list, in which it discovers its peers. That takes
	// about half of it. The pause is random, so that instances that start together do not call the store together.
	maxDiscoveryPause = time.Second
	// firstStartDelay and firstStartJitter delay the first call when the whole fleet starts for the first time, since there are no
	// callers yet. After about a second 295 instances with a fifth of a core each know each other, and so which ones are followers.
	firstStartDelay  = time.Second
	firstStartJitter = 500 * time.Millisecond
	// firstContactTimeout is how long an instance without any peer waits for one when the whole fleet starts for the first time. The
	// seeds of a large fleet are dialled by all instances at once.
	firstContactTimeout = 3 * time.Second
	// settleTime is how long the number of known instances must not have grown before a follower calls the store when the whole fleet
	// starts for the first time: in a fleet that still grows, most instances take themselves for followers. It waits for
	// maxSettlePeriod at most.
	settleTime      = 500 * time.Millisecond
	maxSettlePeriod = 6 * time.Second
	// firstListTimeout is how long an instance waits for the first list from peers when the whole fleet starts for the first time. It
	// covers the delay until a peer calls the store, and the time to learn of its list and to fetch it.
	firstListTimeout = 8 * time.Second
	// peerFetchTimeout is how long an instance that learns of a newer configuration waits to get it from a peer before it calls the
	// store. A second is enough on a slow link, and leaves more than another second until the configuration must be in force.
	peerFetchTimeout = time.Second
	// minListenerBackoff and maxListenerBackoff bound the back-off of a listener or standby after failed calls. Followers retry
	// more often, and their gossip shows when the store is available again.
	minListenerBackoff = 2 * time.Second
	maxListenerBackoff = 4 * time.Second
	// minFollowerBackoff and maxFollowerBackoff bound the back-off of a follower while the state from its peers is fresh. The maximum
	// corresponds to a watch without changes and its pause.
	minFollowerBackoff = 200 * time.Millisecond
	maxFollowerBackoff = 2 * time.Second
	// minAloneBackoff and maxAloneBackoff bound the back-off of an instance without fresh state from peers. They allow several
	// attempts within the few seconds in which a change must be in force.
	minAloneBackoff = 100 * time.Millisecond
	maxAloneBackoff = 800 * time.Millisecond
	// maxStandaloneWatchTimeout limits standaloneWatchTimeout for any bound: a proof is up to two watches old, and keys are
	// refused when it is older than 4.4 s.
	maxStandaloneWatchTimeout = 1500 * time.Millisecond
	// listenerWatchTimeout is short because a listener calls the store only once its state is stale, and needs the response at once.
	listenerWatchTimeout = 50 * time.Millisecond
)

// timings are derived from the bound within which every instance that the store responds to must know of a change in the store. They
// hold whichever instances are followers. If the store responds to no follower, the last listener calls it after maxPeerAge,
// listenerDelay and listenerJitter, which is 0.83 of the bound. The remainder is for the call and for gossiping the response.
type timings struct {
	// followerWatchTimeout is how long a watch of a follower waits for changes. Its response proves the state as of the request, so
	// while nothing changes, peers see proofs as old as two watches plus the gossip delay.
	followerWatchTimeout time.Duration
	// standaloneWatchTimeout is how long a watch of an instance that watches the store only for itself waits for changes.
	// Together with the silence timeout, a back-off and a list it stays below the bound. It is longer than that of a follower,
	// because each call is billed and the other instances of a small fleet call at other times and gossip the results.
	standaloneWatchTimeout time.Duration
	// maxPeerAge is the age of the state from peers at which the first standbys call the store. standbyJitter is how much later the
	// last of them do, so that the first can gossip the response to the others.
	maxPeerAge, standbyJitter time.Duration
	// listenerDelay is how much longer listeners wait for the standbys, which covers a call and gossiping the response.
	// listenerJitter is how much later than the first of them the last listeners call the store.
	listenerDelay, listenerJitter time.Duration
}

func newTimings(bound time.Duration) timings {
	return timings{
		followerWatchTimeout: bound / 4, standaloneWatchTimeout: min(bound*2/3, maxStandaloneWatchTimeout), maxPeerAge: bound * 3 / 5, standbyJitter: bound / 20,
		listenerDelay: bound / 10, listenerJitter: bound / 8,
	}
}

// pollPolicy determines when and how often this instance calls the store for one kind of object.
type pollPolicy struct {
	timings
	role func() gatewaydeps.Role
	// settledFor returns how long the number of known instances has not grown.
	settledFor func() time.Duration
	// jitterFraction is the random fraction of each jitter that this instance uses. It is chosen once, in [0, 1).
	jitterFraction float64
	// startedAt is when this instance started to watch the store.
	startedAt time.Time
	// hasSeeds is set if there may be peers, firstStart if the whole fleet is starting for the first time.
	hasSeeds, firstStart bool
	// random returns a random duration below a maximum.
	random func(limit time.Duration) time.Duration
	// listed is set by the first pause, in which peers are discovered.
	listed bool
}

func newPollPolicy(bound time.Duration, sc *gatewaydeps.StoreCoordinator, hasSeeds, firstStart bool) *pollPolicy {
	return &pollPolicy{timings: newTimings(bound), role: sc.Role, settledFor: sc.SettledFor, jitterFraction: rand.Float64(), startedAt: time.Now(), hasSeeds: hasSeeds, firstStart: firstStart, random: rand.N[time.Duration]}
}

// newPollPolicy returns the policy of this instance for a kind of object, of which changes must be known within a bound.
func (sy *syncer) newPollPolicy(kind string, bound time.Duration) *pollPolicy {
	pp := newPollPolicy(bound, sy.coordinator, sy.hasSeeds, sy.firstStart)
	if sy.newRandom != nil {
		pp.random = sy.newRandom(kind)
		pp.jitterFraction = float64(pp.random(time.Second)) / float64(time.Second)
	}
	return pp
}

// suspended reports whether calls to the store are suspended, given the time of the last update from the store or peers. An instance
// without any update calls the store at once, unless the whole fleet is starting for the first time: it then waits until it has
// discovered its peers, and for their state.
func (pp *pollPolicy) suspended(lastUpdate time.Time) bool {
	role := pp.role()
	maxAge := pp.maxPeerAge
	age := time.Since(lastUpdate)
	if lastUpdate.IsZero() {
		if !pp.firstStart || !pp.hasSeeds {
			return false
		}
		age = time.Since(pp.startedAt)
		maxAge = firstListTimeout
		if pp.awaitsDiscovery(role, age) {
			return true
		}
	}
	switch role {
	case gatewaydeps.RoleStandby:
		return age < maxAge+pp.jitter(pp.standbyJitter)
	case gatewaydeps.RoleListener:
		return age < maxAge+pp.listenerDelay+pp.jitter(pp.listenerJitter)
	default:
		return false
	}
}

// awaitsDiscovery reports whether an instance that started an age ago, when the whole fleet starts for the first time, waits until it
// has discovered its peers before it calls the store.
func (pp *pollPolicy) awaitsDiscovery(role gatewaydeps.Role, age time.Duration) bool {
	switch {
	case age < firstStartDelay+pp.jitter(firstStartJitter):
		return true
	case role == gatewaydeps.RoleJoining:
		return age < firstContactTimeout
	case role <= gatewaydeps.RoleFollower:
		return age < maxSettlePeriod && pp.settledFor() < settleTime
	default:
		return false
	}
}

// jitter returns the fraction of a maximum jitter that this instance uses.
func (pp *pollPolicy) jitter(maxJitter time.Duration) time.Duration {
	return time.Duration(pp.jitterFraction * float64(maxJitter))
}

// pause returns how long to wait after a successful call. changed reports whether the call was a list or returned changes.
func (pp *pollPolicy) pause(changed bool) time.Duration {
	first := !pp.listed
	pp.listed = true
	switch pp.role() {
	case gatewaydeps.RoleFollower:
		if changed {
			return pp.random(maxFollowerPause)
		}
	case gatewaydeps.RoleStandby, gatewaydeps.RoleListener:
		if changed {
			return maxListenerPause/2 + pp.random(maxListenerPause/2)
		}
	default:
		if first && pp.hasSeeds && !pp.firstStart {
			return maxDiscoveryPause/2 + pp.random(maxDiscoveryPause/2)
		}
	}
	return 0
}

// watchTimeout returns how long a watch may wait for changes.
func (pp *pollPolicy) watchTimeout() time.Duration {
	switch pp.role() {
	case gatewaydeps.RoleFollower:
		return pp.followerWatchTimeout
	case gatewaydeps.RoleStandby, gatewaydeps.RoleListener:
		return listenerWatchTimeout
	default:
		return pp.standaloneWatchTimeout
	}
}

// backoffBounds returns the minimum and maximum back-off after failed calls, given the time of the last update from the store or
// peers.
func (pp *pollPolicy) backoffBounds(lastUpdate time.Time) (minDelay, maxDelay time.Duration) {
	switch role := pp.role(); {
	case role >= gatewaydeps.RoleStandby:
		return minListenerBackoff, maxListenerBackoff
	case role == gatewaydeps.RoleFollower && time.Since(lastUpdate) < pp.maxPeerAge:
		return minFollowerBackoff, maxFollowerBackoff
	default:
		return minAloneBackoff, maxAloneBackoff
	}
}
