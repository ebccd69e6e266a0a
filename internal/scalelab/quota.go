package scalelab

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"time"
)

// QuotaResult tells how a customer's quota and ceiling are held by all of the gateways that it uses together.
type QuotaResult struct {
	Gateways        int     `json:"gateways"` // of the fleet
	Spread          int     `json:"spread"`   // gateways that each customer uses
	Rate            float64 `json:"rate"`     // of the quota, units a second
	HasCeiling      bool    `json:"has_ceiling"`
	Sent            float64 `json:"sent"`   // units of customers that ask for overAsk times their quota, over it
	Beyond          float64 `json:"beyond"` // share of the units sent that true stores had no room for
	CalmServed      float64 `json:"calm_served"`
	CeilingOverrun  float64 `json:"ceiling_overrun"` // units under its empty store that a ceiling was ever driven, over its slack
	Requests        int     `json:"requests"`
	SimulatedTime   string  `json:"simulated_time"`
	ProcessorTime   string  `json:"processor_time"`
	MemoryMegabytes float64 `json:"memory_mb"` // live heap of all gateways at the end
}

const (
	overAsk       = 4.0 // times its quota is what a heavy customer asks for
	calmAsk       = 0.5 // ... and a calm one
	heavyCount    = 4
	calmCount     = 12
	meterLate     = 700 * time.Millisecond
	quotaTime     = 20 * time.Second
	quotaBackends = 20
	quotaPlan     = "quota"
	burstSeconds  = 3.0 // of the rate
	ceilingFactor = 2.0 // of rate and burst
	meanUnits     = 2.0
)

// trueStore is a quota's or a ceiling's true state, which no gateway sees.
type trueStore struct {
	units, rate, burst float64
	at                 time.Duration
}

func (s *trueStore) fill(now time.Duration) {
	s.units = min(s.burst, s.units+s.rate*(now-s.at).Seconds())
	s.at = now
}

// quotaCustomer is what the lab knows of a customer.
type quotaCustomer struct {
	quota, ceiling      trueStore
	first               int
	asked, sent, beyond float64
	lowest              float64 // of its ceiling's store
}

// PlayQuota plays customers of one spread before all gateways of a fleet.
func PlayQuota(ctx context.Context, gateways, spread int, rate float64, hasCeiling bool, seed uint64) (QuotaResult, error) {
	result := QuotaResult{Gateways: gateways, Spread: spread, Rate: rate, HasCeiling: hasCeiling,
		SimulatedTime: quotaTime.String()}
	if spread < 1 || spread > gateways {
		return result, fmt.Errorf("a customer can't use %d of %d gateways", spread, gateways)
	}
	size := Size{Backends: quotaBackends, Customers: heavyCount + calmCount, Classes: 1, Gateways: gateways}
	if err := size.Validate(); err != nil {
		return result, err
	}
	if !(rate > 0) || math.IsInf(rate, 0) {
		return result, fmt.Errorf("a quota of %g units a second can't be played", rate)
	}
	before, used := heapInUse(), processorTime()
	settings := newSettings(size)
	plan := Plan{Name: quotaPlan, Rate: rate, Burst: burstSeconds * rate, ValueFactor: 1, ExcessCostShare: 1}
	if hasCeiling {
		plan.CeilingRate, plan.CeilingBurst, plan.CeilingSlack = ceilingFactor*rate, ceilingFactor*plan.Burst, largestUnit
	}
	settings.Plans = []Plan{plan}
	fleet, err := NewFleet(settings, newBackends(size.Backends), meterLate, seed)
	if err != nil {
		return result, err
	}
	play := newQuotaPlay(fleet, plan, spread)
	end := start + quotaTime
	fleet.Arrivals((heavyCount*overAsk+calmCount*calmAsk)*rate/meanUnits, end, play.ask)
	fleet.Clock.RunUntil(end, func() bool { return ctx.Err() != nil })
	play.sum(&result, quotaTime)
	result.MemoryMegabytes = (float64(heapInUse()) - float64(before)) / (1 << 20)
	runtime.KeepAlive(fleet)
	result.ProcessorTime = (processorTime() - used).Round(time.Millisecond).String()
	return result, ctx.Err()
}

type quotaPlay struct {
	fleet     *Fleet
	spread    int
	customers []quotaCustomer
	requests  int
}

func newQuotaPlay(fleet *Fleet, plan Plan, spread int) *quotaPlay {
	play := &quotaPlay{fleet: fleet, spread: spread, customers: make([]quotaCustomer, heavyCount+calmCount)}
	for i := range play.customers {
		play.customers[i] = quotaCustomer{first: fleet.Random.IntN(len(fleet.Gateways)),
			quota:   trueStore{units: plan.Burst, rate: plan.Rate, burst: plan.Burst, at: start},
			ceiling: trueStore{units: plan.CeilingBurst, rate: plan.CeilingRate, burst: plan.CeilingBurst, at: start}}
	}
	fleet.OnSend = play.sent
	return play
}

// ask lets one customer ask: a heavy one as much more often as it asks for more.
func (p *quotaPlay) ask() {
	random := p.fleet.Random
	number := random.IntN(heavyCount)
	if random.Float64() < calmCount*calmAsk/(calmCount*calmAsk+heavyCount*overAsk) {
		number = heavyCount + random.IntN(calmCount)
	}
	customer := &p.customers[number]
	units := min(largestUnit, 1+math.Floor(random.ExpFloat64()*1.5))
	customer.asked += units
	p.requests++
	uneven := int(float64(p.spread) * math.Pow(random.Float64(), 2.5)) // the first gateway gets several times the last's
	gateway := (customer.first + uneven) % len(p.fleet.Gateways)
	p.fleet.Ask(gateway, Request{Customer: CustomerID(number), Class: className(0), Plan: quotaPlan, Units: units,
		FirstGateway: customer.first, GatewayCount: p.spread})
}

func (p *quotaPlay) sent(_ *HollowGateway, attempt Attempt) {
	if attempt.Number > 0 {
		return
	}
	customer, units, now := &p.customers[attempt.Request.Customer], attempt.Request.Units, p.fleet.Clock.Now()
	customer.sent += units
	customer.quota.fill(now)
	if customer.quota.units < units {
		customer.beyond += units
	} else {
		customer.quota.units -= units
	}
	if customer.ceiling.rate > 0 {
		customer.ceiling.fill(now)
		customer.ceiling.units -= units
		customer.lowest = min(customer.lowest, customer.ceiling.units)
	}
}

func (p *quotaPlay) sum(result *QuotaResult, length time.Duration) {
	var heavySent, beyond, sent, calmAsked, calmSent, allowed float64
	for i, customer := range p.customers {
		beyond += customer.beyond
		sent += customer.sent
		result.CeilingOverrun = max(result.CeilingOverrun, -customer.lowest/largestUnit)
		if i < heavyCount {
			heavySent += customer.sent
			allowed += customer.quota.burst + customer.quota.rate*length.Seconds()
		} else {
			calmAsked += customer.asked
			calmSent += customer.sent
		}
	}
	result.Sent = heavySent / allowed
	result.Beyond = beyond / max(1, sent)
	result.CalmServed = calmSent / max(1, calmAsked)
	result.Requests = p.requests
}
