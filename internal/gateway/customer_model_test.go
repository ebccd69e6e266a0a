package gateway

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// The customer model generates the customers of a simulated fleet: most use a part of their quota, some use nearly all
// of it, some request a multiple of it all the time, and some do so in spikes. Each customer has its own gateways, with
// a distribution of traffic that changes, and retries rejected requests, often through another gateway. The model
// computes the true level of every quota, which no gateway knows, and from it the excess that was admitted and the
// value that was served within the quotas.

// modelPlan describes a plan and the customers that have it.
type modelPlan struct {
	Plan
	useShare        float64 // share of the units within quotas that its customers request
	minGatewayShare float64 // least share of the gateways that one of its customers uses
	maxGateways     int     // most gateways that one of its customers uses; 0: no limit
}

// modelClass describes a class and the units of its requests: fixedUnits or, if that is 0, random.
type modelClass struct {
	Class
	requestShare float64 // share of the requests that are of the class
	fixedUnits   float64
	meanUnits    float64 // mean of the random units
}

// customerModelSpec describes a fleet and its customers.
type customerModelSpec struct {
	gateways            int
	maxUnits            int           // units of the largest request
	requestRate         float64       // requests per second and gateway
	meterPeriod         time.Duration // period over which the meter sums a customer's use
	meterDelay          time.Duration // time from the end of a period until the meter reports it
	plans               []modelPlan
	classes             []modelClass
	heavyShare          float64 // share of the customers that request 1.6 to 5 times their quota
	minLightUtilization float64 // least utilization of the others; values below 0.15 count as 0.15
	maxRetries          int     // client retries of a request
	restarts            bool    // 1 in 20 gateways restarts every second
	maxExcessCost       float64 // bound on the cost of excess, as a share of the offered value
	minServedShare      float64 // bound on the served value, as a share of the offered value
}

// tokenBucket is the true token bucket of a quota over all gateways.
type tokenBucket struct {
	level   float64 // as of levelAt, units
	levelAt time.Duration
}

// take refills the bucket, takes the units if it holds enough, and reports whether it did.
func (b *tokenBucket) take(plan *Plan, now time.Duration, units float64) bool {
	if plan.Rate <= 0 {
		return true
	}
	b.level = min(plan.Burst, b.level+plan.Rate*(now-b.levelAt).Seconds())
	b.levelAt = now
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}

// modelCustomer is a customer and the true state of its limits.
type modelCustomer struct {
	plan                       int // index in customerModelSpec.plans
	firstGateway, gatewayCount int
	utilization                float64 // mean use outside of spikes, in multiples of its quota
	hasSpikes                  bool
	spikeAt                    time.Duration // start of the next or the present spike
	spikeDuration              time.Duration
	spikeUtilization           float64           // use during a spike, in multiples of its quota
	cumulativeWeights          []float64         // running sums of the weights of its gateways
	nextShiftAt                time.Duration     // when the weights change
	sentBucket                 tokenBucket       // charged with the requests that the fleet sends
	requestedBucket            tokenBucket       // charged with all requests but client retries
	inFlight                   int               // attempts in flight
	unitsByPeriod              map[int64]float64 // units sent in each period of the meter
	maxInFlightByPeriod        map[int64]float64 // most attempts in flight in each period of the meter
}

// valueTotals sums up values, and the cost of excess in the same unit.
type valueTotals struct{ offered, served, excessCost float64 }

// clientRequest is one piece of work that a client requests, by a first request and its client retries.
type clientRequest struct {
	customer     int // index in customerModel.customers
	class        int // index in customerModelSpec.classes
	units        float64
	withinQuota  bool // a single gateway with all requests of the customer would have admitted it
	requestCount int  // requests so far, including client retries
	excess       bool // it was sent beyond the quota or the limit of attempts in flight
	served       bool
}

// customerModel is a simulated fleet with its customers.
type customerModel struct {
	*simulatedFleet
	spec            customerModelSpec
	customers       []modelCustomer
	cumulativeRates []float64 // running sums of the customers' highest request rates
	clientRequests  map[RequestID]*clientRequest
	totalsByPlan    []valueTotals
	totalsByClass   []valueTotals
}

