package cypresstrack

import (
	"math"
	"slices"
	"time"
)

// The hard limits of a customer over all of its front doors: the ceiling's store and the attempts out. Both are split
// into parts that add up to the whole, so that they hold whatever the other doors do.

const (
	holdAim      = 1.0 / 2 // of its aim is as long as a request is held for one of its customer's attempts to end
	holdPatience = 1.0 / 4 // ... and of what its client waits: time to come again elsewhere remains
	spareOpen    = 1.0     // seconds of attempts out that a door with a part of one saves up at most: some mean answers
)

// limits are this door's parts of a customer's hard limits, and what it has of them.
type limits struct {
	parts       float64 // that the ceiling is split into
	hasCeil     bool    // one of them is this door's
	ceil        float64 // what is left in it, as of ceilAt
	ceilAt      time.Duration
	openPart    int     // attempts that may be out here
	openTime    float64 // where the part is less than one: the time of an attempt out saved up as of openAt, seconds
	openAt      time.Duration
	line        []*request // held until an attempt out ends; some have ended
	uses        *planUse   // of the customer's plan
	turnedClass *class     // of a request just weighed and refused, and its units
	turnedUnits float64
	turnedAt    time.Duration
}

// What a door lets in of customers whose use at other doors it can't see.
const (
	usualUse    = 1.5      // times its quota is what a customer is taken to use before any answer tells of its plan
	usualCount  = 5.0      // answers, or clients, that what is taken so counts for
	planFades   = 1.0 / 64 // weight of one answer or request in what is known of a plan or a class
	ownWeighs   = 1.0 / 2  // of a reading is what a send here tells: this may be one of the customer's busy doors
	refills     = 1.5      // times the requests that it holds is what a store is like that fills evenly, not by chance
	mostPrice   = 0.08     // of the worth let in is what the expected price is held to: the operators bear 0.1
	leastClass  = 0.55     // of what a class asks within quotas is let in, whatever the price: they want a half served
	leastPlan   = 0.35     // of a plan's tries of which nothing tells are let in: they want a third served
	firstStrict = 4.0      // times its price is what a try's worth must be to be let in surely, at the start
	mostStrict  = 100.0    // ... and at most
	strictStep  = 1.5      // ... and what that changes by in a second at most
	weighFades  = 0.1      // weight of a second in the price, and in the share of clients that come again
	sameDoor    = 0.5      // of those that come again do so at the same door, by the pages' ranges
	mostBack    = 0.75     // of those refused come again: three times each, where few are let in
)

// planUse is what answers first told of a plan's customers, times their quota, and the units of a request; fading.
type planUse struct{ sum, count, units float64 }

// weighing is what a door knows of what it weighed, fading.
type weighing struct {
	uses          map[*Plan]*planUse
	price, within float64 // expected of what was let in: its price beyond quotas, its worth within them
	turned, again float64 // requests refused, and those that came again
}

func (u *planUse) told(use float64) {
	u.sum += use - planFades*u.sum
	u.count += 1 - planFades*u.count
}

func (u *planUse) mean() float64 {
	return max(0.05, (usualCount*usualUse+u.sum)/(usualCount+u.count))
}

// gammaOver is the chance that a gamma variable of shape n and rate 1 is over x, by Wilson and Hilferty. It is also
// that of fewer than n events of a Poisson process where x are the mean.
func gammaOver(n, x float64) float64 {
	return math.Erfc((math.Cbrt(x/n)-1+1/(9*n))*3*math.Sqrt(n/2)) / 2
}

// fullAt is the chance that a queue of k places is full at a load of v.
func fullAt(v, k float64) float64 {
	if math.Abs(v-1) < 1e-3 {
		return 1 / (k + 1)
	}
	return (1 - v) / (math.Pow(v, -k) - v)
}

