package reservation

import (
	"math"
	"testing"
)

const lowPerHigh, searchSteps = 2, 20

// payoffByPaperSums computes the payoff by the formulas (2), (3), (7), (11) and (9) of the paper that the package
// comment names, as they are written there, with sums over factorials.
func payoffByPaperSums(highSlots, lowSlots, poolSlots int,
	highRate, lowRate, serviceRate, highValue, lowValue float64) float64 {
	factorial := func(k int) float64 { return math.Gamma(float64(k) + 1) }
	// prob returns the probability that k of n servers are busy at a load a.
	prob := func(a float64, k, n int) float64 {
		sum := 0.0
		for j := 0; j <= n; j++ {
			sum += math.Pow(a, float64(j)) / factorial(j)
		}
		return math.Pow(a, float64(k)) / factorial(k) / sum
	}
	total := 0.0
	for i := 1; i <= highSlots; i++ {
		total += float64(i) * serviceRate * highValue * prob(highRate/serviceRate, i, highSlots)
	}
	for i := 1; i <= lowSlots; i++ {
		total += float64(i) * serviceRate * lowValue * prob(lowRate/serviceRate, i, lowSlots)
	}
	highOverflow, lowOverflow := highRate*prob(highRate/serviceRate, highSlots, highSlots),
		lowRate*prob(lowRate/serviceRate, lowSlots, lowSlots)
	for i := 0; i <= poolSlots; i++ {
		for j := 0; j <= poolSlots-i; j++ {
			total += prob(highOverflow/serviceRate, i, poolSlots) * prob(lowOverflow/serviceRate, j, poolSlots-i) *
				(float64(i)*serviceRate*highValue + float64(j)*serviceRate*lowValue)
		}
		poolFull := prob(highOverflow/serviceRate, i, poolSlots) *
			prob(lowOverflow/serviceRate, poolSlots-i, poolSlots-i)
		subratedSlots := (poolSlots - i) / lowPerHigh
		for k := 0; k <= subratedSlots; k++ {
			total += poolFull * float64(k) * serviceRate * (highValue - lowValue) *
				prob(highOverflow/serviceRate, k, subratedSlots)
		}
		total -= poolFull * (highOverflow*highValue*prob(highOverflow/serviceRate, subratedSlots, subratedSlots) +
			lowOverflow*lowValue)
	}
	return total
}

func TestPayoffMatchesPaperSums(t *testing.T) {
	for _, tc := range []struct {
		highSlots, lowSlots, poolSlots                      int
		highRate, lowRate, serviceRate, highValue, lowValue float64
	}{
		{2, 0, 14, 5, 10, 1, 2, 1}, {8, 0, 8, 10, 10, 1, 5, 1}, {3, 4, 9, 15, 10, 1, 10, 1}, {0, 0, 1, 3, 2, 4, 2, 2},
		{5, 5, 0, 5, 5, 1, 3, 1}, {2, 2, 6, 0, 9, 1, 3, 1}, {2, 2, 6, 9, 0, 1, 3, 1}, {0, 0, 4, 0, 0, 1, 1, 1},
	} {
		got := Payoff(tc.highSlots, tc.lowSlots, tc.poolSlots,
			Load{tc.highRate, tc.lowRate, tc.serviceRate, tc.highValue, tc.lowValue}, lowPerHigh)
		want := payoffByPaperSums(tc.highSlots, tc.lowSlots, tc.poolSlots,
			tc.highRate, tc.lowRate, tc.serviceRate, tc.highValue, tc.lowValue)
		if math.Abs(got-want) > 1e-9*(1+math.Abs(want)) {
			t.Errorf("payoff of %+v: got %v, want %v", tc, got, want)
		}
	}
}

func TestSplitEdgeCasesAndOptimum(t *testing.T) {
	for _, tc := range []struct{ slots, highRate, lowRate, serviceRate, highValue, lowValue float64 }{
		{math.Inf(1), 5, 5, 1, 2, 1}, {1, 5, 5, 1, 2, 1}, {16, 0, 9, 1, 2, 1}, {16, 9, 0, 1, 2, 1},
		{16, 9, 9, 1, 1, 1}, {3000, 2000, 2000, 1, 2, 1}, {16, 0, 0, 1, 0, 0},
	} {
		high, low := Split(tc.slots, Load{tc.highRate, tc.lowRate, tc.serviceRate, tc.highValue, tc.lowValue},
			lowPerHigh, searchSteps)
		if math.IsNaN(high) || high < 0 || low < 0 || high+low > tc.slots || math.IsInf(tc.slots, 1) && high+low != 0 {
			t.Errorf("split of %+v: invalid reserves: high %v, low %v", tc, high, low)
		}
	}
	bestPayoff, bestHigh, bestLow := math.Inf(-1), 0, 0
	for high := 0; high <= 16; high++ {
		for low := 0; low+high <= 16; low++ {
			if payoff := payoffByPaperSums(high, low, 16-high-low, 15, 10, 1, 2, 1); payoff > bestPayoff+1e-9 {
				bestPayoff, bestHigh, bestLow = payoff, high, low
			}
		}
	}
	if high, low := Split(16, Load{15, 10, 1, 2, 1}, lowPerHigh, searchSteps); int(high) != bestHigh ||
		int(low) != bestLow {
		t.Errorf("split of 16 slots: got reserves %v and %v, an exhaustive search finds %d and %d", high, low,
			bestHigh, bestLow)
	}
}

// A split of fewer slots than search steps, even of a fraction of one, is in proportion to that of more slots at the
// same load.
func TestFractionalSlotsAreSplitInProportion(t *testing.T) {
	high, low := Split(20, Load{15, 10, 1, 5, 1}, lowPerHigh, searchSteps)
	smallHigh, smallLow := Split(0.2, Load{0.15, 0.1, 1, 5, 1}, lowPerHigh, searchSteps)
	if math.Abs(smallHigh-high/100) > 1e-9 || math.Abs(smallLow-low/100) > 1e-9 || high+low == 0 {
		t.Errorf("reserves of 20 slots: %v and %v; of 0.2 slots at 1/100 of the load: %v and %v", high, low,
			smallHigh, smallLow)
	}
}
