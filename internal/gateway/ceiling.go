package gateway

import (
	"slices"
	"time"

	"herontiller/internal/shares"
)

// The hard limits of a customer over all of its front doors: the ceiling's store and the attempts out. Both are split
// into parts that add up to the whole, so that they hold whatever the other doors do.

const (
	holdAim      = 1.0 / 2 // of its aim is as long as a request is held for one of its customer's attempts to end
	holdPatience = 1.0 / 4 // ... and of what its client waits: time to come again elsewhere remains
	spareOpen    = 1.0     // seconds of attempts out that a door with a part of one saves up at most: some mean answers
)

// newLimits takes all to have been used up when this door started, as before a restart it may have been.
func (g *Gateway) newLimits(plan *Plan, set shares.Set) limits {
	parts := set.Buckets(plan.CeilingBurst, g.set.LargestUnits)
	return limits{usage: g.usageOf(plan), admitted: 1, parts: float64(parts), hasCeil: set.Among(parts), ceilAt: g.boot,
		openPart: set.Whole(plan.Open), openAt: g.boot}
}

// underCeiling keeps this door's part of the customer's second store: an even part, so that all parts
// together are the whole. A customer not met since this door's start is taken to have used its part up just
// then, as before a restart it may have. A door without a part sends nothing.
func (g *Gateway) underCeiling(c *customer, units float64) bool {
	if c.plan.CeilingRate <= 0 {
		return true
	}
	c.ceil = min(c.plan.CeilingBurst, c.ceil*c.parts+c.plan.CeilingRate*(g.now-c.ceilAt).Seconds()) / c.parts
	c.ceilAt = g.now
	return c.hasCeil && c.ceil >= units+c.held()
}

// inPart tells whether a further attempt may be out for the customer. Where there are fewer attempts than doors, to
// give them to some of the doors would leave the rest with none, and to them most of the customer's requests may come.
// A door whose part is less than one attempt is granted that part of each second: it has one out for that share of the
// time at most, on average over spareOpen or more, so that all doors together have no more out than the limit on
// average. What it had out before a restart is not known, so a door begins with nothing saved up.
func (g *Gateway) inPart(c *customer) bool {
	if c.plan.Open <= 0 {
		return true
	}
	g.countOpen(c, 0)
	return c.open < c.openPart && (float64(c.plan.Open) >= c.doors || c.openTime >= 0)
}

// countOpen counts a change of the customer's attempts out here, and the time that they took until now.
func (g *Gateway) countOpen(c *customer, by int) {
	part := float64(c.plan.Open) / c.doors
	c.openTime = min(spareOpen, c.openTime+(part-float64(c.open))*(g.now-c.openAt).Seconds())
	c.openAt = g.now
	c.open += by
}

// held is the units that wait in the line.
func (c *customer) held() float64 {
	sum := 0.0
	for _, r := range c.line {
		sum += float64(b2i(r.awaits)) * r.units
	}
	return sum
}

// await holds a request whose customer has room in its quota but an attempt too many out here, if by the mean latency
// one ends soon enough. A part of one attempt is taken for a moment by each request, and the next one comes a moment
// too early as often as the customer is busy here; a refusal would send it to a door that knows no more. It is a wait
// for something that is about to come, not a refusal held back: what will not come in time is refused at once.
func (g *Gateway) await(r *request) bool {
	c := r.cust
	c.line = slices.DeleteFunc(c.line, func(r *request) bool { return !r.awaits })
	most := min(holdAim*r.class.Aim.Seconds(), holdPatience*(r.due-g.now).Seconds())
	if c.openPart == 0 || float64(len(c.line)+1)*g.meanLat/float64(c.openPart) > most {
		return false
	}
	r.awaits = true
	c.line = append(c.line, r)
	g.requests[r.id], g.bySeq[r.seq] = r, r
	g.act(SetTimer{After: seconds(most).Truncate(time.Microsecond), Token: r.seq})
	return true
}

// next lets in from the customer's line what there is room for again.
func (g *Gateway) next(c *customer) {
	for len(c.line) > 0 && g.inPart(c) {
		r := c.line[0]
		c.line[0], c.line = nil, c.line[1:]
		if r.awaits {
			r.awaits = false
			g.admit(r)
		}
	}
}
