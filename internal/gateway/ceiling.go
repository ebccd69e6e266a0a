package gateway

import (
	"slices"
	"time"

	"herontiller/internal/shares"
)

// The hard limits of a customer over all of its gateways: the ceiling's bucket and the attempts out. Both are split
// into parts that add up to the whole, so that they hold whatever the other gateways do.

const (
	holdAim      = 1.0 / 2 // of its aim is as long as a request is held for one of its customer's attempts to end
	holdPatience = 1.0 / 4 // ... and of what its client waits: time to come again elsewhere remains
	spareOpen    = 1.0     // seconds of attempts out that a gateway with a part of one saves up at most
)

// newLimits takes all to have been used up when this gateway started, as before a restart it may have been.
func (g *Gateway) newLimits(plan *Plan, set shares.Position) limits {
	parts := set.BucketShares(plan.CeilingBurst, g.settings.LargestUnits)
	return limits{usage: g.usageOf(plan), admitted: 1, parts: float64(parts), hasCeilingPart: set.HasShare(parts),
		ceilingAt: g.startedAt, openLimit: set.IntShare(plan.Open), openAt: g.startedAt}
}

// underCeiling keeps this gateway's part of the customer's second token bucket: an even part, so that all parts
// together are the whole. A customer not met since this gateway's start is taken to have used its part up just
// then, as before a restart it may have. A gateway without a part sends nothing.
func (g *Gateway) underCeiling(c *customer, units float64) bool {
	if c.plan.CeilingRate <= 0 {
		return true
	}
	refill := c.plan.CeilingRate * (g.now - c.ceilingAt).Seconds()
	c.ceilingLevel = min(c.plan.CeilingBurst, c.ceilingLevel*c.parts+refill) / c.parts
	c.ceilingAt = g.now
	return c.hasCeilingPart && c.ceilingLevel >= units+c.queuedUnits()
}

// underOpenLimit tells whether a further attempt may be out for the customer. Where there are fewer attempts than
// gateways, to give them to some of the gateways would leave the rest with none, and to them most of the customer's
// requests may come. A gateway whose part is less than one attempt is granted that part of each second: it has one
// out for that share of the time at most, on average over spareOpen or more, so that all gateways together have no
// more out than the limit on average. What it had out before a restart is not known, so a gateway begins with
// nothing saved up.
func (g *Gateway) underOpenLimit(c *customer) bool {
	if c.plan.Open <= 0 {
		return true
	}
	g.countOpen(c, 0)
	return c.open < c.openLimit && (float64(c.plan.Open) >= c.gateways || c.openCredit >= 0)
}

// countOpen counts a change of the customer's attempts out here, and the time that they took until now.
func (g *Gateway) countOpen(c *customer, by int) {
	part := float64(c.plan.Open) / c.gateways
	c.openCredit = min(spareOpen, c.openCredit+(part-float64(c.open))*(g.now-c.openAt).Seconds())
	c.openAt = g.now
	c.open += by
}

// queuedUnits is the units that wait in the queue.
func (c *customer) queuedUnits() float64 {
	sum := 0.0
	for _, r := range c.queue {
		sum += float64(b2i(r.queued)) * r.units
	}
	return sum
}

// enqueue holds a request whose customer has room in its quota but an attempt too many out here, if by the mean
// latency one ends soon enough. A part of one attempt is taken for a moment by each request, and the next one comes
// a moment too early as often as the customer is busy here. It is a wait for something that is about to come, not a
// rejection held back: what will not come in time is rejected at once.
func (g *Gateway) enqueue(r *request) bool {
	c := r.customer
	c.queue = slices.DeleteFunc(c.queue, func(r *request) bool { return !r.queued })
	most := min(holdAim*r.class.Aim.Seconds(), holdPatience*(r.deadline-g.now).Seconds())
	if c.openLimit == 0 || float64(len(c.queue)+1)*g.meanLatency/float64(c.openLimit) > most {
		return false
	}
	r.queued = true
	c.queue = append(c.queue, r)
	g.requests[r.id], g.bySeq[r.seq] = r, r
	g.act(SetTimer{After: seconds(most).Truncate(time.Microsecond), Token: r.seq})
	return true
}

// dequeue lets in from the customer's line what there is room for again.
func (g *Gateway) dequeue(c *customer) {
	for len(c.queue) > 0 && g.underOpenLimit(c) {
		r := c.queue[0]
		c.queue[0], c.queue = nil, c.queue[1:]
		if r.queued {
			r.queued = false
			g.admit(r)
		}
	}
}
