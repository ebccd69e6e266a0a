package ranked

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// After any insertions and deletions, the list iterates like a sorted slice, also with its beginning rotated.
func TestListMatchesSortedSlice(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var list List[uint64]
	var want []uint64
	check := func() {
		t.Helper()
		if got := slices.Collect(list.All()); !slices.Equal(got, want) || list.Len() != len(want) {
			t.Fatalf("iteration gives %d values, want %d, in order of rank", len(got), len(want))
		}
		if len(want) == 0 {
			return
		}
		count := 1 + rng.IntN(len(want))
		start := rng.IntN(count)
		rotated := slices.Concat(want[start:count], want[:start], want[count:])
		if got := collect(list.WalkFrom(start, count)); !slices.Equal(got, rotated) {
			t.Fatalf("WalkFrom(%d, %d) gives %d values, want %d, rotated", start, count, len(got), len(rotated))
		}
		for value := range list.All() {
			if value != want[0] {
				t.Fatalf("the first value is %d, want %d", value, want[0])
			}
			break
		}
	}
	check()
	for step := range 6 * maxBlockLength {
		rank := rng.Uint64N(1 << 40)
		if index, found := slices.BinarySearch(want, rank); !found {
			want = slices.Insert(want, index, rank)
		}
		list.Insert(rank, rank)
		list.Insert(rank, rank) // replaces the value
		list.Delete(rank + 1)   // mostly absent; if present, deleted from want below
		if index, found := slices.BinarySearch(want, rank+1); found {
			want = slices.Delete(want, index, index+1)
		}
		if step%100 == 0 {
			check()
		}
	}
	for len(want) > 0 {
		index := rng.IntN(len(want))
		list.Delete(want[index])
		want = slices.Delete(want, index, index+1)
		if len(want)%100 == 0 {
			check()
		}
	}
}

func collect[T any](iterator Iterator[T]) (values []T) {
	for iterator.Next() {
		values = append(values, iterator.Value())
	}
	return values
}

// Blocks that become empty are removed, so that a list that shrinks releases their memory.
func TestEmptyBlocksAreRemoved(t *testing.T) {
	var list List[int]
	for i := range 10 * maxBlockLength {
		list.Insert(uint64(i), i)
	}
	for i := range 10 * maxBlockLength {
		list.Delete(uint64(i))
	}
	if len(list.blocks) != 0 || list.Len() != 0 {
		t.Errorf("%d blocks and %d values are left, want none", len(list.blocks), list.Len())
	}
}

// The set holds each value once, in the order of insertion. A value that was removed can be added again.
func TestOrderedSet(t *testing.T) {
	var set OrderedSet[int]
	for _, value := range []int{5, 3, 5, 8, 3, 1} {
		set.Add(value)
	}
	var seen []int
	set.Retain(func(value int) bool {
		seen = append(seen, value)
		return value != 3 && value != 1
	})
	if !slices.Equal(seen, []int{5, 3, 8, 1}) || set.Len() != 2 {
		t.Errorf("Retain saw %v and left %d values, want 4 seen and 2 left", seen, set.Len())
	}
	set.Add(5)
	set.Add(3)
	if !slices.Equal(set.values, []int{5, 8, 3}) || len(set.members) != 3 {
		t.Errorf("values %v, members %v, want 5, 8 and 3", set.values, set.members)
	}
}

// Iterations that stop after limit values see each of the first count values equally often, and no others. An iteration
// whose limit covers the first count values is in order and draws no random number: its generator is nil here.
func TestWalkSelectsUniformly(t *testing.T) {
	const length, count, limit, walks = 3 * maxBlockLength, 1000, 100, 5000
	var list List[int]
	for i := range length {
		list.Insert(uint64(i), i)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	var visits [length]int
	for range walks {
		remaining := limit
		for iterator := list.Walk(count, limit, rng); remaining > 0 && iterator.Next(); remaining-- {
			visits[iterator.Value()]++
		}
	}
	const mean = walks * limit / count
	if fewest, most := slices.Min(visits[:count]), slices.Max(visits[:count]); fewest < mean*2/3 || most > mean*4/3 ||
		slices.Max(visits[count:]) > 0 {
		t.Errorf("first values visited %d to %d times, want about %d; others up to %d times, want 0", fewest, most,
			mean, slices.Max(visits[count:]))
	}
	if got := collect(list.Walk(limit, limit, nil)); !slices.IsSorted(got) || len(got) != length {
		t.Errorf("an iteration with a sufficient limit is not in order, or gives %d values of %d", len(got), length)
	}
}
