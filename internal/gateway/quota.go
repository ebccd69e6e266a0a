package gateway

import (
	"math"
	"slices"
	"time"

	"herontiller/internal/shares"
)

// The quota of a customer: its token bucket, projected from the meter's readings, and its pass probability.
// Levels and use are in percent-seconds: one second at the whole rate of the plan is 100 percent-seconds.

const (
	readingDelay    = 2       // meter periods from the end of a period until its reading is counted here
	bucketMargin    = 1.0 / 8 // share of the burst that the projection leaves for unseen sends elsewhere
	priorUsePercent = 40      // assumed use of a customer before any reading, percent of its rate
	maxRecentSends  = 64      // own sends kept of a customer between readings, to bound the memory
	readingDecay    = 0.9     // factor on the weight of earlier readings with each further one
)

// customerFor returns the customer of a request, creating it if it is new or its plan has changed.
func (g *Gateway) customerFor(ev Request, plan *Plan) *customerState {
	customer := g.customers[ev.Customer]
	if customer == nil || customer.plan != plan {
		gatewayCount := min(max(ev.GatewayCount, 1), g.settings.Gateways)
		fleetSize := g.settings.Gateways
		offset := ((g.settings.Index-ev.FirstGateway)%fleetSize + fleetSize) % fleetSize
		customer = &customerState{plan: plan, gateways: float64(gatewayCount), passProbability: 1,
			meteredUntil: g.now, meterPeriod: g.settings.MeterPeriod.Seconds()}
		position := shares.Position{Gateways: gatewayCount, Offset: offset, Customer: uint64(ev.Customer)}
		customer.localState = g.newLocalState(plan, position)
		customer.meteredLevel = customer.capacity()
		g.customers[ev.Customer] = customer
	}
	customer.lastSeen, customer.lastUnits = g.now, max(ev.Units, 1e-6)
	return customer
}

// capacity returns the burst in percent-seconds of the rate, 0 without a rate.
func (c *customerState) capacity() float64 {
	if c.plan.Rate <= 0 {
		return 0
	}
	return 100 * c.plan.Burst / c.plan.Rate
}

// fleetMultiple returns the customer's use over all gateways for each unit sent through this one, learnt from
// the readings. Before any reading it assumes that the customer uses its gateways equally.
func (c *customerState) fleetMultiple() float64 {
	const priorUse = 100 // percent-seconds: one second of the plan's rate
	return max(1, (c.meteredUse+c.gateways*priorUse)/(c.ownUse+priorUse))
}

// bucketLevel projects the level of the customer's token bucket to the given time, in percent-seconds: the
// level at the end of the last metered period, refilled since, less the use through all gateways since.
func (c *customerState) bucketLevel(at time.Duration) float64 {
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
// the time. Each estimate is weighted by the evidence behind it: with two gateways nearly all of the weight
// is on the sends, with 300 nearly all of it is on the readings.
func (c *customerState) otherUse(at time.Duration) (steadyPercent, perSend float64) {
	fleetMultiple, elapsed := c.fleetMultiple(), max(0, (at-c.meteredUntil).Seconds())
	decay := math.Pow(readingDecay, elapsed/max(c.meterPeriod, 1e-3))
	requestUse := 100 * c.lastUnits / c.plan.Rate
	// planPercent is the mean over requests, so customers that send more weigh more. It is the prior for one
	// of many gateways, which meets few customers, mostly those that send the most. One of two gateways meets
	// every customer; its prior is priorUsePercent.
	planPercent := 100 * c.usage.meanUtilization()
	priorPercent := planPercent - (planPercent-priorUsePercent)*min(1, 2/c.gateways)
	meanPercent := (requestUse + decay*c.meteredUse) / (requestUse/priorPercent + decay*c.meteredTime)
	elapsed = max(elapsed, readingDelay*c.meterPeriod) // a burst counts as if it had taken this long
	// ownWeight is the weight of this gateway's sends.
	ownWeight := elapsed / fleetMultiple / (requestUse/meanPercent + elapsed/fleetMultiple)
	return meanPercent * (1 - ownWeight) * (fleetMultiple - 1) / fleetMultiple,
		ownWeight * (fleetMultiple - 1)
}

// withinQuota reports whether a request is within the customer's quota. The specification prescribes that all
// requests pass while the metered level of the bucket is above 0, and that else a request passes with the
// probability f (passProbability). There is one exception, because readings come late and a short burst is
// over before one shows it: a request must also be covered by the projected level, from which the use over
// all gateways since the last metered period is subtracted.
func (g *Gateway) withinQuota(customer *customerState, units float64) bool {
	// The pass probability applies only while readings come. They come with answers, so by rejecting too much
	// it could otherwise stop both for good.
	hasReadings := g.now-customer.lastReadingAt <= 2*readingDelay*g.settings.MeterPeriod
	if hasReadings && (customer.plan.Rate <= 0 || customer.meteredLevel <= 0) &&
		g.rng.Float64() >= customer.passProbability {
		return false
	}
	return customer.plan.Rate <= 0 ||
		customer.bucketLevel(g.now) >= customer.requiredLevel(units+customer.queuedUnits())
}

// onReading counts a reading of the meter. Only one is counted per period, though many answers repeat it,
// with jitter and out of order. A reading is not counted for a period that has not ended yet, as it repeats
// that of an earlier period: otherwise meteredUntil would run ahead of the clock, and the bucket would never
// refill again.
func (g *Gateway) onReading(customer *customerState, usagePercent float64) {
	period := g.settings.MeterPeriod
	if period <= 0 || customer.meteredTime > 0 && (g.now-customer.lastReadingAt < period/2 ||
		usagePercent == customer.lastReading && g.now-customer.lastReadingAt < period ||
		customer.meteredUntil+period > g.now) {
		return
	}
	if customer.meteredTime == 0 {
		customer.meteredSince = g.now - period
	}
	customer.lastReadingAt, customer.lastReading = g.now, usagePercent
	// The period of a reading is assumed to have ended readingDelay periods ago. If readings are missing
	// before it, the bucket is projected over the gap from this gateway's own sends.
	periodStart := max(customer.meteredUntil, g.now-(1+readingDelay)*period)
	if customer.plan.Rate > 0 {
		customer.meteredLevel = customer.bucketLevel(periodStart)
	}
	customer.meteredUntil = periodStart + period
	ownUse := 0.0
	customer.recentSends = slices.DeleteFunc(customer.recentSends, func(sent sentUnits) bool {
		if sent.at > periodStart && sent.at <= customer.meteredUntil {
			ownUse += sent.percentSeconds
		}
		return sent.at <= customer.meteredUntil
	})
	if customer.plan.Rate <= 0 {
		likelihood := g.readingLikelihood(customer, usagePercent/100)
		for i := range likelihood {
			if customer.meteredTime > 0 {
				likelihood[i] *= math.Pow(customer.readingsLikelihood[i], readingDecay)
			}
			customer.readingsLikelihood[i] = likelihood[i]
		}
	}
	customer.meteredUse = readingDecay*customer.meteredUse + usagePercent*period.Seconds()
	customer.meteredTime = readingDecay*customer.meteredTime + period.Seconds()
	customer.ownUse = readingDecay*customer.ownUse + ownUse
	customer.meteredLevel = max(0, min(customer.capacity(),
		customer.meteredLevel+(100-usagePercent)*period.Seconds()))
	if customer.meteredLevel > 0 || usagePercent <= 0 {
		customer.passProbability = 1
	} else {
		customer.passProbability = min(1, customer.passProbability*100/usagePercent)
	}
}
