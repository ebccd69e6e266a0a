package gateway

import (
	"math"
	"slices"
	"time"

	"herontiller/internal/shares"
)

// The quota of a customer: its token bucket, projected from the meter's readings, and its pass probability.

const (
	readingDelay    = 2       // meter periods from the end of a period until its reading is counted here
	bucketMargin    = 1.0 / 8 // share of the burst that the projection must leave for unseen gateways
	priorUsePercent = 40      // assumed use of a customer before any reading, percent of its rate
	maxRecentSends  = 64      // own sends kept of a customer between readings, to bound the memory
	readingDecay    = 0.9     // factor per reading on the weight of earlier readings
)

// customerFor returns the customer of a request, creating it if it is new or its plan has changed.
func (g *Gateway) customerFor(ev Request, plan *Plan) *customer {
	c := g.customers[ev.Customer]
	if c == nil || c.plan != plan {
		gatewayCount := min(max(ev.GatewayCount, 1), g.settings.Gateways)
		fleetSize := g.settings.Gateways
		offset := ((g.settings.Index-ev.FirstGateway)%fleetSize + fleetSize) % fleetSize
		c = &customer{plan: plan, gateways: float64(gatewayCount), passProbability: 1, meteredUntil: g.now,
			meterPeriod: g.settings.MeterPeriod.Seconds()}
		set := shares.Set{Gateways: gatewayCount, Offset: offset, Customer: uint64(ev.Customer)}
		c.limits = g.newLimits(plan, set)
		c.meteredLevel = c.capacity()
		g.customers[ev.Customer] = c
	}
	c.lastSeen, c.lastUnits = g.now, max(ev.Units, 1e-6)
	return c
}

// capacity returns the burst in percent-seconds of the rate, 0 without a rate.
func (c *customer) capacity() float64 {
	if c.plan.Rate <= 0 {
		return 0
	}
	return 100 * c.plan.Burst / c.plan.Rate
}

// fleetMultiple returns the customer's use over all gateways for each unit sent through this one, learnt from
// the readings. Before any reading it assumes that the customer uses its gateways equally.
func (c *customer) fleetMultiple() float64 {
	const priorUse = 100 // percent-seconds: one second of the plan's rate
	return max(1, (c.meteredUse+c.gateways*priorUse)/(c.ownUse+priorUse))
}

// bucketLevel projects the level of the customer's token bucket to the given time, in percent-seconds: the
// level at the end of the last metered period, refilled since, less the use through all gateways since.
func (c *customer) bucketLevel(at time.Duration) float64 {
	steadyPercent, perSend := c.otherUse(at)
	level, levelAt := c.meteredLevel, c.meteredUntil
	for _, sent := range c.recentSends {
		if sent.at > at {
			break
		}
		level = max(0, min(c.capacity(), level+(100-steadyPercent)*(sent.at-levelAt).Seconds())-
			(1+perSend)*sent.percentSeconds)
		levelAt = sent.at
	}
	return max(0, min(c.capacity(), level+(100-steadyPercent)*(at-levelAt).Seconds()))
}

// otherUse estimates the use through the other gateways since the last metered period, in two parts: a steady
// one, in percent of the rate, and one per send, as a multiple of each send of this gateway. Two estimates
// are combined. The decaying mean of the readings, which begins with one request of a customer that uses
// priorPercent, counts as one more request. The sends of this gateway are evidence only for its own share of
// the time. Each is weighted by the evidence behind it: with two gateways nearly all of the weight is on the
// sends, with 300 nearly all of it is on the readings.
func (c *customer) otherUse(at time.Duration) (steadyPercent, perSend float64) {
	fleetMultiple, elapsed := c.fleetMultiple(), max(0, (at-c.meteredUntil).Seconds())
	decay := math.Pow(readingDecay, elapsed/max(c.meterPeriod, 1e-3))
	requestUse := 100 * c.lastUnits / c.plan.Rate
	// One of two gateways meets every customer. One of many meets few, mostly those that send the most.
	metPercent := 100 * c.usage.meanUtilization()
	priorPercent := metPercent - (metPercent-priorUsePercent)*min(1, 2/c.gateways)
	meanPercent := (requestUse + decay*c.meteredUse) / (requestUse/priorPercent + decay*c.meteredTime)
	elapsed = max(elapsed, readingDelay*c.meterPeriod) // a burst counts as if it had taken this long
	// ownWeight is the weight of this gateway's sends.
	ownWeight := elapsed / fleetMultiple / (requestUse/meanPercent + elapsed/fleetMultiple)
	return meanPercent * (1 - ownWeight) * (fleetMultiple - 1) / fleetMultiple,
		ownWeight * (fleetMultiple - 1)
}

