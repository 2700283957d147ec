package gossip

import (
	"container/list"
	"time"
)

// record is what this instance knows of one member.
type record struct {
	memberInfo
	// sharedInfo is a copy of memberInfo that is never modified, so that links can refer to it; nil if none does.
	sharedInfo *memberInfo
	// id identifies the record in the entries sent to peers.
	id uint64
	// lastChange is the newest change of anything in the record, infoChange that of the member info.
	lastChange, infoChange uint64
	// element is the record's element in the change log; nil while the log does not hold it.
	element *list.Element
	// heartbeatRelayed is when a heartbeat was last added to the change log, on the active clock.
	heartbeatRelayed time.Duration
	// live turns false when the silence reaches LostAfter, and the member is reported lost only then.
	live bool
	// heartbeat is the highest heartbeat counter received of this incarnation.
	heartbeat uint64
	// lastHeard is when the member sent that heartbeat, on the active clock.
	lastHeard time.Duration
	// unlinkedSince is when the member was discovered or its last link ended, on the active clock.
	unlinkedSince time.Duration
	// seenBefore is set if this incarnation, or an earlier one of the name, was live here before.
	seenBefore bool
	// state changes with every request, notes rarely, loadReport several times a second under load.
	state, notes, loadReport storedPayload
}

// storedPayload is the newest state, notes or load report of a member.
type storedPayload struct {
	// version is the member's heartbeat counter when it built body; 0 if there is no body.
	version uint64
	body    []byte
	// madeAt is when the member built body, or earlier, on this instance's clock.
	madeAt time.Time
	// lastChange is the newest change of the payload in the change log.
	lastChange uint64
}

// supersedes reports whether mi describes a newer process than r. Incarnations of the same generation have an arbitrary order
// that all members agree on; the live process takes a higher generation when it hears of another.
func (mi memberInfo) supersedes(r *record) bool {
	if mi.Generation != r.Generation {
		return mi.Generation > r.Generation
	}
	return mi.Incarnation > r.Incarnation
}

// share returns an unmodified copy of the record's member info. All links refer to the same copy, so that the memory for the infos
// of n members on m links does not grow as n times m.
func (r *record) share() *memberInfo {
	if r.sharedInfo == nil || *r.sharedInfo != r.memberInfo {
		mi := r.memberInfo
		r.sharedInfo = &mi
	}
	return r.sharedInfo
}

// event is a callback to run.
type event struct {
	lost   bool
	found  bool
	member Member
	// receive is the callback for body, which holds the member's state, notes or load report.
	receive func(from Member, body []byte, madeAt time.Time)
	body    []byte
	// madeAt is when the member built body, or earlier.
	madeAt time.Time
	// heartbeatAge is the age of the heartbeat by which a member was found.
	heartbeatAge time.Duration
	// replacedBy is the incarnation that replaces a lost member.
	replacedBy string
	// seenBefore is set if a found member, or an earlier incarnation of its name, was live here before.
	seenBefore bool
}

// runCallbacks logs the events and runs their callbacks. The caller holds ms.callbackMu.
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
		ev.receive(ev.member, ev.body, ev.madeAt)
	}
}

// applyEntry merges an entry about the member mi, and returns the resulting events. The caller holds ms.mu.
func (ms *Mesh) applyEntry(mi memberInfo, e entry, now time.Time) []event {
	if mi.Name == ms.self.Name {
		ms.refute(mi)
		return nil
	}
	r, events := ms.recordFor(mi, e, now)
	if r == nil {
		return events
	}
	revived := ms.applyHeartbeat(r, mi, e, now)
	if revived {
		events = append(events, event{found: true, member: r.Member, seenBefore: r.seenBefore, heartbeatAge: e.HeartbeatAge})
		r.seenBefore = true
	}
	if revived || e.State.Version > r.state.version {
		events = append(events, ms.applyPayload(r, &r.state, e.State, e.ExtraDelay, now)...)
	}
	if revived || e.Notes.Version > r.notes.version {
		events = append(events, ms.applyPayload(r, &r.notes, e.Notes, e.ExtraDelay, now)...)
	}
	if revived || e.LoadReport.Version > r.loadReport.version {
		events = append(events, ms.applyPayload(r, &r.loadReport, e.LoadReport, e.ExtraDelay, now)...)
	}
	return events
}

