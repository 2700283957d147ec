package targets

import "time"

// Cut is what is believed of a target that took no connection.
type Connectivity struct {
	// Refusals counts connections not taken since the last one that was.
	ConnectFailures int
	// For is how long the target is still left out.
	ExcludedFor time.Duration
	// Zone is set when its whole availability zone is left out.
	ZoneExcluded bool
}

// Cut returns what is believed of a target's connections; nothing of one that is not known.
func (dr *Directory) Connectivity(id string) Connectivity {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	if !ok {
		return Connectivity{}
	}
	now := dr.now()
	return Connectivity{ConnectFailures: en.connectFailures, ExcludedFor: max(0, en.unreachableUntil.Sub(now)), ZoneExcluded: dr.zone(en.AvailabilityZone).unverified(now)}
}
