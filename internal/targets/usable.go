package targets

import (
	"slices"
	"strings"
	"time"
)

// ejectShare bounds the share of a service's targets that are left out for failing.
const maxEjectedFraction = 0.5

// Caution is how sure a request must be of its target.
type Caution int

const (
	// Any may be the probe of an availability zone that may be back.
	AllowProbe Caution = iota
	// Proven leaves out availability zones that have not answered since they were cut off.
	RequireReachable
	// Sure leaves out also targets that failed lately, unless those are most: for requests that may run only once.
	RequireHealthy
)

// Usable returns the targets of a service that may get work now, sorted by incarnation. Those that take no connection,
// alone or with their availability zone, are left out while others do; failing ones are left out unless too few are
// left. Lapsed ones that nothing was heard of come last of all. When a probe is due, only its targets are returned. Of
// several at one address it returns the one listed last.
func (dr *Directory) Usable(service string, ca Caution) []Target {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.now()
	var due, good, suspect, failing, cut, last []Target
	for _, en := range dr.entries {
		switch {
		case en.Service != service || !en.takesWork(now):
		case dr.presumedDead(en, now):
			last = append(last, en.Target)
		case now.Before(en.unreachableUntil):
			cut = append(cut, en.Target)
		case ca == AllowProbe && dr.zone(en.AvailabilityZone).probeDue(now):
			due = append(due, en.Target)
		case dr.zone(en.AvailabilityZone).unverified(now):
			cut = append(cut, en.Target)
		case now.Before(en.ejectedUntil):
			failing = append(failing, en.Target)
		case ca == RequireHealthy && en.suspect(now):
			suspect = append(suspect, en.Target)
		default:
			good = append(good, en.Target)
		}
	}
	good = readmitMajority(good, suspect)
	good = readmitMajority(good, failing)
	if len(good) == 0 {
		good = append(failing, cut...)
	}
	if len(good) == 0 {
		good = last
	}
	if len(due) > 0 {
		good = due
	}
	good = dr.dedupeByAddress(good)
	slices.SortFunc(good, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return good
}

// withMany adds what was left out when it is most: the rest could not bear its requests.
func readmitMajority(good, out []Target) []Target {
	if float64(len(out)) > maxEjectedFraction*float64(len(good)+len(out)) {
		return append(good, out...)
	}
	return good
}

// newest leaves out each target whose address another one has that was listed later: the address is that of one process,
// and memory set aside there twice for one request would be the same memory.
func (dr *Directory) dedupeByAddress(tgs []Target) []Target {
	last := map[string]int{}
	for _, tg := range tgs {
		last[tg.Address] = max(last[tg.Address], dr.entries[tg.ID].listOrder)
	}
	return slices.DeleteFunc(tgs, func(tg Target) bool {
		return tg.Address != "" && dr.entries[tg.ID].listOrder < last[tg.Address]
	})
}

// TakesWork reports whether a target may be sent a request at this moment.
func (dr *Directory) TakesWork(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	return ok && en.takesWork(dr.now())
}

func (en *entry) takesWork(now time.Time) bool {
	if en.leaving {
		return false
	}
	if en.missingSince.IsZero() {
		return true
	}
	return now.Before(en.graceUntil)
}
