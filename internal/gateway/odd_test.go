package gateway

import (
	"fmt"
	"math"
	"testing"
)

// Settings that are legal but odd work: customers that ask for a part of what they may are served, and nothing that
// the gateway keeps leaves the numbers.
func TestOddSettingsWork(t *testing.T) {
	for name, odd := range map[string]func(*Settings){
		"a burst of one request":     func(s *Settings) { s.Plans[0].Burst = 1 },
		"a cost of 0":                func(s *Settings) { s.Plans[0].ExcessCostShare = 0 },
		"a cost of 100":              func(s *Settings) { s.Plans[0].ExcessCostShare = 100 },
		"all worth beyond":           func(s *Settings) { s.Plans[0].ExcessValueShare = 1 },
		"no worth":                   func(s *Settings) { s.Classes[0].Value = 0 },
		"no price":                   func(s *Settings) { s.Plans[0].ValueFactor = 0 },
		"no meter":                   func(s *Settings) { s.MeterPeriod = 0 },
		"no largest request":         func(s *Settings) { s.MaxRequestUnits = 0 },
		"no advice":                  func(s *Settings) { s.MaxRetryAfter = 0 },
		"only a limit on attempts":   func(s *Settings) { s.Plans[0].Rate, s.Plans[0].Burst, s.Plans[0].MaxInFlight = 0, 0, 100 },
		"one attempt at a time":      func(s *Settings) { s.Plans[0].MaxInFlight = 1 },
		"only a ceiling":             func(s *Settings) { p := &s.Plans[0]; p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst = 0, 0, 1e3, 1e3 },
		"one class":                  func(s *Settings) { s.Classes = s.Classes[:1] },
		"fifty classes":              func(s *Settings) { s.Classes = manyClasses(50) },
		"a huge rate":                func(s *Settings) { s.Plans[0].Rate, s.Plans[0].Burst = 1e12, 1e12 },
		"a tiny rate and long burst": func(s *Settings) { s.Plans[0].Rate, s.Plans[0].Burst = 1e-9, 1e6 },
	} {
		for _, doors := range []int{1, 3, 40} {
			set := testSettings()
			set.Gateways = doors
			set.Plans = []Plan{{Name: "plan", Rate: 20, Burst: 20, ValueFactor: 1, ExcessCostShare: 1}}
			odd(&set)
			f := newFleet(t, set, 1, 20)
			asked, sent := 0, 0
			f.onSend = func(_ Request, _ BackendID, first bool) { sent += boolToInt(first) }
			f.use = func(CustomerID) (float64, bool) { return 10, set.MeterPeriod > 0 }
			ask := func() (int, Request) {
				asked++
				class := set.Classes[f.rng.IntN(len(set.Classes))]
				return f.rng.IntN(doors), Request{Customer: CustomerID(f.rng.IntN(500)), Class: class.Name, Plan: "plan", Units: 1,
					Timeout: 3 * second, GatewayCount: doors}
			}
			f.runUntil(f.now+15*second, 50, ask) // the odder, the longer it takes to find that all have room
			asked, sent = 0, 0
			f.runUntil(f.now+10*second, 50, ask)
			what := fmt.Sprintf("%s, %d doors", name, doors)
			if share := float64(sent) / float64(asked); share < 0.5 {
				t.Errorf("%s: %.2f of the requests were sent on", what, share)
			}
			for _, g := range f.doors {
				for _, cl := range g.orderedClasses {
					if math.IsNaN(cl.shadowPrice) || math.IsInf(cl.shadowPrice, 0) || math.IsNaN(cl.admittedValue) || math.IsNaN(cl.requestedValue) {
						t.Fatalf("%s: class %s has price %v, shares %v and %v", what, cl.Name, cl.shadowPrice, cl.admittedValue, cl.requestedValue)
					}
				}
			}
		}
	}
}

func manyClasses(n int) (classes []Class) {
	for i := range n {
		classes = append(classes, Class{Name: fmt.Sprint("class", i), Effect: Effect(i % 3), DedupWindow: second, TargetLatency: second,
			Deadline: 3 * second, Value: float64(i)})
	}
	return classes
}
