package scalelab

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"time"
)

// QuotaResult describes how well the gateways that a customer uses enforce its quota and ceiling together.
type QuotaResult struct {
	Gateways         int     `json:"gateways"` // of the fleet
	Spread           int     `json:"spread"`   // gateways that each customer uses
	Rate             float64 `json:"rate"`     // of the quota, units per second
	HasCeiling       bool    `json:"has_ceiling"`
	HeavySentRatio   float64 `json:"sent"`            // units sent for heavy customers over their quotas with burst
	ExcessShare      float64 `json:"beyond"`          // share of the sent units that exceeded the exact quotas
	LightServedShare float64 `json:"calm_served"`     // share of the units requested by light customers that was sent
	CeilingOverrun   float64 `json:"ceiling_overrun"` // largest overdraft of an exact ceiling bucket over the slack
	Requests         int     `json:"requests"`
	SimulatedTime    string  `json:"simulated_time"`
	ProcessorTime    string  `json:"processor_time"`
	MemoryMegabytes  float64 `json:"memory_mb"` // live heap of all gateways at the end
}

const (
	heavyDemand   = 4.0                    // requested units of a heavy customer over its quota
	lightDemand   = 0.5                    // requested units of a light customer over its quota
	heavyCount    = 4                      // heavy customers
	lightCount    = 12                     // light customers
	meterDelay    = 700 * time.Millisecond // from the end of a meter period until its reading is available
	quotaDuration = 20 * time.Second
	quotaBackends = 20
	quotaPlan     = "quota" // name of the plan
	burstSeconds  = 3.0     // burst of the quota over its rate
	ceilingFactor = 2.0     // rate and burst of the ceiling over those of the quota
	meanUnits     = 2.0     // of a request, rounded
	unitsScale    = 1.5     // mean of the exponential distribution behind the units of a request
	useExponent   = 2.5     // unevenness of the use of gateways; 1 is even use
)

// exactBucket is an exact token bucket of a quota or a ceiling over all gateways. It serves as the reference for their
// decisions; no gateway sees it.
type exactBucket struct {
	tokens, rate, burst float64
	refilledAt          time.Duration
}