// refute takes a higher generation when peers know another incarnation of this instance's name that may supersede this one.
func (ms *Mesh) refute(mi memberInfo) {
	if mi.Incarnation == ms.self.Incarnation || mi.Generation < ms.self.Generation {
		return
	}
	ms.opts.Log.WithField("incarnation", mi.Incarnation).Info("taking a higher generation than another incarnation of this instance")
	ms.self.Generation = mi.Generation + 1
	ms.self.heartbeat++
	ms.changes.touch(ms.self, everythingChanged)
	ms.topologyChanged()
}

// recordFor returns the record that an entry is about, a new one for a new process, or nil if the entry is out of date.
func (ms *Mesh) recordFor(mi memberInfo, e entry, now time.Time) (*record, []event) {
	r := ms.records[mi.Name]
	if r != nil && r.Incarnation == mi.Incarnation {
		return r, nil
	}
	if e.Heartbeat == 0 {
		return nil, nil
	}
	if r != nil && !mi.supersedes(r) && (r.live || e.HeartbeatAge >= ms.opts.LostAfter) {
		return nil, nil
	}
	var events []event
	if r != nil && r.live {
		events = []event{{lost: true, member: r.Member, replacedBy: mi.Incarnation}}
	}
	elapsed := ms.clock.elapsedAt(now)
	if r != nil {
		ms.changes.remove(r)
	}
	ms.lastEntryID++
	r = &record{memberInfo: mi, id: ms.lastEntryID, unlinkedSince: elapsed, lastHeard: elapsed - e.HeartbeatAge, seenBefore: r != nil}
	ms.records[mi.Name] = r
	return r, events
}

// applyHeartbeat applies a newer heartbeat, and reports whether the member becomes live by it.
func (ms *Mesh) applyHeartbeat(r *record, mi memberInfo, e entry, now time.Time) bool {
	if e.Heartbeat <= r.heartbeat {
		return false
	}
	r.heartbeat = e.Heartbeat
	r.lastHeard = max(r.lastHeard, ms.clock.elapsedAt(now)-e.HeartbeatAge)
	if r.memberInfo != mi {
		ms.updateInfo(r, mi)
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

// updateInfo replaces a record's member info by a different one.
func (ms *Mesh) updateInfo(r *record, mi memberInfo) {
	before := r.memberInfo
	r.memberInfo = mi
	ms.changes.touch(r, everythingChanged)
	before.StoreUnreachable = mi.StoreUnreachable
	if before == mi {
		ms.storeStatusVersion++
		ms.signal()
		return
	}
	ms.topologyChanged()
}

// relayedHeartbeatIntervals is the minimum time between two relayed heartbeats of a subscriber, in heartbeat intervals. A value
// above 1 halves the traffic of heartbeats; even three relays in a row still report a member well within LostAfter.
const relayedHeartbeatIntervals = 1.6

// relayHeartbeat passes on a newer heartbeat. Those of this availability zone, which come from the members themselves, are
// passed on less often.
func (ms *Mesh) relayHeartbeat(r *record, now time.Time) {
	elapsed := ms.clock.elapsedAt(now)
	sameZone := r.AvailabilityZone == ms.self.AvailabilityZone
	if sameZone && elapsed-r.heartbeatRelayed < time.Duration(relayedHeartbeatIntervals*float64(ms.opts.HeartbeatInterval)) {
		return
	}
	r.heartbeatRelayed = elapsed
	ms.changes.touch(r, heartbeatChanged)
}

func (ms *Mesh) topologyChanged() {
	ms.topologyVersion++
	ms.signal()
}

// applyPayload stores a newer state, notes or load report, and returns an event with the newest if the member is live.
func (ms *Mesh) applyPayload(r *record, stored *storedPayload, update payload, extraDelay time.Duration, now time.Time) []event {
	if update.Version > stored.version {
		// A pause of this process delays frames that arrive during it. Both estimates include that time, so it counts only once.
		delay := max(extraDelay, ms.pauses.observe(ms.clock.elapsedAt(now), now))
		stored.version, stored.body, stored.madeAt = update.Version, update.Body, now.Add(-update.Age-delay)
		ms.changes.touchPayload(r, stored)
		if len(ms.subscribers) > 0 {
			ms.signal()
		}
	}
	if stored.version == 0 || !r.live {
		return nil
	}
	return []event{{member: r.Member, receive: ms.receiverOf(r, stored), body: stored.body, madeAt: stored.madeAt}}
}

// receiverOf returns the callback that receives a payload of a record.
func (ms *Mesh) receiverOf(r *record, stored *storedPayload) func(from Member, body []byte, madeAt time.Time) {
	switch stored {
	case &r.notes:
		return ms.opts.ReceiveNotes
	case &r.loadReport:
		return ms.opts.ReceiveLoadReport
	default:
		return ms.opts.ReceiveState
	}
}
