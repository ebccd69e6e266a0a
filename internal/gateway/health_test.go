package gateway

import (
	"slices"
	"testing"
)

// On some days single connections break often. A broken connection must not make its backend count as restarted, or
// soon all backends are cold at once. Only a backend to which no connection can be established counts as down.
func TestOnlyFailedConnectionsInARowMakeABackendCold(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(1)...)
	id, _ := tg.submit("safe", "large", 1)
	tg.endAttempt(id, 1, 0, ConnectionBroken)
	backend := tg.gateway.backends[1]
	if backend.cold || backend.backoffUntil > tg.now {
		t.Errorf("after a broken connection: got cold %v and a backoff of %v, want neither",
			backend.cold, backend.backoffUntil-tg.now)
	}
	for n := 1; n <= downAfterFailures; n++ {
		id, actions := tg.submit("safe", "large", 1)
		if len(sendActions(actions)) != 1 {
			t.Fatalf("after %d failed connections and the backoff: got %+v, want one send", n-1, actions)
		}
		tg.endAttempt(id, 1, 0, NoConnection)
		if backend.backoffUntil <= tg.now || backend.cold != (n == downAfterFailures) {
			t.Errorf("after %d failed connections: got cold %v and backoff %v, want cold from downAfterFailures on",
				n, backend.cold, backend.backoffUntil-tg.now)
		}
		tg.now = backend.backoffUntil
	}
}

const slowTestLatency = 0.1 // mean latency of answers before a slow attempt, seconds

// startAttempt returns a gateway with an attempt of a request of the class in flight, the request and the backend of
// the attempt. The gateway has n backends in one cell, a mean latency of slowTestLatency and a full budget of
// cancellations.
func startAttempt(t *testing.T, n int, class string) (tg *testGateway, id RequestID, backend BackendID) {
	t.Helper()
	backends := testBackends(n)
	for i := range backends {
		backends[i].Cell = 0
	}
	tg = newTestGateway(t, testSettings(), backends...)
	for _, state := range tg.gateway.orderedClasses {
		state.meanLatency, state.minLatency = slowTestLatency, slowTestLatency
	}
	tg.gateway.meanLatency, tg.gateway.minLatency, tg.gateway.cancelBudget =
		slowTestLatency, slowTestLatency, maxCancelBudget
	id, actions := tg.submit(class, "large", 1)
	return tg, id, sendActions(actions)[0].Backend
}

// waitUntilSlow advances the time until a first attempt may be cancelled as too slow, and returns the actions that the
// next event leads to.
func (tg *testGateway) waitUntilSlow() []Action {
	tg.now += seconds(cancelAfterLatencies*slowTestLatency) + ms
	return tg.handle(ProbeResult{})
}

// cancelActions returns the Cancel actions among the actions.
func cancelActions(actions []Action) (cancels []Cancel) {
	for _, action := range actions {
		if cancel, ok := action.(Cancel); ok {
			cancels = append(cancels, cancel)
		}
	}
	return cancels
}

