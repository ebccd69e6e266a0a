package gateway

import (
	"time"
)

// Attempts: sends, outcomes, retries and the final answer.

const (
	latencyWeight = 1.0 / 16 // weight of one answer in the running means of latency
	maxAttempts   = 3        // most attempts for one request, even if the settings allow more
	minSlowness   = 0.1      // least slowness of a backend
)

// send sends an attempt of the request to the backend, in the given slot.
func (g *Gateway) send(request *requestState, backend *trackedBackend, slot *heldSlot) {
	startWithin := g.startLimit(request)
	request.attempts = append(request.attempts,
		attemptState{backend: backend, sentAt: g.now, inFlight: true, slot: slot})
	g.updateOverdue(backend)
	backend.inFlight++
	backend.tokens--
	g.sends++
	g.cancelBudget = min(maxCancelBudget, g.cancelBudget+cancelBudgetPerSend)
	g.addInFlight(request.customer, 1)
	g.emit(Send{Request: request.id, Backend: backend.ID, StartWithin: startWithin})
}

// startLimit returns the time within which an attempt of the request must start; 0: no limit. Establishing a
// connection may take long, and an attempt must not start after the list has expired, nor a repeat after the
// end of its DedupWindow.
func (g *Gateway) startLimit(request *requestState) time.Duration {
	latest := g.listExpiresAt
	if earlier := request.mayHaveRun(); earlier != nil && request.class.Effect == Deduplicated {
		latest = min(latest, g.now+g.dedupRemaining(request, earlier))
	}
	if latest == forever {
		return 0
	}
	return latest - g.now
}

// onOutcome handles the end of an attempt: it retries the request or answers it, unless it has ended.
func (g *Gateway) onOutcome(ev Outcome) {
	request := g.requests[ev.Request]
	if request == nil || ev.Attempt < 0 || ev.Attempt >= len(request.attempts) ||
		!request.attempts[ev.Attempt].inFlight {
		return
	}
	attempt := &request.attempts[ev.Attempt]
	attempt.inFlight, attempt.result = false, ev.Result
	g.recordOutcome(request, attempt, ev)
	slot := attempt.slot
	attempt.backend.inFlight--
	g.addInFlight(request.customer, -1)
	defer g.dequeue(request.customer)
	if ev.HasUsage {
		g.learnUsage(request.customer, max(0, ev.UsagePercent)/100)
		g.onReading(request.customer, max(0, ev.UsagePercent))
	}
	if ev.Final {
		g.end(request)
	}
	if request.ended || request.streamed || !g.retry(request, slot) {
		g.freeSlot(slot)
		if !request.ended && !request.streamed {
			g.answerFinally(request)
		}
	}
	g.forget(request)
}

// recordOutcome updates the statistics of the backend, the class and the gateway after an attempt has ended.
func (g *Gateway) recordOutcome(request *requestState, attempt *attemptState, ev Outcome) {
	backend, latency := attempt.backend, ev.Duration.Seconds()
	g.updateOverdue(backend)
	g.updateConfirmation(attempt)
	late := ev.Result == TimedOut || ev.Result == Answered && latency > request.class.lateAge()
	if ev.Result != Cancelled && ev.Result != NotSent && !attempt.countedLate {
		g.outcomes++
		if late || ev.Result == Rejected {
			g.badOutcomes++
			backend.lastBadAt = g.now
		}
	}
	switch ev.Result {
	case AnsweredError, Unknown: // the backend is not silent
		backend.overdue = 0
	case Answered:
		backend.overdue, backend.connectFailures, backend.outlierCount = 0, 0, 0
		g.lateAgeSum += request.class.lateAge()
		request.class.meanLatency += latencyWeight * (latency - request.class.meanLatency)
		// The minimum latencies rise by 1/1024 per answer, to follow changes.
		request.class.minLatency = min(request.class.meanLatency,
			request.class.minLatency*(1+latencyWeight*latencyWeight/4))
		g.meanLatency += latencyWeight * (latency - g.meanLatency)
		g.minLatency = min(g.meanLatency, g.minLatency*(1+latencyWeight*latencyWeight/4))
		backend.slowness += 2 * latencyWeight * (latency/request.class.meanLatency - backend.slowness)
	case TimedOut, Cancelled: // an answer would have taken at least as long, unless the backend is dead
		if attempt.superseded {
			g.markOutlier(backend)
			break
		}
		backend.slowness += 2 * latencyWeight *
			max(0, min(latency/request.class.meanLatency, cancelAfterLatencies)-backend.slowness)
	case Rejected:
		backend.overdue, backend.backoffUntil = 0, g.now+seconds(g.meanLatency/2)
	case NoConnection:
		g.onConnectFailure(backend)
	}
	backend.slowness = max(backend.slowness, minSlowness)
}

// retry sends a further attempt of a request whose attempts have all failed, in the slot of the last one, and
// reports whether it did. It does so only if the client can still be answered in time. It needs no retry
// budget of its own, as the concurrency limit bounds all attempts in flight.
func (g *Gateway) retry(request *requestState, slot *heldSlot) bool {
	tooLate := (request.deadline - g.now).Seconds() < request.class.meanLatency/2
	if tooLate || len(request.attempts) >= min(g.settings.MaxAttempts, maxAttempts) {
		return false
	}
	backend := g.chooseBackend(request)
	if backend != nil {
		g.send(request, backend, slot)
	}
	return backend != nil
}

// answerFinally gives the final answer to a request that was not served: Reject if repeating the request does
// no harm, else Fail.
func (g *Gateway) answerFinally(request *requestState) {
	attempt := request.mayHaveRun()
	if attempt == nil || request.class.Effect == Safe ||
		request.class.Effect == Deduplicated && request.class.Scope == ScopeAll &&
			g.now-attempt.sentAt < request.class.DedupWindow {
		g.emit(Reject{request.id, g.retryAfterSlot()})
	} else {
		g.emit(Fail{Request: request.id})
	}
	g.end(request)
}

// end ends a request and cancels its attempt in flight. Attempts keep their slots until their outcomes come.
func (g *Gateway) end(request *requestState) {
	if request == nil || request.ended {
		return
	}
	request.ended, request.queued = true, false
	if request.inFlight() && g.settings.CanCancel {
		g.emit(Cancel{Request: request.id, Attempt: len(request.attempts) - 1})
	}
	g.forget(request)
}

// forget deletes a request that has ended and has no attempt in flight.
func (g *Gateway) forget(request *requestState) {
	if request.ended && !request.inFlight() {
		delete(g.requests, request.id)
		delete(g.requestsBySeq, request.seq)
	}
}
