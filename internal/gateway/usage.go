package gateway

import (
	"math"
	"slices"
	"time"

	"herontiller/internal/stats"
)

// The utilization of the customers: how much of their quotas they use over all gateways. One of many gateways meets
// most customers once, so it keeps a distribution of the utilization for each plan, estimated from the readings of the
// meter by empirical Bayes. The prior below counts only until some dozens of readings of any plan are in, and those
// count only until as many of the plan itself are in.

const (
	// priorSamples is the weight, in readings, of priorUtilization as the prior of all plans together, and of all
	// plans together as the prior of each plan.
	priorSamples = 4.0

	maxSamples           = 128         // number of latest readings from which the distributions are estimated
	emRounds             = 10          // rounds of the EM algorithm per second, starting from the last estimate
	requestWeight        = 1.0 / 64    // weight of one request in the running means of planUsage
	minSampleAdmission   = 1.0 / 5     // least admission probability whose inverse weights a reading
	arrivalWindow        = 20 * second // age up to which arrivals of a customer without readings are evidence
	maxArrivals          = 16          // latest arrivals that are kept of a customer
	meanChangeInterval   = 20 * second // mean time between changes of a customer's utilization
	maxLevelLearningTime = 10.0        // longest time constant with which a bucket's level becomes known, seconds
	freshRefills         = 10.0        // refill times of a bucket during which it matters that it was full at the start
	maxReadInFlight      = 64          // most attempts in flight at once that a reading is taken to report
	minLikelihood        = 1e-6        // of a reading at any utilization: customers are less regular than the formulas
	minExposure          = 0.05        // requests expected at the whole quota below which no arrivals are no evidence
	minUtilizationWeight = 0.002       // utilizations with a lower probability are skipped

	// The probability that a bucket has too little for a request is approximated, to within 0.04, by that of a full
	// M/M/1/K queue with queuePlacesPerRequest places for each request that the full bucket allows, less
	// queuePlacesOffset.
	queuePlacesPerRequest = 1.5
	queuePlacesOffset     = 0.5
)

// utilizationGrid holds the utilizations, in multiples of the quota, over which the distributions are kept.
// priorUtilization is the distribution assumed for a request's customer before any reading.
var (
	utilizationGrid  = stats.NewGrid(stats.Weights{0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1, 1.25, 1.7, 2.4, 3.5, 5})
	priorUtilization = stats.Weights{0.05, 0.10, 0.12, 0.08, 0.08, 0.07, 0.06, 0.08, 0.12, 0.11, 0.08, 0.05}
)

// planUsageOf returns the usage of a plan, creating it if needed. Until requests come, its means of the units are a
// guess: a quarter of the largest request on average (at least 1), with a variance of half of the squared mean.
func (g *Gateway) planUsageOf(plan *Plan) *planUsage {
	usage := g.planUsages[plan]
	if usage != nil {
		return usage
	}
	typicalUnits := max(1, g.settings.MaxRequestUnits/4)
	usage = &planUsage{meanUnits: typicalUnits, meanSquaredUnits: 1.5 * typicalUnits * typicalUnits, meanAdmission: 1,
		populationGroup: g.population.AddGroup()}
	usage.utilization, g.planUsages[plan] = g.population.Group(usage.populationGroup), usage
	return usage
}

// inFlightAtQuota returns the mean number of attempts in flight of a customer that uses its whole quota. It is
// computed from the mean latency and is at most half of the limit on attempts in flight: a higher mean would keep the
// customer from using its quota. Without a rate it is that half, and the utilization is counted in multiples of it.
func (g *Gateway) inFlightAtQuota(customer *customerState) float64 {
	halfLimit := float64(customer.plan.MaxInFlight) / 2
	if customer.plan.Rate <= 0 {
		return halfLimit
	}
	return min(halfLimit, customer.plan.Rate/max(customer.usage.meanUnits, 1e-6)*g.meanLatency)
}

