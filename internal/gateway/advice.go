package gateway

import "time"

// The Retry-After of rejected requests. Requests are rejected at once, so only this keeps the client retry of a
// rejected request from being rejected for the same reason.

// retryAfterQuota returns the time in which the customer's token bucket, and this gateway's share of the ceiling's,
// will have refilled enough for the units, if the customer sends nothing else.
func (g *Gateway) retryAfterQuota(customer *customerState, units float64) time.Duration {
	wait := 0.0
	if customer.plan.Rate > 0 {
		if customer.meteredLevel <= 0 && customer.passProbability < 1 {
			return g.settings.MaxRetryAfter // passProbability must rise first, and changes only with the readings
		}
		steadyPercent, _ := customer.otherUse(g.now)
		wait = (customer.requiredLevel(units) - customer.bucketLevel(g.now)) / max(1, 100-steadyPercent)
	}
	if !g.withinCeiling(customer, units) {
		wait = max(wait, (units-customer.ceilingLevel)*customer.ceilingShareCount/customer.plan.CeilingRate)
	}
	if wait <= 0 { // rejected for another reason, mostly its price, or that too many attempts are in flight
		return g.retryAfterSlot()
	}
	return seconds(min(wait, g.settings.MaxRetryAfter.Seconds()))
}

// retryAfterSlot returns the time in which most of the attempts now in flight will have been answered.
func (g *Gateway) retryAfterSlot() time.Duration {
	return min(g.settings.MaxRetryAfter, seconds(g.meanLatency))
}

// requiredLevel returns the level that the projected bucket must have for the units, in percent-seconds: a
// bucketMargin more than they cost, but no more than a full bucket, unless they cost more than that.
func (c *customerState) requiredLevel(units float64) float64 {
	needed, full := 100*units/c.plan.Rate, c.capacity()
	return max(needed, min(needed+bucketMargin*full, full))
}
