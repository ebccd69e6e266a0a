package gateway

import (
	"time"
)

// Dispatch of events to their handlers. No decisions are made here.

// Handle handles an event at the time now and returns actions with the resulting actions appended.
func (g *Gateway) Handle(now time.Duration, ev Event, actions []Action) []Action {
	g.now, g.actions = max(now, g.now), actions
	if !g.initialized {
		g.initialized = true
		g.emit(SetTimer{After: second, Token: 0})
		if g.settings.SubscribeToList {
			g.emit(Subscribe{})
		}
	}
	switch ev := ev.(type) {
	case Request:
		g.onRequest(ev)
	case BackendList:
		g.onBackendList(ev)
	case ListExpiry:
		g.onListExpiry(ev)
	case Outcome:
		g.onOutcome(ev)
	case AnswerStarted:
		if request := g.requests[ev.Request]; request != nil {
			request.streamed = true
		}
	case ClientGone:
		g.end(g.requests[ev.Request])
	case Timer:
		g.onTimer(ev.Token)
	}
	g.cancelSlow()
	actions, g.actions = g.actions, nil
	return actions
}

// emit appends an action to those that Handle returns.
func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// timerTolerance is how much earlier than planned a timer may fire, as timers are truncated to microseconds.
const timerTolerance = time.Millisecond

// onTimer handles a timer. Token 0 is the tick of every second. Any other token is the seq of a request, whose time in
// the queue or whose client's timeout is over. A request that is no longer queued is answered only at its deadline: an
// earlier timer is its queue timer, and it has been sent since.
func (g *Gateway) onTimer(token uint64) {
	if token == 0 {
		g.tick()
	} else if request := g.requestsBySeq[token]; request != nil && !request.ended && !request.streamed &&
		(request.queued || g.now+timerTolerance >= request.deadline) {
		g.answerFinally(request)
	}
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(second)) }

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
