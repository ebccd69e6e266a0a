package gateway

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkRequest measures a request of a fleet of 300 gateways, with its outcome and the meter's reading, at ten
// requests a second and with the ticks between them.
func BenchmarkRequest(b *testing.B) {
	set := testSettings()
	set.Gateways, set.MeterPeriod, set.MaxRequestUnits = 300, 500*ms, 8
	set.Plans = []Plan{{Name: "basic", Rate: 1.6, Burst: 16, ValueFactor: 0.55, ExcessCostShare: 1},
		{Name: "estate", Rate: 28, Burst: 50, ValueFactor: 1.8, ExcessCostShare: 0.8, MaxInFlight: 3, CeilingRate: 60, CeilingBurst: 105}}
	g, err := New(set, 1, time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	g.Handle(now, BackendList{Kind: ListSaved, Backends: fleet(200)}, nil)
	tick := now + second
	var actions []Action
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		if now += 100 * ms; now >= tick {
			actions = g.Handle(now, Timer{Token: 0}, actions[:0])
			tick += second
		}
		plan, spread := set.Plans[n%2].Name, 200-194*(n%2)
		id := RequestID(n + 1)
		actions = g.Handle(now, Request{ID: id, Customer: CustomerID(rng.IntN(3000)), Class: "safe", Plan: plan,
			Units: 1 + float64(rng.IntN(6)), Timeout: 3 * second, GatewayCount: spread}, actions[:0])
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				g.Handle(now+50*ms, Outcome{Request: id, Backend: s.Backend, Result: Answered, Duration: 50 * ms, Final: true,
					HasUsage: true, UsagePercent: 200 * rng.Float64()}, nil)
			}
		}
	}
}