// A first attempt that takes far longer than usual is cancelled and repeated at another backend, in the same slot, if
// the request may be repeated. This happens only once per request: one whose second attempt takes as long may be slow
// by nature.
func TestSlowFirstAttemptsAreRepeatedElsewhereOnce(t *testing.T) {
	for _, test := range []struct {
		name, class string
		change      func(*testGateway)
		want        int
	}{
		{"safe", "safe", func(*testGateway) {}, 1},
		{"deduplicated in its cell", "dedup-cell", func(*testGateway) {}, 1},
		{"unsafe", "unsafe", func(*testGateway) {}, 0},
		{"deduplicated, no other backend in its cell", "dedup-cell", func(tg *testGateway) {
			for i, backend := range slices.Collect(tg.gateway.ranking.All()) {
				backend.Cell = i
			}
		}, 0},
		{"cancellation budget used up", "safe", func(tg *testGateway) { tg.gateway.cancelBudget = 0.9 }, 0},
		{"cancellation not supported", "safe", func(tg *testGateway) { tg.gateway.settings.CanCancel = false }, 0},
		{"client times out soon", "safe", func(tg *testGateway) {
			for _, request := range tg.gateway.requests {
				request.deadline = tg.now + seconds(cancelAfterLatencies*slowTestLatency) + 150*ms
			}
		}, 0},
	} {
		tg, id, backend := startAttempt(t, 3, test.class)
		test.change(tg)
		if actions := tg.handle(ProbeResult{}); len(actions) != 0 {
			t.Errorf("%s: got actions %+v at once, want none", test.name, actions)
		}
		cancelled := cancelActions(tg.waitUntilSlow())
		if len(cancelled) != test.want {
			t.Errorf("%s: got %d cancelled attempts, want %d", test.name, len(cancelled), test.want)
		}
		if n := len(tg.gateway.classes[test.class].firstAttempts); n != 0 {
			t.Errorf("%s: got %d first attempts that are still checked, want 0", test.name, n)
		}
		if len(cancelled) == 0 {
			continue
		}
		repeats := sendActions(tg.handle(Outcome{Request: id, Backend: backend, Result: Cancelled, Duration: second}))
		if len(repeats) != 1 || repeats[0].Backend == backend || slotsInUse(tg.gateway) != 1 {
			t.Fatalf("%s: got sends %+v with %d slots in use, want one send to another backend, in one slot",
				test.name, repeats, slotsInUse(tg.gateway))
		}
		if cancelled := cancelActions(tg.waitUntilSlow()); len(cancelled) != 0 {
			t.Errorf("%s: the second attempt was cancelled too, want it left in flight", test.name)
		}
		tg.endAttempt(id, repeats[0].Backend, 1, Answered)
		if slotsInUse(tg.gateway) != 0 || len(tg.gateway.requests) != 0 {
			t.Errorf("%s: got %d slots in use and %d requests at the end, want none",
				test.name, slotsInUse(tg.gateway), len(tg.gateway.requests))
		}
	}
}

// In an overload all attempts take long. Each that is cancelled is work done twice, so the cancellations are limited to
// a small share of the sends.
func TestFewAttemptsAreCancelledInAnOverload(t *testing.T) {
	tg, _, _ := startAttempt(t, 40, "safe")
	const requests = 320
	for range requests {
		tg.submit("safe", "large", 1)
	}
	if got, maxCancels := len(cancelActions(tg.waitUntilSlow())), int(maxCancelBudget); got > maxCancels || got == 0 {
		t.Errorf("got %d of %d attempts cancelled at once, want at least 1 and at most %d", got, requests, maxCancels)
	}
}

// A single silent connection says little about its backend. A backend that leaves one attempt after another unanswered
// gets a higher outlier penalty each time, and an answer clears it.
func TestOutlierPenaltyGrowsUntilAnAnswer(t *testing.T) {
	tg, id, backendID := startAttempt(t, 2, "safe")
	backend := tg.gateway.backends[backendID]
	slowness := backend.slowness
	lastOverdue := overdueThreshold
	for n := range 3 {
		tg.waitUntilSlow()
		tg.handle(Outcome{Request: id, Backend: backendID, Result: Cancelled, Duration: second})
		if backend.overdue <= lastOverdue || backend.slowness != slowness {
			t.Errorf("after %d cancelled attempts: got overdue %v, want more than %v; got slowness %v, want %v",
				n+1, backend.overdue, lastOverdue, backend.slowness, slowness)
		}
		lastOverdue = backend.overdue
		// Back off from the other backend, so that the next attempt goes to the same one.
		for other := range tg.gateway.ranking.All() {
			other.backoffUntil = tg.now
			if other != backend {
				other.backoffUntil = tg.now + second
			}
		}
		nextID, actions := tg.submit("safe", "large", 1)
		if len(sendActions(actions)) != 1 || sendActions(actions)[0].Backend != backendID {
			t.Fatalf("next attempt: got %+v, want one send to backend %d", actions, backendID)
		}
		id = nextID
	}
	tg.endAttempt(id, backendID, 0, Answered)
	if backend.outlierCount != 0 || backend.overdue != 0 {
		t.Errorf("after an answer: got outlierCount %d and overdue %v, want 0 and 0",
			backend.outlierCount, backend.overdue)
	}
}