// requestInterval returns the seconds between two requests of a customer that uses its whole quota. It assumes that all
// requests have one size, at which the variance of the use is that of the true sizes. Without a rate, it returns the
// period of the meter.
func (c *customerState) requestInterval() float64 {
	if c.plan.Rate <= 0 {
		return max(1e-6, c.meterPeriod)
	}
	return max(1e-6, c.usage.meanSquaredUnits/max(c.usage.meanUnits, 1e-6)/c.plan.Rate)
}

// recordArrival records a request of the customer through this gateway. It is evidence of the customer's utilization
// whether or not it is admitted.
func (c *customerState) recordArrival(now time.Duration) {
	if len(c.recentArrivals) == maxArrivals {
		c.recentArrivals = slices.Delete(c.recentArrivals, 0, maxArrivals/2)
		c.arrivalsSince = c.recentArrivals[0]
	}
	c.recentArrivals = append(c.recentArrivals, now)
}

// utilizationOf returns the distribution of the customer's utilization now. The readings are evidence until the end of
// the last metered period. The utilization may have changed since, and then a request comes from a customer with a
// probability proportional to its new utilization. The arrivals at this gateway since then are evidence of the present
// utilization; the gateway is expected to receive its share of the customer's requests.
func (g *Gateway) utilizationOf(customer *customerState) stats.Weights {
	interval, age := customer.requestInterval(), readingDelay*customer.meterPeriod
	utilization := *customer.usage.utilization
	from := max(g.startedAt, g.now-arrivalWindow)
	if customer.meteredTime > 0 {
		age = max(0, (g.now - customer.meteredUntil).Seconds())
		decay := math.Pow(readingDecay, age/max(customer.meterPeriod, 1e-3))
		likelihood := customer.readingsLikelihood
		if customer.plan.Rate > 0 {
			likelihood = utilizationGrid.Likelihood(decay*customer.meteredUse/100/interval,
				decay*customer.meteredTime/interval)
		}
		utilization = utilization.Posterior(&likelihood)
		from = customer.meteredUntil
	}
	// At the end of its period, a reading is half a period old on average.
	changeProbability := 1 - math.Exp(-(age+customer.meterPeriod/2)/meanChangeInterval.Seconds())
	afterChange := customer.usage.utilization.Posterior(&utilizationGrid.Rates)
	for i := range utilization {
		utilization[i] += changeProbability * (afterChange[i] - utilization[i])
	}
	if customer.plan.Rate > 0 {
		from = max(from, customer.arrivalsSince)
		count := 0.0
		for _, at := range customer.recentArrivals {
			count += float64(boolToInt(at >= from))
		}
		exposure := max(0, (g.now-from).Seconds()) / (interval * customer.fleetMultiple())
		if count > 0 || exposure > minExposure {
			likelihood := utilizationGrid.Likelihood(customer.usage.meanAdmission*count, exposure)
			utilization = utilization.Posterior(&likelihood)
		}
	}
	return utilization
}

// excessProbability returns the probability that a request of a customer of the given utilization is beyond its quota
// because of what other gateways send. One of two gateways meets all of a customer's requests and relies on its own
// projection of the bucket instead.
func (g *Gateway) excessProbability(customer *customerState, utilization *stats.Weights, units float64) float64 {
	limit := float64(customer.plan.MaxInFlight)
	shareBelowOne := customer.plan.MaxInFlight > 0 && limit < customer.gateways
	// inFlightElsewhere is the mean number of attempts in flight per other gateway, at a utilization of 1.
	inFlightElsewhere := customer.othersShare() / (customer.gateways - 1) * g.inFlightAtQuota(customer)
	// unseenShare is the weight of the use that this gateway does not see: 0 of two gateways, nearly 1 of many.
	unseenShare := 0.0
	var bucket stats.TokenBucket
	if customer.plan.Rate > 0 && units > 0 {
		unseenShare = 1 - min(1, 2/customer.gateways)
		bucket = g.bucketEstimate(customer, units)
	}
	excess := 0.0
	for i, weight := range utilization {
		if weight < minUtilizationWeight {
			continue
		}
		rate, within := utilizationGrid.Rates[i], 1.0
		if unseenShare > 0 {
			within -= unseenShare * bucket.ShortageProbability(rate, utilizationGrid.LogRate(i))
		}
		if shareBelowOne { // other gateways have one attempt in flight at most
			within *= stats.BinomialBelow(customer.plan.MaxInFlight, customer.gateways-1,
				min(limit/customer.gateways, rate*inFlightElsewhere))
		}
		excess += weight * (1 - within)
	}
	return min(1, max(0, excess))
}

