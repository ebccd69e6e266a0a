package gateway

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkRequest measures the handling of a request by a gateway of a fleet of 300, at ten requests per second. It
// includes the outcome with a reading of the meter, and the tick of every second.
func BenchmarkRequest(b *testing.B) {
	settings := testSettings()
	settings.Gateways, settings.MeterPeriod, settings.MaxRequestUnits = 300, 500*ms, 8
	settings.Plans = []Plan{{Name: "basic", Rate: 1.6, Burst: 16, ValueFactor: 0.55, ExcessCostShare: 1},
		{Name: "estate", Rate: 28, Burst: 50, ValueFactor: 1.8, ExcessCostShare: 0.8, MaxInFlight: 3, CeilingRate: 60,
			CeilingBurst: 105}}
	gateway, err := New(settings, 1, time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	gateway.Handle(now, BackendList{Kind: ListSaved, Backends: testBackends(200)}, nil)
	tick := now + second
	var actions []Action
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if now += 100 * ms; now >= tick {
			actions = gateway.Handle(now, Timer{Token: 0}, actions[:0])
			tick += second
		}
		// Customers of the plan basic use 200 gateways, those of estate use 6.
		plan, gatewayCount := settings.Plans[i%2].Name, 200-194*(i%2)
		id := RequestID(i + 1)
		actions = gateway.Handle(now, Request{ID: id, Customer: CustomerID(rng.IntN(3000)), Class: "safe", Plan: plan,
			Units: 1 + float64(rng.IntN(6)), Timeout: 3 * second, GatewayCount: gatewayCount}, actions[:0])
		for _, action := range actions {
			if send, ok := action.(Send); ok {
				gateway.Handle(now+50*ms, Outcome{Request: id, Backend: send.Backend, Result: Answered,
					Duration: 50 * ms, Final: true, HasUsage: true, UsagePercent: 200 * rng.Float64()}, nil)
			}
		}
	}
}
