package gateway

import (
	"testing"
)

func TestTierBoundaryIsTheRecentMedian(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(1)...)
	for range medianWindow {
		r.gateway.isHighValue(3)
	}
	r.now += second
	r.handle(Timer{Token: 0})
	if r.gateway.isHighValue(3) || r.gateway.isHighValue(1) || !r.gateway.isHighValue(5) {
		t.Error("high is what tops the recent median, a tie is low")
	}
	for range medianWindow {
		r.gateway.isHighValue(9)
	}
	r.handle(Timer{Token: 0})
	if r.gateway.isHighValue(5) || len(r.gateway.recentValues) != medianWindow {
		t.Errorf("the median does not follow, or %d worths are kept", len(r.gateway.recentValues))
	}
}

func TestOwnReserveThenPoolThenSubrating(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(1)...)
	g := r.gateway
	g.concurrencyLimit, g.partitionSize = 5*minExactSlots, [3]float64{1 * minExactSlots, 1 * minExactSlots, 3 * minExactSlots}
	for range int(minExactSlots) - 1 { // all but the last slot of each reserve, and of the pool all but three by marked ones
		g.inUse[highReserve]++
		g.inUse[lowReserve]++
	}
	g.inUse[sharedPool] = 3*minExactSlots - 3
	var held []*heldSlot
	take := func(high bool, want int) {
		t.Helper()
		s := g.takeSlot(high)
		if got := func() int {
			if s == nil {
				return -1
			}
			held = append(held, s)
			return s.partition
		}(); got != want {
			t.Fatalf("slot of part %d, want %d", got, want)
		}
	}
	take(false, lowReserve)
	take(false, sharedPool)
	take(false, sharedPool)
	take(true, highReserve)
	take(true, sharedPool)
	take(false, -1)        // the pool is full
	take(true, sharedPool) // two low ones are marked
	take(true, -1)         // none is left to mark
	if g.markedCount != subratedPerHigh || g.inUse != [3]int{minExactSlots, minExactSlots, 3*minExactSlots + 1} {
		t.Fatalf("marked %d, used %v", g.markedCount, g.inUse)
	}
	for _, s := range held {
		g.freeSlot(s)
	}
	if g.markedCount != 0 || g.inUse != [3]int{minExactSlots - 1, minExactSlots - 1, 3*minExactSlots - 3} {
		t.Fatalf("left: marked %d used %v", g.markedCount, g.inUse)
	}
}

func TestShrunkReserveTakesNoneUntilItDrains(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(1)...)
	g := r.gateway
	g.concurrencyLimit = 2 * minExactSlots
	g.inUse[highReserve] = 2*minExactSlots - 2
	g.partitionSize = [3]float64{2 * minExactSlots, 0, 0}
	a, b := g.takeSlot(true), g.takeSlot(true)
	g.partitionSize = [3]float64{minExactSlots, minExactSlots, 0}
	if g.takeSlot(true) != nil {
		t.Error("admitted above a shrunken reserve with no pool")
	}
	g.freeSlot(a)
	g.freeSlot(b)
	g.inUse[highReserve] -= minExactSlots - 1
	if g.takeSlot(true) == nil || g.inUse != [3]int{minExactSlots, 0, 0} {
		t.Errorf("the accounts do not fit after the change: %v", g.inUse)
	}
}

// A part of less than a slot is not shut for good: it is held on average.
func TestASmallPartIsHeldOnAverage(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(4)...)
	g := r.gateway
	g.concurrencyLimit, g.minLatency = 0.4, 0.1
	g.partitionSize = [3]float64{0, 0, g.concurrencyLimit}
	g.meanInUseAt = r.now
	passed, busy := 0, 0.0
	for range 2000 { // 20 s of arrivals every 10 ms, each held 100 ms
		r.now += 10 * ms
		g.now = r.now
		if s := g.takeSlot(false); s != nil {
			passed++
			r.now += 100 * ms
			g.now = r.now
			g.updateMeanInUse()
			g.freeSlot(s)
			busy += 0.1
		}
	}
	if share := busy / (r.now - 1000*second).Seconds(); share < 0.3 || share > 0.5 {
		t.Errorf("%v slots in use on average (%d passed), want about 0.4", share, passed)
	}
}
