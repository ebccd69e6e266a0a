package gateway

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// A market is a fleet with customers as the operators describe them: most use a part of their quota, some nearly
// all, some ask for many times it all day, and some now and then. Each has its own gateways, busy ones and idle
// ones that change, and comes again elsewhere when it is refused. The market keeps the true state of every quota,
// which no gateway sees, and tells what was sent on beyond quotas and what was served within them.

// marketPlan is a plan and what its customers do.
type marketPlan struct {
	Plan
	use    float64 // its part of what is asked inside quotas
	spread float64 // of the gateways that its customers come through, at least
	most   int     // gateways at most; 0: any number
}

// marketClass is a class and the units of its requests: fixed, or drawn where mean is 0 or more.
type marketClass struct {
	Class
	part  float64 // of the requests
	fixed float64
	mean  float64
}

type marketSpec struct {
	doors, most int // gateways; units of the largest request
	perDoor     float64
	period      time.Duration // of the meter
	late        time.Duration
	plans       []marketPlan
	classes     []marketClass
	heavy       float64 // share of the customers that ask for 1.6 to 5 times their quota
	calm        float64 // least use of the others; 0: 0.15
	retries     int
	restarts    bool
	bound       float64 // on the price beyond quotas, over what is offered
	least       float64 // of what is served of it
}

// store is a quota's true state.
type store struct {
	units float64
	at    time.Duration
}

func (s *store) take(p *Plan, now time.Duration, units float64) bool {
	if p.Rate <= 0 {
		return true
	}
	s.units = min(p.Burst, s.units+p.Rate*(now-s.at).Seconds())
	s.at = now
	if s.units < units {
		return false
	}
	s.units -= units
	return true
}

type marketCustomer struct {
	plan          int
	first, spread int
	use           float64 // times its quota
	spiky         bool
	spikeAt       time.Duration // the next or last spike
	spikeLen      time.Duration
	spikeX        float64
	weights       []float64 // running sums over its gateways
	shiftAt       time.Duration
	sent, asked   store // of what the fleet sends on, and of all first tries
	open          int
	periods       map[int64]float64 // units sent on in each of the meter's periods
	mostOut       map[int64]float64 // the most attempts out in each
}

// tally sums up worth.
type tally struct{ offered, served, price float64 }

type marketAsk struct {
	customer int
	class    int
	units    float64
	within   bool // one gateway that saw all would have let it in
	tries    int
	beyond   bool
	done     bool
}

type market struct {
	*fleetRun
	spec      marketSpec
	customers []marketCustomer
	rates     []float64 // running sums of the most that each customer asks
	asks      map[RequestID]*marketAsk
	byPlan    []tally
	byClass   []tally
}

const marketSkew = 0.7

func newMarket(t *testing.T, spec marketSpec, seed uint64) *market {
	set := testSettings()
	set.Gateways, set.MeterPeriod, set.MaxRequestUnits = spec.doors, spec.period, float64(spec.most)
	set.Classes, set.Plans = nil, nil
	for _, c := range spec.classes {
		set.Classes = append(set.Classes, c.Class)
	}
	for _, p := range spec.plans {
		set.Plans = append(set.Plans, p.Plan)
	}
	m := &market{spec: spec, asks: map[RequestID]*marketAsk{}, byPlan: make([]tally, len(spec.plans)),
		byClass: make([]tally, len(spec.classes))}
	m.fleetRun = newFleet(t, set, seed, max(20, spec.doors/3))
	m.populate(rand.New(rand.NewPCG(seed, 77)))
	m.onSend, m.onEnd, m.onRefuse, m.use = m.sentOn, m.ended, m.refused, m.meter
	return m
}

