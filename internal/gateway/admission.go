package gateway

import (
	"math"
	"slices"
)

// Admission of requests.

const (
	medianWindow = 256 // latest arrivals whose median value is the boundary between the tiers
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
	c := g.customerFor(ev, plan)
	if !g.withinQuota(c, ev.Units) || !g.withinCeiling(c, ev.Units) || !g.admitExcess(c, class, ev.Units) {
		g.emit(Reject{ev.ID, g.retryAfterQuota(c, ev.Units)})
		return
	}
	g.lastSeq++
	r := &request{id: ev.ID, seq: g.lastSeq, class: class, customer: c, units: ev.Units,
		deadline: g.now + ev.Timeout}
	g.dequeue(c)
	switch {
	case len(c.queue) == 0 && g.withinInFlightLimit(c):
		g.admit(r)
	case !g.enqueue(r):
		g.emit(Reject{ev.ID, g.retryAfterSlot()})
	}
}

// admit sends a request that is within its customer's limits, if a backend is available and a slot of the
// request's tier. Otherwise it rejects the request at once.
func (g *Gateway) admit(r *request) {
	c, plan := r.customer, r.customer.plan
	value := r.class.Value * plan.ValueFactor * r.units
	highValue := g.isHighValue(value)
	tier := &g.tiers[boolToInt(highValue)]
	tier.arrivals++
	tier.value += value
	b := g.chooseBackend(r)
	var slot *heldSlot
	if b != nil {
		slot = g.takeSlot(highValue)
	}
	if slot == nil {
		g.emit(Reject{r.id, g.retryAfterSlot()})
		g.end(r)
		return
	}
	g.requests[r.id], g.requestsBySeq[r.seq] = r, r
	c.ceilingLevel -= r.units
	if plan.Rate > 0 {
		if len(c.recentSends) == maxRecentSends { // the older half is merged into meteredLevel
			at := c.recentSends[maxRecentSends/2-1].at
			c.meteredLevel, c.meteredUntil = c.bucketLevel(at), at
			c.recentSends = slices.Delete(c.recentSends, 0, maxRecentSends/2)
		}
		c.recentSends = append(c.recentSends, sentUnits{g.now, 100 * r.units / plan.Rate})
	}
	g.send(r, b, slot)
	r.class.firstAttempts = append(r.class.firstAttempts, r)
	g.emit(SetTimer{After: r.deadline - g.now, Token: r.seq})
}

// isHighValue reports whether the value is above the recent median, and adds it to the values of the next
// median.
func (g *Gateway) isHighValue(value float64) bool {
	if g.recentValues = append(g.recentValues, value); len(g.recentValues) > medianWindow {
		g.recentValues = g.recentValues[1:]
	}
	return value > g.medianValue
}
