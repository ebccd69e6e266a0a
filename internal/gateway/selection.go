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
		for b := range g.ranking.All() {
			b.State = Gone
			g.unavailable.Add(b)
		}
	}
	for _, info := range ev.Backends {
		b := g.backends[info.ID]
		if b == nil {
			if info.State == Gone {
				continue
			}
			b = &backend{slowness: 1, overdueAt: g.now, tokensAt: g.now, rank: g.rng.Uint64()}
			g.backends[info.ID] = b
			g.ranking.Insert(b.rank, b)
		}
		if info.Started > b.coldSince && info.Started > 0 {
			b.cold, b.coldSince = true, info.Started
			b.slowness, b.overdue, b.backoffUntil, b.tokens, b.tokensAt = 1, 0, 0, g.rng.Float64(), g.now
			g.coldBackends.Add(b)
		}
		if b.BackendInfo = info; info.State != Ready {
			g.unavailable.Add(b)
		}
	}
	g.unavailable.Sweep(func(b *backend) bool {
		if b.State == Gone && b.inFlight == 0 {
			delete(g.backends, b.ID)
			g.ranking.Delete(b.rank)
			return false
		}
		return b.State != Ready
	})
}

// chooseBackend returns the ready backend that should answer a further attempt of the request first, or nil
// if there is none: the one with the fewest attempts in flight times its slowness, with a penalty for overdue
// answers and a random factor of up to 5% against ties. If the subset is large, it examines a part of it that
// is drawn at random each time.
func (g *Gateway) chooseBackend(r *request) *backend {
	var best *backend
	minCost, responsive, totalCapacity, size := math.Inf(1), 0.0, 0.0, g.subsetSize()
	for walk := g.ranking.Some(int(size), maxCandidates, g.rng); responsive < min(size, maxCandidates) &&
		walk.Next(); {
		b := walk.Value()
		if b.State != Ready || g.now < b.backoffUntil || !g.isConfirmed(b) || !g.eligible(r, b) {
			continue
		}
		overdue := g.updateOverdue(b)
		responsive += float64(boolToInt(overdue <= overdueThreshold))
		if slowStartFactor := g.slowStartFactor(b, &totalCapacity); slowStartFactor > 0 {
			overduePenalty := 1 + max(0, overdue-overdueThreshold)
			cost := float64(b.inFlight+1) * b.slowness * overduePenalty * (1 + 0.05*g.rng.Float64()) *
				slowStartFactor
			if cost < minCost {
				best, minCost = b, cost
			}
		}
	}
	return best
}

// eligible reports whether the request may be sent to the backend. A request is not sent to the same backend
// twice, unless there is only one. Once a request may have run and is not Safe to repeat, it is sent only to
// backends that drop its repeats, and only as long as they do, so that it does not run twice.
func (g *Gateway) eligible(r *request, b *backend) bool {
	if g.ranking.Len() > 1 &&
		slices.ContainsFunc(r.attempts, func(attempt attemptState) bool { return attempt.backend == b }) {
		return false
	}
	attempt, scope := r.mayHaveRun(), r.class.Scope
	if attempt == nil || r.class.Effect == Safe {
		return true
	}
	return r.class.Effect == Deduplicated && g.dedupRemaining(r, attempt) > 0 &&
		(scope != ScopeZone || attempt.backend.Zone == b.Zone) &&
		(scope != ScopeCell || attempt.backend.Cell == b.Cell)
}

// dedupRemaining returns how much longer the backends drop repeats of an attempt that may have run.
func (g *Gateway) dedupRemaining(r *request, attempt *attemptState) time.Duration {
	return r.class.DedupWindow - g.settings.AnswerGrace - (g.now - attempt.sentAt)
}

// mayHaveRun returns the first attempt that may have run, or nil.
func (r *request) mayHaveRun() *attemptState {
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if attempt.inFlight || !slices.Contains([]Result{Rejected, NoConnection, NotSent}, attempt.result) {
			return attempt
		}
	}
	return nil
}
