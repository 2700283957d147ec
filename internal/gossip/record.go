package gossip

import (
	"container/list"
	"time"
)

// record is what is known of one member.
type record struct {
	memberInfo
	// id stands for the record in the entries that are sent.
	id uint64
	// changed and cardChanged are the newest changes of anything and of the card.
	lastChange, infoChange uint64
	// place is that in the change log; nil while the log does not hold the record.
	element *list.Element
	// pulseTold is when a pulse was last noted in the change log, by the awake clock.
	heartbeatRelayed time.Duration
	// live turns false once per silence.
	live bool
	// pulse is the highest pulse known of this incarnation.
	heartbeat uint64
	// heard is when that pulse was heard, by the awake clock.
	lastHeard time.Duration
	// unlinked is when the member was first known, or its last link ended, by the awake clock.
	unlinkedSince time.Duration
	// known says that this process, or an earlier one of its name, was live here before.
	seenBefore bool
	// state changes with each request, notes seldom.
	state, notes storedPayload
}

// told is one of the texts that a member tells of itself.
type storedPayload struct {
	// version is the pulse at which body was made; 0 when there is none.
	version uint64
	body    []byte
	// made is when the member made body, by this instance's clock.
	madeAt time.Time
	// changed is its newest change.
	lastChange uint64
}

// follows reports whether c is of a newer process than r. Two incarnations of one generation are put in some order that
// all members agree on; the live process takes a higher generation when it hears of the other.
func (mi memberInfo) supersedes(r *record) bool {
	if mi.Generation != r.Generation {
		return mi.Generation > r.Generation
	}
	return mi.Incarnation > r.Incarnation
}

// event is a callback to be made.
type event struct {
	lost   bool
	found  bool
	member Member
	// notes says that body is the notes of the member, else it is its state.
	notes bool
	body  []byte
	// made is when the member made body, or earlier.
	madeAt time.Time
	// age is that of the pulse by which a member was found.
	heartbeatAge time.Duration
	// by is the incarnation that replaces a lost member.
	replacedBy string
	// again says that a found member, or an earlier process of its name, was live here before.
	seenBefore bool
}

// notify makes callbacks; the caller holds ms.calls.
func (ms *Mesh) runCallbacks(events []event) {
	for _, ev := range events {
		if ev.found {
			ms.logFound(ev)
			continue
		}
		if ev.lost {
			ms.logLost(ev.member, "replaced", "by", ev.replacedBy)
			ms.opts.OnLost(ev.member)
			continue
		}
		if ev.notes {
			ms.opts.ReceiveNotes(ev.member, ev.body, ev.madeAt)
			continue
		}
		ms.opts.ReceiveState(ev.member, ev.body, ev.madeAt)
	}
}

// hear takes an entry about the process that c names; the caller holds ms.mu.
func (ms *Mesh) applyEntry(c memberInfo, e entry, now time.Time) []event {
	if c.Name == ms.self.Name {
		ms.refute(c)
		return nil
	}
	r, events := ms.recordFor(c, e, now)
	if r == nil {
		return events
	}
	back := ms.applyHeartbeat(r, c, e, now)
	if back {
		events = append(events, event{found: true, member: r.Member, seenBefore: r.seenBefore, heartbeatAge: e.HeartbeatAge})
		r.seenBefore = true
	}
	if back || e.State.Version > r.state.version {
		events = append(events, ms.applyPayload(r, &r.state, e.State, e.ExtraDelay, now)...)
	}
	if back || e.Notes.Version > r.notes.version {
		events = append(events, ms.applyPayload(r, &r.notes, e.Notes, e.ExtraDelay, now)...)
	}
	return events
}

// refute takes a higher generation when another incarnation of this instance's name is told of.
func (ms *Mesh) refute(c memberInfo) {
	if c.Incarnation == ms.self.Incarnation || c.Generation < ms.self.Generation {
		return
	}
	ms.opts.Log.WithField("incarnation", c.Incarnation).Info("replacing an earlier process of this name")
	ms.self.Generation = c.Generation + 1
	ms.self.heartbeat++
	ms.changes.touch(ms.self, everythingChanged)
	ms.topologyChanged()
}

