package gateway

import (
	"math"
	"slices"
	"time"

	"herontiller/internal/shares"
)

// The quota of a customer: its token bucket, as the meter's readings tell it, and its pass share.

const (
	readingAge = 2       // meter periods from the end of a period until its reading is counted here
	margin     = 1.0 / 8 // share of the burst that the projection must leave: other gateways are unseen
	priorUse   = 40      // percent of its rate that a customer is taken to use before any reading
	mostDraws  = 64      // own sends kept for a customer between readings, so memory stays bounded
	shareDecay = 0.9     // how fast the customer's share at this gateway is relearnt, a reading
)

func (g *Gateway) customer(ev Request, plan *Plan) *customer {
	c := g.customers[ev.Customer]
	if c == nil || c.plan != plan {
		doors := min(max(ev.Spread, 1), g.settings.Gateways)
		all := g.settings.Gateways
		offset := ((g.settings.Me-ev.FirstGateway)%all + all) % all
		c = &customer{plan: plan, gateways: float64(doors), passShare: 1, bucketAt: g.now,
			period: g.settings.MeterPeriod.Seconds()}
		set := shares.Position{Gateways: doors, Offset: offset, Customer: uint64(ev.Customer)}
		c.limits = g.newLimits(plan, set)
		c.bucket = c.capacity()
		g.customers[ev.Customer] = c
	}
	c.seen, c.units = g.now, max(ev.Units, 1e-6)
	return c
}

// capacity is the burst in percent-seconds of the rate.
func (c *customer) capacity() float64 {
	if c.plan.Rate <= 0 {
		return 0
	}
	return 100 * c.plan.Burst / c.plan.Rate
}

// fleetShare is what the customer uses over all gateways for each unit sent here, learnt from the readings;
// before any, as if it were spread evenly.
func (c *customer) fleetShare() float64 {
	const prior = 100 // percent-seconds: one second of the plan's rate
	return max(1, (c.metered+c.gateways*prior)/(c.own+prior))
}

// bucketLevel is the bucket at time t: that of the last metered period, filled since, less what was sent on
// since.
func (c *customer) bucketLevel(t time.Duration) float64 {
	steady, each := c.otherUse(t)
	s, at := c.bucket, c.bucketAt
	for _, d := range c.recentSends {
		if d.at > t {
			break
		}
		s = max(0, min(c.capacity(), s+(100-steady)*(d.at-at).Seconds())-(1+each)*d.percentSeconds)
		at = d.at
	}
	return max(0, min(c.capacity(), s+(100-steady)*(t-at).Seconds()))
}

// otherUse is the use of the other gateways since the last metered period: steadily, in percent of the
// rate, and with each of this gateway's own sends. The readings' fading mean, begun with one request of a
// customer that uses priorUse, counts as one more request; this gateway's sends tell of its share of the
// time only. So each weighs what it tells: of two gateways nearly all is told by the sends, of 300 nearly
// all by the readings.
func (c *customer) otherUse(t time.Duration) (steady, each float64) {
	k, since := c.fleetShare(), max(0, (t-c.bucketAt).Seconds())
	fade := math.Pow(shareDecay, since/max(c.period, 1e-3))
	one := 100 * c.units / c.plan.Rate
	// one of two gateways meets everybody; one of many meets few, and mostly those who ask for the most
	met := 100 * c.usage.meanUse()
	prior := met - (met-priorUse)*min(1, 2/c.gateways)
	mean := (one + fade*c.metered) / (one/prior + fade*c.meteredFor)
	since = max(since, readingAge*c.period) // a burst at once tells as much as one that took so long
	own := since / k / (one/mean + since/k) // the sends' weight
	return mean * (1 - own) * (k - 1) / k, own * (k - 1)
}

// withinQuota is the design's quota rule: f is 1 while the bucket holds something, else requests pass with
// chance f. Exception: readings come late and a short burst is over before one tells of it, so while the
// store is above 0 what was sent on since the last metered period is taken off it, over all gateways.
func (g *Gateway) withinQuota(c *customer, units float64) bool {
	// f binds while readings come: they come with answers, and so much may be refused that there are none
	heard := g.now-c.readAt <= 2*readingAge*g.settings.MeterPeriod
	if heard && (c.plan.Rate <= 0 || c.bucket <= 0) && g.rng.Float64() >= c.passShare {
		return false
	}
	return c.plan.Rate <= 0 || c.bucketLevel(g.now) >= c.neededLevel(units+c.queuedUnits())
}

// onReading counts one reading of the meter for each period, though many answers repeat it; they jitter,
// and come out of order. None counts for a period that has not ended: one before it is told again. Else
// storeAt would run ahead of the clock, and the bucket would stand still for good.
func (g *Gateway) onReading(c *customer, use float64) {
	p := g.settings.MeterPeriod
	if p <= 0 || c.meteredFor > 0 && (g.now-c.readAt < p/2 || use == c.lastReading && g.now-c.readAt < p ||
		c.bucketAt+p > g.now) {
		return
	}
	if c.meteredFor == 0 {
		c.followedFrom = g.now - p
	}
	c.readAt, c.lastReading = g.now, use
	// a reading is taken to be readingAge old; of a gap before it only this gateway's own sends are known
	from := max(c.bucketAt, g.now-(1+readingAge)*p)
	if c.plan.Rate > 0 {
		c.bucket = c.bucketLevel(from)
	}
	c.bucketAt = from + p
	own := 0.0
	c.recentSends = slices.DeleteFunc(c.recentSends, func(d sentUnits) bool {
		if d.at > from && d.at <= c.bucketAt {
			own += d.percentSeconds
		}
		return d.at <= c.bucketAt
	})
	if c.plan.Rate <= 0 {
		latest := g.readingLikelihood(c, use/100)
		for i := range latest {
			if c.meteredFor > 0 {
				latest[i] *= math.Pow(c.readings[i], shareDecay)
			}
			c.readings[i] = latest[i]
		}
	}
	c.metered = shareDecay*c.metered + use*p.Seconds()
	c.meteredFor = shareDecay*c.meteredFor + p.Seconds()
	c.own = shareDecay*c.own + own
	c.bucket = max(0, min(c.capacity(), c.bucket+(100-use)*p.Seconds()))
	if c.bucket > 0 || use <= 0 {
		c.passShare = 1
	} else {
		c.passShare = min(1, c.passShare*100/use)
	}
}
