package gateway

import (
	"testing"
)

// customerModelSpecs returns models whose fleets, customers and settings differ as widely as the operators'
// specification allows.
func customerModelSpecs() map[string]customerModelSpec {
	class := func(name string, value, requestShare, fixedUnits, meanUnits float64) modelClass {
		return modelClass{Class: Class{Name: name, Effect: Safe, TargetLatency: 2 * second, Deadline: 6 * second,
			Value: value}, requestShare: requestShare, fixedUnits: fixedUnits, meanUnits: meanUnits}
	}
	plan := func(name string, rate, burst, valueFactor, excessValueShare, excessCostShare, useShare float64) modelPlan {
		return modelPlan{Plan: Plan{Name: name, Rate: rate, Burst: burst, ValueFactor: valueFactor,
			ExcessValueShare: excessValueShare, ExcessCostShare: excessCostShare}, useShare: useShare,
			minGatewayShare: 0.5}
	}
	randomUnitClasses := []modelClass{class("read", 3, 0.5, 0, 2.5), class("write", 5, 0.25, 0, 2.5),
		class("start", 3, 0.25, 0, 2.5)}
	fourPlans := []modelPlan{plan("basic", 1.6, 16, 0.55, 0, 1, 0.25), plan("standard", 3.5, 17, 0.72, 0, 0.6, 0.25),
		plan("business", 11, 23, 1.2, 0, 1, 0.25), plan("estate", 28, 50, 1.8, 0, 0.8, 0.25)}
	attemptLimited := append([]modelPlan{}, fourPlans...)
	attemptLimited[1].MaxInFlight, attemptLimited[1].Rate, attemptLimited[1].Burst = 3, 0, 0
	attemptLimited[3].MaxInFlight, attemptLimited[3].CeilingRate, attemptLimited[3].CeilingBurst,
		attemptLimited[3].maxGateways = 4, 60, 100, 6
	ceilingLimited := append([]modelPlan{}, fourPlans...)
	ceilingLimited[3].MaxInFlight, ceilingLimited[3].CeilingRate, ceilingLimited[3].CeilingBurst,
		ceilingLimited[3].CeilingSlack, ceilingLimited[3].maxGateways = 3, 60, 105, 10, 6
	portal := []modelPlan{plan("basic", 1.6, 12, 0.55, 0, 1.2, 0.23), plan("standard", 4.8, 22, 0.8, 0.3, 0, 0.17),
		plan("family", 15, 32, 1.1, 0, 1.2, 0.37), plan("farm", 37, 83, 1.8, 0, 0.6, 0.23)}
	portal[3].MaxInFlight, portal[3].CeilingRate, portal[3].CeilingBurst, portal[3].CeilingSlack,
		portal[3].maxGateways = 4, 72, 160, 16, 13
	costlyExcess := append([]modelPlan{}, portal...)
	costlyExcess[0].ExcessCostShare, costlyExcess[2].ExcessCostShare = 2, 2
	return map[string]customerModelSpec{
		"portal": {gateways: 300, maxUnits: 6, requestRate: 10,
			meterPeriod: 2 * second, meterDelay: 800 * ms, minServedShare: 0.74, maxExcessCost: 0.14, plans: portal,
			classes: []modelClass{class("view", 1, 1, 0, 2.2)}, heavyShare: 0.1, maxRetries: 1},
		"light customers, costly excess": {gateways: 300, maxUnits: 6, requestRate: 10,
			meterPeriod: 2 * second, meterDelay: 800 * ms, minServedShare: 0.74, maxExcessCost: 0.14,
			plans: costlyExcess, classes: []modelClass{class("view", 1, 1, 0, 2.2)}, heavyShare: 0.04,
			minLightUtilization: 0.5, maxRetries: 1},
		"a ceiling and a limit on attempts in flight": {gateways: 300, maxUnits: 8, requestRate: 8,
			meterPeriod: 500 * ms, meterDelay: 800 * ms, minServedShare: 0.76, maxExcessCost: 0.14,
			plans: ceilingLimited, classes: randomUnitClasses, heavyShare: 0.1, maxRetries: 1},
		"four plans, random units": {gateways: 300, maxUnits: 8, requestRate: 8,
			meterPeriod: 500 * ms, meterDelay: 800 * ms, minServedShare: 0.71, maxExcessCost: 0.14, plans: fourPlans,
			classes: randomUnitClasses, heavyShare: 0.1, maxRetries: 1},
		"four plans, two retries, restarts": {gateways: 300, maxUnits: 8, requestRate: 8,
			meterPeriod: second, meterDelay: 800 * ms, minServedShare: 0.74, maxExcessCost: 0.2, plans: fourPlans,
			classes: randomUnitClasses, heavyShare: 0.08, maxRetries: 2, restarts: true},
		"large bursts, many heavy customers": {gateways: 200, maxUnits: 4, requestRate: 8,
			meterPeriod: second, meterDelay: 600 * ms, minServedShare: 0.70, maxExcessCost: 0.1,
			plans:      []modelPlan{plan("long", 4, 40, 1, 0, 1.2, 0.5), plan("wide", 12, 90, 1, 0.1, 0.8, 0.5)},
			classes:    []modelClass{class("small", 2, 0.6, 0, 1.5), class("more", 1, 0.4, 0, 2)},
			heavyShare: 0.15, maxRetries: 1},
		"limits on attempts in flight": {gateways: 200, maxUnits: 8, requestRate: 8,
			meterPeriod: second, meterDelay: 800 * ms, minServedShare: 0.70, maxExcessCost: 0.11, plans: attemptLimited,
			classes: randomUnitClasses, heavyShare: 0.1, maxRetries: 1},
		"units by class, small bursts, costly excess": {gateways: 150, maxUnits: 8, requestRate: 8,
			meterPeriod: second, meterDelay: 600 * ms, minServedShare: 0.63, maxExcessCost: 0.2,
			plans: []modelPlan{plan("casual", 2, 16, 0.6, 0, 2, 0.4), plan("agent", 6, 16, 0.9, 0.5, 0.3, 0.3),
				plan("liner", 16, 17, 1.3, 0, 1.5, 0.3)},
			classes: []modelClass{class("peek", 1, 0.5, 1, 0), class("weigh", 3, 0.3, 3, 0),
				class("stow", 2, 0.2, 8, 0)},
			heavyShare: 0.09, maxRetries: 1},
		"equal requests, no heavy customers": {gateways: 350, maxUnits: 6, requestRate: 8,
			meterPeriod: 2 * second, meterDelay: 900 * ms, minServedShare: 0.60, maxExcessCost: 0.19,
			plans: []modelPlan{plan("only", 2, 12, 1, 0, 2, 1)}, classes: []modelClass{class("all", 1, 1, 6, 0)}},
		"free excess": {gateways: 100, maxUnits: 4, requestRate: 8,
			meterPeriod: second, meterDelay: 600 * ms, minServedShare: 0.80, maxExcessCost: 0.13,
			plans:   []modelPlan{plan("free", 2, 8, 1, 0, 0, 0.5), plan("paid", 5, 10, 1, 0.3, 1.2, 0.5)},
			classes: randomUnitClasses, heavyShare: 0.1, maxRetries: 1},
	}
}

