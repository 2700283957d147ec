package targets

import "time"

// Connectivity describes whether connections to a target succeed.
type Connectivity struct {
	// ConnectFailures counts failed connections since the target was last reachable; it stops at maxDoublings.
	ConnectFailures int
	// ExcludedFor is how much longer the target is excluded because of them.
	ExcludedFor time.Duration
	// ZoneExcluded is set when the whole availability zone of the target is excluded.
	ZoneExcluded bool
}

// ReachedAt returns when a target last accepted a connection from this instance or answered it; zero before the first.
func (dr *Directory) ReachedAt() time.Time {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	var newest time.Time
	for _, zn := range dr.zones {
		if zn.reachedAt.After(newest) {
			newest = zn.reachedAt
		}
	}
	return newest
}

// HasAddress reports whether a known target has the given address.
func (dr *Directory) HasAddress(address string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for _, en := range dr.entries {
		if en.Address == address {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of all targets that take work, in no order.
func (dr *Directory) Addresses() []string {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.now()
	addresses := make([]string, 0, len(dr.entries))
	for _, en := range dr.entries {
		if en.takesWork(now) {
			addresses = append(addresses, en.Address)
		}
	}
	return addresses
}

// ForgetUnreachable readmits all targets and availability zones that were excluded because they accepted no connection or were silent.
// It is called when this instance, and not they, turns out to be cut off.
func (dr *Directory) ForgetUnreachable() {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for _, en := range dr.entries {
		en.connectFailures = 0
		en.unreachableUntil = time.Time{}
	}
	for _, zn := range dr.zones {
		zn.forgetFailures()
	}
}

// Connectivity returns the connectivity of a target; the zero value when the target is unknown.
func (dr *Directory) Connectivity(id string) Connectivity {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	en, ok := dr.entries[id]
	if !ok {
		return Connectivity{}
	}
	now := dr.now()
	return Connectivity{
		ConnectFailures: en.connectFailures, ExcludedFor: max(0, en.unreachableUntil.Sub(now)),
		ZoneExcluded: dr.zone(en.AvailabilityZone).unverified(now),
	}
}
