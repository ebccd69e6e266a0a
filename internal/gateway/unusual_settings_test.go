package gateway

import (
	"fmt"
	"math"
	"testing"
)

// The gateways work with settings that are valid but unusual: customers that request less than their quota are served,
// and no price or running sum of the gateways becomes infinite or NaN.
func TestUnusualSettingsServeRequests(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"a burst of one request":  func(s *Settings) { s.Plans[0].Burst = 1 },
		"no cost of excess":       func(s *Settings) { s.Plans[0].ExcessCostShare = 0 },
		"a cost of excess of 100": func(s *Settings) { s.Plans[0].ExcessCostShare = 100 },
		"full value of excess":    func(s *Settings) { s.Plans[0].ExcessValueShare = 1 },
		"a class without value":   func(s *Settings) { s.Classes[0].Value = 0 },
		"a plan without value":    func(s *Settings) { s.Plans[0].ValueFactor = 0 },
		"no meter":                func(s *Settings) { s.MeterPeriod = 0 },
		"no maximum of units":     func(s *Settings) { s.MaxRequestUnits = 0 },
		"no Retry-After":          func(s *Settings) { s.MaxRetryAfter = 0 },
		"only a limit on attempts in flight": func(s *Settings) {
			s.Plans[0].Rate, s.Plans[0].Burst, s.Plans[0].MaxInFlight = 0, 0, 100
		},
		"one attempt in flight": func(s *Settings) { s.Plans[0].MaxInFlight = 1 },
		"only a ceiling": func(s *Settings) {
			p := &s.Plans[0]
			p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst = 0, 0, 1e3, 1e3
		},
		"one class":                  func(s *Settings) { s.Classes = s.Classes[:1] },
		"fifty classes":              func(s *Settings) { s.Classes = manyClasses(50) },
		"a huge rate":                func(s *Settings) { s.Plans[0].Rate, s.Plans[0].Burst = 1e12, 1e12 },
		"a tiny rate and long burst": func(s *Settings) { s.Plans[0].Rate, s.Plans[0].Burst = 1e-9, 1e6 },
	} {
		for _, gateways := range []int{1, 3, 40} {
			settings := testSettings()
			settings.Gateways = gateways
			settings.Plans = []Plan{{Name: "plan", Rate: 20, Burst: 20, ValueFactor: 1, ExcessCostShare: 1}}
			change(&settings)
			fleet := newSimulatedFleet(t, settings, 1, 20)
			requested, sent := 0, 0
			fleet.onSend = func(_ Request, _ BackendID, isFirst bool) { sent += boolToInt(isFirst) }
			fleet.meterReading = func(CustomerID) (float64, bool) { return 10, settings.MeterPeriod > 0 }
			nextRequest := func() (int, Request) {
				requested++
				class := settings.Classes[fleet.rng.IntN(len(settings.Classes))]
				return fleet.rng.IntN(gateways), Request{Customer: CustomerID(fleet.rng.IntN(500)), Class: class.Name,
					Plan: "plan", Units: 1, Timeout: 3 * second, GatewayCount: gateways}
			}
			// The more unusual the settings, the longer the gateways take to learn that all customers have quota left.
			fleet.runUntil(fleet.now+15*second, 50, nextRequest)
			requested, sent = 0, 0
			fleet.runUntil(fleet.now+10*second, 50, nextRequest)
			description := fmt.Sprintf("%s, %d gateways", name, gateways)
			if share := float64(sent) / float64(requested); share < 0.5 {
				t.Errorf("%s: got %.2f of the requests sent, want at least 0.5", description, share)
			}
			for _, gateway := range fleet.gateways {
				for _, class := range gateway.orderedClasses {
					if math.IsNaN(class.shadowPrice) || math.IsInf(class.shadowPrice, 0) ||
						math.IsNaN(class.admittedValue) || math.IsNaN(class.requestedValue) {
						t.Fatalf("%s: class %s: got price %v, admitted %v, requested %v, want finite numbers",
							description, class.Name, class.shadowPrice, class.admittedValue, class.requestedValue)
					}
				}
			}
		}
	}
}

// manyClasses returns n classes with different values, some of each effect.
func manyClasses(n int) (classes []Class) {
	for i := range n {
		classes = append(classes, Class{Name: fmt.Sprint("class", i), Effect: Effect(i % 3), DedupWindow: second,
			TargetLatency: second, Deadline: 3 * second, Value: float64(i)})
	}
	return classes
}
