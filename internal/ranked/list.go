// Package ranked keeps values in the order of their ranks, or in the order in which they were added.
package ranked

import (
	"iter"
	"math/rand/v2"
	"slices"
	"sort"
)

// maxBlockLength is the number of values above which a block is split in two. A shorter list is one sorted slice.
const maxBlockLength = 512

// List holds values sorted by rank, lowest first. Ranks are unique. The values are kept in blocks: to insert or delete
// one takes a binary search over the first ranks of the blocks and moves the values of one block at most, so the cost
// hardly grows with the length of the list. The zero List is empty and ready to use.
type List[T any] struct {
	blocks []block[T] // none is empty
	length int
}

// block holds consecutive values and their ranks, lowest first.
type block[T any] struct {
	ranks  []uint64
	values []T
}

// Len returns the number of values in the list.
func (l *List[T]) Len() int { return l.length }

// find returns the block to which a rank belongs, the index in that block at which it is or would be inserted, and
// whether the list holds the rank.
func (l *List[T]) find(rank uint64) (blockIndex, index int, found bool) {
	blockIndex = max(0, sort.Search(len(l.blocks), func(i int) bool { return l.blocks[i].ranks[0] > rank })-1)
	if blockIndex < len(l.blocks) {
		index, found = slices.BinarySearch(l.blocks[blockIndex].ranks, rank)
	}
	return blockIndex, index, found
}

// Insert adds a value. It replaces the value of the same rank, if there is one.
func (l *List[T]) Insert(rank uint64, value T) {
	blockIndex, index, found := l.find(rank)
	if found {
		l.blocks[blockIndex].values[index] = value
		return
	}
	l.length++
	if len(l.blocks) == 0 {
		l.blocks = []block[T]{{ranks: []uint64{rank}, values: []T{value}}}
		return
	}
	lower := &l.blocks[blockIndex]
	lower.ranks = slices.Insert(lower.ranks, index, rank)
	lower.values = slices.Insert(lower.values, index, value)
	if len(lower.ranks) > maxBlockLength {
		half := len(lower.ranks) / 2
		upper := block[T]{ranks: slices.Clone(lower.ranks[half:]), values: slices.Clone(lower.values[half:])}
		clear(lower.values[half:])
		lower.ranks, lower.values = lower.ranks[:half], lower.values[:half]
		l.blocks = slices.Insert(l.blocks, blockIndex+1, upper)
	}
}

// Delete removes the value of a rank, if there is one.
func (l *List[T]) Delete(rank uint64) {
	blockIndex, index, found := l.find(rank)
	if !found {
		return
	}
	l.length--
	b := &l.blocks[blockIndex]
	b.ranks = slices.Delete(b.ranks, index, index+1)
	b.values = slices.Delete(b.values, index, index+1)
	if len(b.ranks) == 0 {
		l.blocks = slices.Delete(l.blocks, blockIndex, blockIndex+1)
	}
}

// All iterates over the values in order. The list must not change during the iteration.
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

// WalkFrom returns an iterator over all values that rotates the first count of them: it begins at index start, goes on
// to index count-1, continues with the values before start, and then with those from index count on, in order. It needs
// 0 <= start <= count <= Len(). The list must not change during the iteration.
func (l *List[T]) WalkFrom(start, count int) Iterator[T] {
	tail := max(start, count)
	return Iterator[T]{list: l, spans: [3]span{{start, count - start}, {0, start}, {tail, l.length - tail}}}
}

// Walk returns an iterator over all values for a caller that stops after limit of them. If count is above limit, such a
// caller sees only some of the first count values, so the iterator rotates these as WalkFrom does, from a random index
// on: each of them is seen with the same probability. Otherwise the iterator is in order, and no random number is
// drawn. A count above Len() stands for Len(). The list must not change during the iteration.
func (l *List[T]) Walk(count, limit int, rng *rand.Rand) Iterator[T] {
	if count = min(count, l.length); count > limit {
		return l.WalkFrom(rng.IntN(count), count)
	}
	return l.WalkFrom(0, 0)
}

// span is a range of count values from the index start on.
type span struct{ start, count int }

// Iterator iterates over the values of a List. It is a plain value, so that an iteration allocates no memory.
type Iterator[T any] struct {
	list          *List[T]
	spans         [3]span // ranges to iterate over, in order
	spansStarted  int     // number of spans that have been started
	blockIndex    int     // block that pending is part of
	spanRemaining int     // values of the current span that come after pending
	pending       []T     // values of the current block that Next has not reached
	current       T       // value that Next advanced to
}

// Next advances to the next value and reports whether there is one.
func (it *Iterator[T]) Next() bool {
	if len(it.pending) == 0 && !it.nextBlock() {
		return false
	}
	it.current, it.pending = it.pending[0], it.pending[1:]
	return true
}

// nextBlock sets pending to the next block of the current span, or to the first one of the next span that is not empty.
// It reports whether there was one.
func (it *Iterator[T]) nextBlock() bool {
	index := 0
	it.blockIndex++
	for it.spanRemaining <= 0 {
		if it.spansStarted == len(it.spans) {
			return false
		}
		it.blockIndex, index, it.spanRemaining = 0, it.spans[it.spansStarted].start, it.spans[it.spansStarted].count
		it.spansStarted++
	}
	for index >= len(it.list.blocks[it.blockIndex].values) {
		index -= len(it.list.blocks[it.blockIndex].values)
		it.blockIndex++
	}
	values := it.list.blocks[it.blockIndex].values[index:]
	it.pending = values[:min(it.spanRemaining, len(values))]
	it.spanRemaining -= len(it.pending)
	return true
}

// Value returns the value that the last call of Next advanced to.
func (it *Iterator[T]) Value() T { return it.current }
