package targetloss

import (
	"maps"
	"time"
)

const (
	// minUnanswered is the number of orders in a row without an answer that make a target lost if it is not out of reach otherwise. A
	// single answer may be lost or late.
	minUnanswered = 2
	// minOrderInterval is the least time between the sending of two orders that both count. Orders of several prompts may be sent close
	// together and be held up by one short stall. It is the renewal period of a reservation, less 100 ms for late and early timers.
	minOrderInterval = 900 * time.Millisecond
	// minUnreachable is how many examinations or dials must find a target out of reach, here and at peers, if no order to it was unanswered.
	minUnreachable = 2
	// retention is how long a suspicion is kept without further evidence: two renewals of a reservation and their timeouts.
	retention = 4 * time.Second
	// maxSuspicions bounds the suspected targets, about 100 bytes each. It exceeds the targets of the largest fleet.
	maxSuspicions = 1 << 12
)

// suspicion is the evidence against one target that is not certain yet.
type suspicion struct {
	// since is when the first of the orders was sent or the suspicion arose, latest when the latest evidence came.
	since, latest time.Time
	// orders is the number of orders without an answer, each sent after the one before had failed and minOrderInterval after it was sent.
	orders int
	// firstSentAt is when the first of these orders was sent; zero if there is none.
	firstSentAt time.Time
	// lastSentAt is when the latest of these orders was sent; zero if there is none.
	lastSentAt time.Time
	// unreachable is how often neither this instance nor a peer could connect.
	unreachable int
}

// Tracker holds the suspicions. It is not safe for concurrent use.
type Tracker struct {
	suspicions map[string]suspicion
}

// NewTracker returns a tracker that suspects no target.
func NewTracker() *Tracker { return &Tracker{suspicions: map[string]suspicion{}} }

// RecordUnanswered records an order without an answer. Orders that were in flight at the same time or sent within
// minOrderInterval count once: their answers may have been held up together.
func (tr *Tracker) RecordUnanswered(target string, sentAt, now time.Time) {
	sp, ok := tr.suspect(target, sentAt, now)
	if !ok || sp.orders > 0 && (sentAt.Before(sp.latest) || sentAt.Sub(sp.lastSentAt) < minOrderInterval) {
		return
	}
	if sp.orders == 0 {
		sp.firstSentAt = sentAt
	}
	sp.orders++
	sp.latest, sp.lastSentAt = now, sentAt
	tr.suspicions[target] = sp
}

// RecordSuspicion records another reason to examine a target.
func (tr *Tracker) RecordSuspicion(target string, now time.Time) {
	if sp, ok := tr.suspect(target, now, now); ok {
		tr.suspicions[target] = sp
	}
}

// suspect returns the suspicion against a target, or a new one that begins at since. It reports false if there is no room for another.
func (tr *Tracker) suspect(target string, since, now time.Time) (suspicion, bool) {
	maps.DeleteFunc(tr.suspicions, func(_ string, sp suspicion) bool { return now.Sub(sp.latest) > retention })
	sp, known := tr.suspicions[target]
	if !known {
		sp = suspicion{since: since, latest: now}
	}
	return sp, known || len(tr.suspicions) < maxSuspicions
}

// RecordAnswer records that a target answered.
func (tr *Tracker) RecordAnswer(target string) { delete(tr.suspicions, target) }

// RecordData records when data of an attempt was last received from a target; zero if none was. A suspicion that is older is dropped.
func (tr *Tracker) RecordData(target string, at time.Time) {
	if sp, ok := tr.suspicions[target]; ok && at.After(sp.since) {
		delete(tr.suspicions, target)
	}
}

// suspects reports whether a target is suspected.
func (tr *Tracker) suspects(target string) bool {
	_, ok := tr.suspicions[target]
	return ok
}

// RecordFinding records the result of an examination and returns the evidence if it is certain now. lastSign is when any target was last
// heard; zero if none was.
func (tr *Tracker) RecordFinding(target string, fi Finding, lastSign, now time.Time) (Evidence, bool) {
	sp, ok := tr.suspicions[target]
	if !ok {
		// The target has answered since the examination began.
		return Evidence{}, false
	}
	ev := Evidence{Target: target, Since: sp.since, At: now, FirstOrderAt: sp.firstSentAt, Orders: sp.orders}
	switch fi {
	case FoundRefused, FoundRefusedAlone:
		ev.Kind = Refused
	case FoundUnreachable:
		sp.unreachable++
		tr.suspicions[target] = sp
		if sp.orders > 0 || sp.unreachable >= minUnreachable {
			ev.Kind = Unreachable
		}
	case FoundByPeer:
		// Its orders got lost on the path of this instance.
		delete(tr.suspicions, target)
	case FoundConnected:
		ev.Kind = unansweredKind(sp)
	case FoundAlone:
		if lastSign.After(sp.since) {
			ev.Kind = unansweredKind(sp)
		}
	case FoundNothing:
	}
	return ev, ev.Kind != ""
}

// unansweredKind returns Unanswered if enough orders got no answer, else no kind.
func unansweredKind(sp suspicion) Kind {
	if sp.orders < minUnanswered {
		return ""
	}
	return Unanswered
}
