package gateway

import (
	"slices"
	"time"

	"herontiller/internal/shares"
)

// The hard limits of a customer over all of its gateways: the ceiling's token bucket and the attempts in flight. Each
// is split into shares that add up to the whole, so that it holds whatever the other gateways do.

const (
	maxQueueTargetShare  = 1.0 / 2 // longest time in the queue, as a share of the class's target latency
	maxQueueTimeoutShare = 1.0 / 4 // the same, as a share of the client's remaining time, which must allow a retry
	maxInFlightCredit    = 1.0     // most time in flight that a gateway with a share below one saves up, seconds
)

// newLimits returns the limits of a customer of the plan. It assumes that all of them were used up when this gateway
// started, as they may have been before a restart.
func (g *Gateway) newLimits(plan *Plan, set shares.Set) limits {
	shareCount := set.Buckets(plan.CeilingBurst, g.settings.MaxRequestUnits)
	return limits{usage: g.planUsageOf(plan), admissionProbability: 1, ceilingShares: float64(shareCount),
		hasCeilingShare: set.Among(shareCount), ceilingLevelAt: g.startedAt,
		inFlightLimit: set.Whole(plan.MaxInFlight), inFlightCreditAt: g.startedAt}
}

// withinCeiling refills this gateway's share of the token bucket of the customer's ceiling and reports whether it
// holds enough for the units. The shares are equal, so that together they are the whole. For a customer that is new
// since this gateway's start, the share is taken to have been empty at the start, as before a restart it may have been
// used up. A gateway without a share sends nothing.
func (g *Gateway) withinCeiling(c *customer, units float64) bool {
	if c.plan.CeilingRate <= 0 {
		return true
	}
	refill := c.plan.CeilingRate * (g.now - c.ceilingLevelAt).Seconds()
	c.ceilingLevel = min(c.plan.CeilingBurst, c.ceilingLevel*c.ceilingShares+refill) / c.ceilingShares
	c.ceilingLevelAt = g.now
	return c.hasCeilingShare && c.ceilingLevel >= units+c.queuedUnits()
}

// withinInFlightLimit reports whether a further attempt may be in flight for the customer. If the limit is lower than
// the number of gateways, giving whole attempts to some gateways would leave the others with none, and most of the
// customer's requests may come to those. So a gateway whose share is less than one attempt may have one in flight for
// that share of the time, averaged over maxInFlightCredit or more, and all gateways together have no more in flight
// than the limit on average. A gateway starts without credit, as the attempts in flight before a restart are not
// known.
func (g *Gateway) withinInFlightLimit(c *customer) bool {
	if c.plan.MaxInFlight <= 0 {
		return true
	}
	g.addInFlight(c, 0)
	return c.inFlight < c.inFlightLimit && (float64(c.plan.MaxInFlight) >= c.gateways || c.inFlightCredit >= 0)
}

// addInFlight adds delta to the customer's attempts in flight, after charging their time until now to inFlightCredit.
func (g *Gateway) addInFlight(c *customer, delta int) {
	share := float64(c.plan.MaxInFlight) / c.gateways
	c.inFlightCredit = min(maxInFlightCredit,
		c.inFlightCredit+(share-float64(c.inFlight))*(g.now-c.inFlightCreditAt).Seconds())
	c.inFlightCreditAt = g.now
	c.inFlight += delta
}

// queuedUnits returns the sum of the units of the queued requests.
func (c *customer) queuedUnits() float64 {
	sum := 0.0
	for _, r := range c.queue {
		sum += float64(boolToInt(r.queued)) * r.units
	}
	return sum
}

// enqueue queues a request whose customer is within its quota but at its limit of attempts in flight, and reports
// whether it did. It does so only if by the mean latency an attempt will end soon enough: with a share of less than
// one attempt, each request uses up the credit for a moment, and a busy customer's next one often comes a moment too
// early. A request that could not be sent in time is rejected at once, without waiting.
func (g *Gateway) enqueue(r *request) bool {
	c := r.customer
	c.queue = slices.DeleteFunc(c.queue, func(r *request) bool { return !r.queued })
	maxWait := min(maxQueueTargetShare*r.class.TargetLatency.Seconds(),
		maxQueueTimeoutShare*(r.deadline-g.now).Seconds())
	if c.inFlightLimit == 0 || float64(len(c.queue)+1)*g.meanLatency/float64(c.inFlightLimit) > maxWait {
		return false
	}
	r.queued = true
	c.queue = append(c.queue, r)
	g.requests[r.id], g.requestsBySeq[r.seq] = r, r
	g.emit(SetTimer{After: seconds(maxWait).Truncate(time.Microsecond), Token: r.seq})
	return true
}

// dequeue admits requests from the customer's queue while its limit of attempts in flight allows it.
func (g *Gateway) dequeue(c *customer) {
	for len(c.queue) > 0 && g.withinInFlightLimit(c) {
		r := c.queue[0]
		c.queue[0], c.queue = nil, c.queue[1:]
		if r.queued {
			r.queued = false
			g.admit(r)
		}
	}
}
