package retrybudget

const (
	// floorUtilisation is the part of the retry floor that is used. The rest covers retries that are sent later than they are withdrawn, and
	// instances of one availability zone that do not see each other.
	floorUtilisation = 0.95
	// staticShare is the part of the used floor that the instances divide among themselves, so that they can retry without the store. The
	// rest is kept in the ledger, where no instance has to save it up.
	staticShare = 0.15
	// minLocalShare is the number of retries that an instance needs at once, for the failures of one target. If its share is smaller,
	// the instances of an availability zone share one account.
	minLocalShare = 2
	// holderPart is the part of a shared account's capacity that its holder has. The instances divide the rest, so that they can collect
	// what requests add until they need a retry.
	holderPart = 0.5
	// initialShare is the share of an instance that does not know its peers yet. Floors are at least one retry for each instance, so that
	// all such shares fit into what floorUtilisation leaves.
	initialShare = 0.05
)

// LedgerRetries returns how many retries of the floor are reserved from the ledger in a window.
func LedgerRetries(floor float64) int { return int((1 - staticShare) * floorUtilisation * floor) }

// Share is the part of a retry floor that an instance has without a reservation.
type Share struct {
	// Own is for its own requests. Zone is for all requests of its availability zone, while this instance holds their accounts; it is zero
	// if the instances of the zone share no account.
	Own, Zone float64
}

// NewShare returns the share of an instance. zoneMembers is the number of instances of its availability zone. Each zone has the same part,
// so that none takes more when it no longer sees the others.
func NewShare(floor float64, zones, zoneMembers int) Share {
	zone := zonePart(floor, zones)
	own := zone / float64(zoneMembers)
	if own >= minLocalShare {
		return Share{Own: own}
	}
	return Share{Own: (1 - holderPart) * own, Zone: holderPart * zone}
}

// InitialShare returns the share of an instance that does not know its peers. zones may be zero if their number is not known.
func InitialShare(floor float64, zones int) Share {
	sh := Share{Own: min(initialShare, (1-floorUtilisation)*floor)}
	if zones > 0 {
		sh.Zone = holderPart * zonePart(floor, zones)
	}
	return sh
}

// zonePart returns the part of the floor that the instances of one availability zone divide among themselves.
func zonePart(floor float64, zones int) float64 {
	return staticShare * floorUtilisation * floor / float64(zones)
}