const gatewayWeightDeviation = 0.7 // standard deviation of the logarithm of a gateway's weight

func newCustomerModel(t *testing.T, spec customerModelSpec, seed uint64) *customerModel {
	settings := testSettings()
	settings.Gateways, settings.MeterPeriod, settings.MaxRequestUnits =
		spec.gateways, spec.meterPeriod, float64(spec.maxUnits)
	settings.Classes, settings.Plans = nil, nil
	for _, class := range spec.classes {
		settings.Classes = append(settings.Classes, class.Class)
	}
	for _, plan := range spec.plans {
		settings.Plans = append(settings.Plans, plan.Plan)
	}
	model := &customerModel{spec: spec, clientRequests: map[RequestID]*clientRequest{},
		totalsByPlan: make([]valueTotals, len(spec.plans)), totalsByClass: make([]valueTotals, len(spec.classes))}
	model.simulatedFleet = newSimulatedFleet(t, settings, seed, max(20, spec.gateways/3))
	model.populate(rand.New(rand.NewPCG(seed, 77)))
	model.onSend, model.onAttemptEnd, model.onReject, model.meterReading =
		model.recordSend, model.recordAttemptEnd, model.scheduleRetry, model.readMeter
	return model
}

// populate draws customers of each plan until their requests within quotas make up the plan's share of the load, or all
// of their requests make up twice that.
func (m *customerModel) populate(rng *rand.Rand) {
	totalRequested, meanUnits := 0.0, 0.0
	for _, class := range m.spec.classes {
		meanUnits += class.requestShare * class.fixedUnits
		if class.fixedUnits == 0 {
			meanUnits += class.requestShare * class.meanUnits
		}
	}
	targetRate := m.spec.requestRate * float64(m.spec.gateways) * meanUnits
	maxRate := 0.0
	for planIndex, plan := range m.spec.plans {
		withinQuota, requested := 0.0, 0.0
		rate := plan.Rate
		if rate <= 0 { // a customer that uses its quota has half of its limit in flight on average
			rate = float64(plan.MaxInFlight) / 2 * meanUnits / meanAttemptTime.Seconds()
		}
		for withinQuota < targetRate*plan.useShare && requested < 2*targetRate*plan.useShare {
			gatewayCount := min(m.spec.gateways, max(2, int(float64(m.spec.gateways)*
				(plan.minGatewayShare+(1-plan.minGatewayShare)*rng.Float64()))))
			if plan.maxGateways > 0 {
				gatewayCount = min(gatewayCount, plan.maxGateways)
			}
			customer := modelCustomer{plan: planIndex, firstGateway: rng.IntN(m.spec.gateways),
				gatewayCount: gatewayCount, utilization: max(0.15, m.spec.minLightUtilization) + 0.35*rng.Float64(),
				sentBucket: tokenBucket{plan.Burst, m.now}, requestedBucket: tokenBucket{plan.Burst, m.now},
				unitsByPeriod: map[int64]float64{}, maxInFlightByPeriod: map[int64]float64{}}
			switch x := rng.Float64(); {
			case x < m.spec.heavyShare: // always requests a multiple of its quota
				customer.utilization = 1.6 + 3.4*rng.Float64()
			case x < m.spec.heavyShare+0.15: // uses nearly all of its quota
				customer.utilization = 0.85 + 0.1*rng.Float64()
			case x < m.spec.heavyShare+0.3: // requests a multiple of its quota in spikes
				customer.hasSpikes, customer.spikeUtilization = true, 3+5*rng.Float64()
				customer.spikeDuration = seconds(1 + 3*rng.Float64())
				customer.spikeAt = m.now + seconds(15*rng.Float64())
			}
			customer.drawWeights(m.now, rng)
			withinQuota += min(1, customer.utilization) * rate
			requested += customer.utilization * rate
			maxRate += max(customer.utilization, customer.spikeUtilization) * rate / meanUnits
			m.customers = append(m.customers, customer)
			m.cumulativeRates = append(m.cumulativeRates, maxRate)
		}
		totalRequested += requested
	}
}

