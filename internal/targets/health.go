package targets

import "time"

// Success notes a good answer.
func (dr *Directory) Success(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		en.failures, en.ejections = 0, 0
		en.outUntil = time.Time{}
		dr.reached(en)
	}
}

// Reached notes that a target answered, whatever it said.
func (dr *Directory) Reached(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		dr.reached(en)
	}
}

func (dr *Directory) reached(en *entry) {
	en.refusals = 0
	en.cutUntil = time.Time{}
	dr.reachedAt[en.AvailabilityZone] = dr.now()
}

// Failure notes a failed attempt and reports whether it took the target out.
func (dr *Directory) Failure(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	if !ok {
		return false
	}
	en.failures++
	if en.failures < ejectAfter {
		return false
	}
	en.failures = 0
	en.outUntil = dr.now().Add(min(ejectMost, ejectFor<<en.ejections))
	en.ejections = min(en.ejections+1, 3)
	return true
}

// Unreachable notes that a target took no connection. When a second one of its availability zone does not either, the
// whole availability zone is taken as cut off.
func (dr *Directory) Unreachable(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	if !ok {
		return
	}
	now := dr.now()
	en.cutUntil = now.Add(min(unreachableMost, unreachableFor<<min(en.refusals, maxDoublings)))
	en.refusals++
	if dr.zoneCut(en.AvailabilityZone, now) {
		dr.leaveOutZone(en.AvailabilityZone, now)
	}
}

// maxDoublings keeps the doubling of pauses within bounds.
const maxDoublings = 3

// zoneCut reports whether several targets of an availability zone are unreachable and none was reached since.
func (dr *Directory) zoneCut(zone string, now time.Time) bool {
	suspects := 0
	for _, en := range dr.entries {
		if en.AvailabilityZone == zone && en.refusals > 0 && now.Before(en.cutUntil) {
			suspects++
		}
	}
	return suspects >= zoneSuspects && now.Sub(dr.reachedAt[zone]) > zoneQuiet
}

// zoneQuiet is the time without any answer from an availability zone after which it may be cut off: answers come many
// times a second from one that is not.
const zoneQuiet = 200 * time.Millisecond

func (dr *Directory) leaveOutZone(zone string, now time.Time) {
	for _, en := range dr.entries {
		if en.AvailabilityZone == zone && now.After(en.cutUntil) {
			en.cutUntil = now.Add(unreachableFor)
		}
	}
}
