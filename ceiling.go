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
)

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

// openPart is how many of a customer's attempts out this door may have, the offset-th of its set. What does not divide
// evenly goes to some of the doors, other ones for each customer. Where there are fewer attempts than doors, one more
// door has one: the rule leaves a slack of one request. The rest have none, as rounding up at every door would add up
// to as many over the limit as there are doors.
func openPart(open, doors, offset int, id CustomerID) int {
	if offset >= doors {
		return 0
	}
	first := rank(doors, offset, id)
	if open < doors {
		return b2i(first <= open)
	}
	return open/doors + b2i(first < open%doors)
}

// hasOpen tells whether a further attempt may be out for the customer.
func (c *customer) hasOpen() bool {
	return c.plan.Open <= 0 || c.open < c.openPart && len(c.line) == 0
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

// next lets in from the customer's line what an ended attempt has made room for.
func (g *Gateway) next(c *customer) {
	for len(c.line) > 0 && c.open < c.openPart {
		r := c.line[0]
		c.line[0], c.line = nil, c.line[1:]
		if r.awaits {
			r.awaits = false
			g.admit(r)
		}
	}
}
