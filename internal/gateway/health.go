package gateway

import (
	"math"
	"time"
)

// Passive health checks: failures of backends that a gateway detects from its own attempts, before the list of backends
// shows them.

const (
	initialBackoff    = 125 * time.Millisecond // after a failed connection; doubled by each further one in a row
	maxBackoff        = second                 // longest backoff
	downAfterFailures = 3                      // failed connections in a row after which a backend counts as down

	overdueThreshold     = 2.0      // answers that may be overdue before the backend's cost rises
	cancelAfterLatencies = 10.0     // mean latencies of its class after which a first attempt is cancelled
	cancelBudgetPerSend  = 1.0 / 16 // attempts that may be cancelled for each one sent
	maxCancelBudget      = 8.0      // attempts that may be cancelled in a burst
	maxOutlierPenalty    = 8.0      // most answers above overdueThreshold that cancelled attempts leave overdue
	maxColdLoad          = 0.45     // highest load of a cold backend, as a share of the load that would overload it
	coldCostFactor       = 1.0 / 4  // cost factor of a cold backend with a token: preferred unless 4 times as costly
	overdueDecayTime     = 1.0      // seconds in which the overdue answers of an idle backend decay to 1/e
	slownessDecayTime    = 2.0      // seconds in which the slowness of an idle backend above the mean decays to 1/e

	subsetWindow  = 4 * second // the subset has as many backends as the gateway sends attempts in this time
	minSubsetSize = 4.0        // least number of backends in the subset
	maxCandidates = 256        // most responsive backends of the subset that are compared for one attempt
)

// subsetSize returns the size of the subset of the backends that this gateway sends to. From a small subset, each of
// whose backends answers every few seconds, it learns which are slow or silent; from hundreds of backends it would
// not. Each gateway has its own random order of the backends, so all of them are used equally.
func (g *Gateway) subsetSize() float64 {
	return max(minSubsetSize, g.sendRate*subsetWindow.Seconds())
}

// onConnectFailure backs off from a backend that could not be reached, for longer with each failure in a row. Only
// after downAfterFailures of them does it assume that the backend's process is down, and treat it as cold, as it will
// be when the list shows it again. A single broken connection says nothing about the others.
func (g *Gateway) onConnectFailure(backend *trackedBackend) {
	backend.backoffUntil = g.now + min(initialBackoff<<backend.connectFailures, maxBackoff)
	if backend.connectFailures++; backend.connectFailures >= downAfterFailures {
		backend.cold, backend.coldSince, backend.tokens, backend.connectFailures = true, g.now, 0, downAfterFailures
		g.coldBackends.Add(backend)
	}
}

// capacityShare returns the least share of its full capacity that the backend has by now, from ColdCapacity to 1. It
// clears backend.cold once the backend has warmed up.
func (g *Gateway) capacityShare(backend *trackedBackend) float64 {
	age := float64(g.now - backend.coldSince)
	if backend.cold = backend.cold && age < float64(g.settings.WarmUpTime); !backend.cold {
		return 1
	}
	return min(1, g.settings.ColdCapacity+(1-g.settings.ColdCapacity)*max(0, age)/float64(g.settings.WarmUpTime))
}

// slowStartFactor paces the sends to a cold backend by a token bucket. It returns 0 if no send is due, else the factor
// on the backend's cost. The bucket refills at the backend's share, by its present capacity, of what this gateway
// sends to its subset. If every gateway does so, together they stay within the backend's capacity as long as the
// others can carry their load, with the overload multiple as the margin. At most one token is saved up, so there are
// no bursts. Where each of many gateways picks the backend every few seconds only, saving up a whole token would take
// as long as the warm-up; so each gateway begins with a random fraction of a token, and together they send at the
// right rate from the first second on. If *totalCapacity is 0, it is set to the capacity of all ready backends, in
// multiples of the capacity of a warm backend.
func (g *Gateway) slowStartFactor(backend *trackedBackend, totalCapacity *float64) float64 {
	capacity := g.capacityShare(backend)
	if !backend.cold {
		return 1
	}
	readyBackends := float64(g.ranking.Len() - g.unavailable.Len())
	if *totalCapacity == 0 {
		capacitySum := readyBackends
		g.coldBackends.Retain(func(other *trackedBackend) bool {
			capacitySum += float64(boolToInt(other.State == Ready)) * (g.capacityShare(other) - 1)
			return other.cold && g.backends[other.ID] == other
		})
		*totalCapacity = capacitySum
	}
	sendRate := g.sendRate
	if g.ticks == 0 { // no second has been counted yet
		sendRate = g.sends
	}
	meanRate := max(sendRate, readyBackends/float64(g.settings.Gateways)) / min(readyBackends, g.subsetSize())
	// relativeRate is the rate of sends to this backend as a multiple of meanRate, the mean over the subset.
	relativeRate := capacity * min(readyBackends / *totalCapacity, maxColdLoad*g.settings.OverloadMultiple)
	backend.tokens = min(1, backend.tokens+relativeRate*meanRate*(g.now-backend.tokensAt).Seconds())
	backend.tokensAt = g.now
	return coldCostFactor * float64(boolToInt(backend.tokens >= 1))
}