// bucketEstimate returns what is known of the customer's token bucket before a request of the given units. The bucket
// is taken to have been full when this gateway started, unless the meter ran before.
func (g *Gateway) bucketEstimate(customer *customerState, units float64) stats.TokenBucket {
	interval, rate := customer.requestInterval(), customer.plan.Rate
	uptime := (g.now - g.startedAt).Seconds()
	estimate := stats.TokenBucket{
		QueueSize:       queuePlacesPerRequest*max(1, customer.plan.Burst/units) - queuePlacesOffset,
		RefillSinceFull: uptime / interval,
		FullHeadroom:    (customer.plan.Burst - units) / rate / interval,
		WasFull:         !g.meteredBeforeStart && uptime < freshRefills*customer.plan.Burst/rate,
	}
	if customer.meteredTime == 0 {
		return estimate
	}
	estimate.ReadingWeight = 1 - math.Exp(-(g.now-customer.meteredSince).Seconds()/
		min(maxLevelLearningTime, customer.plan.Burst/rate))
	estimate.Headroom = (customer.meteredLevel/100 - units/rate) / interval
	for _, sent := range customer.recentSends {
		estimate.Headroom -= sent.percentSeconds / 100 / interval
	}
	estimate.RefillSinceReading = max(0, (g.now-customer.meteredUntil).Seconds()) / interval
	estimate.OthersShare = customer.othersShare()
	return estimate
}

// othersShare returns the share of the customer's use that comes through other gateways.
func (c *customerState) othersShare() float64 { return 1 - 1/c.fleetMultiple() }

// readingLikelihood returns the likelihood of a reading, in multiples of the quota, at each utilization. The reading
// of a plan with a rate counts the requests of a Poisson process in a period; of one without, it is the largest number
// of attempts of the customer in flight at once in the period.
func (g *Gateway) readingLikelihood(customer *customerState, utilization float64) stats.Weights {
	if customer.plan.Rate > 0 {
		exposure := customer.meterPeriod / customer.requestInterval()
		return utilizationGrid.Likelihood(utilization*exposure, exposure)
	}
	maxInFlight := int(min(maxReadInFlight, math.Round(utilization*float64(customer.plan.MaxInFlight))))
	serviceTimes := customer.meterPeriod / g.meanLatency
	var likelihood stats.Weights
	for i, rate := range utilizationGrid.Rates {
		meanInFlight := rate * g.inFlightAtQuota(customer)
		probability := stats.MaxOccupancyCDF(maxInFlight, meanInFlight, serviceTimes) -
			stats.MaxOccupancyCDF(maxInFlight-1, meanInFlight, serviceTimes)
		likelihood[i] = max(minLikelihood, probability)
	}
	return likelihood
}

// learnUsage adds a reading of a customer, its use in one period in multiples of the quota, to the population. The
// probability with which requests were admitted depended on the utilization, so a reading is weighted by its inverse:
// it also stands for the requests that were rejected.
func (g *Gateway) learnUsage(customer *customerState, utilization float64) {
	if customer.meterPeriod <= 0 {
		return
	}
	if g.now-g.startedAt < g.settings.MeterPeriod { // the reading is of a period that began before the start
		g.meteredBeforeStart = true
	}
	g.population.Add(stats.Sample{Likelihood: g.readingLikelihood(customer, utilization),
		Group: customer.usage.populationGroup, Weight: 1 / max(minSampleAdmission, customer.admissionProbability)})
}
