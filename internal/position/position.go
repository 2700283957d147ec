// Package position identifies points in the history of the platform's store.
package position

import "cmp"

// revisionBits is the number of bits of a packed position that hold the revision. They suffice for 17 million million revisions,
// which is 500 years at a thousand changes a second.
const revisionBits = 44

// Position is a point in the history of the store. Positions are ordered by era first, because a store that was restored from an
// older copy assigns the revisions that the copy lacks a second time.
type Position struct {
	// Era is the number of times the store was restored from an older copy. It never decreases.
	Era int64
	// Revision increases with each change of any object within an era. It may decrease when a new era starts.
	Revision int64
}

// Compare returns a negative number if po is before other, zero if they are equal, and a positive number if po is after other.
func (po Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(po.Era, other.Era), cmp.Compare(po.Revision, other.Revision))
}

// After reports whether po is after other.
func (po Position) After(other Position) bool { return po.Compare(other) > 0 }

// IsZero reports whether po is the zero position, which stands for an unknown one.
func (po Position) IsZero() bool { return po == Position{} }

// RestoredSince reports whether the store was restored from an older copy between earlier and po. It reports false if earlier is
// zero.
func (po Position) RestoredSince(earlier Position) bool {
	return !earlier.IsZero() && po.Era > earlier.Era
}

// Pack encodes the position as an integer with the same order, for exchange between instances. Before the first restore it equals
// the revision, which is what instances of earlier builds send and expect.
func (po Position) Pack() int64 { return po.Era<<revisionBits | po.Revision }

// Unpack decodes an integer returned by Pack.
func Unpack(packed int64) Position {
	return Position{Era: packed >> revisionBits, Revision: packed & (1<<revisionBits - 1)}
}
