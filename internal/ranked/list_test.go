package ranked

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Whatever is added and removed, the list gives what a sorted slice gives, also turned.
func TestListIsASortedSlice(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var list List[uint64]
	var want []uint64
	check := func() {
		t.Helper()
		if got := slices.Collect(list.All()); !slices.Equal(got, want) || list.Len() != len(want) {
			t.Fatalf("%d values, %d wanted", len(got), len(want))
		}
		if len(want) == 0 {
			return
		}
		count := 1 + random.IntN(len(want))
		from := random.IntN(count)
		turned := slices.Concat(want[from:count], want[:from], want[count:])
		if got := collect(list.From(from, count)); !slices.Equal(got, turned) {
			t.Fatalf("turned by %d of %d: %d values, %d wanted", from, count, len(got), len(turned))
		}
		for value := range list.All() {
			if value != want[0] {
				t.Fatalf("the first is %d, want %d", value, want[0])
			}
			break
		}
	}
	check()
	for step := range 6 * mostInBlock {
		rank := random.Uint64N(1 << 40)
		if place, found := slices.BinarySearch(want, rank); !found {
			want = slices.Insert(want, place, rank)
		}
		list.Insert(rank, rank)
		list.Insert(rank, rank) // the same once more
		list.Delete(rank + 1)   // not there, or so it is taken off below
		if place, found := slices.BinarySearch(want, rank+1); found {
			want = slices.Delete(want, place, place+1)
		}
		if step%100 == 0 {
			check()
		}
	}
	for len(want) > 0 {
		place := random.IntN(len(want))
		list.Delete(want[place])
		want = slices.Delete(want, place, place+1)
		if len(want)%100 == 0 {
			check()
		}
	}
}

func collect[T any](walk Walk[T]) (values []T) {
	for walk.Next() {
		values = append(values, walk.Value())
	}
	return values
}

// Memory is given back as values leave, block by block.
func TestEmptyBlocksGo(t *testing.T) {
	var list List[int]
	for i := range 10 * mostInBlock {
		list.Insert(uint64(i), i)
	}
	for i := range 10 * mostInBlock {
		list.Delete(uint64(i))
	}
	if len(list.blocks) != 0 || list.Len() != 0 {
		t.Errorf("%d blocks of %d values are left", len(list.blocks), list.Len())
	}
}

// A bag holds each value once, in the order of adding, and again after it was swept out.
func TestBag(t *testing.T) {
	var bag Bag[int]
	for _, value := range []int{5, 3, 5, 8, 3, 1} {
		bag.Add(value)
	}
	var seen []int
	bag.Sweep(func(value int) bool {
		seen = append(seen, value)
		return value != 3 && value != 1
	})
	if !slices.Equal(seen, []int{5, 3, 8, 1}) || bag.Len() != 2 {
		t.Errorf("swept %v, %d left", seen, bag.Len())
	}
	bag.Add(5)
	bag.Add(3)
	if !slices.Equal(bag.values, []int{5, 8, 3}) || len(bag.has) != 3 {
		t.Errorf("%v in %v", bag.values, bag.has)
	}
}

// Walks of a part see all of the first values alike, and no others; a walk that can see all of them is in order.
func TestSomeSeesAllAlike(t *testing.T) {
	const length, count, most, walks = 3 * mostInBlock, 1000, 100, 5000
	var list List[int]
	for i := range length {
		list.Insert(uint64(i), i)
	}
	random := rand.New(rand.NewPCG(3, 4))
	var seen [length]int
	for range walks {
		left := most
		for walk := list.Some(count, most, random); left > 0 && walk.Next(); left-- {
			seen[walk.Value()]++
		}
	}
	const mean = walks * most / count
	if least, highest := slices.Min(seen[:count]), slices.Max(seen[:count]); least < mean*2/3 || highest > mean*4/3 ||
		slices.Max(seen[count:]) > 0 {
		t.Errorf("seen %d to %d times, %d on average; beyond them %d", least, highest, mean, slices.Max(seen[count:]))
	}
	if got := collect(list.Some(most, most, nil)); !slices.IsSorted(got) || len(got) != length {
		t.Errorf("a walk that sees all is not in order, or gives %d of %d", len(got), length)
	}
}
