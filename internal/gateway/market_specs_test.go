package gateway

import (
	"testing"
)

// marketSpecs are markets of different fleets and settings, as far apart as the pages allow.
func marketSpecs() map[string]marketSpec {
	class := func(name string, worth, part, fixed, mean float64) marketClass {
		return marketClass{Class: Class{Name: name, Effect: Safe, TargetLatency: 2 * second, Deadline: 6 * second, Value: worth},
			part: part, fixed: fixed, mean: mean}
	}
	plan := func(name string, rate, burst, price, overWorth, overCost, use float64) marketPlan {
		return marketPlan{Plan: Plan{Name: name, Rate: rate, Burst: burst, ValueFactor: price, ExcessValueShare: overWorth,
			ExcessCostShare: overCost}, use: use, spread: 0.5}
	}
	sized := []marketClass{class("read", 3, 0.5, 0, 2.5), class("write", 5, 0.25, 0, 2.5), class("start", 3, 0.25, 0, 2.5)}
	four := []marketPlan{plan("basic", 1.6, 16, 0.55, 0, 1, 0.25), plan("standard", 3.5, 17, 0.72, 0, 0.6, 0.25),
		plan("business", 11, 23, 1.2, 0, 1, 0.25), plan("estate", 28, 50, 1.8, 0, 0.8, 0.25)}
	limited := append([]marketPlan{}, four...)
	limited[1].MaxInFlight, limited[1].Rate, limited[1].Burst = 3, 0, 0
	limited[3].MaxInFlight, limited[3].CeilingRate, limited[3].CeilingBurst, limited[3].most = 4, 60, 100, 6
	hard := append([]marketPlan{}, four...)
	hard[3].MaxInFlight, hard[3].CeilingRate, hard[3].CeilingBurst, hard[3].CeilingSlack, hard[3].most = 3, 60, 105, 10, 6
	portal := []marketPlan{plan("basic", 1.6, 12, 0.55, 0, 1.2, 0.23), plan("standard", 4.8, 22, 0.8, 0.3, 0, 0.17),
		plan("family", 15, 32, 1.1, 0, 1.2, 0.37), plan("farm", 37, 83, 1.8, 0, 0.6, 0.23)}
	portal[3].MaxInFlight, portal[3].CeilingRate, portal[3].CeilingBurst, portal[3].CeilingSlack, portal[3].most = 4, 72, 160, 16, 13
	dear := append([]marketPlan{}, portal...)
	dear[0].ExcessCostShare, dear[2].ExcessCostShare = 2, 2
	return map[string]marketSpec{
		"portal": {doors: 300, most: 6, perDoor: 10, period: 2 * second, late: 800 * ms, least: 0.74, bound: 0.14, plans: portal,
			classes: []marketClass{class("view", 1, 1, 0, 2.2)}, heavy: 0.1, retries: 1},
		"quiet customers, dear beyond": {doors: 300, most: 6, perDoor: 10, period: 2 * second, late: 800 * ms, least: 0.74, bound: 0.14,
			plans: dear, classes: []marketClass{class("view", 1, 1, 0, 2.2)}, heavy: 0.04, calm: 0.5, retries: 1},
		"a ceiling and a limit on attempts": {doors: 300, most: 8, perDoor: 8, period: 500 * ms, late: 800 * ms, least: 0.76, bound: 0.14, plans: hard,
			classes: sized, heavy: 0.1, retries: 1},
		"four plans, sized": {doors: 300, most: 8, perDoor: 8, period: 500 * ms, late: 800 * ms, least: 0.71, bound: 0.14, plans: four,
			classes: sized, heavy: 0.1, retries: 1},
		"four plans, two retries, restarts": {doors: 300, most: 8, perDoor: 8, period: second, late: 800 * ms, least: 0.74, bound: 0.2, plans: four,
			classes: sized, heavy: 0.08, retries: 2, restarts: true},
		"large bursts, many heavy ones": {doors: 200, most: 4, perDoor: 8, period: second, late: 600 * ms, least: 0.70, bound: 0.1,
			plans:   []marketPlan{plan("long", 4, 40, 1, 0, 1.2, 0.5), plan("wide", 12, 90, 1, 0.1, 0.8, 0.5)},
			classes: []marketClass{class("small", 2, 0.6, 0, 1.5), class("more", 1, 0.4, 0, 2)}, heavy: 0.15, retries: 1},
		"limits on attempts": {doors: 200, most: 8, perDoor: 8, period: second, late: 800 * ms, least: 0.70, bound: 0.11, plans: limited,
			classes: sized, heavy: 0.1, retries: 1},
		"units by class, small bursts, dear": {doors: 150, most: 8, perDoor: 8, period: second, late: 600 * ms, least: 0.63, bound: 0.2,
			plans: []marketPlan{plan("casual", 2, 16, 0.6, 0, 2, 0.4), plan("agent", 6, 16, 0.9, 0.5, 0.3, 0.3),
				plan("liner", 16, 17, 1.3, 0, 1.5, 0.3)},
			classes: []marketClass{class("peek", 1, 0.5, 1, 0), class("weigh", 3, 0.3, 3, 0), class("stow", 2, 0.2, 8, 0)},
			heavy:   0.09, retries: 1},
		"all requests alike, no heavy ones": {doors: 350, most: 6, perDoor: 8, period: 2 * second, late: 900 * ms, least: 0.60, bound: 0.19,
			plans: []marketPlan{plan("only", 2, 12, 1, 0, 2, 1)}, classes: []marketClass{class("all", 1, 1, 6, 0)}},
		"free beyond": {doors: 100, most: 4, perDoor: 8, period: second, late: 600 * ms, least: 0.80, bound: 0.13,
			plans:   []marketPlan{plan("free", 2, 8, 1, 0, 0, 0.5), plan("paid", 5, 10, 1, 0.3, 1.2, 0.5)},
			classes: sized, heavy: 0.1, retries: 1},
	}
}

// All gateways together keep the price of what is sent on beyond quotas within a bound, serve most of what is asked
// within them, and every class and every plan a part of what it asks within them, whatever the settings and the
// customers are like.
func TestMarketsAreServedAtABoundedPrice(t *testing.T) {
	const leastOfClass, leastOfPlan = 0.5, 1.0 / 3
	for name, spec := range marketSpecs() {
		for seed := range uint64(2) {
			m := newMarket(t, spec, seed)
			m.run(25)
			price, served := m.total()
			t.Logf("%s, seed %d: price %.3f, served %.3f", name, seed, price, served)
			if served < spec.least {
				t.Errorf("%s, seed %d: %.3f of what is asked within quotas is served, under %v", name, seed, served, spec.least)
			}
			if price > spec.bound {
				t.Errorf("%s, seed %d: the price beyond quotas is %.3f, over %v", name, seed, price, spec.bound)
			}
			for i, c := range m.byClass {
				if share := c.served / c.offered; share < leastOfClass {
					t.Errorf("%s, seed %d: of class %s %.3f was served", name, seed, spec.classes[i].Name, share)
				}
			}
			for i, p := range m.byPlan {
				if share := p.served / p.offered; share < leastOfPlan {
					t.Errorf("%s, seed %d: of plan %s %.3f was served", name, seed, spec.plans[i].Name, share)
				}
			}
		}
	}
}
