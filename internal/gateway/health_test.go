package gateway

import (
	"slices"
	"testing"
)

// On some days single connections break often. A broken connection must not make its backend count as restarted, or
// soon all backends are cold at once. Only a backend to which no connection can be established counts as down.
func TestOnlyFailedConnectionsInARowMakeABackendCold(t *testing.T) {
	tg := newRig(t, testSettings(), fleet(1)...)
	id, _ := tg.ask("safe", "wide", 1)
	tg.outcome(id, 1, 0, ConnectionBroken)
	backend := tg.g.backends[1]
	if backend.cold || backend.backoffUntil > tg.now {
		t.Errorf("after a broken connection: got cold %v and a backoff of %v, want neither",
			backend.cold, backend.backoffUntil-tg.now)
	}
	for n := 1; n <= downAfterFailures; n++ {
		id, actions := tg.ask("safe", "wide", 1)
		if len(sends(actions)) != 1 {
			t.Fatalf("after %d failed connections and the backoff: got %+v, want one send", n-1, actions)
		}
		tg.outcome(id, 1, 0, NoConnection)
		if backend.backoffUntil <= tg.now || backend.cold != (n == downAfterFailures) {
			t.Errorf("after %d failed connections: got cold %v and backoff %v, want cold from downAfterFailures on",
				n, backend.cold, backend.backoffUntil-tg.now)
		}
		tg.now = backend.backoffUntil
	}
}

// startAttempt returns a gateway with an attempt of a request of the class in flight, the request and the backend of
// the attempt. The gateway has n backends in one cell, a mean latency of 100 ms and a full budget of cancellations.
func startAttempt(t *testing.T, n int, class string) (tg *rig, id RequestID, backend BackendID) {
	t.Helper()
	backends := fleet(n)
	for i := range backends {
		backends[i].Cell = 0
	}
	tg = newRig(t, testSettings(), backends...)
	for _, state := range tg.g.orderedClasses {
		state.meanLatency, state.minLatency = 0.1, 0.1
	}
	tg.g.meanLatency, tg.g.minLatency, tg.g.cancelBudget = 0.1, 0.1, maxCancelBudget
	id, actions := tg.ask(class, "wide", 1)
	return tg, id, sends(actions)[0].Backend
}

// waitUntilSlow advances the time until a first attempt may be cancelled as too slow, and returns the actions that the
// next event leads to.
func (tg *rig) waitUntilSlow() []Action {
	tg.now += seconds(cancelAfterLatencies*0.1) + ms
	return tg.do(ProbeResult{})
}

// cancels returns the Cancel actions among the actions.
func cancels(actions []Action) (out []Cancel) {
	for _, action := range actions {
		if cancel, ok := action.(Cancel); ok {
			out = append(out, cancel)
		}
	}
	return out
}

