package permit

import (
	"github.com/cespare/xxhash/v2"

	"github.com/silvermount/silvermount/internal/targets"
)

// Candidate is a live instance that may be selected as an issuer.
type Candidate struct {
	Name, AvailabilityZone string
	// Stopping instances are selected only if all candidates are stopping.
	Stopping bool
}

// SelectIssuer returns the name of the live instance that issues the permits of a target, or an empty name if there are no live
// instances. It prefers instances in the target's availability zone: when a zone is cut off, its instances can still reach both
// its targets and their issuers, and no other instance can reach either. It uses rendezvous hashing, so that all instances with
// the same view select the same issuer, and a change of one instance reassigns few targets.
func SelectIssuer(live []Candidate, tg targets.Target) string {
	best, name := rank{}, ""
	for _, ca := range live {
		rk := rank{
			serving: !ca.Stopping, sameZone: ca.AvailabilityZone == tg.AvailabilityZone, weight: weight(tg.ID, ca.Name),
		}
		if name == "" || rk.outranks(best) {
			best, name = rk, ca.Name
		}
	}
	return name
}

// weight returns the rendezvous hash of a target and an instance.
func weight(target, instance string) uint64 {
	var h xxhash.Digest
	h.Reset()
	// Writes to the hash never fail.
	_, _ = h.WriteString(target)
	_, _ = h.WriteString(" ")
	_, _ = h.WriteString(instance)
	return h.Sum64()
}

// rank is the preference for a candidate as an issuer, with its fields in descending order of significance.
type rank struct {
	serving, sameZone bool
	weight            uint64
}

func (rk rank) outranks(other rank) bool {
	switch {
	case rk.serving != other.serving:
		return rk.serving
	case rk.sameZone != other.sameZone:
		return rk.sameZone
	default:
		return rk.weight > other.weight
	}
}

// LimitShare returns the fraction of a limit that an instance may issue, given how many instances it sees live and how many it
// knew shortly before. An instance that sees a majority may issue the whole limit. One that is cut off from the majority issues
// only the share of the instances it still sees, and leaves the rest to the others, which may be using it.
func LimitShare(live, known int) float64 {
	if 2*live > known {
		return 1
	}
	return float64(max(live, 1)) / float64(max(known, 1))
}