// withinQuota reports whether a request is within the customer's quota. By the design's rule, all requests
// pass while the metered level of the bucket is above 0, else a request passes with the probability f
// (passProbability). An exception is made because readings come late and a short burst is over before one
// shows it: a request must also be covered by the projected level, from which the use over all gateways since
// the last metered period is subtracted.
func (g *Gateway) withinQuota(c *customer, units float64) bool {
	// The pass probability applies only while readings come. They come with answers, so by rejecting too much
	// it could otherwise stop both for good.
	hasReadings := g.now-c.lastReadingAt <= 2*readingDelay*g.settings.MeterPeriod
	if hasReadings && (c.plan.Rate <= 0 || c.meteredLevel <= 0) && g.rng.Float64() >= c.passProbability {
		return false
	}
	return c.plan.Rate <= 0 || c.bucketLevel(g.now) >= c.requiredLevel(units+c.queuedUnits())
}

// onReading counts a reading of the meter. Only one is counted per period, though many answers repeat it,
// with jitter and out of order. A reading is not counted for a period that has not ended yet, as it repeats
// that of an earlier period: otherwise meteredUntil would run ahead of the clock, and the bucket would never
// refill again.
func (g *Gateway) onReading(c *customer, usagePercent float64) {
	period := g.settings.MeterPeriod
	if period <= 0 || c.meteredTime > 0 && (g.now-c.lastReadingAt < period/2 ||
		usagePercent == c.lastReading && g.now-c.lastReadingAt < period || c.meteredUntil+period > g.now) {
		return
	}
	if c.meteredTime == 0 {
		c.meteredSince = g.now - period
	}
	c.lastReadingAt, c.lastReading = g.now, usagePercent
	// The period of a reading is assumed to have ended readingDelay periods ago. If readings are missing
	// before it, the bucket is projected over the gap from this gateway's own sends.
	periodStart := max(c.meteredUntil, g.now-(1+readingDelay)*period)
	if c.plan.Rate > 0 {
		c.meteredLevel = c.bucketLevel(periodStart)
	}
	c.meteredUntil = periodStart + period
	ownUse := 0.0
	c.recentSends = slices.DeleteFunc(c.recentSends, func(sent sentUnits) bool {
		if sent.at > periodStart && sent.at <= c.meteredUntil {
			ownUse += sent.percentSeconds
		}
		return sent.at <= c.meteredUntil
	})
	if c.plan.Rate <= 0 {
		likelihood := g.readingLikelihood(c, usagePercent/100)
		for i := range likelihood {
			if c.meteredTime > 0 {
				likelihood[i] *= math.Pow(c.readingsLikelihood[i], readingDecay)
			}
			c.readingsLikelihood[i] = likelihood[i]
		}
	}
	c.meteredUse = readingDecay*c.meteredUse + usagePercent*period.Seconds()
	c.meteredTime = readingDecay*c.meteredTime + period.Seconds()
	c.ownUse = readingDecay*c.ownUse + ownUse
	c.meteredLevel = max(0, min(c.capacity(), c.meteredLevel+(100-usagePercent)*period.Seconds()))
	if c.meteredLevel > 0 || usagePercent <= 0 {
		c.passProbability = 1
	} else {
		c.passProbability = min(1, c.passProbability*100/usagePercent)
	}
}
