package gateway

import (
	"math"
)

// The concurrency limit N: how many attempts may be in flight at once.

const (
	// The specification prescribes these three values.
	badOutcomeShare = 0.05 // share of bad outcomes above which N is lowered
	decreaseFactor  = 0.9  // N is lowered to this multiple of the attempts in flight
	increaseFactor  = 1.1  // N is raised by this factor in any other second

	lateTargetShare   = 0.5 // an attempt older than this share of its target latency counts as late
	lateLatencyFactor = 6.0 // an attempt older than this multiple of its class's minimum latency is late, too

	// minOutcomes is the least number of outcomes that badOutcomeShare is applied to. The fewer sends a
	// gateway has per second relative to it, the more seconds the means behind N are taken over.
	minOutcomes = 20

	badOutcomeDeviations = 3.0 // standard deviations above badOutcomeShare that can occur by chance

	// minMeanWeight is the least weight of a second in the means behind N. The means of a gateway with few
	// sends per second are noisy, but over 300 gateways the noise cancels out.
	minMeanWeight = 1.0 / 4
)

// lateAge returns the age in seconds from which an attempt counts as timed out for the concurrency limit.
func (c *classState) lateAge() float64 {
	return min(lateTargetShare*c.TargetLatency.Seconds(), lateLatencyFactor*c.minLatency)
}

// adjustLimit adjusts the concurrency limit N once a second. The specification prescribes that N is lowered
// by decreaseFactor if more than badOutcomeShare of the outcomes are bad (late or rejected), and else raised
// by increaseFactor. The exceptions are:
//
//   - An attempt older than lateAge counts as timed out, whether it has ended or is still in flight. The
//     client's own timeout comes only when the backends' queues hold only work that no client waits for.
//   - Sub-rated attempts count as the reduced slots that they occupy, else each of them would raise the limit
//     that the next decrease starts from.
//   - Bad outcomes lower N only if they are spread over many backends: over more than half as many as there
//     are bad outcomes, or over more than a third of the ready backends.
//   - N stays between one half and the whole of sustainableLimit, the attempts in flight that a second's
//     answers can sustain without being late: by Little's law, any beyond it must be late. N is never less
//     than this gateway's share of one attempt per ready backend.
//   - In a fleet of many gateways, each has an attempt or two in a second. So the counts are decaying sums
//     over seconds, and N is raised only if an attempt has ended since it was last lowered.
//   - Bad outcomes must exceed their share by badOutcomeDeviations standard deviations, or be more than half
//     of all, as of a few dozen outcomes more than the share are often bad by chance.
func (g *Gateway) adjustLimit() {
	weight := max(minMeanWeight, min(0.5, g.sendRate/minOutcomes))
	affectedBackends, readyBackends := 0, g.ranking.Len()-g.unavailable.Len()
	for _, request := range g.requests { // only counts, so the random order of the map has no effect
		for i := range request.attempts {
			if attempt := &request.attempts[i]; attempt.inFlight && !attempt.countedLate &&
				(g.now-attempt.sentAt).Seconds() > request.class.lateAge() {
				attempt.backend.lastBadAt, attempt.countedLate = g.now, true
				g.outcomes++
				g.badOutcomes++
			}
		}
	}
	for backend := range g.ranking.All() {
		affectedBackends += boolToInt(backend.lastBadAt > 0 && g.now-backend.lastBadAt < seconds(0.5/weight))
	}
	firstWeight := min(0.5, 1/max(1, g.ticks)) // the first seconds have more weight in sustainableLimit
	g.sustainableLimit += max(weight, firstWeight) * (g.lateAgeSum - g.sustainableLimit)
	g.lateAgeSum = 0
	minLimit := max(float64(max(1, readyBackends))/float64(g.settings.Gateways), g.sustainableLimit/2)
	widespread := float64(affectedBackends) > min(g.badOutcomes/2, float64(readyBackends)/3)
	expectedBad := badOutcomeShare * max(g.outcomes, minOutcomes)
	overloaded := widespread &&
		g.badOutcomes > min(expectedBad+badOutcomeDeviations*math.Sqrt(expectedBad), g.outcomes/2)
	hasOutcomes := g.outcomes > 0
	g.outcomes, g.badOutcomes = g.outcomes*(1-2*weight), g.badOutcomes*(1-2*weight)
	g.updateMeanInUse()
	oldLimit := g.concurrencyLimit
	if overloaded {
		g.outcomes, g.badOutcomes = 0, 0
		inUse := g.meanInUse[highReserve] + g.meanInUse[lowReserve] + g.meanInUse[sharedPool]
		g.concurrencyLimit = decreaseFactor * min(g.concurrencyLimit, inUse)
	} else if hasOutcomes {
		g.concurrencyLimit *= increaseFactor
	}
	if g.sustainableLimit > 0 {
		g.concurrencyLimit = min(g.concurrencyLimit, g.sustainableLimit)
	}
	if g.concurrencyLimit = max(g.concurrencyLimit, minLimit); g.concurrencyLimit == oldLimit {
		return
	}
	if math.IsInf(oldLimit, 1) || math.IsInf(g.concurrencyLimit, 1) {
		g.applySplit()
	} else { // until the next split, the partitions keep their shares of N
		for partition := range g.partitionSize {
			g.partitionSize[partition] *= g.concurrencyLimit / oldLimit
		}
	}
}
