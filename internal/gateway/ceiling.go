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
	maxQueueTimeoutShare = 1.0 / 4 // longest time in the queue, as a share of the client's timeout, to allow a retry
	maxInFlightCredit    = 1.0     // most time in flight that a gateway saves up whose share is below one, seconds
)

// newLocalState returns the local state of a customer of the plan, for this gateway's position among the customer's
// gateways. It assumes that all limits were used up when this gateway started, as they may have been before a restart.
func (g *Gateway) newLocalState(plan *Plan, position shares.Position) localState {
	shareCount := position.BucketShares(plan.CeilingBurst, g.settings.MaxRequestUnits)
	return localState{usage: g.planUsageOf(plan), admissionProbability: 1, ceilingShareCount: float64(shareCount),
		hasCeilingShare: position.HasShare(shareCount), ceilingLevelAt: g.startedAt,
		inFlightLimit: position.IntShare(plan.MaxInFlight), inFlightCreditAt: g.startedAt}
}

// withinCeiling refills this gateway's share of the token bucket of the customer's ceiling and reports whether it
// holds enough for the units. The shares are equal, so that together they are the whole. For a customer that is new
// since this gateway's start, the share is taken to have been empty at the start, as before a restart it may have been
// used up. A gateway without a share sends nothing.
func (g *Gateway) withinCeiling(customer *customerState, units float64) bool {
	if customer.plan.CeilingRate <= 0 {
		return true
	}
	refill := customer.plan.CeilingRate * (g.now - customer.ceilingLevelAt).Seconds()
	customer.ceilingLevel = min(customer.plan.CeilingBurst, customer.ceilingLevel*customer.ceilingShareCount+refill) /
		customer.ceilingShareCount
	customer.ceilingLevelAt = g.now
	return customer.hasCeilingShare && customer.ceilingLevel >= units+customer.queuedUnits()
}

// withinInFlightLimit reports whether a further attempt may be in flight for the customer. If the limit is lower than
// the number of gateways, giving whole attempts to some gateways would leave the others with none, and most of the
// customer's requests may come to those. So a gateway whose share is less than one attempt may have one in flight for
// that share of the time, averaged over maxInFlightCredit or more, and all gateways together have no more in flight
// than the limit on average. A gateway starts without credit, as the attempts in flight before a restart are not
// known.
func (g *Gateway) withinInFlightLimit(customer *customerState) bool {
	if customer.plan.MaxInFlight <= 0 {
		return true
	}
	g.addInFlight(customer, 0)
	return customer.inFlight < customer.inFlightLimit &&
		(float64(customer.plan.MaxInFlight) >= customer.gateways || customer.inFlightCredit >= 0)
}

// addInFlight adds delta to the customer's attempts in flight, after charging their time until now to inFlightCredit.
func (g *Gateway) addInFlight(customer *customerState, delta int) {
	share := float64(customer.plan.MaxInFlight) / customer.gateways
	customer.inFlightCredit = min(maxInFlightCredit,
		customer.inFlightCredit+(share-float64(customer.inFlight))*(g.now-customer.inFlightCreditAt).Seconds())
	customer.inFlightCreditAt = g.now
	customer.inFlight += delta
}

// queuedUnits returns the sum of the units of the queued requests.
func (c *customerState) queuedUnits() float64 {
	sum := 0.0
	for _, request := range c.queue {
		sum += float64(boolToInt(request.queued)) * request.units
	}
	return sum
}

// enqueue queues a request whose customer is within its quota but at its limit of attempts in flight, and reports
// whether it did. It does so only if, by the mean latency, an attempt will end soon enough. The queue is needed where
// the share is less than one attempt: each request uses up the credit for a moment, and a busy customer's next one
// often comes a moment too early. A request that could not be sent in time is rejected at once, without waiting.
func (g *Gateway) enqueue(request *requestState) bool {
	customer := request.customer
	customer.queue = slices.DeleteFunc(customer.queue, func(other *requestState) bool { return !other.queued })
	maxWait := min(maxQueueTargetShare*request.class.TargetLatency.Seconds(),
		maxQueueTimeoutShare*(request.deadline-g.now).Seconds())
	if customer.inFlightLimit == 0 ||
		float64(len(customer.queue)+1)*g.meanLatency/float64(customer.inFlightLimit) > maxWait {
		return false
	}
	request.queued = true
	customer.queue = append(customer.queue, request)
	g.requests[request.id], g.requestsBySeq[request.seq] = request, request
	g.emit(SetTimer{After: seconds(maxWait).Truncate(time.Microsecond), Token: request.seq})
	return true
}

// dequeue admits requests from the customer's queue while the limit on its attempts in flight allows it.
func (g *Gateway) dequeue(customer *customerState) {
	for len(customer.queue) > 0 && g.withinInFlightLimit(customer) {
		request := customer.queue[0]
		customer.queue[0], customer.queue = nil, customer.queue[1:]
		if request.queued {
			request.queued = false
			g.admit(request)
		}
	}
}
