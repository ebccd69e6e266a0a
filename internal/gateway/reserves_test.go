package gateway

import (
	"testing"
)

func TestTierBoundaryIsTheRecentMedian(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(1)...)
	for range medianWindow {
		tg.gateway.isHighValue(3)
	}
	tg.now += second
	tg.handle(Timer{Token: 0})
	if tg.gateway.isHighValue(3) || tg.gateway.isHighValue(1) || !tg.gateway.isHighValue(5) {
		t.Error("got another tier for 3, 1 or 5 at a median of 3, want low, low and high")
	}
	for range medianWindow {
		tg.gateway.isHighValue(9)
	}
	tg.handle(Timer{Token: 0})
	if tg.gateway.isHighValue(5) || len(tg.gateway.recentValues) != medianWindow {
		t.Errorf("got 5 in the high tier at a median of 9, or %d values kept; want the low tier and medianWindow",
			len(tg.gateway.recentValues))
	}
}

func TestSlotsComeFromTheReserveThenThePoolThenSubrating(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(1)...)
	g := tg.gateway
	g.concurrencyLimit, g.partitionSize =
		5*minExactSlots, [3]float64{1 * minExactSlots, 1 * minExactSlots, 3 * minExactSlots}
	// All but the last slot of each reserve are in use, and all but three of the pool, none of these by a low request
	// that could be marked.
	for range int(minExactSlots) - 1 {
		g.inUse[highReserve]++
		g.inUse[lowReserve]++
	}
	g.inUse[sharedPool] = 3*minExactSlots - 3
	var slots []*heldSlot
	take := func(highValue bool, want int) { // want is a partition, or -1 for no slot
		t.Helper()
		slot := g.takeSlot(highValue)
		if got := func() int {
			if slot == nil {
				return -1
			}
			slots = append(slots, slot)
			return slot.partition
		}(); got != want {
			t.Fatalf("got a slot of partition %d, want %d", got, want)
		}
	}
	take(false, lowReserve)
	take(false, sharedPool)
	take(false, sharedPool)
	take(true, highReserve)
	take(true, sharedPool)
	take(false, -1)        // the pool is full
	take(true, sharedPool) // the two low requests are marked
	take(true, -1)         // none is left to mark
	if g.markedCount != subratedPerHigh || g.inUse != [3]int{minExactSlots, minExactSlots, 3*minExactSlots + 1} {
		t.Fatalf("got %d marked slots and %v in use, want subratedPerHigh and all, with one more in the pool",
			g.markedCount, g.inUse)
	}
	for _, slot := range slots {
		g.freeSlot(slot)
	}
	if g.markedCount != 0 || g.inUse != [3]int{minExactSlots - 1, minExactSlots - 1, 3*minExactSlots - 3} {
		t.Fatalf("got %d marked slots and %v in use after all were freed, want those at the start",
			g.markedCount, g.inUse)
	}
}

func TestShrunkReserveTakesNoneUntilItDrains(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(1)...)
	g := tg.gateway
	g.concurrencyLimit = 2 * minExactSlots
	g.inUse[highReserve] = 2*minExactSlots - 2
	g.partitionSize = [3]float64{2 * minExactSlots, 0, 0}
	first, last := g.takeSlot(true), g.takeSlot(true)
	g.partitionSize = [3]float64{minExactSlots, minExactSlots, 0}
	if g.takeSlot(true) != nil {
		t.Error("got a slot from a reserve that has shrunk below its use, without a pool; want none")
	}
	g.freeSlot(first)
	g.freeSlot(last)
	g.inUse[highReserve] -= minExactSlots - 1
	if g.takeSlot(true) == nil || g.inUse != [3]int{minExactSlots, 0, 0} {
		t.Errorf("got slots in use %v after the reserve has drained, want one more slot taken from it", g.inUse)
	}
}

// A partition of less than one slot still admits attempts: it is limited on average.
func TestSmallPartitionIsLimitedOnAverage(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(4)...)
	g := tg.gateway
	g.concurrencyLimit, g.minLatency = 0.4, 0.1
	g.partitionSize = [3]float64{0, 0, g.concurrencyLimit}
	g.meanInUseAt = tg.now
	admitted, slotSeconds := 0, 0.0
	for range 2000 { // an arrival every 10 ms, or after the 100 ms for which an admitted one holds its slot
		tg.now += 10 * ms
		g.now = tg.now
		if slot := g.takeSlot(false); slot != nil {
			admitted++
			tg.now += 100 * ms
			g.now = tg.now
			g.updateMeanInUse()
			g.freeSlot(slot)
			slotSeconds += 0.1
		}
	}
	if share := slotSeconds / (tg.now - testStart).Seconds(); share < 0.3 || share > 0.5 {
		t.Errorf("got %v slots in use on average (%d admitted), want 0.3 to 0.5", share, admitted)
	}
}
