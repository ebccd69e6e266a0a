package gateway

import (
	"math"
	"slices"
)

// Admission: the quota, the tier, the reserves, then a backend.

const (
	medianOver = 256 // recent arrivals that the tier boundary is the median of
)

// onRequest is the ordinary path: the quota, the tier, the reserves, then a backend.
func (g *Gateway) onRequest(ev Request) {
	if g.requests[ev.ID] != nil {
		return
	}
	cl, plan := g.classes[ev.Class], g.plans[ev.Plan]
	if cl == nil || plan == nil || !(ev.Units >= 0) || math.IsInf(ev.Units, 0) || ev.Patience <= 0 {
		g.act(Reject{Request: ev.ID})
		return
	}
	c := g.customer(ev, plan)
	if !g.withinQuota(c, ev.Units) || !g.underCeiling(c, ev.Units) || !g.admitExcess(c, cl, ev.Units) {
		g.act(Reject{ev.ID, g.untilQuota(c, ev.Units)})
		return
	}
	g.seq++
	r := &request{id: ev.ID, seq: g.seq, class: cl, customer: c, units: ev.Units,
		deadline: g.now + ev.Patience}
	g.dequeue(c)
	switch {
	case len(c.queue) == 0 && g.underOpenLimit(c):
		g.admit(r)
	case !g.enqueue(r):
		g.act(Reject{ev.ID, g.untilSlot()})
	}
}

// admit gives a request that its quota has room for a slot and a backend, or refuses it at once.
func (g *Gateway) admit(r *request) {
	c, plan := r.customer, r.customer.plan
	worth := r.class.Worth * plan.Price * r.units
	high := g.isHigh(worth)
	t := &g.tiers[b2i(high)]
	t.arrivals++
	t.worth += worth
	b := g.choose(r)
	var s *slot
	if b != nil {
		s = g.takeSlot(high)
	}
	if s == nil {
		g.act(Reject{r.id, g.untilSlot()})
		g.end(r)
		return
	}
	g.requests[r.id], g.bySeq[r.seq] = r, r
	c.ceilingLevel -= r.units
	if plan.Rate > 0 {
		if len(c.recentSends) == mostDraws { // no readings: the older half goes into the bucket
			at := c.recentSends[mostDraws/2-1].at
			c.bucket, c.bucketAt = c.bucketLevel(at), at
			c.recentSends = slices.Delete(c.recentSends, 0, mostDraws/2)
		}
		c.recentSends = append(c.recentSends, sentUnits{g.now, 100 * r.units / plan.Rate})
	}
	g.send(r, b, s)
	r.class.first = append(r.class.first, r)
	g.act(SetTimer{After: r.deadline - g.now, Token: r.seq})
}

// isHigh compares a worth with the recent median.
func (g *Gateway) isHigh(worth float64) bool {
	if g.recentValues = append(g.recentValues, worth); len(g.recentValues) > medianOver {
		g.recentValues = g.recentValues[1:]
	}
	return worth > g.medianValue
}
