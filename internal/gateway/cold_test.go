package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// coldWindow watches what all gateways send to one cold backend.
type coldWindow struct {
	born  time.Duration
	sent  []time.Duration // within the last window
	worst float64         // calls over what settings and chance allow, at the worst
}

// send counts one call. Within any time of FallFor a cold backend may get FallMultiple of what it can do then, N,
// and by chance 2 x root of N + 2 more.
func (w *coldWindow) send(now time.Duration, s Settings, capacity float64) {
	w.sent = append(w.sent, now)
	for now-w.sent[0] > s.OverloadTime {
		w.sent = w.sent[1:]
	}
	age := (w.sent[0] - w.born).Seconds()
	warmth := min(1, s.ColdCapacity+(1-s.ColdCapacity)*age/s.WarmUpTime.Seconds())
	n := s.OverloadMultiple * warmth * capacity * s.OverloadTime.Seconds()
	w.worst = max(w.worst, float64(len(w.sent))-(n+2*math.Sqrt(n)+2))
}

// The calls of all gateways together to a cold backend stay within what settings and chance allow, with few
// gateways and with many, with uneven traffic and further attempts, and where many gateways restart in the moment
// in which many backends do.
func TestColdBackendsGetNoMoreThanChance(t *testing.T) {
	const capacity = 20.0 // attempts a second of a warm backend: two cores and meanWork
	for _, c := range []struct {
		doors, backends, replaced int
		busy                      float64 // share of what all warm backends can do that is asked for
		multiple                  float64
		window                    time.Duration
		coldFrom                  float64
	}{
		{2, 8, 4, 0.6, 3, 1500 * ms, 0.19}, {2, 10, 6, 0.5, 2, 1500 * ms, 0.3}, {2, 12, 3, 0.7, 4, 2500 * ms, 0.2},
		{20, 20, 10, 0.6, 3, 1500 * ms, 0.19}, {20, 16, 8, 0.6, 2, second, 0.2}, {30, 30, 18, 0.5, 2, 1500 * ms, 0.3},
		{30, 24, 12, 0.65, 3, 1500 * ms, 0.19}, {350, 120, 60, 0.6, 3, 1500 * ms, 0.19}, {350, 100, 60, 0.5, 2, 2500 * ms, 0.25},
	} {
		set := testSettings()
		set.Gateways, set.ColdCapacity, set.WarmUpTime = c.doors, c.coldFrom, 12*second
		set.OverloadMultiple, set.OverloadTime = c.multiple, c.window
		for seed := range uint64(3) {
			f := newFleet(t, set, seed, c.backends)
			f.fails = 0.1
			rate := c.busy * capacity * float64(c.backends)
			ask := func() (int, Request) {
				return f.unevenly(0, c.doors), Request{Customer: CustomerID(f.rng.IntN(5000)), Class: "safe", Plan: "wide", Units: 1,
					Timeout: 3 * second, GatewayCount: c.doors}
			}
			f.runUntil(f.now+6*second, rate, ask)
			windows := map[BackendID]*coldWindow{}
			for i := range c.replaced {
				f.list[i].Started = f.now
				windows[f.list[i].ID] = &coldWindow{born: f.now, worst: math.Inf(-1)}
			}
			f.onSend = func(_ Request, b BackendID, _ bool) {
				if w := windows[b]; w != nil {
					w.send(f.now, set, capacity)
				}
			}
			for door := range c.doors {
				if f.rng.IntN(10) < 5 {
					f.start(door)
				} else {
					f.give(door, BackendList{Kind: ListChanges, Backends: f.list})
				}
			}
			calls, worst := 0, math.Inf(-1)
			for range 16 {
				f.runUntil(f.now+500*ms, rate, ask)
				f.start(f.rng.IntN(c.doors))
			}
			for _, w := range windows {
				calls += len(w.sent)
				worst = max(worst, w.worst)
			}
			name := fmt.Sprintf("%+v seed %d", c, seed)
			t.Logf("%s: at the worst %.1f calls over", name, worst)
			if worst > 0 {
				t.Errorf("%s: a cold backend got %.1f calls more than settings and chance allow", name, worst)
			}
			if calls == 0 {
				t.Errorf("%s: nothing was sent to the cold backends", name)
			}
		}
	}
}
