// Package value holds the small generic value types used across the kernel.
package value

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an unordered collection of distinct values.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a set of the given items.
func NewSet[T cmp.Ordered](items ...T) Set[T] {
	s := make(Set[T], len(items))
	for _, item := range items {
		s.Add(item)
	}
	return s
}

// Add puts an item into the set.
func (s Set[T]) Add(item T) { s[item] = struct{}{} }

// Remove removes an item; it need not be in the set.
func (s Set[T]) Remove(item T) { delete(s, item) }

// Has reports whether the item is in the set.
func (s Set[T]) Has(item T) bool { _, ok := s[item]; return ok }

// Sorted returns the items in ascending order.
func (s Set[T]) Sorted() []T { return SortedKeys(s) }

// SortedKeys returns the keys of a map in ascending order. The kernel uses it
// wherever the order of iteration has an effect, so that runs are repeatable.
func SortedKeys[M ~map[K]V, K cmp.Ordered, V any](m M) []K {
	return slices.Sorted(maps.Keys(m))
}
