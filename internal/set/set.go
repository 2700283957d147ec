// Package set provides an immutable set of comparable values.
package set

import (
	"iter"
	"maps"
)

// Set is an immutable set of comparable values. The zero value is the empty set.
type Set[T comparable] struct {
	members map[T]struct{}
}

// Of returns the set of the given values.
func Of[T comparable](values ...T) Set[T] {
	m := make(map[T]struct{}, len(values))
	for _, v := range values {
		m[v] = struct{}{}
	}
	return Set[T]{members: m}
}

// Has reports whether v is a member.
func (st Set[T]) Has(v T) bool {
	_, ok := st.members[v]
	return ok
}

// Len returns the number of members.
func (st Set[T]) Len() int { return len(st.members) }

// With returns a set that has v in addition to the members of st.
func (st Set[T]) With(v T) Set[T] {
	if st.Has(v) {
		return st
	}
	m := make(map[T]struct{}, len(st.members)+1)
	for k := range st.members {
		m[k] = struct{}{}
	}
	m[v] = struct{}{}
	return Set[T]{members: m}
}

// Without returns a set that has the members of st other than v.
func (st Set[T]) Without(v T) Set[T] {
	if !st.Has(v) {
		return st
	}
	m := maps.Clone(st.members)
	delete(m, v)
	return Set[T]{members: m}
}

// All returns an iterator over the members in no particular order.
func (st Set[T]) All() iter.Seq[T] { return maps.Keys(st.members) }