// populate draws customers until the load is what the gateways get.
func (m *market) populate(rng *rand.Rand) {
	units, mean := 0.0, 0.0
	for _, c := range m.spec.classes {
		mean += c.part * c.fixed
		if c.fixed == 0 {
			mean += c.part * c.mean
		}
	}
	target := m.spec.perDoor * float64(m.spec.doors) * mean
	sum := 0.0
	for p, plan := range m.spec.plans {
		inside, asked := 0.0, 0.0
		rate := plan.Rate
		if rate <= 0 { // half of the limit out by what the customer asks at its quota
			rate = float64(plan.MaxInFlight) / 2 * mean / meanWork.Seconds()
		}
		for inside < target*plan.use && asked < 2*target*plan.use {
			spread := min(m.spec.doors, max(2, int(float64(m.spec.doors)*(plan.spread+(1-plan.spread)*rng.Float64()))))
			if plan.most > 0 {
				spread = min(spread, plan.most)
			}
			c := marketCustomer{plan: p, first: rng.IntN(m.spec.doors), spread: spread, use: max(0.15, m.spec.calm) + 0.35*rng.Float64(),
				sent: store{plan.Burst, m.now}, asked: store{plan.Burst, m.now}, periods: map[int64]float64{}, mostOut: map[int64]float64{}}
			switch x := rng.Float64(); {
			case x < m.spec.heavy:
				c.use = 1.6 + 3.4*rng.Float64()
			case x < m.spec.heavy+0.15:
				c.use = 0.85 + 0.1*rng.Float64()
			case x < m.spec.heavy+0.3:
				c.spiky, c.spikeX = true, 3+5*rng.Float64()
				c.spikeLen = seconds(1 + 3*rng.Float64())
				c.spikeAt = m.now + seconds(15*rng.Float64())
			}
			c.shift(m.now, rng)
			inside += min(1, c.use) * rate
			asked += c.use * rate
			sum += max(c.use, c.spikeX) * rate / mean
			m.customers = append(m.customers, c)
			m.rates = append(m.rates, sum)
		}
		units += asked
	}
}

// shift draws anew which of its gateways are the customer's busy ones.
func (c *marketCustomer) shift(now time.Duration, rng *rand.Rand) {
	c.weights, c.shiftAt = make([]float64, c.spread), now+seconds(7+17*rng.Float64())
	sum := 0.0
	for i := range c.weights {
		sum += math.Exp(marketSkew * rng.NormFloat64())
		c.weights[i] = sum
	}
}

func (m *market) door(c *marketCustomer) int {
	if m.now >= c.shiftAt {
		c.shift(m.now, m.rng)
	}
	at := sort.SearchFloat64s(c.weights, m.rng.Float64()*c.weights[len(c.weights)-1])
	return (c.first + at) % m.spec.doors
}

// rate is what a customer asks now, as a share of the most that it asks.
func (c *marketCustomer) rate(now time.Duration) float64 {
	if !c.spiky {
		return 1
	}
	for now > c.spikeAt+c.spikeLen {
		c.spikeAt += 17 * second
	}
	if now >= c.spikeAt {
		return 1
	}
	return c.use / c.spikeX
}

func (m *market) ask() (int, Request) {
	i := sort.SearchFloat64s(m.rates, m.rng.Float64()*m.rates[len(m.rates)-1])
	c := &m.customers[i]
	if m.rng.Float64() >= c.rate(m.now) {
		return -1, Request{}
	}
	class, x := 0, m.rng.Float64()
	for x >= m.spec.classes[class].part && class < len(m.spec.classes)-1 {
		x -= m.spec.classes[class].part
		class++
	}
	mc := m.spec.classes[class]
	units := mc.fixed
	if units == 0 {
		units = max(1, min(float64(m.spec.most), math.Round(mc.mean*m.rng.ExpFloat64())))
	}
	plan := &m.spec.plans[c.plan].Plan
	a := &marketAsk{customer: i, class: class, units: units, within: c.asked.take(plan, m.now, units)}
	worth := m.worth(a)
	for _, t := range m.tallies(a) {
		if a.within {
			t.offered += worth
		} else {
			t.offered += worth * plan.ExcessValueShare
		}
	}
	door, r := m.try(a)
	return door, r
}

