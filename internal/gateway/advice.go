package gateway

import "time"

// How long a refused client should stay away. A refusal is given at once, so this is all that keeps its next
// try from meeting the same answer.

// untilQuota is the time in which the customer's token bucket, and its part of the ceiling's, will have filled
// enough for the units, if it asks for nothing else.
func (g *Gateway) untilQuota(c *customer, units float64) time.Duration {
	wait := 0.0
	if c.plan.Rate > 0 {
		if c.bucket <= 0 && c.passShare < 1 {
			return g.settings.MaxRetryAfter // the pass share must rise first, and it moves by the meter's readings
		}
		steady, _ := c.otherUse(g.now)
		wait = (c.neededLevel(units) - c.bucketLevel(g.now)) / max(1, 100-steady)
	}
	if !g.underCeiling(c, units) {
		wait = max(wait, (units-c.ceilingLevel)*c.parts/c.plan.CeilingRate)
	}
	if wait <= 0 { // a limit on attempts that are out: one must end
		return g.untilSlot()
	}
	return seconds(min(wait, g.settings.MaxRetryAfter.Seconds()))
}

// untilSlot is the time in which what is out now will mostly have been answered.
func (g *Gateway) untilSlot() time.Duration {
	return min(g.settings.MaxRetryAfter, seconds(g.meanLatency))
}

// neededLevel is what the bucket must hold for the units: more by the margin, but never more than a full one has.
func (c *customer) neededLevel(units float64) float64 {
	need, full := 100*units/c.plan.Rate, c.capacity()
	return max(need, min(need+margin*full, full))
}
