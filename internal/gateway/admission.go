package gateway

import (
	"math"
	"slices"
)

// Admission of requests.

const (
	medianWindow = 256 // number of latest arrivals whose median value is the boundary between the tiers
)

// onRequest admits, queues or rejects a request: it checks the quota, the ceiling, the price of excess and
// the limit on attempts in flight, in this order.
func (g *Gateway) onRequest(ev Request) {
	if g.requests[ev.ID] != nil {
		return
	}
	class, plan := g.classes[ev.Class], g.plans[ev.Plan]
	if class == nil || plan == nil || !(ev.Units >= 0) || math.IsInf(ev.Units, 0) || ev.Timeout <= 0 {
		g.emit(Reject{Request: ev.ID})
		return
	}
	if ev.Overload {
		g.emit(Reject{ev.ID, g.retryAfterSlot()})
		return
	}
	customer := g.customerFor(ev, plan)
	if !g.withinQuota(customer, ev.Units) || !g.withinCeiling(customer, ev.Units) ||
		!g.admitExcess(customer, class, ev.Units) {
		g.emit(Reject{ev.ID, g.retryAfterQuota(customer, ev.Units)})
		return
	}
	g.lastSeq++
	request := &requestState{id: ev.ID, seq: g.lastSeq, class: class, customer: customer, units: ev.Units,
		deadline: g.now + ev.Timeout}
	g.dequeue(customer)
	switch {
	case len(customer.queue) == 0 && g.withinInFlightLimit(customer):
		g.admit(request)
	case !g.enqueue(request):
		g.emit(Reject{ev.ID, g.retryAfterSlot()})
	}
}

// admit sends a request that is within its customer's limits, if a backend and a slot for the request's tier
// are available. Otherwise it rejects the request at once.
func (g *Gateway) admit(request *requestState) {
	customer, plan := request.customer, request.customer.plan
	value := request.class.Value * plan.ValueFactor * request.units
	highValue := g.isHighValue(value)
	tier := &g.tiers[boolToInt(highValue)]
	tier.arrivals++
	tier.value += value
	backend := g.chooseBackend(request)
	var slot *heldSlot
	if backend != nil {
		slot = g.takeSlot(highValue)
	}
	if slot == nil {
		g.emit(Reject{request.id, g.retryAfterSlot()})
		g.end(request)
		return
	}
	g.requests[request.id], g.requestsBySeq[request.seq] = request, request
	customer.sent = true
	customer.ceilingLevel -= request.units
	if plan.Rate > 0 {
		if len(customer.recentSends) == maxRecentSends { // the older half is merged into meteredLevel
			at := customer.recentSends[maxRecentSends/2-1].at
			customer.meteredLevel, customer.meteredUntil = customer.bucketLevel(at), at
			customer.recentSends = slices.Delete(customer.recentSends, 0, maxRecentSends/2)
		}
		customer.recentSends = append(customer.recentSends, sentUnits{g.now, 100 * request.units / plan.Rate})
	}
	g.send(request, backend, slot)
	request.class.firstAttempts = append(request.class.firstAttempts, request)
	g.emit(SetTimer{After: request.deadline - g.now, Token: request.seq})
}

// isHighValue reports whether the value of a request is above the median of the latest arrivals, which puts
// the request in the high tier. It adds the value to those of which the next median is taken.
func (g *Gateway) isHighValue(value float64) bool {
	if g.recentValues = append(g.recentValues, value); len(g.recentValues) > medianWindow {
		g.recentValues = g.recentValues[1:]
	}
	return value > g.medianValue
}
