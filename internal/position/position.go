// Package position tells where in the store's history an answer was given.
package position

import "cmp"

// revisionBits is how many bits of a Number hold the revision: 17 million million of them, 500 years of a thousand changes a second.
const revisionBits = 44

// Position is a place in the store's history. Positions are ordered: by their eras first, since a store that came back from an older
// copy gives out again the revisions that the copy did not have.
type Position struct {
	// Era counts how often the store came back from an older copy; it only grows.
	Era int64
	// Revision rises with each change of any object, and goes back with a new era.
	Revision int64
}

// Compare returns a negative number, zero or a positive number when the position is before, at or after another one.
func (po Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(po.Era, other.Era), cmp.Compare(po.Revision, other.Revision))
}

// After reports whether the position is after another one.
func (po Position) After(other Position) bool { return po.Compare(other) > 0 }

// IsZero reports whether nothing is known of the store yet.
func (po Position) IsZero() bool { return po == Position{} }

// Restored reports whether the store came back from an older copy between an earlier position, if any is known, and this one.
func (po Position) RestoredSince(earlier Position) bool {
	return !earlier.IsZero() && po.Era > earlier.Era
}

// Number returns the position as one number in the same order, as instances tell each other. Before the first return it is the
// revision alone, which an instance of an earlier build tells and expects.
func (po Position) Pack() int64 { return po.Era<<revisionBits | po.Revision }

// Of returns the position that Number gave a number of.
func Unpack(number int64) Position {
	return Position{Era: number >> revisionBits, Revision: number & (1<<revisionBits - 1)}
}
