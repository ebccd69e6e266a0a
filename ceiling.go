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
	parts    float64 // that the ceiling is split into
	hasCeil  bool    // one of them is this door's
	ceil     float64 // what is left in it, as of ceilAt
	ceilAt   time.Duration
	openPart int     // attempts that may be out here
	openTime float64 // where the part is less than one: the time of an attempt out saved up as of openAt, seconds
	openAt   time.Duration
	line     []*request // held until an attempt out ends; some have ended
}

// What one of many doors lets in of a customer of which nothing has told it yet.
const (
	overWeighs  = 5.0 // times the settings' figure is what a try beyond the quota costs taken to be
	unheardFall = 6.0 // power by which the pass share falls where that is more than such a try is worth
)

// unheard is the pass share of a customer of which nothing tells. One of two doors meets everybody and projects the
// store by its own sends; one of 300 meets most customers once, and would let in all that those who ask for many times
// their quota ask of each door. Any level of the store is as likely as another, so a try is beyond it with chance
// units/burst: what passes must be worth more than it costs by that chance. Measured at 300 doors on calm days: tries
// of one unit were beyond in 6 to 11 of 100, of half a burst in 39 to 47. The cost weighs more than once, as all doors
// together are held to a bound on it; a small try passes anyway, and what its answer tells lets larger ones follow.
func (c *customer) unheard(units float64) float64 {
	p := c.plan
	if p.Rate <= 0 {
		return 1
	}
	over := (1 - min(1, 2/c.doors)) * min(1, units/p.Burst)
	return min(1, math.Pow(over*(1-p.OverWorth+overWeighs*p.OverCost), -unheardFall))
}

// newLimits takes all to have been used up when this door started, as before a restart it may have been.
func (g *Gateway) newLimits(plan *Plan, doors, offset int, id CustomerID) limits {
	parts := ceilingParts(plan.CeilingBurst, g.set.LargestUnits, doors)
	return limits{parts: float64(parts), hasCeil: offset < doors && rank(doors, offset, id) < parts, ceilAt: g.boot,
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
