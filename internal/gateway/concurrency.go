package gateway

import (
	"math"
)

// N, the limit on the attempts out at once.

const (
	badShare = 0.05    // the design: more bad outcomes than this in a second press N down
	cutTo    = 0.9     // the design: to this multiple of the attempts out
	growBy   = 1.1     // the design: other seconds grow N by a tenth
	lateAt   = 0.5     // an attempt older than this share of its class's aim counts as timed out for N
	lateBase = 6.0     // ... or older than this multiple of its class's latency at its best
	minEnded = 20      // attempts that 5 in 100 is counted over at least
	byChance = 3.0     // standard deviations over 5 in 100 that a second's bad outcomes reach by chance
	slowest  = 1.0 / 4 // least weight of a second in N's means: the noise of one of 300 gateways evens out
)

// late is the age from which an attempt counts as timed out for N.
func (c *class) late() float64 { return min(lateAt*c.Aim.Seconds(), lateBase*c.bestLatency) }

// adjustLimit is the design's rule for N, once a second, with exceptions. An attempt older than lateAt of its
// class's aim, or than lateBase times the class's best latency, counts as timed out, ended or still out: the
// client's own time-out comes only when the queues hold nothing but work that nobody waits for. Sub-rated
// attempts count as the slots they were squeezed from, else each lifts the next cut. Bad outcomes press only
// when spread over many backends. N stays between half of what a second's answers can carry without being
// late and all of it: by Little's law what is beyond must be late. At many gateways a second holds an
// attempt or two: means fade over seconds, and N grows only if something has ended since its cut. What
// presses must lie byChance over 5 in 100, as of a few dozen outcomes more are often bad by chance.
func (g *Gateway) adjustLimit() {
	weight := max(slowest, min(0.5, g.sendRate/minEnded))
	sick, ready := 0, g.ranking.Len()-g.unavailable.Len()
	for _, r := range g.requests { // counts only: the order reaches no action
		for i := range r.attempts {
			if t := &r.attempts[i]; t.open && !t.countedLate && (g.now-t.sent).Seconds() > r.class.late() {
				t.b.lastBadAt, t.countedLate = g.now, true
				g.outcomes++
				g.badOutcomes++
			}
		}
	}
	for b := range g.ranking.All() {
		sick += b2i(b.lastBadAt > 0 && g.now-b.lastBadAt < seconds(0.5/weight))
	}
	first := min(0.5, 1/max(1, g.ticks)) // its first counts weigh more
	g.sustainable += max(weight, first) * (g.answerTime - g.sustainable)
	g.answerTime = 0
	floor := max(float64(max(1, ready))/float64(g.settings.Gateways), g.sustainable/2)
	spread := float64(sick) > min(g.badOutcomes/2, float64(ready)/3)
	usual := badShare * max(g.outcomes, minEnded)
	pressed := spread && g.badOutcomes > min(usual+byChance*math.Sqrt(usual), g.outcomes/2)
	told := g.outcomes > 0
	g.outcomes, g.badOutcomes = g.outcomes*(1-2*weight), g.badOutcomes*(1-2*weight)
	g.average()
	old := g.limit
	if pressed {
		g.outcomes, g.badOutcomes = 0, 0
		inUse := g.meanInUse[highReserve] + g.meanInUse[lowReserve] + g.meanInUse[sharedPool]
		g.limit = cutTo * min(g.limit, inUse)
	} else if told {
		g.limit *= growBy
	}
	if g.sustainable > 0 {
		g.limit = min(g.limit, g.sustainable)
	}
	if g.limit = max(g.limit, floor); g.limit == old {
		return
	}
	if math.IsInf(old, 1) || math.IsInf(g.limit, 1) {
		g.split()
	} else { // between re-splits the reserves keep their shares of N
		for p := range g.partSize {
			g.partSize[p] *= g.limit / old
		}
	}
}
