package budget

import (
	"math"
	"testing"
	"time"
)

func TestAdmissionProbabilityByValueAndCost(t *testing.T) {
	for _, tc := range []struct {
		offer       Offer
		price, want float64
	}{
		{Offer{Value: 0, Cost: 0}, 4, 1}, {Offer{Value: 1, Cost: 0}, 100, 1}, {Offer{Value: 1, Cost: 0.5}, 2, 1},
		{Offer{Value: 1, Cost: 0.5}, 4, 0.5}, {Offer{Value: 0, Cost: 1}, 1, 0},
		{Offer{Value: 0, Cost: 1, MinAdmission: 0.3}, 1, 0.3},
	} {
		if got := tc.offer.AdmissionProbability(tc.price); math.Abs(got-tc.want) > 1e-12 {
			t.Errorf("admission probability of %+v at price %v: got %v, want %v", tc.offer, tc.price, got, tc.want)
		}
	}
}

func TestPriceSpendsBudget(t *testing.T) {
	history := NewHistory(50)
	for i := range 200 { // the history keeps the last 50 only
		cost := 0.01 * float64(i%20)
		if i < 150 {
			cost = 1000
		}
		history.Add(Offer{At: time.Duration(i), Value: 1 - cost, Cost: cost, BudgetBase: 1})
	}
	for _, share := range []float64{0.02, 0.05, 0.08} {
		price := history.Price(0, share, 1, 100)
		spent := 0.0
		for i := range history.offers {
			spent += history.offers[i].AdmissionProbability(price) * history.offers[i].Cost / 50
		}
		if math.Abs(spent-share) > 0.002 {
			t.Errorf("at the price %v a share of %v is spent, want %v", price, spent, share)
		}
	}
	if price := history.Price(0, 1, 1, 100); price > 1.01 {
		t.Errorf("a budget that can't be spent has the price %v, want the lowest", price)
	}
	if price := history.Price(0, 0, 1, 100); price < 99 {
		t.Errorf("a budget of 0 has the price %v, want the highest", price)
	}
	if price := history.Price(190, 0.05, 1, 100); price < 1 || price > 100 {
		t.Errorf("the price of the latest offers is %v, want it between 1 and 100", price)
	}
}
