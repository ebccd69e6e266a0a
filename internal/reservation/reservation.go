// Package reservation splits slots between a reserve for each of two tiers of requests, high and low, and a pool that
// both share. It implements Method II of Cheng, Chen and Chen, "Dynamic quota-based admission control with sub-rating
// in multimedia servers". A slot is the permission to have one request in service. Where the pool is full, a high
// request may be admitted by sub-rating: alpha low requests in the pool together give up one slot to it.
package reservation

import (
	"math"

	"herontiller/internal/stats"
)

// Load describes the requests that arrive, by tier.
type Load struct {
	HighRate, LowRate   float64 // arrivals per second of each tier
	ServiceRate         float64 // service rate of one slot, requests per second, above 0
	HighValue, LowValue float64 // mean value of a request of each tier
}

// Split returns the sizes of the high and of the low reserve that have the highest payoff; the rest of the slots is the
// pool. Of splits with equal payoff it prefers the one with the smaller reserves. The integer alpha is the number of
// low requests sub-rated for a high one, at least 1.
//
// The search tries whole numbers of slots, in at most the given number of equal steps, which must be at least 1. If
// there are fewer slots than steps, it splits a larger system with as many slots as steps and a load in proportion, and
// scales the sizes down to multiples of slots/steps. The larger system is limited to 1000*steps times the given one. If
// slots is infinite, all of it is the pool; if it is 0, all sizes are 0.
func Split(slots float64, load Load, alpha, steps int) (high, low float64) {
	if math.IsInf(slots, 1) {
		return 0, 0
	}
	// A small number of slots is split like its share of a larger system, since many gateways even each other out.
	scale := max(1, float64(steps)/max(slots, 1e-3))
	scaledSlots := int(slots*scale + 1e-9) // the added 1e-9 makes up for rounding errors
	load.HighRate *= scale
	load.LowRate *= scale
	step := max(1, (scaledSlots+steps-1)/steps)
	bestPayoff := Payoff(0, 0, scaledSlots, load, alpha)
	for highSlots := 0; highSlots <= scaledSlots; highSlots += step {
		for lowSlots := 0; lowSlots+highSlots <= scaledSlots; lowSlots += step {
			if payoff := Payoff(highSlots, lowSlots, scaledSlots-highSlots-lowSlots, load, alpha); payoff >
				bestPayoff+1e-9*math.Abs(bestPayoff) {
				bestPayoff, high, low = payoff, float64(highSlots)/scale, float64(lowSlots)/scale
			}
		}
	}
	return high, low
}

// Payoff returns the payoff per second of a split into a high reserve, a low reserve and a pool, in the unit of the
// values. The sizes are in slots, 0 or more, and alpha is at least 1. The payoff is (2)+(3)+(7)+(11)-(9) of that paper,
// with the penalty of a rejection equal to the value of the request. Each truncated sum is expressed by Erlang's loss
// formula B(a, n), as the mean number in service of n servers is a(1-B).
func Payoff(high, low, pool int, load Load, alpha int) float64 {
	highReserveLoss := stats.ErlangLoss(load.HighRate/load.ServiceRate, high)[high]
	lowReserveLoss := stats.ErlangLoss(load.LowRate/load.ServiceRate, low)[low]
	total := load.HighRate*(1-highReserveLoss)*load.HighValue + load.LowRate*(1-lowReserveLoss)*load.LowValue
	overflowHigh, overflowLow := load.HighRate*highReserveLoss, load.LowRate*lowReserveLoss
	poolLossHigh := stats.ErlangLoss(overflowHigh/load.ServiceRate, pool)
	poolLossLow := stats.ErlangLoss(overflowLow/load.ServiceRate, pool)
	probability := poolLossHigh[pool] // that highInPool slots of the pool serve high requests
	for highInPool := pool; highInPool >= 0; highInPool-- {
		poolFull := probability * poolLossLow[pool-highInPool] // probability that low requests fill the other slots
		total += probability * (float64(highInPool)*load.ServiceRate*load.HighValue +
			overflowLow*(1-poolLossLow[pool-highInPool])*load.LowValue)
		// Sub-rating the low requests of the pool yields one slot for every alpha of them.
		subratedLoss := poolLossHigh[(pool-highInPool)/alpha]
		gain := overflowHigh * (1 - subratedLoss) * (load.HighValue - load.LowValue)
		total += poolFull * (gain - overflowHigh*load.HighValue*subratedLoss - overflowLow*load.LowValue)
		if overflowHigh > 0 {
			probability *= float64(highInPool) * load.ServiceRate / overflowHigh
		} else if highInPool == 1 { // without high arrivals the pool never holds a high request
			probability = 1
		} else {
			probability = 0
		}
	}
	return total
}