// drawWeights draws new weights of the customer's gateways, and when they change next: in 7 to 24 s.
func (c *modelCustomer) drawWeights(now time.Duration, rng *rand.Rand) {
	c.cumulativeWeights, c.nextShiftAt = make([]float64, c.gatewayCount), now+seconds(7+17*rng.Float64())
	sum := 0.0
	for i := range c.cumulativeWeights {
		sum += math.Exp(gatewayWeightDeviation * rng.NormFloat64())
		c.cumulativeWeights[i] = sum
	}
}

// pickGateway draws one of the customer's gateways by their weights.
func (m *customerModel) pickGateway(customer *modelCustomer) int {
	if m.now >= customer.nextShiftAt {
		customer.drawWeights(m.now, m.rng)
	}
	offset := sort.SearchFloat64s(customer.cumulativeWeights,
		m.rng.Float64()*customer.cumulativeWeights[len(customer.cumulativeWeights)-1])
	return (customer.firstGateway + offset) % m.spec.gateways
}

// relativeRate returns the present request rate of a customer, as a share of its highest one. A spike starts every 17
// seconds.
func (c *modelCustomer) relativeRate(now time.Duration) float64 {
	if !c.hasSpikes {
		return 1
	}
	for now > c.spikeAt+c.spikeDuration {
		c.spikeAt += 17 * second
	}
	if now >= c.spikeAt {
		return 1
	}
	return c.utilization / c.spikeUtilization
}

// nextRequest returns the first request of a new clientRequest and the index of its gateway, or -1 if the customer that
// was drawn requests nothing now.
func (m *customerModel) nextRequest() (int, Request) {
	i := sort.SearchFloat64s(m.cumulativeRates, m.rng.Float64()*m.cumulativeRates[len(m.cumulativeRates)-1])
	customer := &m.customers[i]
	if m.rng.Float64() >= customer.relativeRate(m.now) {
		return -1, Request{}
	}
	classIndex, x := 0, m.rng.Float64()
	for x >= m.spec.classes[classIndex].requestShare && classIndex < len(m.spec.classes)-1 {
		x -= m.spec.classes[classIndex].requestShare
		classIndex++
	}
	class := m.spec.classes[classIndex]
	units := class.fixedUnits
	if units == 0 {
		units = max(1, min(float64(m.spec.maxUnits), math.Round(class.meanUnits*m.rng.ExpFloat64())))
	}
	plan := &m.spec.plans[customer.plan].Plan
	request := &clientRequest{customer: i, class: classIndex, units: units,
		withinQuota: customer.requestedBucket.take(plan, m.now, units)}
	value := m.value(request)
	for _, totals := range m.totalsOf(request) {
		if request.withinQuota {
			totals.offered += value
		} else {
			totals.offered += value * plan.ExcessValueShare
		}
	}
	index, gatewayRequest := m.newRequest(request)
	return index, gatewayRequest
}

// value returns the value that a request has if it is within the quota.
func (m *customerModel) value(request *clientRequest) float64 {
	return m.spec.classes[request.class].Value * m.spec.plans[m.customers[request.customer].plan].ValueFactor *
		request.units
}

// totalsOf returns the totals of the request's plan and class.
func (m *customerModel) totalsOf(request *clientRequest) []*valueTotals {
	plan := m.customers[request.customer].plan
	return []*valueTotals{&m.totalsByPlan[plan], &m.totalsByClass[request.class]}
}

// newRequest returns the first request of a clientRequest or its next client retry, and the index of its gateway.
func (m *customerModel) newRequest(request *clientRequest) (int, Request) {
	customer := &m.customers[request.customer]
	request.requestCount++
	m.lastRequestID++
	m.clientRequests[m.lastRequestID] = request
	return m.pickGateway(customer), Request{ID: m.lastRequestID, Customer: CustomerID(request.customer),
		Class: m.spec.classes[request.class].Name, Plan: m.spec.plans[customer.plan].Name, Units: request.units,
		Timeout: 3 * second, FirstGateway: customer.firstGateway, GatewayCount: customer.gatewayCount}
}

