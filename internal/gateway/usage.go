package gateway

import (
	"math"
	"slices"
	"time"

	"herontiller/internal/stats"
)

// How much of their quotas customers use over all gateways. One of many gateways meets most customers once, so it
// keeps a distribution of the use for each plan, estimated from the meter's readings by empirical Bayes: the prior
// below counts only until some dozens of readings of any plan are in, and these only until as many of the plan
// itself are.

const (
	priorReadings = 4.0         // readings of a known use that the prior counts for, and all plans beside one
	mostSamples   = 128         // latest readings that the estimate goes by
	refineRounds  = 10          // rounds of the EM algorithm a second, from the last second's estimate on
	unitsFade     = 1.0 / 64    // weight of one request in the means of units and of admission
	leastSampled  = 1.0 / 5     // least probability that a reading's request is taken to have been admitted with
	arrivalsFor   = 20 * second // time for which the arrivals of a customer without readings are evidence
	mostArrivals  = 16          // latest arrivals of a customer that are kept
	changeEvery   = 20 * second // mean time between changes of a customer's use
	longestFollow = 10.0        // seconds of readings after which a bucket's level is known, however slowly it fills
	drainsIn      = 10.0        // times that a bucket refills in within which it matters that it was full at the start
	mostRead      = 64          // attempts out at once that a reading is taken to tell of at most
	leastLikely   = 1e-6        // likelihood of a reading at any use: customers are not as regular as the formulas
	leastExposure = 0.05        // requests expected at the whole quota under which no arrival is no evidence
	leastWeight   = 0.002       // uses less likely are passed over
	queueScale    = 1.5         // places, less queueLess, for each request in a bucket, of a queue that is full as
	queueLess     = 0.5         // often as the bucket has too little, within 0.04
)

// usageGrid holds the uses, in multiples of the quota, that the distributions are kept over; priorUsage is what is
// assumed of a request's customer before any reading.
var (
	usageGrid  = stats.NewGrid(stats.Weights{0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1, 1.25, 1.7, 2.4, 3.5, 5})
	priorUsage = stats.Weights{0.05, 0.10, 0.12, 0.08, 0.08, 0.07, 0.06, 0.08, 0.12, 0.11, 0.08, 0.05}
)

// usageOf returns what is known of a plan's customers.
func (g *Gateway) usageOf(plan *Plan) *planUsage {
	u := g.usage[plan]
	if u != nil {
		return u
	}
	typical := max(1, g.settings.LargestUnits/4)
	u = &planUsage{units: typical, squares: 1.5 * typical * typical, admitted: 1, group: g.population.AddGroup()}
	u.use, g.usage[plan] = g.population.Group(u.group), u
	return u
}

// outAtQuota returns how many attempts a customer has out, on average, that uses its whole quota: by the latency, and
// no more than half of the limit, as a limit nearer to it would keep customers from using their quotas.
func (g *Gateway) outAtQuota(c *customer) float64 {
	half := float64(c.plan.Open) / 2
	if c.plan.Rate <= 0 { // what such a plan's use is counted in
		return half
	}
	return min(half, c.plan.Rate/max(c.usage.units, 1e-6)*g.meanLatency)
}

// requestTime is the time in which a customer that uses its whole quota sends one request, in seconds. It is that
// of a request of the size that has the variance of the true sizes.
func (c *customer) requestTime() float64 {
	if c.plan.Rate <= 0 {
		return max(1e-6, c.period)
	}
	return max(1e-6, c.usage.squares/max(c.usage.units, 1e-6)/c.plan.Rate)
}

// arrived counts a request that came through this gateway. It tells of the customer whether or not it is admitted.
func (c *customer) arrived(now time.Duration) {
	if len(c.arrivals) == mostArrivals {
		c.arrivals = slices.Delete(c.arrivals, 0, mostArrivals/2)
		c.arrivalsFrom = c.arrivals[0]
	}
	c.arrivals = append(c.arrivals, now)
}

