package targets

// Absence is why a target gets no ordinary work; empty if it does.
type Absence string

// The reasons.
const (
	AbsentGone        Absence = "gone"
	AbsentLeaving     Absence = "leaving"
	AbsentEvacuated   Absence = "evacuated"
	AbsentUnreachable Absence = "unreachable"
	AbsentEjected     Absence = "ejected"
	AbsentCold        Absence = "warming up"
)

// Availability is whether a target gets ordinary work.
type Availability struct {
	Target  Target
	Absence Absence
}

// Availabilities returns all known targets, in no order.
func (dr *Directory) Availabilities() []Availability {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now, evacuated := dr.now(), dr.evacuated()
	all := make([]Availability, 0, len(dr.entries))
	for _, en := range dr.entries {
		av := Availability{Target: en.Target}
		switch {
		case en.leaving:
			av.Absence = AbsentLeaving
		case !en.takesWork(now):
			av.Absence = AbsentGone
		case evacuated.Has(en.AvailabilityZone):
			av.Absence = AbsentEvacuated
		case now.Before(en.unreachableUntil) || dr.zone(en.AvailabilityZone).unverified(now) || dr.presumedDead(en, now):
			av.Absence = AbsentUnreachable
		case now.Before(en.ejectedUntil):
			av.Absence = AbsentEjected
		case now.Before(en.warmAt):
			av.Absence = AbsentCold
		}
		all = append(all, av)
	}
	return all
}
