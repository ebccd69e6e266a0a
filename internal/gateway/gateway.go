package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"herontiller/internal/budget"
	"herontiller/internal/stats"
)

// The creation of a gateway, and its periodic work once a second.

const (
	second           = time.Second
	splitInterval    = 5 * second  // time between splits of the slots; the specification prescribes it
	customerIdleTime = time.Minute // after it an idle customer is deleted; the specification prescribes it

	maxUnsentCustomers = 8192 // most customers that were never sent anything and are remembered so long
)

// New returns a gateway that starts at the time now, with a random number generator of the given seed. It
// knows no backends until the first BackendList. It returns an error if the settings are invalid.
func New(settings Settings, seed uint64, now time.Duration) (*Gateway, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{settings: settings, rng: rand.New(rand.NewPCG(seed, 0)), now: now, startedAt: now,
		classes: map[string]*classState{}, plans: map[string]*Plan{},
		backends: map[BackendID]*trackedBackend{}, requests: map[RequestID]*requestState{},
		requestsBySeq: map[uint64]*requestState{}, customers: map[CustomerID]*customerState{},
		concurrencyLimit: math.Inf(1), lastSplitAt: now, sendRate: minOutcomes, listExpiresAt: forever}
	for _, spec := range settings.Classes {
		initialLatency := spec.TargetLatency.Seconds() / 4
		class := &classState{Class: spec, meanLatency: initialLatency, minLatency: initialLatency,
			shadowPrice: initialPrice}
		g.classes[spec.Name], g.orderedClasses = class, append(g.orderedClasses, class)
		g.meanLatency += spec.TargetLatency.Seconds() / 4 / float64(len(settings.Classes))
	}
	for i := range settings.Plans {
		g.plans[settings.Plans[i].Name] = &settings.Plans[i]
	}
	g.partitionSize[sharedPool], g.minLatency, g.planUsages = math.Inf(1), g.meanLatency,
		map[*Plan]*planUsage{}
	g.population = stats.NewPopulation(priorUtilization, maxSamples)
	g.pricing = excessPricing{shadowPrice: initialPrice, offers: budget.NewHistory(maxOffers)}
	return g, nil
}

// forgetCustomers deletes the customers that have been idle for customerIdleTime. Of those that were never
// sent anything, it also deletes the longest idle beyond maxUnsentCustomers: only their arrivals are known,
// and a flood of requests of ever new customers must not use up the memory.
func (g *Gateway) forgetCustomers() {
	var unsentSeen []time.Duration          // lastSeen of the customers that were never sent anything
	for id, customer := range g.customers { // only deletes, so the random order of the map has no effect
		switch {
		case customer.inFlight > 0:
		case g.now-customer.lastSeen > customerIdleTime:
			delete(g.customers, id)
		case customer.isUnsent():
			unsentSeen = append(unsentSeen, customer.lastSeen)
		}
	}
	excess := len(unsentSeen) - maxUnsentCustomers
	if excess <= 0 {
		return
	}
	slices.Sort(unsentSeen)
	for id, customer := range g.customers {
		if customer.isUnsent() && customer.lastSeen <= unsentSeen[excess-1] {
			delete(g.customers, id)
		}
	}
}

// tick does the work of each second.
func (g *Gateway) tick() {
	g.emit(SetTimer{After: second, Token: 0})
	g.ticks++
	g.sendRate += max(0.5, 1/g.ticks) * (g.sends - g.sendRate) // the first count replaces the initial guess
	g.sends = 0
	if sorted := slices.Sorted(slices.Values(g.recentValues)); len(sorted) > 0 {
		g.medianValue = sorted[len(sorted)/2]
	}
	g.adjustLimit()
	g.population.Estimate(priorSamples, emRounds)
	g.adjustPrice()
	if g.now-g.lastSplitAt >= splitInterval {
		g.resplit()
	}
	g.forgetCustomers()
}