// refill adds the tokens earned since the last refill.
func (b *exactBucket) refill(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// quotaCustomer is a simulated customer with its exact buckets and its totals.
type quotaCustomer struct {
	quota, ceiling                         exactBucket
	firstGateway                           int
	requestedUnits, sentUnits, excessUnits float64
	minCeilingTokens                       float64 // 0, or the largest overdraft as a negative number
}

// RunQuota simulates heavy and light customers, each of which uses spread of the fleet's gateways. Their quota has the
// given rate in units per second.
func RunQuota(ctx context.Context, gateways, spread int, rate float64, hasCeiling bool,
	seed uint64) (QuotaResult, error) {
	result := QuotaResult{Gateways: gateways, Spread: spread, Rate: rate, HasCeiling: hasCeiling,
		SimulatedTime: quotaDuration.String()}
	if spread < 1 || spread > gateways {
		return result, fmt.Errorf("a customer cannot use %d of %d gateways", spread, gateways)
	}
	size := Size{Backends: quotaBackends, Customers: heavyCount + lightCount, Classes: 1, Gateways: gateways}
	if err := size.Validate(); err != nil {
		return result, err
	}
	if !(rate > 0) || math.IsInf(rate, 0) {
		return result, fmt.Errorf("a quota of %g units per second: must be positive and finite", rate)
	}
	heapBefore, processorBefore := liveHeapBytes(), processorTime()
	settings := newSettings(size)
	plan := Plan{Name: quotaPlan, Rate: rate, Burst: burstSeconds * rate, ValueFactor: 1, ExcessCostShare: 1}
	if hasCeiling {
		plan.CeilingRate, plan.CeilingBurst, plan.CeilingSlack =
			ceilingFactor*rate, ceilingFactor*plan.Burst, maxRequestUnits
	}
	settings.Plans = []Plan{plan}
	fleet, err := NewFleet(settings, newBackends(size.Backends), meterDelay, seed)
	if err != nil {
		return result, err
	}
	simulation := newQuotaSimulation(fleet, plan, spread)
	end := simulationStart + quotaDuration
	fleet.ScheduleArrivals((heavyCount*heavyDemand+lightCount*lightDemand)*rate/meanUnits, end,
		simulation.submitRequest)
	fleet.Clock.RunUntil(end, func() bool { return ctx.Err() != nil })
	simulation.summarize(&result, quotaDuration)
	result.MemoryMegabytes = (float64(liveHeapBytes()) - float64(heapBefore)) / (1 << 20)
	runtime.KeepAlive(fleet)
	result.ProcessorTime = (processorTime() - processorBefore).Round(time.Millisecond).String()
	return result, ctx.Err()
}

// quotaSimulation generates the requests of the quota experiment and measures what the gateways send.
type quotaSimulation struct {
	fleet     *Fleet
	spread    int
	customers []quotaCustomer
	requests  int
}

// newQuotaSimulation returns a simulation whose recordSend is called for each attempt of the fleet. The buckets of
// all customers start full.
func newQuotaSimulation(fleet *Fleet, plan Plan, spread int) *quotaSimulation {
	simulation := &quotaSimulation{fleet: fleet, spread: spread,
		customers: make([]quotaCustomer, heavyCount+lightCount)}
	for i := range simulation.customers {
		simulation.customers[i] = quotaCustomer{firstGateway: fleet.Random.IntN(len(fleet.Gateways)),
			quota: exactBucket{tokens: plan.Burst, rate: plan.Rate, burst: plan.Burst, refilledAt: simulationStart},
			ceiling: exactBucket{tokens: plan.CeilingBurst, rate: plan.CeilingRate, burst: plan.CeilingBurst,
				refilledAt: simulationStart}}
	}
	fleet.OnSend = simulation.recordSend
	return simulation
}

// submitRequest sends a request of a random customer. The units of a request follow the same distribution for all
// customers, so each customer is drawn in proportion to its demand.
func (s *quotaSimulation) submitRequest() {
	random := s.fleet.Random
	number := random.IntN(heavyCount)
	if random.Float64() < lightCount*lightDemand/(lightCount*lightDemand+heavyCount*heavyDemand) {
		number = heavyCount + random.IntN(lightCount)
	}
	customer := &s.customers[number]
	units := min(maxRequestUnits, 1+math.Floor(random.ExpFloat64()*unitsScale))
	customer.requestedUnits += units
	s.requests++
	// Uneven use: the first gateway receives 3 times the requests of the last with a spread of 2, and about 160 times
	// as many with 1,000.
	offset := int(float64(s.spread) * math.Pow(random.Float64(), useExponent))
	gateway := (customer.firstGateway + offset) % len(s.fleet.Gateways)
	s.fleet.SubmitRequest(gateway, Request{Customer: CustomerID(number), Class: className(0), Plan: quotaPlan,
		Units: units, FirstGateway: customer.firstGateway, GatewayCount: s.spread})
}

// recordSend checks the first attempt of a request against the exact buckets of its customer. Later attempts of a
// request are not charged again.
func (s *quotaSimulation) recordSend(_ *HollowGateway, attempt Attempt) {
	if attempt.Number > 0 {
		return
	}
	customer, units, now := &s.customers[attempt.Request.Customer], attempt.Request.Units, s.fleet.Clock.Now()
	customer.sentUnits += units
	customer.quota.refill(now)
	if customer.quota.tokens < units {
		customer.excessUnits += units
	} else {
		customer.quota.tokens -= units
	}
	if customer.ceiling.rate > 0 {
		customer.ceiling.refill(now)
		customer.ceiling.tokens -= units
		customer.minCeilingTokens = min(customer.minCeilingTokens, customer.ceiling.tokens)
	}
}

// summarize adds up the customers' totals over a simulation of the given length.
func (s *quotaSimulation) summarize(result *QuotaResult, length time.Duration) {
	var heavySent, excess, sent, lightRequested, lightSent, allowed float64
	for i, customer := range s.customers {
		excess += customer.excessUnits
		sent += customer.sentUnits
		result.CeilingOverrun = max(result.CeilingOverrun, -customer.minCeilingTokens/maxRequestUnits)
		if i < heavyCount {
			heavySent += customer.sentUnits
			allowed += customer.quota.burst + customer.quota.rate*length.Seconds()
		} else {
			lightRequested += customer.requestedUnits
			lightSent += customer.sentUnits
		}
	}
	result.HeavySentRatio = heavySent / allowed
	result.ExcessShare = excess / max(1, sent)
	result.LightServedShare = lightSent / max(1, lightRequested)
	result.Requests = s.requests
}
