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
	if dr.zone(en.AvailabilityZone).answered(dr.now()) {
		dr.reopen(en.AvailabilityZone)
	}
}

// reopen forgets what was held against the targets of an availability zone that answers again.
func (dr *Directory) reopen(zone string) {
	for _, en := range dr.entries {
		if en.AvailabilityZone == zone {
			en.refusals = 0
			en.cutUntil = time.Time{}
		}
	}
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

// Unreachable notes that a target took no connection, which also counts against its availability zone. It reports whether
// that is left out for it.
func (dr *Directory) Unreachable(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	if !ok {
		return false
	}
	now := dr.now()
	en.cutUntil = now.Add(min(unreachableMost, unreachableFor<<en.refusals))
	en.refusals = min(en.refusals+1, maxDoublings)
	return dr.zone(en.AvailabilityZone).failed(id, zoneQuiet, now)
}

// maxDoublings keeps the doubling of pauses within bounds.
const maxDoublings = 3

// Silent notes that a target said nothing for longer than it ever should, which counts against its availability zone
// only: the attempt goes on until it fails. It reports whether that is left out for it.
func (dr *Directory) Silent(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	return ok && dr.zone(en.AvailabilityZone).failed(id, zoneSilence, dr.now())
}

// PeerLost notes that an instance fell silent with which all other instances of its availability zone are lost too. It
// reports whether that is left out for it.
func (dr *Directory) PeerLost(zone, instance string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.zone(zone).failed(instance, zoneSilence, dr.now())
}

// Chosen notes that a request goes to a target. In an availability zone that may be back it is the probe: no other
// request is sent there until it ends.
func (dr *Directory) Chosen(id string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, ok := dr.entries[id]; ok {
		dr.zone(en.AvailabilityZone).probed(dr.now())
	}
}

func (dr *Directory) zone(name string) *zone {
	zn, ok := dr.zones[name]
	if !ok {
		zn = &zone{signs: map[string]time.Time{}}
		dr.zones[name] = zn
	}
	return zn
}