// recordSend records an attempt that a gateway sends. The first one of a request uses the quota.
func (m *customerModel) recordSend(sent Request, _ BackendID, isFirst bool) {
	request := m.clientRequests[sent.ID]
	customer := &m.customers[request.customer]
	plan := &m.spec.plans[customer.plan].Plan
	if isFirst {
		request.excess = plan.MaxInFlight > 0 && customer.inFlight >= plan.MaxInFlight ||
			!customer.sentBucket.take(plan, m.now, sent.Units)
		customer.unitsByPeriod[int64(m.now/m.spec.meterPeriod)] += sent.Units
		for _, totals := range m.totalsOf(request) {
			if request.excess {
				totals.excessCost += plan.ExcessCostShare * m.value(request)
			}
		}
	}
	customer.inFlight++
	period := int64(m.now / m.spec.meterPeriod)
	customer.maxInFlightByPeriod[period] = max(customer.maxInFlightByPeriod[period], float64(customer.inFlight))
}

// recordAttemptEnd records the end of an attempt. The first to end counts as serving the clientRequest, even if it ends
// because its gateway restarts.
func (m *customerModel) recordAttemptEnd(sent Request) {
	request := m.clientRequests[sent.ID]
	m.customers[request.customer].inFlight--
	if request.served {
		return
	}
	request.served = true
	for _, totals := range m.totalsOf(request) {
		if request.excess {
			totals.served += m.spec.plans[m.customers[request.customer].plan].ExcessValueShare * m.value(request)
		} else {
			totals.served += m.value(request)
		}
	}
}

// scheduleRetry schedules the client retry of a rejected request, if any is left. 60% of the retries wait for at
// least Retry-After, and 55% come through the same gateway, the others through any gateway of the customer.
func (m *customerModel) scheduleRetry(rejected Request, retryAfter time.Duration) {
	request := m.clientRequests[rejected.ID]
	if request.requestCount > m.spec.maxRetries {
		return
	}
	wait := seconds(0.05 + 0.3*m.rng.Float64())
	if m.rng.Float64() < 0.6 {
		wait = max(wait, retryAfter)
	}
	index, retry := m.newRequest(request)
	if m.rng.Float64() < 0.55 {
		index = m.actingGateway
	}
	m.requests[retry.ID] = retry
	m.schedule(wait, index, retry)
}

// readMeter returns a customer's use in the last period that the meter reports, in percent of its rate or of its limit
// of attempts in flight, and whether there is such a period since the start of the simulation.
func (m *customerModel) readMeter(id CustomerID) (float64, bool) {
	customer := &m.customers[id]
	plan := &m.spec.plans[customer.plan].Plan
	period := int64((m.now-m.spec.meterDelay)/m.spec.meterPeriod) - 1
	if period < int64(simulationStart/m.spec.meterPeriod) {
		return 0, false
	}
	if plan.Rate <= 0 {
		return 100 * customer.maxInFlightByPeriod[period] / float64(plan.MaxInFlight), true
	}
	return 100 * customer.unitsByPeriod[period] / (plan.Rate * m.spec.meterPeriod.Seconds()), true
}

// run simulates the fleet for the length in seconds.
func (m *customerModel) run(lengthSeconds float64) {
	end := m.now + seconds(lengthSeconds)
	for m.now < end {
		m.runUntil(m.now+second, m.cumulativeRates[len(m.cumulativeRates)-1], m.nextRequest)
		for range m.spec.gateways / 20 * boolToInt(m.spec.restarts) {
			m.start(m.rng.IntN(m.spec.gateways))
		}
	}
}

// shares returns the cost of excess and the served value, both as shares of the offered value.
func (m *customerModel) shares() (excessCost, served float64) {
	var sum valueTotals
	for _, totals := range m.totalsByPlan {
		sum.offered += totals.offered
		sum.excessCost += totals.excessCost
		sum.served += totals.served
	}
	return sum.excessCost / sum.offered, sum.served / sum.offered
}
