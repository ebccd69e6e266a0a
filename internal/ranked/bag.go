package ranked

// Bag holds different values in the order in which they were added. The zero Bag is empty and ready.
type Bag[T comparable] struct {
	values []T
	has    map[T]struct{}
}

// Len is how many values the bag holds.
func (b *Bag[T]) Len() int { return len(b.values) }

// Add puts a value in, unless it is there.
func (b *Bag[T]) Add(value T) {
	if _, there := b.has[value]; there {
		return
	}
	if b.has == nil {
		b.has = map[T]struct{}{}
	}
	b.has[value] = struct{}{}
	b.values = append(b.values, value)
}

// Sweep calls keep with each value, in order, and takes out those for which it is false. The bag must not change
// meanwhile.
func (b *Bag[T]) Sweep(keep func(T) bool) {
	kept := b.values[:0]
	for _, value := range b.values {
		if keep(value) {
			kept = append(kept, value)
		} else {
			delete(b.has, value)
		}
	}
	clear(b.values[len(kept):])
	b.values = kept
}
