package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// coldBackendLoad records the attempts that all gateways send to one cold backend.
type coldBackendLoad struct {
	startedAt     time.Duration
	sendTimes     []time.Duration // of the sends within the last OverloadTime
	maxAboveLimit float64         // the most sends above the limit within any OverloadTime; negative while below it
}

// recordSend records one send. Within any OverloadTime a cold backend may be sent N attempts, which is OverloadMultiple
// times its capacity at the start of that time, and by chance 2*sqrt(N) + 2 more. The capacity is that of a warm
// backend, in attempts per second.
func (l *coldBackendLoad) recordSend(now time.Duration, settings Settings, capacity float64) {
	l.sendTimes = append(l.sendTimes, now)
	for now-l.sendTimes[0] > settings.OverloadTime {
		l.sendTimes = l.sendTimes[1:]
	}
	age := (l.sendTimes[0] - l.startedAt).Seconds()
	warmth := min(1, settings.ColdCapacity+(1-settings.ColdCapacity)*age/settings.WarmUpTime.Seconds())
	limit := settings.OverloadMultiple * warmth * capacity * settings.OverloadTime.Seconds()
	l.maxAboveLimit = max(l.maxAboveLimit, float64(len(l.sendTimes))-(limit+2*math.Sqrt(limit)+2))
}

// All gateways together send a cold backend no more attempts than the settings and chance allow, in small and large
// fleets, with uneven traffic and retries. Many gateways restart at the moment at which many backends do, so that they
// have no history of the backends, and one more gateway restarts every half second from then on.
func TestFleetLimitsSendsToColdBackends(t *testing.T) {
	const capacity = 20.0 // attempts per second of a warm backend: two cores and meanAttemptTime
	for _, test := range []struct {
		gateways, backends, replaced int
		load                         float64 // rate of the requests, as a share of the capacity of all backends if warm
		overloadMultiple             float64
		overloadTime                 time.Duration
		coldCapacity                 float64
	}{
		{2, 8, 4, 0.6, 3, 1500 * ms, 0.19}, {2, 10, 6, 0.5, 2, 1500 * ms, 0.3}, {2, 12, 3, 0.7, 4, 2500 * ms, 0.2},
		{20, 20, 10, 0.6, 3, 1500 * ms, 0.19}, {20, 16, 8, 0.6, 2, second, 0.2}, {30, 30, 18, 0.5, 2, 1500 * ms, 0.3},
		{30, 24, 12, 0.65, 3, 1500 * ms, 0.19}, {350, 120, 60, 0.6, 3, 1500 * ms, 0.19},
		{350, 100, 60, 0.5, 2, 2500 * ms, 0.25},
	} {
		settings := testSettings()
		settings.Gateways, settings.ColdCapacity, settings.WarmUpTime = test.gateways, test.coldCapacity, 12*second
		settings.OverloadMultiple, settings.OverloadTime = test.overloadMultiple, test.overloadTime
		for seed := range uint64(3) {
			fleet := newSimulatedFleet(t, settings, seed, test.backends)
			fleet.errorShare = 0.1
			rate := test.load * capacity * float64(test.backends)
			nextRequest := func() (int, Request) {
				return fleet.pickUnevenly(0, test.gateways), Request{Customer: CustomerID(fleet.rng.IntN(5000)),
					Class: "safe", Plan: "large", Units: 1, Timeout: 3 * second, GatewayCount: test.gateways}
			}
			fleet.runUntil(fleet.now+6*second, rate, nextRequest)
			coldLoads := map[BackendID]*coldBackendLoad{}
			for i := range test.replaced {
				fleet.backends[i].Started = fleet.now
				coldLoads[fleet.backends[i].ID] = &coldBackendLoad{startedAt: fleet.now, maxAboveLimit: math.Inf(-1)}
			}
			fleet.onSend = func(_ Request, backend BackendID, _ bool) {
				if load := coldLoads[backend]; load != nil {
					load.recordSend(fleet.now, settings, capacity)
				}
			}
			for index := range test.gateways {
				if fleet.rng.IntN(10) < 5 {
					fleet.start(index)
				} else {
					fleet.handle(index, BackendList{Kind: ListChanges, Backends: fleet.backends})
				}
			}
			sends, maxAboveLimit := 0, math.Inf(-1)
			for range 16 {
				fleet.runUntil(fleet.now+500*ms, rate, nextRequest)
				fleet.start(fleet.rng.IntN(test.gateways))
			}
			for _, load := range coldLoads {
				sends += len(load.sendTimes)
				maxAboveLimit = max(maxAboveLimit, load.maxAboveLimit)
			}
			name := fmt.Sprintf("%+v seed %d", test, seed)
			t.Logf("%s: at most %.1f sends above the limit for a cold backend", name, maxAboveLimit)
			if maxAboveLimit > 0 {
				t.Errorf("%s: a cold backend got %.1f sends above the limit of settings and chance, want 0 or less",
					name, maxAboveLimit)
			}
			if sends == 0 {
				t.Errorf("%s: got no sends to the cold backends, want some", name)
			}
		}
	}
}
