// Package budget computes the shadow price at which requests spend a given budget. The shadow price is the value that
// one unit of the budget must gain: each request is admitted with a probability that falls with the price and with the
// request's cost, and rises with its value. The package holds no settings of the policy.
package budget

import (
	"math"
	"time"
)

// bisectionSteps is the number of halvings of the search range of the price, which is bisected on a logarithmic scale.
const bisectionSteps = 12

// Offer holds what a request is expected to be worth and to cost if it is admitted. Value, Cost and BudgetBase are in
// the same unit and 0 or more.
type Offer struct {
	At           time.Duration // when the request arrived
	Value        float64       // expected value gained if the request is admitted
	Cost         float64       // expected part of the budget spent if the request is admitted
	BudgetBase   float64       // the request's part of the sum of which the budget is a share
	MinAdmission float64       // minimum probability of admission, whatever the price
}

// AdmissionProbability returns the probability with which the request is admitted at a shadow price above 0. It is 1 if
// the value is at least the cost times the price, else the ratio of the two, but at least MinAdmission.
func (o *Offer) AdmissionProbability(price float64) float64 {
	if o.Value >= o.Cost*price {
		return 1
	}
	return max(o.MinAdmission, o.Value/(o.Cost*price))
}

// History keeps the most recent offers.
type History struct {
	offers []Offer // ring buffer
	oldest int     // index of the oldest offer once the buffer is full
}

// NewHistory returns an empty history that keeps maxOffers offers, at least 1.
func NewHistory(maxOffers int) *History { return &History{offers: make([]Offer, 0, maxOffers)} }

// Add records an offer. It replaces the oldest one once the history is full.
func (h *History) Add(offer Offer) {
	if len(h.offers) < cap(h.offers) {
		h.offers = append(h.offers, offer)
		return
	}
	h.offers[h.oldest] = offer
	h.oldest = (h.oldest + 1) % len(h.offers)
}

// Price returns the shadow price at which the offers made at or after the time since would have spent the given share
// of the sum of their budget bases. It is found by bisection between minPrice and maxPrice, which must be above 0. It
// is close to minPrice if the budget is not spent at any price, or there are no such offers, and close to maxPrice if
// it is overspent at every price.
func (h *History) Price(since time.Duration, share, minPrice, maxPrice float64) float64 {
	logLow, logHigh := math.Log(minPrice), math.Log(maxPrice)
	for range bisectionSteps {
		logMiddle := (logLow + logHigh) / 2
		if h.overspent(since, share, math.Exp(logMiddle)) {
			logLow = logMiddle
		} else {
			logHigh = logMiddle
		}
	}
	return math.Exp((logLow + logHigh) / 2)
}

// overspent reports whether the offers made at or after the time since cost more than their budget at a price.
func (h *History) overspent(since time.Duration, share, price float64) bool {
	overspend := 0.0
	for i := range h.offers {
		if offer := &h.offers[i]; offer.At >= since {
			overspend += offer.AdmissionProbability(price)*offer.Cost - share*offer.BudgetBase
		}
	}
	return overspend > 0
}
