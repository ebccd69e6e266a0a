package gateway

import (
	"time"
)

// Attempts: sends, outcomes, retries and the final answer.

const (
	latencyWeight = 1.0 / 16 // weight of one answer in the running means of latency
	maxAttempts   = 3        // most attempts for one request, also where the settings allow more
)

// send sends an attempt of the request to the backend, in the given slot.
func (g *Gateway) send(r *request, b *backend, slot *heldSlot) {
	startWithin := time.Duration(0)
	// Establishing a connection may take long, and a repeat must not start after the end of its DedupWindow.
	if earlier := r.mayHaveRun(); earlier != nil && r.class.Effect == Deduplicated {
		startWithin = g.dedupRemaining(r, earlier)
	}
	r.attempts = append(r.attempts, attemptState{backend: b, sentAt: g.now, inFlight: true, slot: slot})
	g.updateOverdue(b)
	b.inFlight++
	b.tokens--
	g.sends++
	g.cancelBudget = min(maxCancelBudget, g.cancelBudget+cancelBudgetPerSend)
	g.addInFlight(r.customer, 1)
	g.emit(Send{Request: r.id, Backend: b.ID, StartWithin: startWithin})
}

// onOutcome handles the end of an attempt: it retries the request or answers it, unless it has ended.
func (g *Gateway) onOutcome(ev Outcome) {
	r := g.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return
	}
	attempt := &r.attempts[ev.Attempt]
	attempt.inFlight, attempt.result = false, ev.Result
	g.recordOutcome(r, attempt, ev)
	slot := attempt.slot
	attempt.backend.inFlight--
	g.addInFlight(r.customer, -1)
	defer g.dequeue(r.customer)
	if ev.HasUsage {
		g.learnUsage(r.customer, max(0, ev.UsagePercent)/100)
		g.onReading(r.customer, max(0, ev.UsagePercent))
	}
	if ev.Final {
		g.end(r)
	}
	if r.ended || r.streamed || !g.retry(r, slot) {
		g.freeSlot(slot)
		if !r.ended && !r.streamed {
			g.answerFinally(r)
		}
	}
	g.forget(r)
}

// recordOutcome updates the statistics of the backend, the class and the gateway after an attempt has ended.
func (g *Gateway) recordOutcome(r *request, attempt *attemptState, ev Outcome) {
	b, latency := attempt.backend, ev.Duration.Seconds()
	g.updateOverdue(b)
	g.updateConfirmation(attempt)
	late := ev.Result == TimedOut || ev.Result == Answered && latency > r.class.lateAge()
	if ev.Result != Cancelled && ev.Result != NotSent && !attempt.countedLate {
		g.outcomes++
		if late || ev.Result == Rejected {
			g.badOutcomes++
			b.lastBadAt = g.now
		}
	}
	switch ev.Result {
	case AnsweredError, Unknown: // the backend is not silent
		b.overdue = 0
	case Answered:
		b.overdue, b.connectFailures, b.outlierCount = 0, 0, 0
		g.lateAgeSum += r.class.lateAge()
		r.class.meanLatency += latencyWeight * (latency - r.class.meanLatency)
		r.class.minLatency = min(r.class.meanLatency, r.class.minLatency*(1+latencyWeight*latencyWeight/4))
		g.meanLatency += latencyWeight * (latency - g.meanLatency)
		g.minLatency = min(g.meanLatency, g.minLatency*(1+latencyWeight*latencyWeight/4))
		b.slowness += 2 * latencyWeight * (latency/r.class.meanLatency - b.slowness)
	case TimedOut, Cancelled: // an answer would have taken at least as long, unless the backend is dead
		if attempt.superseded {
			g.markOutlier(b)
			break
		}
		b.slowness += 2 * latencyWeight *
			max(0, min(latency/r.class.meanLatency, cancelAfterLatencies)-b.slowness)
	case Rejected:
		b.overdue, b.backoffUntil = 0, g.now+seconds(g.meanLatency/2)
	case NoConnection:
		g.onConnectFailure(b)
	}
	b.slowness = max(b.slowness, 0.1)
}

// retry sends a further attempt of a request whose attempts have all failed, in the slot of the last one, and
// reports whether it did. It does so only if the client can still be answered in time. It needs no retry
// budget of its own, as the concurrency limit bounds all attempts in flight.
func (g *Gateway) retry(r *request, slot *heldSlot) bool {
	tooLate := (r.deadline - g.now).Seconds() < r.class.meanLatency/2
	if tooLate || len(r.attempts) >= min(g.settings.MaxAttempts, maxAttempts) {
		return false
	}
	b := g.chooseBackend(r)
	if b != nil {
		g.send(r, b, slot)
	}
	return b != nil
}

// answerFinally gives the final answer to a request that was not served: Reject if repeating the request does
// no harm, else Fail.
func (g *Gateway) answerFinally(r *request) {
	attempt := r.mayHaveRun()
	if attempt == nil || r.class.Effect == Safe ||
		r.class.Effect == Deduplicated && r.class.Scope == ScopeAll &&
			g.now-attempt.sentAt < r.class.DedupWindow {
		g.emit(Reject{r.id, g.retryAfterSlot()})
	} else {
		g.emit(Fail{Request: r.id})
	}
	g.end(r)
}

// end ends a request and cancels its attempt in flight. Attempts keep their slots until their outcomes come.
func (g *Gateway) end(r *request) {
	if r == nil || r.ended {
		return
	}
	r.ended, r.queued = true, false
	if r.inFlight() && g.settings.CanCancel {
		g.emit(Cancel{Request: r.id, Attempt: len(r.attempts) - 1})
	}
	g.forget(r)
}

// forget deletes a request that has ended and has no attempt in flight.
func (g *Gateway) forget(r *request) {
	if r.ended && !r.inFlight() {
		delete(g.requests, r.id)
		delete(g.requestsBySeq, r.seq)
	}
}
