package ranked

// OrderedSet is a set of values that keeps the order in which they were added. The zero OrderedSet is empty and ready
// to use.
type OrderedSet[T comparable] struct {
	values  []T
	members map[T]struct{}
}

// Len returns the number of values in the set.
func (s *OrderedSet[T]) Len() int { return len(s.values) }

// Add appends a value, unless the set holds it.
func (s *OrderedSet[T]) Add(value T) {
	if _, present := s.members[value]; present {
		return
	}
	if s.members == nil {
		s.members = map[T]struct{}{}
	}
	s.members[value] = struct{}{}
	s.values = append(s.values, value)
}

// Retain calls keep with each value, in order, and removes those for which it returns false. The function must not
// change the set.
func (s *OrderedSet[T]) Retain(keep func(T) bool) {
	kept := s.values[:0]
	for _, value := range s.values {
		if keep(value) {
			kept = append(kept, value)
		} else {
			delete(s.members, value)
		}
	}
	clear(s.values[len(kept):])
	s.values = kept
}
