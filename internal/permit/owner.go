package permit

import (
	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/targets"
)

// Candidate is a live instance that may issue permits.
type Candidate struct {
	Name, AvailabilityZone string
	// Stopping instances issue only where there is no other.
	Stopping bool
}

// Issues returns which of the live instances issues the permits of a target; an empty name when there are none. It is one of the target's
// own availability zone as long as any lives there: those of a zone that is cut off then reach their targets and their issuers alike, and
// nobody else reaches either. All with the same view return the same, and one instance more or less moves few targets.
func SelectIssuer(live []Candidate, tg targets.Target) string {
	best, name := rank{}, ""
	for _, ca := range live {
		rk := rank{
			serves: !ca.Stopping, near: ca.AvailabilityZone == tg.AvailabilityZone, weight: weight(tg.ID, ca.Name),
		}
		if name == "" || rk.above(best) {
			best, name = rk, ca.Name
		}
	}
	return name
}

// weight is a number drawn from a target and an instance.
func weight(target, instance string) uint64 {
	var h xxhash.Digest
	h.Reset()
	// A hash takes every write.
	_, _ = h.WriteString(target)
	_, _ = h.WriteString(" ")
	_, _ = h.WriteString(instance)
	return h.Sum64()
}

// rank orders instances by how suitable they are.
type rank struct {
	serves, near bool
	weight       uint64
}

func (rk rank) above(other rank) bool {
	switch {
	case rk.serves != other.serves:
		return rk.serves
	case rk.near != other.near:
		return rk.near
	default:
		return rk.weight > other.weight
	}
}

// Share is the part of a limit that an instance may give out that sees so many live instances of those that it knew a moment ago. As long
// as it sees most of them it gives out all. Cut off from most it leaves to the others what they may be using.
func LimitShare(live, known int) float64 {
	if 2*live > known {
		return 1
	}
	return float64(max(live, 1)) / float64(max(known, 1))
}
