// Package ranked keeps values in the order of their ranks.
package ranked

import (
	"iter"
	"math/rand/v2"
	"slices"
	"sort"
)

// mostInBlock is the length at which a block is divided. Up to it a list is one block, a sorted slice.
const mostInBlock = 512

// List holds values by rank, lowest first. To add or remove one moves a block's values at most and looks at the blocks'
// first ranks by halves, so the cost hardly grows with the length of the list. Ranks must differ. The zero List is
// empty and ready.
type List[T any] struct {
	blocks []block[T] // none is empty
	length int
}

type block[T any] struct {
	ranks  []uint64
	values []T
}

// Len is how many values the list holds.
func (l *List[T]) Len() int { return l.length }

// find gives the block that a rank belongs to, and its place there.
func (l *List[T]) find(rank uint64) (at, place int, found bool) {
	at = max(0, sort.Search(len(l.blocks), func(i int) bool { return l.blocks[i].ranks[0] > rank })-1)
	if at < len(l.blocks) {
		place, found = slices.BinarySearch(l.blocks[at].ranks, rank)
	}
	return at, place, found
}

// Insert adds a value. One of the same rank is replaced.
func (l *List[T]) Insert(rank uint64, value T) {
	at, place, found := l.find(rank)
	if found {
		l.blocks[at].values[place] = value
		return
	}
	l.length++
	if len(l.blocks) == 0 {
		l.blocks = []block[T]{{ranks: []uint64{rank}, values: []T{value}}}
		return
	}
	b := &l.blocks[at]
	b.ranks = slices.Insert(b.ranks, place, rank)
	b.values = slices.Insert(b.values, place, value)
	if len(b.ranks) > mostInBlock {
		half := len(b.ranks) / 2
		upper := block[T]{ranks: slices.Clone(b.ranks[half:]), values: slices.Clone(b.values[half:])}
		clear(b.values[half:])
		b.ranks, b.values = b.ranks[:half], b.values[:half]
		l.blocks = slices.Insert(l.blocks, at+1, upper)
	}
}

// Delete removes the value of a rank, if there is one.
func (l *List[T]) Delete(rank uint64) {
	at, place, found := l.find(rank)
	if !found {
		return
	}
	l.length--
	b := &l.blocks[at]
	b.ranks = slices.Delete(b.ranks, place, place+1)
	b.values = slices.Delete(b.values, place, place+1)
	if len(b.ranks) == 0 {
		l.blocks = slices.Delete(l.blocks, at, at+1)
	}
}

// All gives the values in order. The list must not change meanwhile.
func (l *List[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, b := range l.blocks {
			for _, value := range b.values {
				if !yield(value) {
					return
				}
			}
		}
	}
}

// From walks the values in order, but those of the first count from the place from on, and then those before it: a turn
// of the list's beginning. The list must not change meanwhile.
func (l *List[T]) From(from, count int) Walk[T] {
	rest := max(from, count)
	return Walk[T]{list: l, spans: [3]span{{from, count - from}, {0, from}, {rest, l.length - rest}}}
}

// Some walks the values in order. Where a walk that ends after most of them would see only a part of the first count, it
// begins at a random place among these and goes round, so that all of them are seen alike. Else nothing is drawn.
func (l *List[T]) Some(count, most int, random *rand.Rand) Walk[T] {
	if count = min(count, l.length); count > most {
		return l.From(random.IntN(count), count)
	}
	return l.From(0, 0)
}

// span is so many values from a place on.
type span struct{ from, count int }

// Walk goes over a list's values, and costs no memory.
type Walk[T any] struct {
	list  *List[T]
	spans [3]span
	begun int // spans
	at    int // the block that values are of
	left  int // values of the span that is under way, besides values
	// What is next, and what Next went to.
	values []T
	value  T
}

// Next goes on to the next value, and tells whether there is one.
func (w *Walk[T]) Next() bool {
	if len(w.values) == 0 && !w.refill() {
		return false
	}
	w.value, w.values = w.values[0], w.values[1:]
	return true
}

// refill takes the values of the next block, or of the next span, and tells whether there are any.
func (w *Walk[T]) refill() bool {
	place := 0
	w.at++
	for w.left <= 0 {
		if w.begun == len(w.spans) {
			return false
		}
		w.at, place, w.left = 0, w.spans[w.begun].from, w.spans[w.begun].count
		w.begun++
	}
	for place >= len(w.list.blocks[w.at].values) {
		place -= len(w.list.blocks[w.at].values)
		w.at++
	}
	values := w.list.blocks[w.at].values[place:]
	w.values = values[:min(w.left, len(values))]
	w.left -= len(w.values)
	return true
}

// Value is the value that Next went to.
func (w *Walk[T]) Value() T { return w.value }
