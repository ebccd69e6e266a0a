package gateway

import (
	"time"
)

// Attempts: what is sent, what their ends tell, further ones, and the final answer.

const (
	gain      = 1.0 / 16 // weight of one answer in the running means of latency
	mostTries = 3        // attempts for one request at most, also where the settings allow more
)

func (g *Gateway) send(r *request, b *backend, s *slot) {
	within := time.Duration(0)
	if t := r.mayHaveRun(); t != nil && r.class.Effect == Keyed { // its connection may come up late
		within = g.keyRemaining(r, t)
	}
	r.attempts = append(r.attempts, attempt{b: b, sent: g.now, open: true, slot: s})
	g.updateOverdue(b)
	b.out++
	b.tokens--
	g.sends++
	g.cancelBudget = min(mostSpare, g.cancelBudget+spareShare)
	g.countOpen(r.customer, 1)
	g.act(Send{Request: r.id, Backend: b.ID, Within: within})
}

func (g *Gateway) onOutcome(ev Outcome) {
	r := g.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	t := &r.attempts[ev.Attempt]
	t.open, t.result = false, ev.Result
	g.learn(r, t, ev)
	s := t.slot
	t.b.out--
	g.countOpen(r.customer, -1)
	defer g.dequeue(r.customer)
	if ev.HasUse {
		g.learnUsage(r.customer, max(0, ev.Use)/100)
		g.onReading(r.customer, max(0, ev.Use))
	}
	if ev.Final {
		g.end(r)
	}
	if r.ended || r.streamed || !g.retry(r, s) {
		g.freeSlot(s)
		if !r.ended && !r.streamed {
			g.answerFinally(r)
		}
	}
	g.drop(r)
}

// learn takes what an outcome tells of its backend and of the back end as a whole.
func (g *Gateway) learn(r *request, t *attempt, ev Outcome) {
	b, took := t.b, ev.Took.Seconds()
	g.updateOverdue(b)
	g.proveFresh(t)
	late := ev.Result == TimedOut || ev.Result == Answered && took > r.class.late()
	if ev.Result != Cancelled && ev.Result != NotSent && !t.countedLate {
		g.outcomes++
		if late || ev.Result == Rejected {
			g.badOutcomes++
			b.lastBadAt = g.now
		}
	}
	switch ev.Result {
	case AnsweredErr, Unknown: // the backend said something
		b.overdue = 0
	case Answered:
		b.overdue, b.unreached, b.outliers = 0, 0, 0
		g.answerTime += r.class.late()
		r.class.latency += gain * (took - r.class.latency)
		r.class.bestLatency = min(r.class.latency, r.class.bestLatency*(1+gain*gain/4))
		g.meanLatency += gain * (took - g.meanLatency)
		g.bestLatency = min(g.meanLatency, g.bestLatency*(1+gain*gain/4))
		b.slow += 2 * gain * (took/r.class.latency - b.slow)
	case TimedOut, Cancelled: // it would have taken as long, unless it was dead
		if t.superseded {
			g.markOutlier(b)
			break
		}
		b.slow += 2 * gain * max(0, min(took/r.class.latency, deadAfter)-b.slow)
	case Rejected:
		b.overdue, b.holdUntil = 0, g.now+seconds(g.meanLatency/2)
	case NoConnection:
		g.noConnection(b)
	}
	b.slow = max(b.slow, 0.1)
}

// retry sends a request whose attempts have all failed once more, in the slot of the last, if the client can
// still be answered in time. It needs no budget of its own: N bounds all that is out.
func (g *Gateway) retry(r *request, s *slot) bool {
	tooLate := (r.deadline - g.now).Seconds() < r.class.latency/2
	if tooLate || len(r.attempts) >= min(g.settings.MaxAttempts, mostTries) {
		return false
	}
	b := g.choose(r)
	if b != nil {
		g.send(r, b, s)
	}
	return b != nil
}

// answerFinally gives the final answer to a request that was not served: a refusal where that is true to
// rule 2.
func (g *Gateway) answerFinally(r *request) {
	t := r.mayHaveRun()
	if t == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Group == GroupAll && g.now-t.sent < r.class.KeyWindow {
		g.act(Reject{r.id, g.untilSlot()})
	} else {
		g.act(Fail{Request: r.id})
	}
	g.end(r)
}

// end stops all that goes on for a request. Its attempts keep their slots until their outcomes come.
func (g *Gateway) end(r *request) {
	if r == nil || r.ended {
		return
	}
	r.ended, r.queued = true, false
	if r.out() && g.settings.CanCancel {
		g.act(Cancel{Request: r.id, Attempt: len(r.attempts) - 1})
	}
	g.drop(r)
}

// drop forgets a request once nothing of it is left.
func (g *Gateway) drop(r *request) {
	if r.ended && !r.out() {
		delete(g.requests, r.id)
		delete(g.bySeq, r.seq)
	}
}
