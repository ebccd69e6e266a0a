package gateway

import (
	"math"
	"slices"

	"herontiller/internal/reservation"
)

// The reserves of the two tiers and the pool, of the N slots, and sub-rating. Comments mark departures from
// the paper.

const (
	alpha      = 2   // low requests marked for one high one; the paper's own figure
	splitSteps = 20  // the split is searched in steps of N over this
	fewSlots   = 8.0 // a part of fewer slots is held on average, over that many mean services
)

// takeSlot gives a slot of the tier's own reserve, else of the pool, else (high only) by sub-rating. A marked
// low request counts 1-1/alpha in the pool, so that marking alpha of them lets the pool run one over.
func (g *Gateway) takeSlot(high bool) *slot {
	own := lowReserve
	if high {
		own = highReserve
	}
	g.average()
	part := sharedPool
	if g.fits(own) {
		part = own
	} else if !g.fits(sharedPool) && (!high || !g.subrate()) {
		return nil
	}
	s := &slot{part: part}
	g.inUse[part]++
	if part == sharedPool && !high && !math.IsInf(g.limit, 1) {
		g.unmarked = append(g.unmarked, s)
	}
	return s
}

// average brings busy up to now. Exception: with many gateways each has a slot or less of the back end. As
// they even each other out, a small part is held on average instead of at every moment.
func (g *Gateway) average() {
	dt := (g.now - g.meanInUseAt).Seconds()
	g.meanInUseAt = g.now
	pool := float64(g.inUse[sharedPool]) - float64(g.marked)/alpha
	for p, use := range [3]float64{float64(g.inUse[highReserve]), float64(g.inUse[lowReserve]), pool} {
		window := g.bestLatency * (fewSlots/max(g.partSize[p], 1e-3) - 1)
		if g.partSize[p] >= fewSlots {
			g.meanInUse[p] = use
		} else {
			g.meanInUse[p] = use + (g.meanInUse[p]-use)*math.Exp(-dt/window)
		}
	}
}

// fits tells whether a part has room for one more: a whole slot, or of a small part the part of its window.
func (g *Gateway) fits(part int) bool {
	size := g.partSize[part]
	return g.meanInUse[part]+min(1, size/fewSlots) <= size+1e-9 && size > 1e-6
}

// subrate marks the alpha oldest unmarked low requests of the pool, or none if there are fewer.
func (g *Gateway) subrate() bool {
	g.unmarked = slices.DeleteFunc(g.unmarked, func(s *slot) bool { return s.freed })
	if len(g.unmarked) < alpha || g.meanInUse[sharedPool] > g.partSize[sharedPool]+1e-9 {
		return false
	}
	for _, s := range g.unmarked[:alpha] {
		s.marked = true
	}
	g.marked += alpha
	g.unmarked = slices.Delete(g.unmarked, 0, alpha)
	return true
}

func (g *Gateway) freeSlot(s *slot) {
	s.freed = true
	g.inUse[s.part]--
	if s.marked {
		g.marked--
	}
}

// resplit picks the split that the paper's Method II values highest for the last window's load.
func (g *Gateway) resplit() {
	for i := range g.tiers {
		t := &g.tiers[i]
		t.rate = t.arrivals / (g.now - g.splitAt).Seconds()
		if t.arrivals > 0 {
			t.mean = t.worth / t.arrivals
		}
		t.arrivals, t.worth = 0, 0
	}
	g.splitAt = g.now
	g.split()
}

// split leaves requests where they are: a part that shrank below its use takes no more until it drains.
func (g *Gateway) split() {
	low, high := g.tiers[0], g.tiers[1]
	mu := 1 / max(g.meanLatency, 1e-6)
	nh, nl := reservation.Split(g.limit, reservation.Load{HighRate: high.rate, LowRate: low.rate, Service: mu,
		HighValue: max(high.mean, low.mean), LowValue: low.mean}, alpha, splitSteps)
	g.partSize = [3]float64{nh, nl, g.limit - nh - nl}
}
