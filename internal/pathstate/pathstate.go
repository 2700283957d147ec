// Package pathstate tracks which targets this instance can open connections to by itself. A failed connection alone does not tell a dead
// target from a lost path: the path counts as lost only once a peer has connected to the target that this instance could not reach.
package pathstate

import (
	"slices"
	"sync"
	"time"
)

const (
	// minLostTargets is how many targets must be out of reach for this instance and reached by peers, with no direct connection since,
	// to take the paths to all targets as lost. One may be a fault between two machines.
	minLostTargets = 2
	// minUnreachedTargets is how many targets must be out of reach for this instance and its peers, with no sign of any target since, to
	// take the instance as isolated.
	minUnreachedTargets = 3
	// minUnreachedSpan is the time between the first and the last failure that must lie between them. A machine that is busy for a moment
	// fails at several at once.
	minUnreachedSpan = 500 * time.Millisecond
	// isolationPeriod is how long an instance stays isolated without further evidence. It covers two probes.
	isolationPeriod = time.Second
	// failureRetention is how long the first failure of a target counts for that span if the target fails again. It is longer than the
	// timeouts of connections: requests that fail at the same moment do so again only after these.
	failureRetention = 3 * time.Second
	// maxUnreached bounds the remembered targets that nobody reached.
	maxUnreached = 16
)

// Tracker tracks the paths of this instance. It is safe for concurrent use.
type Tracker struct {
	now      func() time.Time
	onChange func(Change)

	mu sync.Mutex
	// lost holds the targets that peers reach and this instance does not, by address.
	lost map[string]*lostPath
	// connectedAt is when a target last accepted a direct connection, heardAt when one last answered on any direct connection. Both are
	// zero before the first time.
	connectedAt, heardAt time.Time
	// allLostSince is when the paths to all targets were first taken as lost; zero while they are not.
	allLostSince time.Time
	// unreached holds the targets that neither this instance nor a peer reached.
	unreached map[string]failures
	// isolated is set while the instance counts as isolated; isolatedUntil is when that ends without further evidence.
	isolated      bool
	isolatedUntil time.Time
	// lastProbe is the address of the last probe.
	lastProbe string
}

// failures are the failures to reach one target.
type failures struct{ first, last time.Time }

// lostPath is the path to a target that only peers reach.
type lostPath struct {
	since time.Time
	// peer is the peer that connected last, at reachedAt.
	peer      string
	reachedAt time.Time
	// doubtful is set when another lost path works again: the next connection is tried directly.
	doubtful bool
}

// Change is a change in what this instance reaches by itself.
type Change struct {
	// AllLost and Isolated describe the state after the change.
	AllLost, Isolated bool
	// Since is when the state that ended had begun; zero if none ended.
	Since time.Time
	// LostTargets is the number of targets that only peers reach.
	LostTargets int
	// ConnectedAt is when a target last accepted a direct connection; zero if none has.
	ConnectedAt time.Time
	// Evidence names a target that this instance did not reach, and the peer that did; both are empty without one.
	Evidence Evidence
}