// recordFor returns the record that an entry is about, new when the process is; nil when the entry is out of date.
func (ms *Mesh) recordFor(c memberInfo, e entry, now time.Time) (*record, []event) {
	r := ms.records[c.Name]
	if r != nil && r.Incarnation == c.Incarnation {
		return r, nil
	}
	if e.Heartbeat == 0 {
		return nil, nil
	}
	if r != nil && !c.supersedes(r) && (r.live || e.HeartbeatAge >= ms.opts.LostAfter) {
		return nil, nil
	}
	var events []event
	if r != nil && r.live {
		events = []event{{lost: true, member: r.Member, replacedBy: c.Incarnation}}
	}
	awake := ms.clock.elapsedAt(now)
	if r != nil {
		ms.changes.remove(r)
	}
	ms.lastEntryID++
	r = &record{memberInfo: c, id: ms.lastEntryID, unlinkedSince: awake, lastHeard: awake - e.HeartbeatAge, seenBefore: r != nil}
	ms.records[c.Name] = r
	return r, events
}

// takePulse takes a newer pulse, and reports whether the member came back to life by it.
func (ms *Mesh) applyHeartbeat(r *record, c memberInfo, e entry, now time.Time) bool {
	if e.Heartbeat <= r.heartbeat {
		return false
	}
	r.heartbeat = e.Heartbeat
	r.lastHeard = max(r.lastHeard, ms.clock.elapsedAt(now)-e.HeartbeatAge)
	if r.memberInfo != c {
		ms.updateInfo(r, c)
	}
	if r.live || ms.clock.elapsedAt(now)-r.lastHeard >= ms.opts.LostAfter {
		ms.relayHeartbeat(r, now)
		return false
	}
	r.live = true
	ms.changes.touch(r, everythingChanged)
	ms.topologyChanged()
	return true
}

// takeCard takes a card that differs from the one known.
func (ms *Mesh) updateInfo(r *record, c memberInfo) {
	before := r.memberInfo
	r.memberInfo = c
	ms.changes.touch(r, everythingChanged)
	before.StoreUnreachable = c.StoreUnreachable
	if before == c {
		ms.storeStatusVersion++
		ms.signal()
		return
	}
	ms.topologyChanged()
}

// pulseShare is how much of an interval lies at least between two pulses of a subscriber that a relay passes on, in
// intervals: more than one halves what pulses take, and three relays after each other still tell of a member well within
// the silence after which it is lost.
const relayedHeartbeatIntervals = 1.6

// notePulse has a newer pulse passed on; those of this availability zone, which come from the members themselves, less
// often.
func (ms *Mesh) relayHeartbeat(r *record, now time.Time) {
	awake := ms.clock.elapsedAt(now)
	near := r.AvailabilityZone == ms.self.AvailabilityZone
	if near && awake-r.heartbeatRelayed < time.Duration(relayedHeartbeatIntervals*float64(ms.opts.HeartbeatInterval)) {
		return
	}
	r.heartbeatRelayed = awake
	ms.changes.touch(r, heartbeatChanged)
}

func (ms *Mesh) topologyChanged() {
	ms.topologyVersion++
	ms.signal()
}

// takeBody takes a newer state or newer notes, and returns the newest there are of a live member.
func (ms *Mesh) applyPayload(r *record, known *storedPayload, news payload, delay time.Duration, now time.Time) []event {
	if news.Version > known.version {
		// A freeze of this process delayed the frames that came meanwhile: that time counts once.
		late := max(delay, ms.pauses.observe(ms.clock.elapsedAt(now), now))
		known.version, known.body, known.madeAt = news.Version, news.Body, now.Add(-news.Age-late)
		ms.changes.touchPayload(r, known)
		if len(ms.subscribers) > 0 {
			ms.signal()
		}
	}
	if known.version == 0 || !r.live {
		return nil
	}
	return []event{{member: r.Member, notes: known == &r.notes, body: known.body, madeAt: known.madeAt}}
}