// useOf returns the distribution of the customer's use now. The readings tell of the use until the end of the last
// period; it may have changed since, and then a request is the likelier to come from a customer the more it asks.
// This gateway's own share of the arrivals since is evidence on the present.
func (g *Gateway) useOf(c *customer) stats.Weights {
	one, age := c.requestTime(), readingAge*c.period
	use := *c.usage.use
	from := max(g.startedAt, g.now-arrivalsFor)
	if c.meteredFor > 0 {
		age = max(0, (g.now - c.bucketAt).Seconds())
		fade := math.Pow(shareDecay, age/max(c.period, 1e-3))
		likelihood := c.readings
		if c.plan.Rate > 0 {
			likelihood = usageGrid.Likelihood(fade*c.metered/100/one, fade*c.meteredFor/one)
		}
		use = use.Posterior(&likelihood)
		from = c.bucketAt
	}
	changed := 1 - math.Exp(-(age+c.period/2)/changeEvery.Seconds())
	anew := c.usage.use.Posterior(&usageGrid.Rates)
	for i := range use {
		use[i] += changed * (anew[i] - use[i])
	}
	if c.plan.Rate > 0 {
		from = max(from, c.arrivalsFrom)
		count := 0.0
		for _, at := range c.arrivals {
			count += float64(b2i(at >= from))
		}
		exposure := max(0, (g.now-from).Seconds()) / (one * c.fleetShare())
		if count > 0 || exposure > leastExposure {
			likelihood := usageGrid.Likelihood(c.usage.admitted*count, exposure)
			use = use.Posterior(&likelihood)
		}
	}
	return use
}

// excess returns the probability that a request of a customer of such a use is beyond its quota, by what other
// gateways send. One of two gateways meets all of a customer's requests, and has its bucket to go by.
func (g *Gateway) excess(c *customer, use *stats.Weights, units float64) float64 {
	limit := float64(c.plan.Open)
	limited := c.plan.Open > 0 && limit < c.gateways
	out := c.othersShare() / (c.gateways - 1) * g.outAtQuota(c) // of each of the other gateways
	unseen := 0.0
	var bucket stats.TokenBucket
	if c.plan.Rate > 0 && units > 0 {
		unseen = 1 - min(1, 2/c.gateways)
		bucket = g.bucket(c, units)
	}
	beyond := 0.0
	for i, weight := range use {
		if weight < leastWeight {
			continue
		}
		rate, inside := usageGrid.Rates[i], 1.0
		if unseen > 0 {
			inside -= unseen * bucket.ShortageProbability(rate, usageGrid.LogRate(i))
		}
		if limited {
			inside *= stats.BinomialBelow(c.plan.Open, c.gateways-1, min(limit/c.gateways, rate*out))
		}
		beyond += weight * (1 - inside)
	}
	return min(1, max(0, beyond))
}

// bucket is what is known of the customer's token bucket, before a request of so many units.
func (g *Gateway) bucket(c *customer, units float64) stats.TokenBucket {
	one, rate := c.requestTime(), c.plan.Rate
	filled := (g.now - g.startedAt).Seconds()
	b := stats.TokenBucket{QueueSize: queueScale*max(1, c.plan.Burst/units) - queueLess, RefillSinceFull: filled / one,
		FullHeadroom: (c.plan.Burst - units) / rate / one, WasFull: !g.metered && filled < drainsIn*c.plan.Burst/rate}
	if c.meteredFor == 0 {
		return b
	}
	b.ReadingWeight = 1 - math.Exp(-(g.now-c.followedFrom).Seconds()/min(longestFollow, c.plan.Burst/rate))
	b.Headroom = (c.bucket/100 - units/rate) / one
	for _, d := range c.recentSends {
		b.Headroom -= d.percentSeconds / 100 / one
	}
	b.RefillSinceReading = max(0, (g.now-c.bucketAt).Seconds()) / one
	b.OthersShare = c.othersShare()
	return b
}

// othersShare is the share of the customer's requests that other gateways send.
func (c *customer) othersShare() float64 { return 1 - 1/c.fleetShare() }

// readingLikelihood returns how likely a reading is at each use: of a plan with a rate, as many requests as a Poisson
// process sends in a period; of one without, as the most that its customer had out in the period at once.
func (g *Gateway) readingLikelihood(c *customer, use float64) stats.Weights {
	if c.plan.Rate > 0 {
		exposure := c.period / c.requestTime()
		return usageGrid.Likelihood(use*exposure, exposure)
	}
	most := int(min(mostRead, math.Round(use*float64(c.plan.Open))))
	services := c.period / g.meanLatency
	var likelihood stats.Weights
	for i, rate := range usageGrid.Rates {
		out := rate * g.outAtQuota(c)
		exactly := stats.MaxOccupancyCDF(most, out, services) - stats.MaxOccupancyCDF(most-1, out, services)
		likelihood[i] = max(leastLikely, exactly)
	}
	return likelihood
}

// learnUsage takes in a reading of a customer: the use in one period, in multiples of the quota. Requests were
// admitted with a probability that went by the use, so each reading counts for as many requests as were rejected
// beside it.
func (g *Gateway) learnUsage(c *customer, use float64) {
	if c.period <= 0 {
		return
	}
	if g.now-g.startedAt < g.settings.MeterPeriod { // a period that has ended by now began before the start
		g.metered = true
	}
	g.population.Add(stats.Sample{Likelihood: g.readingLikelihood(c, use), Group: c.usage.group,
		Weight: 1 / max(leastSampled, c.admitted)})
}
