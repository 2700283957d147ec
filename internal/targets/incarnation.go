package targets

import "time"

// presence is the newest incarnation known of a name.
type incarnation struct {
	id        string
	startedAt time.Time
}

// succeed notes the incarnation that is told of as the present one of its name, and reports whether it is: an old word on an
// earlier one never overrides it. The incarnation before it, which holds nothing any more, is gone at once. The lock is held.
func (dr *Directory) registerLatest(tg Target) (present bool, changes []Change) {
	before, known := dr.latest[tg.NameOrID()]
	if known && before.id == tg.ID {
		return true, nil
	}
	if known && !tg.StartedAt.After(before.startedAt) {
		return false, nil
	}
	dr.latest[tg.NameOrID()] = incarnation{id: tg.ID, startedAt: tg.StartedAt}
	if en, ok := dr.entries[before.id]; known && ok {
		return true, dr.supersede(en)
	}
	return true, nil
}

// supersede ends an incarnation: it takes no work, also when the store was away lately. The lock is held.
func (dr *Directory) supersede(en *entry) []Change {
	en.superseded = true
	changes := dr.markMissing(en)
	en.graceUntil = time.Time{}
	dr.onSuperseded(en.Target)
	return changes
}

// Lost reports whether a target is gone that nobody said was leaving.
func (dr *Directory) Lost(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, known := dr.entries[id]
	return known && !en.leaving && !en.missingSince.IsZero() && !en.takesWork(dr.now())
}

// Present reports whether no later incarnation of its name is known: memory set aside at it, and connections to it, may be there
// still.
func (dr *Directory) IsCurrent(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, known := dr.entries[id]
	return !known || !en.superseded
}

// forgetNames forgets the names whose newest incarnation is forgotten. The lock is held.
func (dr *Directory) pruneNames() {
	for name, pr := range dr.latest {
		if dr.entries[pr.id] == nil {
			delete(dr.latest, name)
		}
	}
}

// Incarnation returns a target by its incarnation; of one that is not known nothing else is set.
func (dr *Directory) ByID(id string) Target {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, known := dr.entries[id]; known {
		return en.Target
	}
	return Target{ID: id}
}

// Named returns the present incarnation of a target's own name; it reports false when none is known.
func (dr *Directory) ByName(name string) (Target, bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, known := dr.entries[dr.latest[name].id]
	if !known {
		return Target{}, false
	}
	return en.Target, true
}
