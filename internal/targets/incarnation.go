package targets

import "time"

// incarnation identifies the latest known incarnation of a name.
type incarnation struct {
	id        string
	startedAt time.Time
}

// registerLatest registers a target as the latest incarnation of its name, and reports whether it is: outdated information on an
// earlier incarnation never replaces a later one. The incarnation that it supersedes is gone at once, because it no longer holds
// any state. The caller holds the lock.
func (dr *Directory) registerLatest(tg Target) (latest bool, changes []Change) {
	previous, known := dr.latest[tg.NameOrID()]
	if known && previous.id == tg.ID {
		return true, nil
	}
	if known && !tg.StartedAt.After(previous.startedAt) {
		return false, nil
	}
	dr.latest[tg.NameOrID()] = incarnation{id: tg.ID, startedAt: tg.StartedAt}
	if en, ok := dr.entries[previous.id]; known && ok {
		return true, dr.supersede(en)
	}
	return true, nil
}

// supersede marks an incarnation as replaced. It gets no work, not even during the grace period after a store outage. The caller
// holds the lock.
func (dr *Directory) supersede(en *entry) []Change {
	en.superseded = true
	changes := dr.markMissing(en, time.Time{})
	en.graceUntil = time.Time{}
	dr.onSuperseded(en.Target)
	return changes
}

// Lost reports whether a target is gone without having been marked as leaving.
func (dr *Directory) Lost(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, known := dr.entries[id]
	return known && !en.leaving && !en.missingSince.IsZero() && !en.takesWork(dr.now())
}

// IsCurrent reports whether no later incarnation with the same name is known. Memory reserved at the target, and connections to
// it, may then still exist.
func (dr *Directory) IsCurrent(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, known := dr.entries[id]
	return !known || !en.superseded
}

// State describes a target for logs: "ready", "leaving", "lapsed" if its entry is missing but it still gets work, "gone", or "unknown".
func (dr *Directory) State(id string) string {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, known := dr.entries[id]
	switch {
	case !known:
		return "unknown"
	case en.leaving:
		return "leaving"
	case en.missingSince.IsZero():
		return "ready"
	case en.takesWork(dr.now()):
		return "lapsed"
	default:
		return "gone"
	}
}

// LeavingFor returns since how long a target has been known to be leaving or to have no entry; 0 if it takes work or is unknown.
func (dr *Directory) LeavingFor(id string) time.Duration {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.now()
	en, known := dr.entries[id]
	if !known || en.takesWork(now) {
		return 0
	}
	since := en.missingSince
	if at, leaving := dr.leavingSince[id]; leaving && (since.IsZero() || at.Before(since)) {
		since = at
	}
	return now.Sub(since)
}

// Replaced reports whether the process of a target has ended without having been marked as leaving: a later incarnation with its name, or
// another target with its address, was listed after it. One address is one process.
func (dr *Directory) Replaced(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, known := dr.entries[id]
	if !known || en.leaving {
		return false
	}
	if en.superseded {
		return true
	}
	for _, other := range dr.entries {
		if en.Address != "" && other.Address == en.Address && other.listOrder > en.listOrder {
			return true
		}
	}
	return false
}

// pruneNames removes the names whose latest incarnation has no entry any more. The caller holds the lock.
func (dr *Directory) pruneNames() {
	for name, in := range dr.latest {
		if dr.entries[in.id] == nil {
			delete(dr.latest, name)
		}
	}
}

// ByID returns the target with the given ID. For an unknown one, it returns a Target with nothing but the ID set.
func (dr *Directory) ByID(id string) Target {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if en, known := dr.entries[id]; known {
		return en.Target
	}
	return Target{ID: id}
}

// ByName returns the latest incarnation with the given name, or false when none is known.
func (dr *Directory) ByName(name string) (Target, bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, known := dr.entries[dr.latest[name].id]
	if !known {
		return Target{}, false
	}
	return en.Target, true
}
