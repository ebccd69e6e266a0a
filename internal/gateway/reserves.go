package gateway

import (
	"math"
	"slices"

	"herontiller/internal/reservation"
)

// The N slots of the concurrency limit are split into a reserve for each of the two tiers and a shared pool,
// with sub-rating, by the method of the paper that the comment of package reservation names. The high tier
// are the requests whose value is above the recent median. Comments mark the exceptions to that paper.

const (
	subratedPerHigh = 2  // alpha, low requests that are sub-rated for one high one; the value of that paper
	splitSteps      = 20 // the best split is searched in steps of N/splitSteps

	// minExactSlots is the least size of a partition, in slots, that is limited at every moment. A smaller
	// one is limited on average, over a window of about minExactSlots/size times the minimum latency.
	minExactSlots = 8.0

	roundingTolerance = 1e-9 // slots, for comparisons of sums of fractions
	minPartitionSize  = 1e-6 // slots; a smaller partition counts as empty
)

// takeSlot returns a slot of the tier's own reserve, else of the pool, else (for the high tier) one that is
// gained by sub-rating, or nil. A marked low request counts as 1-1/subratedPerHigh slots of the pool, so
// marking subratedPerHigh of them makes room for one more.
func (g *Gateway) takeSlot(highValue bool) *heldSlot {
	reserve := lowReserve
	if highValue {
		reserve = highReserve
	}
	g.updateMeanInUse()
	partition := sharedPool
	if g.hasRoom(reserve) {
		partition = reserve
	} else if !g.hasRoom(sharedPool) && (!highValue || !g.subrate()) {
		return nil
	}
	slot := &heldSlot{partition: partition}
	g.inUse[partition]++
	if partition == sharedPool && !highValue && !math.IsInf(g.concurrencyLimit, 1) {
		g.unmarkedSlots = append(g.unmarkedSlots, slot)
	}
	return slot
}

// updateMeanInUse brings meanInUse up to date. It makes an exception to that paper: with many gateways, each
// of them has about one slot of the back end or less. Their deviations cancel out, so a small partition is
// limited on average instead of at every moment.
func (g *Gateway) updateMeanInUse() {
	elapsed := (g.now - g.meanInUseAt).Seconds()
	g.meanInUseAt = g.now
	pool := float64(g.inUse[sharedPool]) - float64(g.markedCount)/subratedPerHigh
	for partition, inUse := range [3]float64{
		float64(g.inUse[highReserve]), float64(g.inUse[lowReserve]), pool,
	} {
		window := g.minLatency * (minExactSlots/max(g.partitionSize[partition], 1e-3) - 1)
		if g.partitionSize[partition] >= minExactSlots {
			g.meanInUse[partition] = inUse
		} else {
			g.meanInUse[partition] = inUse + (g.meanInUse[partition]-inUse)*math.Exp(-elapsed/window)
		}
	}
}

// hasRoom reports whether a partition has room for one more attempt: a whole slot, or in a small partition
// the fraction of a slot that an attempt takes up in its averaging window.
func (g *Gateway) hasRoom(partition int) bool {
	size := g.partitionSize[partition]
	return g.meanInUse[partition]+min(1, size/minExactSlots) <= size+roundingTolerance &&
		size > minPartitionSize
}

// subrate marks the subratedPerHigh oldest unmarked low requests of the pool and reports whether it did. It
// marks none if there are fewer or the pool is above its size.
func (g *Gateway) subrate() bool {
	g.unmarkedSlots = slices.DeleteFunc(g.unmarkedSlots, func(slot *heldSlot) bool { return slot.freed })
	if len(g.unmarkedSlots) < subratedPerHigh ||
		g.meanInUse[sharedPool] > g.partitionSize[sharedPool]+roundingTolerance {
		return false
	}
	for _, slot := range g.unmarkedSlots[:subratedPerHigh] {
		slot.marked = true
	}
	g.markedCount += subratedPerHigh
	g.unmarkedSlots = slices.Delete(g.unmarkedSlots, 0, subratedPerHigh)
	return true
}

// freeSlot releases a slot after the last attempt that held it has ended.
func (g *Gateway) freeSlot(slot *heldSlot) {
	slot.freed = true
	g.inUse[slot.partition]--
	if slot.marked {
		g.markedCount--
	}
}

// resplit measures the load of the tiers in the window since the last call and splits the slots for it.
func (g *Gateway) resplit() {
	for i := range g.tiers {
		tier := &g.tiers[i]
		tier.arrivalRate = tier.arrivals / (g.now - g.lastSplitAt).Seconds()
		if tier.arrivals > 0 {
			tier.meanValue = tier.value / tier.arrivals
		}
		tier.arrivals, tier.value = 0, 0
	}
	g.lastSplitAt = g.now
	g.applySplit()
}

// applySplit sets the sizes of the partitions to the split with the highest payoff for the load of the tiers
// (see package reservation). Attempts in flight keep their slots: a partition that is now smaller than its
// use takes no more until it drains.
func (g *Gateway) applySplit() {
	low, high := g.tiers[0], g.tiers[1]
	serviceRate := 1 / max(g.meanLatency, 1e-6)
	highSlots, lowSlots := reservation.Split(g.concurrencyLimit, reservation.Load{
		HighRate: high.arrivalRate, LowRate: low.arrivalRate, ServiceRate: serviceRate,
		HighValue: max(high.meanValue, low.meanValue), LowValue: low.meanValue}, subratedPerHigh, splitSteps)
	g.partitionSize = [3]float64{highSlots, lowSlots, g.concurrencyLimit - highSlots - lowSlots}
}
