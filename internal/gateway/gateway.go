package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"herontiller/internal/budget"
	"herontiller/internal/stats"
)

// The start of a gateway, and what it does once a second.

const (
	second     = time.Second
	splitEvery = 5 * second  // the design's re-split
	idleForget = time.Minute // the design's time to forget an idle customer
)

// New starts a gateway. It knows no backends until the first BackendList.
func New(set Settings, seed uint64, now time.Duration) (*Gateway, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{settings: set, rng: rand.New(rand.NewPCG(seed, 0)), now: now, startedAt: now,
		classes: map[string]*class{}, plans: map[string]*Plan{}, backends: map[BackendID]*backend{},
		requests: map[RequestID]*request{}, bySeq: map[uint64]*request{},
		customers: map[CustomerID]*customer{}, limit: math.Inf(1), splitAt: now, sendRate: minEnded}
	for _, c := range set.Classes {
		guess := c.Aim.Seconds() / 4
		cl := &class{Class: c, latency: guess, bestLatency: guess, shadowPrice: firstPrice}
		g.classes[c.Name], g.byClass = cl, append(g.byClass, cl)
		g.meanLatency += c.Aim.Seconds() / 4 / float64(len(set.Classes))
	}
	for i := range set.Plans {
		g.plans[set.Plans[i].Name] = &set.Plans[i]
	}
	g.partSize[sharedPool], g.bestLatency, g.usage = math.Inf(1), g.meanLatency, map[*Plan]*planUsage{}
	g.population = stats.NewPopulation(priorUsage, mostSamples)
	g.price = excessPrice{shadow: firstPrice, offers: budget.NewHistory(mostOffers)}
	return g, nil
}

func (g *Gateway) tick() {
	g.act(SetTimer{After: second, Token: 0})
	g.ticks++
	g.sendRate += max(0.5, 1/g.ticks) * (g.sends - g.sendRate) // the first count replaces what was guessed
	g.sends = 0
	if sorted := slices.Sorted(slices.Values(g.recentValues)); len(sorted) > 0 {
		g.medianValue = sorted[len(sorted)/2]
	}
	g.adjustLimit()
	g.population.Estimate(priorReadings, refineRounds)
	g.adjustPrice()
	if g.now-g.splitAt >= splitEvery {
		g.resplit()
	}
	for id, c := range g.customers { // deletes only: the order reaches no action
		if c.open == 0 && g.now-c.seen > idleForget {
			delete(g.customers, id)
		}
	}
}
