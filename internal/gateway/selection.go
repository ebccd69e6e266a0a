package gateway

import (
	"math"
	"slices"
	"time"
)

// The list of backends, and the choice of one for an attempt.

func (g *Gateway) onList(ev BackendList) {
	if ev.Kind == ListFailed {
		if g.settings.AskForList {
			g.act(Subscribe{})
		}
		return
	}
	g.confirm(ev.Kind)
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
			b = &backend{slow: 1, overdueAt: g.now, tokensAt: g.now, rank: g.rng.Uint64()}
			g.backends[info.ID] = b
			g.ranking.Insert(b.rank, b)
		}
		if info.Started > b.coldSince && info.Started > 0 {
			b.cold, b.coldSince = true, info.Started
			b.slow, b.overdue, b.holdUntil, b.tokens, b.tokensAt = 1, 0, 0, g.rng.Float64(), g.now
			g.coldBackends.Add(b)
		}
		if b.BackendInfo = info; info.State != Ready {
			g.unavailable.Add(b)
		}
	}
	g.unavailable.Retain(func(b *backend) bool {
		if b.State == Gone && b.out == 0 {
			delete(g.backends, b.ID)
			g.ranking.Delete(b.rank)
			return false
		}
		return b.State != Ready
	})
}

// choose picks the ready backend where a further attempt should be answered first: least attempts out times
// its slowness, with silent ones costing more. Where it keeps to many, it looks at some of them, drawn anew.
func (g *Gateway) choose(r *request) *backend {
	var best *backend
	least, seen, warm, known := math.Inf(1), 0.0, 0.0, g.subsetSize()
	for walk := g.ranking.Walk(int(known), mostLooked, g.rng); seen < min(known, mostLooked) && walk.Next(); {
		b := walk.Value()
		if b.State != Ready || g.now < b.holdUntil || !g.fresh(b) || !g.eligible(r, b) {
			continue
		}
		owed := g.updateOverdue(b)
		seen += float64(b2i(owed <= quietFor))
		if turn := g.coldToken(b, &warm); turn > 0 {
			quiet := 1 + max(0, owed-quietFor)
			cost := float64(b.out+1) * b.slow * quiet * (1 + 0.05*g.rng.Float64()) * turn
			if cost < least {
				best, least = b, cost
			}
		}
	}
	return best
}

// eligible is rule 2 and good sense: not where the request was before, and, once it may have run, only inside
// the group that drops its repeats and the time that the group remembers it.
func (g *Gateway) eligible(r *request, b *backend) bool {
	if g.ranking.Len() > 1 && slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.b == b }) {
		return false
	}
	t, group := r.mayHaveRun(), r.class.Group
	if t == nil || r.class.Effect == Safe {
		return true
	}
	return r.class.Effect == Keyed && g.keyRemaining(r, t) > 0 &&
		(group != GroupZone || t.b.Zone == b.Zone) && (group != GroupCell || t.b.Cell == b.Cell)
}

// keyRemaining is for how long yet the backends remember an attempt that may have run.
func (g *Gateway) keyRemaining(r *request, t *attempt) time.Duration {
	return r.class.KeyWindow - g.settings.AnswerGrace - (g.now - t.sent)
}

// mayHaveRun is the first attempt that may have run, or nil.
func (r *request) mayHaveRun() *attempt {
	for i := range r.attempts {
		t := &r.attempts[i]
		if t.open || !slices.Contains([]Result{Rejected, NoConnection, NotSent}, t.result) {
			return t
		}
	}
	return nil
}