// Evidence is a connection of a peer to a target that this instance did not reach.
type Evidence struct {
	Address, Peer string
	// ReachedAt is when the peer connected.
	ReachedAt time.Time
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithOnChange sets the function that is called after each change. The lock of the tracker is not held.
func WithOnChange(onChange func(Change)) Option {
	return func(tr *Tracker) { tr.onChange = onChange }
}

// New returns a tracker that takes all paths as working.
func New(now func() time.Time, opts ...Option) *Tracker {
	tr := &Tracker{now: now, onChange: func(Change) {}, lost: map[string]*lostPath{}, unreached: map[string]failures{}}
	for _, opt := range opts {
		opt(tr)
	}
	return tr
}

// RecordConnected records a direct connection to a target, which proves that path. If the path was lost, the other lost paths may work
// again too.
func (tr *Tracker) RecordConnected(address string) {
	tr.update(func(now time.Time) {
		tr.connectedAt = now
		tr.allLostSince = time.Time{}
		tr.clearIsolation()
		if tr.lost[address] == nil {
			return
		}
		delete(tr.lost, address)
		for _, lp := range tr.lost {
			lp.doubtful = true
		}
	})
}

// RecordHeard records data that was received from a target on a direct connection. It proves nothing about new connections.
func (tr *Tracker) RecordHeard() {
	tr.mu.Lock()
	isolated := tr.isolated
	tr.heardAt = tr.now()
	tr.mu.Unlock()
	if isolated {
		tr.update(func(time.Time) { tr.clearIsolation() })
	}
}

// RecordReachedByPeer records that a peer connected to a target that this instance could not reach.
func (tr *Tracker) RecordReachedByPeer(address, peer string) {
	tr.update(func(now time.Time) {
		tr.clearIsolation()
		lp := tr.lost[address]
		if lp == nil || lp.doubtful {
			lp = &lostPath{since: now}
			tr.lost[address] = lp
		}
		lp.peer, lp.reachedAt = peer, now
		if tr.allLostSince.IsZero() && tr.countLostSinceConnected() >= minLostTargets {
			tr.allLostSince = now
		}
	})
}

// RecordUsedPeer records a connection through a peer to a target whose path is lost.
func (tr *Tracker) RecordUsedPeer(address, peer string) {
	tr.update(func(now time.Time) {
		tr.clearIsolation()
		if lp := tr.lost[address]; lp != nil {
			lp.peer, lp.reachedAt = peer, now
		}
	})
}

// RecordUnreached records that this instance could not reach a target, and that no peer could tell whether the target is at fault.
func (tr *Tracker) RecordUnreached(address string) {
	tr.update(func(now time.Time) {
		for other, fl := range tr.unreached {
			if now.Sub(fl.last) > failureRetention || fl.last.Before(tr.lastSign()) {
				delete(tr.unreached, other)
			}
		}
		fl, known := tr.unreached[address]
		if !known {
			fl.first = now
		}
		fl.last = now
		if known || len(tr.unreached) < maxUnreached {
			tr.unreached[address] = fl
		}
		if tr.isolated || tr.countUnreached(now) >= minUnreachedTargets && tr.unreachedSpan(now) >= minUnreachedSpan {
			tr.isolated, tr.isolatedUntil = true, now.Add(isolationPeriod)
		}
	})
}

// countUnreached returns the number of targets that were not reached lately. The lock is held.
func (tr *Tracker) countUnreached(now time.Time) int {
	n := 0
	for _, fl := range tr.unreached {
		if now.Sub(fl.last) <= isolationPeriod {
			n++
		}
	}
	return n
}

// unreachedSpan returns the time since the first failure of the targets that were not reached lately. The lock is held.
func (tr *Tracker) unreachedSpan(now time.Time) time.Duration {
	span := time.Duration(0)
	for _, fl := range tr.unreached {
		if now.Sub(fl.last) <= isolationPeriod {
			span = max(span, now.Sub(fl.first))
		}
	}
	return span
}

// Route is how connections to a target are made.
type Route int

// The routes. DirectFirst is the zero value.
const (
	// DirectFirst asks a peer only after a direct attempt failed or took long.
	DirectFirst Route = iota
	// Both asks a peer at once, beside a direct attempt: other paths are lost, and this one may be too.
	Both
	// PeersFirst makes no direct attempt, unless no peer connects: the path is lost.
	PeersFirst
)

// Route returns how to connect to a target.
func (tr *Tracker) Route(address string) Route {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	switch lp := tr.lost[address]; {
	case lp != nil && !lp.doubtful:
		return PeersFirst
	case !tr.allLostSince.IsZero():
		return Both
	default:
		return DirectFirst
	}
}

// IsLost reports whether the path to a target counts as lost.
func (tr *Tracker) IsLost(address string) bool {
	_, lost := tr.LostSince(address)
	return lost
}

// LostSince returns since when the path to a target counts as lost, and whether it does.
func (tr *Tracker) LostSince(address string) (time.Time, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if lp := tr.lost[address]; lp != nil && !lp.doubtful {
		return lp.since, true
	}
	return tr.allLostSince, !tr.allLostSince.IsZero()
}

// ExpireIsolation ends the isolation if there was no evidence of it lately.
func (tr *Tracker) ExpireIsolation() {
	tr.update(func(now time.Time) {
		if !tr.isIsolated(now) {
			tr.isolated = false
		}
	})
}

// Isolated reports whether neither this instance nor its peers reach any target, as far as this instance knows.
func (tr *Tracker) Isolated() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.isIsolated(tr.now())
}

