package gateway

import (
	"math"
	"time"
)

// What a gateway notices of its backends before the list tells.

const (
	firstHold   = 125 * time.Millisecond
	longestHold = second
	downAfter   = 3 // failed connections in a row

	quietFor   = 2.0      // answers that a backend may owe, in mean answers, before it costs more to choose
	deadAfter  = 10.0     // mean latencies of its class after which a first attempt is given up, if another can be made
	spareShare = 1.0 / 16 // of the sends may be cancelled
	mostSpare  = 8.0      // ... and so many at once
	mostStrike = 8.0      // mean answers, over those that are free, that a backend owes at most after a strike
	coldMost   = 0.45     // of the fall multiple: more than so much of a cold backend's warmth is not sent to it
	coldTurn   = 1.0 / 4  // of its cost is a cold backend's whose turn it is: it goes first unless four times as costly
	owedFades  = 1.0      // seconds in which what an idle backend owes fades to 1/e
	slowFades  = 2.0      // ... and its slowness over the mean

	knownFor   = 4 * second // a gateway keeps to as many backends as it sends requests in this time
	knownLeast = 4.0        // ... and to this many at least
	mostLooked = 256        // of these are looked at for one attempt at most
)

// subsetSize is how many backends this gateway keeps to: of a few that it hears from every few seconds it learns
// which are slow or silent, of a hundred it would not. As each gateway has its own order of them, all are used
// alike.
func (g *Gateway) subsetSize() float64 {
	return max(knownLeast, g.sendRate*knownFor.Seconds())
}

// noConnection holds sends to a backend that could not be reached, for longer each time in a row. Only where that
// goes on is its process taken to be down, and then it will be cold by the list's next word: a single connection
// that breaks tells nothing of the rest.
func (g *Gateway) noConnection(b *backend) {
	b.holdUntil = g.now + min(firstHold<<b.unreached, longestHold)
	if b.unreached++; b.unreached >= downAfter {
		b.cold, b.coldSince, b.tokens, b.unreached = true, g.now, 0, downAfter
		g.coldBackends.Add(b)
	}
}

// warmth is the least share of its capacity that the backend has by now.
func (g *Gateway) warmth(b *backend) float64 {
	age := float64(g.now - b.coldSince)
	if b.cold = b.cold && age < float64(g.settings.WarmWithin); !b.cold {
		return 1
	}
	return min(1, g.settings.ColdFrom+(1-g.settings.ColdFrom)*max(0, age)/float64(g.settings.WarmWithin))
}

// coldToken paces the sends to a cold backend: by its warmth, it gets its part of what this gateway sends to all
// that it keeps to. If every gateway does so, together they stay within its present capacity wherever the rest can
// bear its load, with the fall multiple as the margin. At most one send is saved up: none bursts in. Where one of
// many gateways gets to a backend every few seconds only, a whole token would take the time of the warming up; so
// each gateway begins with a random part of one, and all together send at the right rate from the first second on.
// It is 0 where no send is due, else the factor of the backend's cost. warm, if 0, becomes the warmth of all.
func (g *Gateway) coldToken(b *backend, warm *float64) float64 {
	w := g.warmth(b)
	if !b.cold {
		return 1
	}
	ready := float64(g.ranking.Len() - g.unavailable.Len())
	if *warm == 0 {
		sum := ready
		g.coldBackends.Retain(func(o *backend) bool {
			sum += float64(b2i(o.State == Ready)) * (g.warmth(o) - 1)
			return o.cold && g.backends[o.ID] == o
		})
		*warm = sum
	}
	sends := g.sendRate
	if g.ticks == 0 { // nothing counted yet: what it has sent is all that it knows
		sends = g.sends
	}
	rate := max(sends, ready/float64(g.settings.Gateways)) / min(ready, g.subsetSize())
	part := w * min(ready / *warm, coldMost*g.settings.FallMultiple) // of what a warm one is sent on average
	b.tokens = min(1, b.tokens+part*rate*(g.now-b.tokensAt).Seconds())
	b.tokensAt = g.now
	return coldTurn * float64(b2i(b.tokens >= 1))
}

// updateOverdue brings up to now how many mean answers are overdue from the backend since its last one: whatever
// makes it go silent (hang, pause, lost network) shows without a time-out. A few long requests, or one on a dead
// connection, can raise it wrongly, so it only raises the cost. With nothing out that fades, and so does slowness:
// only a further attempt tells whether they still hold, and the higher they stand the less is known. Else every
// backend is shunned in turn for a minute after one dead attempt, and the rest, crowded, answer late. It costs an
// attempt every few seconds at a backend that goes on being silent; cancelSlow makes that up.
func (g *Gateway) updateOverdue(b *backend) float64 {
	dt := (g.now - b.overdueAt).Seconds()
	b.overdueAt = g.now
	if b.out == 0 {
		b.overdue *= math.Exp(-dt / owedFades)
		b.slow -= max(0, b.slow-1) * (1 - math.Exp(-dt/slowFades))
	}
	b.overdue += float64(b.out) * dt / (g.meanLatency * max(1, b.slow))
	return b.overdue
}

// cancelSlow ends first attempts that have waited out of all proportion, so that they are made once more elsewhere,
// in the same slot. A connection that has gone silent, or a backend that hangs, would else hold the slot until the
// client gives up, a hundred times as long as an answer takes; a few of them are all of a small N. In a jam many
// wait as long, and what is cancelled there is work done twice, so a small share of the sends bounds it and no
// request is cancelled again: it can do harm where more than that share is slow by nature, up to that share. Each
// class's attempts are looked at in the order of their sends.
func (g *Gateway) cancelSlow() {
	for _, cl := range g.byClass {
		for len(cl.first) > 0 {
			r := cl.first[0]
			t := &r.attempts[0]
			waits := !r.ended && !r.streamed && len(r.attempts) == 1 && t.open
			if waits && (g.now-t.sent).Seconds() < deadAfter*cl.latency {
				break
			}
			cl.first[0], cl.first = nil, cl.first[1:]
			inTime := (r.deadline - g.now).Seconds() > 2*cl.latency
			if waits && inTime && g.settings.CanCancel && g.cancelBudget >= 1 && g.choose(r) != nil {
				g.cancelBudget--
				t.superseded = true
				g.act(Cancel{Request: r.id})
			}
		}
	}
}

// markOutlier makes a backend costlier after an attempt there was cancelled. One may be its connection's fault, so
// the backend is soon tried again; it gets twice as costly with each further one until an answer comes.
func (g *Gateway) markOutlier(b *backend) {
	b.overdue = min(b.overdue, quietFor+min(mostStrike, math.Ldexp(1, b.outliers)))
	b.outliers++
}