// over is the chance that a try sent on now is beyond the customer's quota, for what other doors have sent. The use of
// one that nothing tells of is any that answers tell of its plan, about an exponential variable. Readings, and sends of
// this door since, count as so many requests in so much time, so its use is a gamma variable, of which five points
// stand for all. A store that holds k requests has too little as often as a queue of k places is full, and as many
// attempts as the limit, about twice what the quota keeps out, are out as often as so many of a Poisson process.
func (g *Gateway) over(c *customer, units float64) float64 {
	p, one, own := c.plan, c.period, 0.0
	if p.Rate > 0 { // else a reading tells as much as one request
		one, own = c.uses.units/p.Rate, ownWeighs
	}
	one = max(one, 1e-6)
	since := max(0, (g.now - c.storeAt).Seconds())
	fade := math.Pow(shareDecay, since/max(c.period, 1e-3)) / one
	n := 1 + own*float64(len(c.draws)) + fade*c.metered/100
	x := 1/c.uses.mean() + own*since/c.doors/one + fade*c.heard
	sum := 0.0
	for _, z := range [...]float64{-1.28, -0.52, 0, 0.52, 1.28} {
		v, within := n/x*math.Pow(max(0, 1-1/(9*n)+z/(3*math.Sqrt(n))), 3), 1.0
		if p.Rate > 0 && units > 0 { // one of two doors meets everybody
			within -= (1 - min(1, 2/c.doors)) * fullAt(v, refills*max(1, p.Burst/units))
		}
		if open := float64(p.Open); open > 0 && open < c.doors {
			within *= gammaOver(open, v*open/2*(1-1/c.doors))
		}
		sum += (1 - within) / 5
	}
	return sum
}

// weigh tells whether a try goes on though it may be beyond the quota: surely where its expected worth is strict times
// its expected price, less often the less it is, and of tries that nothing tells of a share in any case. To pass small
// ones only would starve classes and plans of large ones, and save nothing: others take what these leave of a quota.
func (g *Gateway) weigh(c *customer, cl *class, units float64) bool {
	p := c.plan
	c.uses.units += planFades * (units - c.uses.units)
	q, worth := g.over(c, units), cl.Worth*p.Price*units
	back := g.comesBack(c, cl, units)
	pass := min(1, (1-q+q*p.OverWorth)/max(1e-9, q*p.OverCost*cl.strict))
	if c.heard == 0 && len(c.draws) == 0 {
		pass = max(pass, leastPlan*(1-back)/(1-leastPlan*back)) // of the clients, however often they come again
	}
	cl.passed += pass/(1-(1-pass)*back)*worth*(1-q) - planFades*cl.passed
	cl.tried += worth*(1-q) - planFades*cl.tried
	if pass < 1 && g.rng.Float64() >= pass {
		g.turned++
		c.turnedClass, c.turnedUnits, c.turnedAt = cl, units, g.now
		return false
	}
	g.within += worth * (1 - q)
	g.price += worth * q * p.OverCost
	return true
}

// comesBack is the share of the refused tries whose clients come again, here or elsewhere, by like requests soon after.
// What a refusal here advises is mostly the time of an answer.
func (g *Gateway) comesBack(c *customer, cl *class, units float64) float64 {
	if c.turnedClass == cl && c.turnedUnits == units && g.now-c.turnedAt < second {
		g.again++
	}
	c.turnedClass = nil
	return min(mostBack, g.again/(g.turned+usualCount)/sameDoor)
}

// adjustStrict lets strictness rise with the expected price of what is let in, as far as the share of the class allows.
func (g *Gateway) adjustStrict() {
	price := g.price / max(g.within, 1e-9) / mostPrice
	for _, cl := range g.byClass {
		if cl.tried > 0 {
			share := cl.passed / cl.tried / leastClass
			step, least := max(1/strictStep, min(strictStep, price, share*share)), 1.0
			if share < 1 { // also at more than its worth
				least = 1 / mostStrict
			}
			cl.strict = max(least, min(mostStrict, cl.strict*step))
		}
	}
	for _, sum := range []*float64{&g.price, &g.within, &g.turned, &g.again} {
		*sum *= 1 - weighFades
	}
}

// newLimits takes all to have been used up when this door started, as before a restart it may have been.
func (g *Gateway) newLimits(plan *Plan, doors, offset int, id CustomerID) limits {
	parts := ceilingParts(plan.CeilingBurst, g.set.LargestUnits, doors)
	if g.uses[plan] == nil {
		g.uses[plan] = &planUse{units: max(1, g.set.LargestUnits/4)}
	}
	return limits{uses: g.uses[plan], parts: float64(parts),
		hasCeil: offset < doors && rank(doors, offset, id) < parts, ceilAt: g.boot,
		openPart: openPart(plan.Open, doors, offset, id), openAt: g.boot}
}

