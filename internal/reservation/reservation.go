// Package reservation splits slots between the reserves of two tiers of requests and a shared pool, by Method II of
// Cheng, Chen and Chen, "Dynamic quota-based admission control with sub-rating in multimedia servers".
package reservation

import (
	"math"

	"herontiller/internal/stats"
)

// Load is what the slots are offered.
type Load struct {
	High, Low           float64 // arrivals a second of each tier
	Service             float64 // services a second of one slot
	HighValue, LowValue float64 // mean value of a request of each tier
}

// Split returns the reserves of the high and of the low tier, of n slots; the rest is the pool. It searches them in
// steps of n over the given number, a slot at least, for the highest payoff. Of equal splits it takes the one with the
// smaller reserves. An unbounded n is all pool. A high request is sub-rated at the cost of alpha low ones.
func Split(n float64, load Load, alpha, steps int) (high, low float64) {
	if math.IsInf(n, 1) {
		return 0, 0
	}
	// A small n is split as its part of a larger whole: many gateways even each other out.
	scale := max(1, float64(steps)/max(n, 1e-3))
	slots := int(n*scale + 1e-9)
	load.High *= scale
	load.Low *= scale
	step := max(1, (slots+steps-1)/steps)
	best := Payoff(0, 0, slots, load, alpha)
	for h := 0; h <= slots; h += step {
		for l := 0; l+h <= slots; l += step {
			if p := Payoff(h, l, slots-h-l, load, alpha); p > best+1e-9*math.Abs(best) {
				best, high, low = p, float64(h)/scale, float64(l)/scale
			}
		}
	}
	return high, low
}

// Payoff is (2)+(3)+(7)+(11)-(9) of the paper with the penalty of a rejection equal to the value of the request, for
// reserves of high and low slots and a pool. Each truncated sum is a loss formula B(a, n): the mean number in service is
// a(1-B).
func Payoff(high, low, pool int, load Load, alpha int) float64 {
	lossOfHigh := stats.ErlangLoss(load.High/load.Service, high)[high]
	lossOfLow := stats.ErlangLoss(load.Low/load.Service, low)[low]
	total := load.High*(1-lossOfHigh)*load.HighValue + load.Low*(1-lossOfLow)*load.LowValue
	overflowHigh, overflowLow := load.High*lossOfHigh, load.Low*lossOfLow
	poolLossHigh := stats.ErlangLoss(overflowHigh/load.Service, pool)
	poolLossLow := stats.ErlangLoss(overflowLow/load.Service, pool)
	p := poolLossHigh[pool] // probability of i high ones in the pool, from i = pool down
	for i := pool; i >= 0; i-- {
		full := p * poolLossLow[pool-i]
		total += p * (float64(i)*load.Service*load.HighValue + overflowLow*(1-poolLossLow[pool-i])*load.LowValue)
		over := poolLossHigh[(pool-i)/alpha]
		gained := overflowHigh * (1 - over) * (load.HighValue - load.LowValue)
		total += full * (gained - overflowHigh*load.HighValue*over - overflowLow*load.LowValue)
		if overflowHigh > 0 {
			p *= float64(i) * load.Service / overflowHigh
		} else if i == 1 { // no high arrivals: none is there
			p = 1
		} else {
			p = 0
		}
	}
	return total
}