// In every model, all gateways together keep the cost of the excess that they admit within a bound, serve most of the
// value that is requested within quotas, and serve every class and every plan a minimum share of it.
func TestCustomerModelsBoundExcessCostAndServedValue(t *testing.T) {
	const minClassShare, minPlanShare = 0.5, 1.0 / 3
	for name, spec := range customerModelSpecs() {
		for seed := range uint64(2) {
			model := newCustomerModel(t, spec, seed)
			model.run(25)
			excessCost, served := model.shares()
			t.Logf("%s, seed %d: cost of excess %.3f, served value %.3f", name, seed, excessCost, served)
			if served < spec.minServedShare {
				t.Errorf("%s, seed %d: got %.3f of the offered value served, want at least %v",
					name, seed, served, spec.minServedShare)
			}
			if excessCost > spec.maxExcessCost {
				t.Errorf("%s, seed %d: got a cost of excess of %.3f of the offered value, want at most %v",
					name, seed, excessCost, spec.maxExcessCost)
			}
			for i, totals := range model.totalsByClass {
				if share := totals.served / totals.offered; share < minClassShare {
					t.Errorf("%s, seed %d, class %s: got %.3f of the offered value served, want at least %.3f",
						name, seed, spec.classes[i].Name, share, minClassShare)
				}
			}
			for i, totals := range model.totalsByPlan {
				if share := totals.served / totals.offered; share < minPlanShare {
					t.Errorf("%s, seed %d, plan %s: got %.3f of the offered value served, want at least %.3f",
						name, seed, spec.plans[i].Name, share, minPlanShare)
				}
			}
		}
	}
}