// A first attempt that takes far longer than usual is cancelled and repeated at another backend, in the same slot, if
// the request may be repeated. This happens only once per request: one whose second attempt takes as long may be slow
// by nature.
func TestSlowFirstAttemptsAreRepeatedElsewhereOnce(t *testing.T) {
	for _, test := range []struct {
		name, class string
		change      func(*rig)
		want        int
	}{
		{"safe", "safe", func(*rig) {}, 1},
		{"deduplicated in its cell", "celled", func(*rig) {}, 1},
		{"unsafe", "once", func(*rig) {}, 0},
		{"deduplicated, no other backend in its cell", "celled", func(tg *rig) {
			for i, backend := range slices.Collect(tg.g.ranking.All()) {
				backend.Cell = i
			}
		}, 0},
		{"cancellation budget used up", "safe", func(tg *rig) { tg.g.cancelBudget = 0.9 }, 0},
		{"cancellation not supported", "safe", func(tg *rig) { tg.g.settings.CanCancel = false }, 0},
		{"client times out soon", "safe", func(tg *rig) {
			for _, request := range tg.g.requests {
				request.deadline = tg.now + seconds(cancelAfterLatencies*0.1) + 150*ms
			}
		}, 0},
	} {
		tg, id, backend := startAttempt(t, 3, test.class)
		test.change(tg)
		if actions := tg.do(ProbeResult{}); len(actions) != 0 {
			t.Errorf("%s: got actions %+v at once, want none", test.name, actions)
		}
		cancelled := cancels(tg.waitUntilSlow())
		if len(cancelled) != test.want {
			t.Errorf("%s: got %d cancelled attempts, want %d", test.name, len(cancelled), test.want)
		}
		if n := len(tg.g.classes[test.class].firstAttempts); n != 0 {
			t.Errorf("%s: got %d first attempts that are still checked, want 0", test.name, n)
		}
		if len(cancelled) == 0 {
			continue
		}
		repeats := sends(tg.do(Outcome{Request: id, Backend: backend, Result: Cancelled, Duration: second}))
		if len(repeats) != 1 || repeats[0].Backend == backend || held(tg.g) != 1 {
			t.Fatalf("%s: got sends %+v with %d slots in use, want one send to another backend, in one slot",
				test.name, repeats, held(tg.g))
		}
		if cancelled := cancels(tg.waitUntilSlow()); len(cancelled) != 0 {
			t.Errorf("%s: the second attempt was cancelled too, want it left in flight", test.name)
		}
		tg.outcome(id, repeats[0].Backend, 1, Answered)
		if held(tg.g) != 0 || len(tg.g.requests) != 0 {
			t.Errorf("%s: got %d slots in use and %d requests at the end, want none",
				test.name, held(tg.g), len(tg.g.requests))
		}
	}
}

// In an overload all attempts take long. Each that is cancelled is work done twice, so the cancellations are limited to
// a small share of the sends.
func TestFewAttemptsAreCancelledInAnOverload(t *testing.T) {
	tg, _, _ := startAttempt(t, 40, "safe")
	const requests = 320
	for range requests {
		tg.ask("safe", "wide", 1)
	}
	if got, maxCancels := len(cancels(tg.waitUntilSlow())), int(maxCancelBudget); got > maxCancels || got == 0 {
		t.Errorf("got %d of %d attempts cancelled at once, want at least 1 and at most %d", got, requests, maxCancels)
	}
}

// A single silent connection says little about its backend. A backend that leaves one attempt after another unanswered
// gets a higher outlier penalty each time, and an answer clears it.
func TestOutlierPenaltyGrowsUntilAnAnswer(t *testing.T) {
	tg, id, backendID := startAttempt(t, 2, "safe")
	backend := tg.g.backends[backendID]
	slowness := backend.slowness
	lastOverdue := overdueThreshold
	for n := range 3 {
		tg.waitUntilSlow()
		tg.do(Outcome{Request: id, Backend: backendID, Result: Cancelled, Duration: second})
		if backend.overdue <= lastOverdue || backend.slowness != slowness {
			t.Errorf("after %d cancelled attempts: got overdue %v, want more than %v; got slowness %v, want %v",
				n+1, backend.overdue, lastOverdue, backend.slowness, slowness)
		}
		lastOverdue = backend.overdue
		// Back off from the other backend, so that the next attempt goes to the same one.
		for other := range tg.g.ranking.All() {
			other.backoffUntil = tg.now
			if other != backend {
				other.backoffUntil = tg.now + second
			}
		}
		nextID, actions := tg.ask("safe", "wide", 1)
		if len(sends(actions)) != 1 || sends(actions)[0].Backend != backendID {
			t.Fatalf("next attempt: got %+v, want one send to backend %d", actions, backendID)
		}
		id = nextID
	}
	tg.outcome(id, backendID, 0, Answered)
	if backend.outlierCount != 0 || backend.overdue != 0 {
		t.Errorf("after an answer: got outlierCount %d and overdue %v, want 0 and 0",
			backend.outlierCount, backend.overdue)
	}
}