func (tr *Tracker) isIsolated(now time.Time) bool { return tr.isolated && now.Before(tr.isolatedUntil) }

// AllLost reports whether the paths to all targets count as lost.
func (tr *Tracker) AllLost() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return !tr.allLostSince.IsZero()
}

// LostCount returns the number of targets that only peers reach.
func (tr *Tracker) LostCount() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.lost)
}

// LastSign returns when a target last accepted a direct connection or answered on one; zero if none has.
func (tr *Tracker) LastSign() time.Time {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.lastSign()
}

func (tr *Tracker) lastSign() time.Time {
	if tr.heardAt.After(tr.connectedAt) {
		return tr.heardAt
	}
	return tr.connectedAt
}

// NextProbe returns the address of a target to connect to directly, to find out whether its path works again. It reports false if no
// path is lost. Targets for which listed returns false are forgotten.
func (tr *Tracker) NextProbe(listed func(address string) bool) (string, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for address := range tr.lost {
		if !listed(address) {
			delete(tr.lost, address)
		}
	}
	var candidates []string
	for address := range tr.lost {
		candidates = append(candidates, address)
	}
	if len(candidates) == 0 {
		return "", false
	}
	slices.Sort(candidates)
	// The one after the last, in a circle.
	at, found := slices.BinarySearch(candidates, tr.lastProbe)
	if found {
		at++
	}
	tr.lastProbe = candidates[at%len(candidates)]
	return tr.lastProbe, true
}

// countLostSinceConnected returns the number of lost paths without any direct connection since. The lock is held.
func (tr *Tracker) countLostSinceConnected() int {
	n := 0
	for _, lp := range tr.lost {
		if !lp.doubtful && lp.since.After(tr.connectedAt) {
			n++
		}
	}
	return n
}

// clearIsolation ends the isolation. The lock is held.
func (tr *Tracker) clearIsolation() {
	tr.isolated = false
	clear(tr.unreached)
}

// update applies a change under the lock, and then reports a change of the state.
func (tr *Tracker) update(apply func(now time.Time)) {
	tr.mu.Lock()
	now := tr.now()
	before := tr.snapshot()
	apply(now)
	after := tr.snapshot()
	tr.mu.Unlock()
	if after.AllLost == before.AllLost && after.Isolated == before.Isolated {
		return
	}
	if before.AllLost && !after.AllLost {
		after.Since = before.Since
	}
	tr.onChange(after)
}

// snapshot returns the state as a change. Since is when the paths to all targets were lost. The lock is held.
func (tr *Tracker) snapshot() Change {
	ch := Change{
		AllLost: !tr.allLostSince.IsZero(), Isolated: tr.isolated, Since: tr.allLostSince, LostTargets: len(tr.lost), ConnectedAt: tr.connectedAt,
	}
	for address, lp := range tr.lost {
		if lp.reachedAt.After(ch.Evidence.ReachedAt) {
			ch.Evidence = Evidence{Address: address, Peer: lp.peer, ReachedAt: lp.reachedAt}
		}
	}
	return ch
}