// rank orders the doors of a customer's set for what does not divide evenly between them, in another way for each
// customer, so that no door is left out for all of them.
func rank(doors, offset int, id CustomerID) int {
	return (offset + int(uint64(id)%uint64(doors))) % doors
}

// underCeiling keeps this door's part of the customer's second store: an even part, so that all parts
// together are the whole. A customer not met since this door's start is taken to have used its part up just
// then, as before a restart it may have. A door without a part sends nothing.
func (g *Gateway) underCeiling(c *customer, units float64) bool {
	if c.plan.CeilingRate <= 0 {
		return true
	}
	c.ceil = min(c.plan.CeilingBurst, c.ceil*c.parts+c.plan.CeilingRate*(g.now-c.ceilAt).Seconds()) / c.parts
	c.ceilAt = g.now
	return c.hasCeil && c.ceil >= units+c.held()
}

// ceilingParts is into how many parts a ceiling is split: one for each door, or, where such a part could never hold one
// of the largest requests, as many as can. The doors that are first by rank have them.
func ceilingParts(burst, largest float64, doors int) int {
	if largest <= 0 {
		return doors
	}
	return int(max(1, min(float64(doors), math.Floor(burst/largest))))
}

// openPart is how many of a customer's attempts out this door, the offset-th of its set, may have at a moment. What
// does not divide evenly goes to some of the doors, other ones for each customer. Where there are fewer attempts than
// doors, each may have one, and inPart holds it to its part of the time: to give the attempts to some of the doors
// would leave the rest with none, and to them most of the customer's requests may come.
func openPart(open, doors, offset int, id CustomerID) int {
	switch {
	case offset >= doors:
		return 0
	case open < doors:
		return 1
	}
	return open/doors + b2i(rank(doors, offset, id) < open%doors)
}

// inPart tells whether a further attempt may be out for the customer. A door whose part is less than one attempt is
// granted that part of each second: it has one out for that share of the time at most, on average over spareOpen or
// more, so that all doors together have no more out than the limit on average, however much is asked of all of them.
// What it had out before a restart is not known, so a door begins with nothing saved up.
func (g *Gateway) inPart(c *customer) bool {
	if c.plan.Open <= 0 {
		return true
	}
	g.countOpen(c, 0)
	return c.open < c.openPart && (float64(c.plan.Open) >= c.doors || c.openTime >= 0)
}

// countOpen counts a change of the customer's attempts out here, and the time that they took until now.
func (g *Gateway) countOpen(c *customer, by int) {
	part := float64(c.plan.Open) / c.doors
	c.openTime = min(spareOpen, c.openTime+(part-float64(c.open))*(g.now-c.openAt).Seconds())
	c.openAt = g.now
	c.open += by
}

// held is the units that wait in the line.
func (c *customer) held() float64 {
	sum := 0.0
	for _, r := range c.line {
		sum += float64(b2i(r.awaits)) * r.units
	}
	return sum
}

// await holds a request whose customer has room in its quota but an attempt too many out here, if by the mean latency
// one ends soon enough. A part of one attempt is taken for a moment by each request, and the next one comes a moment
// too early as often as the customer is busy here; a refusal would send it to a door that knows no more. It is a wait
// for something that is about to come, not a refusal held back: what will not come in time is refused at once.
func (g *Gateway) await(r *request) bool {
	c := r.cust
	c.line = slices.DeleteFunc(c.line, func(r *request) bool { return !r.awaits })
	most := min(holdAim*r.class.Aim.Seconds(), holdPatience*(r.due-g.now).Seconds())
	if c.openPart == 0 || float64(len(c.line)+1)*g.meanLat/float64(c.openPart) > most {
		return false
	}
	r.awaits = true
	c.line = append(c.line, r)
	g.requests[r.id], g.bySeq[r.seq] = r, r
	g.act(SetTimer{After: seconds(most).Truncate(time.Microsecond), Token: r.seq})
	return true
}

// next lets in from the customer's line what there is room for again.
func (g *Gateway) next(c *customer) {
	for len(c.line) > 0 && g.inPart(c) {
		r := c.line[0]
		c.line[0], c.line = nil, c.line[1:]
		if r.awaits {
			r.awaits = false
			g.admit(r)
		}
	}
}