func (m *market) worth(a *marketAsk) float64 {
	return m.spec.classes[a.class].Value * m.spec.plans[m.customers[a.customer].plan].ValueFactor * a.units
}

func (m *market) tallies(a *marketAsk) []*tally {
	p := m.customers[a.customer].plan
	return []*tally{&m.byPlan[p], &m.byClass[a.class]}
}

// try is a client's first or further try, at one of its gateways.
func (m *market) try(a *marketAsk) (int, Request) {
	c := &m.customers[a.customer]
	a.tries++
	m.next++
	m.asks[m.next] = a
	return m.door(c), Request{ID: m.next, Customer: CustomerID(a.customer), Class: m.spec.classes[a.class].Name,
		Plan: m.spec.plans[c.plan].Name, Units: a.units, Timeout: 3 * second, FirstGateway: c.first, GatewayCount: c.spread}
}

func (m *market) sentOn(r Request, _ BackendID, first bool) {
	a := m.asks[r.ID]
	c := &m.customers[a.customer]
	plan := &m.spec.plans[c.plan].Plan
	if first {
		a.beyond = plan.MaxInFlight > 0 && c.open >= plan.MaxInFlight || !c.sent.take(plan, m.now, r.Units)
		c.periods[int64(m.now/m.spec.period)] += r.Units
		for _, t := range m.tallies(a) {
			if a.beyond {
				t.price += plan.ExcessCostShare * m.worth(a)
			}
		}
	}
	c.open++
	period := int64(m.now / m.spec.period)
	c.mostOut[period] = max(c.mostOut[period], float64(c.open))
}

func (m *market) ended(r Request) {
	a := m.asks[r.ID]
	m.customers[a.customer].open--
	if a.done {
		return
	}
	a.done = true
	for _, t := range m.tallies(a) {
		if a.beyond {
			t.served += m.spec.plans[m.customers[a.customer].plan].ExcessValueShare * m.worth(a)
		} else {
			t.served += m.worth(a)
		}
	}
}

// refused brings the client back a moment later, at the same gateway or at another one of its own.
func (m *market) refused(r Request, after time.Duration) {
	a := m.asks[r.ID]
	if a.tries > m.spec.retries {
		return
	}
	wait := seconds(0.05 + 0.3*m.rng.Float64())
	if m.rng.Float64() < 0.6 {
		wait = max(wait, after)
	}
	door, again := m.try(a)
	if m.rng.Float64() < 0.55 {
		door = m.at
	}
	m.reqs[again.ID] = again
	m.after(wait, door, again)
}

// meter tells a customer's use in the last period that has been summed up, if one has since the fleet started.
func (m *market) meter(id CustomerID) (float64, bool) {
	c := &m.customers[id]
	plan := &m.spec.plans[c.plan].Plan
	period := int64((m.now-m.spec.late)/m.spec.period) - 1
	if period < int64(fleetStart/m.spec.period) {
		return 0, false
	}
	if plan.Rate <= 0 {
		return 100 * c.mostOut[period] / float64(plan.MaxInFlight), true
	}
	return 100 * c.periods[period] / (plan.Rate * m.spec.period.Seconds()), true
}

func (m *market) run(length float64) {
	end := m.now + seconds(length)
	for m.now < end {
		m.runUntil(m.now+second, m.rates[len(m.rates)-1], m.ask)
		for range m.spec.doors / 20 * boolToInt(m.spec.restarts) {
			m.start(m.rng.IntN(m.spec.doors))
		}
	}
}

// total is the price beyond quotas and what was served within, over what was offered.
func (m *market) total() (price, served float64) {
	var sum tally
	for _, t := range m.byPlan {
		sum.offered += t.offered
		sum.price += t.price
		sum.served += t.served
	}
	return sum.price / sum.offered, sum.served / sum.offered
}
