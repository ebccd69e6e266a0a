package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Random updates of the list of backends, changes and full lists, with stale, repeated and contradictory entries, come
// while attempts are in flight. After each update, the gateway's backends are those that result from applying all
// updates in order, and its counts of them are right.
func TestRandomListUpdatesAreApplied(t *testing.T) {
	const backends, steps = 40, 3000
	rng := rand.New(rand.NewPCG(5, 6))
	tg := newTestGateway(t, testSettings(), testBackends(backends/2)...)
	want := map[BackendID]BackendInfo{}
	for _, info := range testBackends(backends / 2) {
		want[info.ID] = info
	}
	type sentAttempt struct {
		Send
		attempt int
	}
	var inFlight []sentAttempt
	for step := range steps {
		tg.now += 10 * ms
		if rng.IntN(3) == 0 {
			_, actions := tg.submit("safe", "large", 1)
			for _, send := range sendActions(actions) {
				inFlight = append(inFlight, sentAttempt{send, 0})
			}
		}
		if len(inFlight) > 0 && rng.IntN(4) == 0 {
			i := rng.IntN(len(inFlight))
			ended := inFlight[i]
			inFlight = slices.Delete(inFlight, i, i+1)
			for _, send := range sendActions(tg.endAttempt(ended.Request, ended.Backend, ended.attempt,
				[]Result{Answered, NoConnection, Rejected}[rng.IntN(3)])) {
				inFlight = append(inFlight, sentAttempt{send, ended.attempt + 1})
			}
		}
		list := BackendList{Kind: ListChanges}
		if rng.IntN(20) == 0 {
			list.Kind = ListFull
			clear(want)
		}
		for range rng.IntN(6) {
			info := BackendInfo{ID: BackendID(1 + rng.IntN(backends)), State: BackendState(rng.IntN(3)), Weight: 1}
			if rng.IntN(3) == 0 {
				info.Started = tg.now
			}
			list.Backends = append(list.Backends, info)
			want[info.ID] = info
		}
		tg.handle(list)
		checkBackends(t, tg.gateway, want, step)
	}
}

// checkBackends compares the gateway's backends, and its counts of them, with the last listed state of each.
func checkBackends(t *testing.T, g *Gateway, want map[BackendID]BackendInfo, step int) {
	t.Helper()
	ready, cold, capacity := 0, 0, 0.0
	for backend := range g.ranking.All() {
		if info, listed := want[backend.ID]; backend.State != Gone && (!listed || info.State != backend.State) {
			t.Fatalf("step %d: backend %d: got state %d, want that of %+v", step, backend.ID, backend.State, info)
		}
		if backend.State == Gone && backend.inFlight == 0 || g.backends[backend.ID] != backend {
			t.Fatalf("step %d: got backend %d in the ranking, want it deleted", step, backend.ID)
		}
		if backend.State == Ready {
			ready++
			capacity += g.capacityShare(backend)
			cold += boolToInt(backend.cold)
		}
	}
	wantReady := 0
	for _, info := range want {
		wantReady += boolToInt(info.State == Ready)
	}
	if ready != wantReady || g.ranking.Len()-g.unavailable.Len() != ready || g.ranking.Len() != len(g.backends) {
		t.Fatalf("step %d: got %d ready backends, want %d; got a count of %d; got %d in the ranking, want %d",
			step, ready, wantReady, g.ranking.Len()-g.unavailable.Len(), g.ranking.Len(), len(g.backends))
	}
	coldCount, capacitySum := 0, float64(ready)
	g.coldBackends.Retain(func(backend *trackedBackend) bool {
		if backend.State == Ready && g.backends[backend.ID] == backend {
			capacitySum += g.capacityShare(backend) - 1
			coldCount += boolToInt(backend.cold)
		}
		return true
	})
	if coldCount != cold || capacitySum < capacity-1e-9 || capacitySum > capacity+1e-9 {
		t.Fatalf("step %d: want %d cold backends, got %d in coldBackends; want capacity %v, got %v from coldBackends",
			step, cold, coldCount, capacity, capacitySum)
	}
}

// At most maxCandidates backends are examined for a request, however many are listed, and the whole subset if it is no
// larger than that.
func TestExaminedBackendsAreBounded(t *testing.T) {
	examined := func(backends int) (maxExamined int) {
		tg := newTestGateway(t, testSettings(), testBackends(backends)...)
		tg.gateway.sendRate = 1000
		for range 50 {
			tg.now += ms
			_, actions := tg.submit("safe", "large", 1)
			send := sendActions(actions)[0]
			count := 0
			for backend := range tg.gateway.ranking.All() {
				count += boolToInt(backend.overdueAt == tg.now)
			}
			maxExamined = max(maxExamined, count)
			tg.endAttempt(send.Request, send.Backend, 0, Answered)
		}
		return maxExamined
	}
	for _, backends := range []int{1, 40, maxCandidates, 4 * maxCandidates, 20 * maxCandidates} {
		if got, want := examined(backends), min(backends, maxCandidates); got != want {
			t.Errorf("%d backends: got %d examined for a request, want %d", backends, got, want)
		}
	}
}

// All backends of the subset are used, even if only a part of them is examined for each request.
func TestAllBackendsOfTheSubsetAreUsed(t *testing.T) {
	const subset, requests = 2 * maxCandidates, 20 * 2 * maxCandidates
	tg := newTestGateway(t, testSettings(), testBackends(4*subset)...)
	uses := map[BackendID]int{}
	for range requests {
		tg.now += second / (subset / 4) // at this rate of sends, subsetSize returns subset
		tg.gateway.sendRate = subset / 4
		_, actions := tg.submit("safe", "large", 1)
		send := sendActions(actions)[0]
		uses[send.Backend]++
		tg.endAttempt(send.Request, send.Backend, 0, Answered)
	}
	minUses := requests
	for _, n := range uses {
		minUses = min(minUses, n)
	}
	if len(uses) != subset || minUses < requests/subset/3 {
		t.Errorf("got %d backends used, each at least %d times; want %d, used %d times on average",
			len(uses), minUses, subset, requests/subset)
	}
}
