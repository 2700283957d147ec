package targets

import (
	"slices"
	"strings"
	"time"
)

// maxEjectedFraction bounds the fraction of a service's targets that may be excluded for failing.
const maxEjectedFraction = 0.5

// Caution is how much evidence of health a request requires of its target. Higher values require more.
type Caution int

const (
	// AllowProbe permits the request to be the probe of an availability zone that was cut off.
	AllowProbe Caution = iota
	// RequireReachable excludes availability zones that have not answered since they were cut off.
	RequireReachable
	// RequireHealthy also excludes targets that failed recently, unless those are the majority. It is for requests that must run
	// at most once.
	RequireHealthy
)

// Usable returns the targets of a service that may get work now, sorted by ID. Targets of evacuated availability zones are left
// out. Targets that accept no connections, or whose
// availability zone is excluded, are returned only when no healthy target is left. Ejected targets are returned only when too few
// others are left. Lapsed targets that are presumed dead are the last resort. When probes of availability zones are due, only the
// targets of those zones are returned. Of several targets at one address, only the one that was listed last is returned.
func (dr *Directory) Usable(service string, ca Caution) []Target {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.now()
	evacuated := dr.evacuated()
	var probes, good, suspect, ejected, unreachable, lastResort []Target
	for _, en := range dr.entries {
		switch {
		case en.Service != service || !en.takesWork(now) || evacuated.Has(en.AvailabilityZone):
		case dr.presumedDead(en, now):
			lastResort = append(lastResort, en.Target)
		case now.Before(en.unreachableUntil):
			unreachable = append(unreachable, en.Target)
		case ca == AllowProbe && dr.zone(en.AvailabilityZone).probeDue(now):
			probes = append(probes, en.Target)
		case dr.zone(en.AvailabilityZone).unverified(now):
			unreachable = append(unreachable, en.Target)
		case now.Before(en.ejectedUntil):
			ejected = append(ejected, en.Target)
		case ca == RequireHealthy && en.suspect(now):
			suspect = append(suspect, en.Target)
		default:
			good = append(good, en.Target)
		}
	}
	good = readmitMajority(good, suspect)
	good = readmitMajority(good, ejected)
	if len(good) == 0 {
		good = append(ejected, unreachable...)
	}
	if len(good) == 0 {
		good = lastResort
	}
	if len(probes) > 0 {
		good = probes
	}
	good = dr.dedupeByAddress(good)
	slices.SortFunc(good, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return good
}

// readmitMajority adds the excluded targets to the good ones when they are the majority, because the rest could not bear the
// whole load.
func readmitMajority(good, excluded []Target) []Target {
	if float64(len(excluded)) > maxEjectedFraction*float64(len(good)+len(excluded)) {
		return append(good, excluded...)
	}
	return good
}

// dedupeByAddress removes each target whose address is also that of a target listed later. One address is one process, so memory
// reserved there twice for one request would be the same memory. The caller holds the lock.
func (dr *Directory) dedupeByAddress(tgs []Target) []Target {
	newest := map[string]int{}
	for _, tg := range tgs {
		newest[tg.Address] = max(newest[tg.Address], dr.entries[tg.ID].listOrder)
	}
	return slices.DeleteFunc(tgs, func(tg Target) bool {
		return tg.Address != "" && dr.entries[tg.ID].listOrder < newest[tg.Address]
	})
}

// TakesWork reports whether a target is known, not leaving, and listed or within its grace period.
func (dr *Directory) TakesWork(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	return ok && en.takesWork(dr.now())
}

// IsEvacuated reports whether a target is in an evacuated availability zone. Such a target may still finish requests.
func (dr *Directory) IsEvacuated(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	return ok && dr.evacuated().Has(en.AvailabilityZone)
}

// takesWork is TakesWork for one entry.
func (en *entry) takesWork(now time.Time) bool {
	if en.leaving {
		return false
	}
	if en.missingSince.IsZero() {
		return true
	}
	return now.Before(en.graceUntil)
}