// updateOverdue brings the backend's overdue up to date and returns it: how many answers the backend would have given
// since its last one if each attempt took the mean latency, times the backend's slowness if that is above 1. Whatever
// silences the backend (a hang, a pause, a lost network) is thus detected without a timeout. A few long requests, or
// one on a dead connection, can raise overdue wrongly, so it only raises the backend's cost.
//
// While nothing is in flight, overdue and slowness decay: only a further attempt can show whether they still hold, and
// the higher they are the less often one is sent. Without the decay, each backend in turn is avoided for a minute
// after one dead attempt, and the rest are overloaded and answer late. The decay costs an attempt every few seconds at
// a backend that stays silent, which cancelSlow makes up for.
func (g *Gateway) updateOverdue(backend *trackedBackend) float64 {
	elapsed := (g.now - backend.overdueAt).Seconds()
	backend.overdueAt = g.now
	if backend.inFlight == 0 {
		backend.overdue *= math.Exp(-elapsed / overdueDecayTime)
		backend.slowness -= max(0, backend.slowness-1) * (1 - math.Exp(-elapsed/slownessDecayTime))
	}
	backend.overdue += float64(backend.inFlight) * elapsed / (g.meanLatency * max(1, backend.slowness))
	return backend.overdue
}

// cancelSlow cancels first attempts that have been in flight for far longer than usual, so that they are repeated at
// another backend, in the same slot. Otherwise, a connection that went silent or a backend that hangs holds the slot
// until the client times out, a hundred times as long as an answer takes, and a few such slots are all of a small
// concurrency limit. In an overload many attempts take as long, and each cancelled one is work done twice. So the
// cancellations are limited by a budget, which is a small share of the sends, and no request is cancelled twice. Where
// requests of more than that share are slow by nature, the wasted work is limited to that share. The attempts of each
// class are checked in the order in which they were sent.
func (g *Gateway) cancelSlow() {
	for _, class := range g.orderedClasses {
		for len(class.firstAttempts) > 0 {
			request := class.firstAttempts[0]
			attempt := &request.attempts[0]
			waiting := !request.ended && !request.streamed && len(request.attempts) == 1 && attempt.inFlight
			if waiting && (g.now-attempt.sentAt).Seconds() < cancelAfterLatencies*class.meanLatency {
				break
			}
			class.firstAttempts[0], class.firstAttempts = nil, class.firstAttempts[1:]
			canStillFinish := (request.deadline - g.now).Seconds() > 2*class.meanLatency
			if waiting && canStillFinish && g.settings.CanCancel && g.cancelBudget >= 1 &&
				g.chooseBackend(request) != nil {
				g.cancelBudget--
				attempt.superseded = true
				g.emit(Cancel{Request: request.id})
			}
		}
	}
}

// markOutlier applies the outlier penalty to a backend after an attempt there was cancelled as too slow: it limits
// overdue to overdueThreshold plus the penalty. A single such attempt may be the fault of its connection, so the first
// penalty is small and the backend is soon tried again. It doubles with each further one until an answer comes.
func (g *Gateway) markOutlier(backend *trackedBackend) {
	backend.overdue = min(backend.overdue, overdueThreshold+min(maxOutlierPenalty, math.Ldexp(1, backend.outlierCount)))
	backend.outlierCount++
}
