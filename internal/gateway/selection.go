package gateway

import (
	"math"
	"slices"
	"time"
)

// The list of backends, and the choice of a backend for an attempt.

// onBackendList applies an update of the list of backends.
func (g *Gateway) onBackendList(ev BackendList) {
	if ev.Kind == ListFailed {
		if g.settings.SubscribeToList {
			g.emit(Subscribe{})
		}
		return
	}
	g.renewListLease(ev.Kind)
	if ev.Kind != ListChanges {
		for backend := range g.ranking.All() {
			backend.State = Gone
			g.unavailable.Add(backend)
		}
	}
	for _, info := range ev.Backends {
		backend := g.backends[info.ID]
		if backend == nil {
			if info.State == Gone {
				continue
			}
			backend = &trackedBackend{slowness: 1, overdueAt: g.now, tokensAt: g.now, rank: g.rng.Uint64()}
			g.backends[info.ID] = backend
			g.ranking.Insert(backend.rank, backend)
		}
		if info.Started > backend.coldSince && info.Started > 0 {
			backend.cold, backend.coldSince = true, info.Started
			backend.slowness, backend.overdue, backend.backoffUntil, backend.tokens, backend.tokensAt =
				1, 0, 0, g.rng.Float64(), g.now
			g.coldBackends.Add(backend)
		}
		if backend.BackendInfo = info; info.State != Ready {
			g.unavailable.Add(backend)
		}
	}
	g.unavailable.Retain(func(backend *trackedBackend) bool {
		if backend.State == Gone && backend.inFlight == 0 {
			delete(g.backends, backend.ID)
			g.ranking.Delete(backend.rank)
			return false
		}
		return backend.State != Ready
	})
}

// chooseBackend returns the ready backend that should answer a further attempt of the request first, or nil
// if there is none: the one with the lowest cost. The cost is the number of attempts in flight times the
// slowness, with a penalty for overdue answers, the factor of a cold backend, and a random factor of up to 5%
// against ties. The candidates are the backends of this gateway's subset: the first in its random order,
// until as many as subsetSize are responsive, which means at most overdueThreshold answers overdue. If the
// subset is larger than maxCandidates, a part of it is examined that is drawn at random each time.
func (g *Gateway) chooseBackend(request *requestState) *trackedBackend {
	var best *trackedBackend
	minCost, responsive, totalCapacity, subsetSize := math.Inf(1), 0.0, 0.0, g.subsetSize()
	for walk := g.ranking.Walk(int(subsetSize), maxCandidates, g.rng); responsive <
		min(subsetSize, maxCandidates) && walk.Next(); {
		backend := walk.Value()
		if backend.State != Ready || g.now < backend.backoffUntil || !g.isConfirmed(backend) ||
			!g.eligible(request, backend) {
			continue
		}
		overdue := g.updateOverdue(backend)
		responsive += float64(boolToInt(overdue <= overdueThreshold))
		if costFactor := g.slowStartFactor(backend, &totalCapacity); costFactor > 0 {
			overduePenalty := 1 + max(0, overdue-overdueThreshold)
			cost := float64(backend.inFlight+1) * backend.slowness * overduePenalty *
				(1 + 0.05*g.rng.Float64()) * costFactor
			if cost < minCost {
				best, minCost = backend, cost
			}
		}
	}
	return best
}

// eligible reports whether the request may be sent to the backend. A request is not sent to the same backend
// twice, unless there is only one. Once a request may have run, and its class is not Safe, it is sent only to
// backends that drop its repeats, and only as long as they do, so that it does not run twice.
func (g *Gateway) eligible(request *requestState, backend *trackedBackend) bool {
	if g.ranking.Len() > 1 &&
		slices.ContainsFunc(request.attempts,
			func(earlier attemptState) bool { return earlier.backend == backend }) {
		return false
	}
	attempt, scope := request.mayHaveRun(), request.class.Scope
	if attempt == nil || request.class.Effect == Safe {
		return true
	}
	return request.class.Effect == Deduplicated && g.dedupRemaining(request, attempt) > 0 &&
		(scope != ScopeZone || attempt.backend.Zone == backend.Zone) &&
		(scope != ScopeCell || attempt.backend.Cell == backend.Cell)
}

// dedupRemaining returns how much longer the backends drop repeats of an attempt that may have run, less a
// safety margin, so that no repeat arrives after they have dropped the key. AnswerGrace serves as the margin.
func (g *Gateway) dedupRemaining(request *requestState, attempt *attemptState) time.Duration {
	return request.class.DedupWindow - g.settings.AnswerGrace - (g.now - attempt.sentAt)
}

// mayHaveRun returns the first attempt that may have run, or nil.
func (r *requestState) mayHaveRun() *attemptState {
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if attempt.inFlight || !slices.Contains([]Result{Rejected, NoConnection, NotSent}, attempt.result) {
			return attempt
		}
	}
	return nil
}
