package gossip

import (
	"container/list"
	"time"
)

// record is what is known of one member.
type record struct {
	card
	// id stands for the record in the entries that are sent.
	id uint64
	// changed and cardChanged are the newest changes of anything and of the card.
	changed, cardChanged uint64
	// place is that in the change log; nil while the log does not hold the record.
	place *list.Element
	// pulseTold is when a pulse was last noted in the change log, by the awake clock.
	pulseTold time.Duration
	// live turns false once per silence.
	live bool
	// pulse is the highest pulse known of this incarnation.
	pulse uint64
	// heard is when that pulse was heard, by the awake clock.
	heard time.Duration
	// unlinked is when the member was first known, or its last link ended, by the awake clock.
	unlinked time.Duration
	// known says that this process, or an earlier one of its name, was live here before.
	known bool
	// state changes with each request, notes seldom.
	state, notes told
}

// told is one of the texts that a member tells of itself.
type told struct {
	// version is the pulse at which body was made; 0 when there is none.
	version uint64
	body    []byte
	// made is when the member made body, by this instance's clock.
	made time.Time
	// changed is its newest change.
	changed uint64
}

// follows reports whether c is of a newer process than r. Two incarnations of one generation are put in some order that
// all members agree on; the live process takes a higher generation when it hears of the other.
func (c card) follows(r *record) bool {
	if c.Generation != r.Generation {
		return c.Generation > r.Generation
	}
	return c.Incarnation > r.Incarnation
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
	made time.Time
	// age is that of the pulse by which a member was found.
	age time.Duration
	// by is the incarnation that replaces a lost member.
	by string
	// again says that a found member, or an earlier process of its name, was live here before.
	again bool
}

// notify makes callbacks; the caller holds ms.calls.
func (ms *Mesh) notify(events []event) {
	for _, ev := range events {
		if ev.found {
			ms.logFound(ev)
			continue
		}
		if ev.lost {
			ms.logLost(ev.member, "replaced", "by", ev.by)
			ms.opts.OnLost(ev.member)
			continue
		}
		if ev.notes {
			ms.opts.ReceiveNotes(ev.member, ev.body, ev.made)
			continue
		}
		ms.opts.ReceiveState(ev.member, ev.body, ev.made)
	}
}

// hear takes an entry about the process that c names; the caller holds ms.mu.
func (ms *Mesh) hear(c card, e entry, now time.Time) []event {
	if c.Name == ms.self.Name {
		ms.refute(c)
		return nil
	}
	r, events := ms.recordFor(c, e, now)
	if r == nil {
		return events
	}
	back := ms.takePulse(r, c, e, now)
	if back {
		events = append(events, event{found: true, member: r.Member, again: r.known, age: e.PulseAge})
		r.known = true
	}
	if back || e.State.Version > r.state.version {
		events = append(events, ms.takeBody(r, &r.state, e.State, e.Delay, now)...)
	}
	if back || e.Notes.Version > r.notes.version {
		events = append(events, ms.takeBody(r, &r.notes, e.Notes, e.Delay, now)...)
	}
	return events
}

// refute takes a higher generation when another incarnation of this instance's name is told of.
func (ms *Mesh) refute(c card) {
	if c.Incarnation == ms.self.Incarnation || c.Generation < ms.self.Generation {
		return
	}
	ms.opts.Log.WithField("incarnation", c.Incarnation).Info("replacing an earlier process of this name")
	ms.self.Generation = c.Generation + 1
	ms.self.pulse++
	ms.log.touch(ms.self, changedAll)
	ms.changed()
}

// recordFor returns the record that an entry is about, new when the process is; nil when the entry is out of date.
func (ms *Mesh) recordFor(c card, e entry, now time.Time) (*record, []event) {
	r := ms.records[c.Name]
	if r != nil && r.Incarnation == c.Incarnation {
		return r, nil
	}
	if e.Pulse == 0 {
		return nil, nil
	}
	if r != nil && !c.follows(r) && (r.live || e.PulseAge >= ms.opts.LostAfter) {
		return nil, nil
	}
	var events []event
	if r != nil && r.live {
		events = []event{{lost: true, member: r.Member, by: c.Incarnation}}
	}
	awake := ms.awake.at(now)
	if r != nil {
		ms.log.remove(r)
	}
	ms.entries++
	r = &record{card: c, id: ms.entries, unlinked: awake, heard: awake - e.PulseAge, known: r != nil}
	ms.records[c.Name] = r
	return r, events
}

// takePulse takes a newer pulse, and reports whether the member came back to life by it.
func (ms *Mesh) takePulse(r *record, c card, e entry, now time.Time) bool {
	if e.Pulse <= r.pulse {
		return false
	}
	r.pulse = e.Pulse
	r.heard = max(r.heard, ms.awake.at(now)-e.PulseAge)
	if r.card != c {
		ms.takeCard(r, c)
	}
	if r.live || ms.awake.at(now)-r.heard >= ms.opts.LostAfter {
		ms.notePulse(r, now)
		return false
	}
	r.live = true
	ms.log.touch(r, changedAll)
	ms.changed()
	return true
}

// takeCard takes a card that differs from the one known.
func (ms *Mesh) takeCard(r *record, c card) {
	before := r.card
	r.card = c
	ms.log.touch(r, changedAll)
	before.StoreUnreachable = c.StoreUnreachable
	if before == c {
		ms.storeless++
		ms.signal()
		return
	}
	ms.changed()
}

// pulseShare is how much of an interval lies at least between two pulses of a subscriber that a relay passes on, in
// intervals: more than one halves what pulses take, and three relays after each other still tell of a member well within
// the silence after which it is lost.
const pulseShare = 1.6

// notePulse has a newer pulse passed on; those of this availability zone, which come from the members themselves, less
// often.
func (ms *Mesh) notePulse(r *record, now time.Time) {
	awake := ms.awake.at(now)
	near := r.AvailabilityZone == ms.self.AvailabilityZone
	if near && awake-r.pulseTold < time.Duration(pulseShare*float64(ms.opts.HeartbeatInterval)) {
		return
	}
	r.pulseTold = awake
	ms.log.touch(r, changedPulse)
}

func (ms *Mesh) changed() {
	ms.topology++
	ms.signal()
}

// takeBody takes a newer state or newer notes, and returns the newest there are of a live member.
func (ms *Mesh) takeBody(r *record, known *told, news part, delay time.Duration, now time.Time) []event {
	if news.Version > known.version {
		// A freeze of this process delayed the frames that came meanwhile: that time counts once.
		late := max(delay, ms.stalls.noticed(ms.awake.at(now), now))
		known.version, known.body, known.made = news.Version, news.Body, now.Add(-news.Age-late)
		ms.log.touchTold(r, known)
		if len(ms.subscribers) > 0 {
			ms.signal()
		}
	}
	if known.version == 0 || !r.live {
		return nil
	}
	return []event{{member: r.Member, notes: known == &r.notes, body: known.body, made: known.made}}
}
