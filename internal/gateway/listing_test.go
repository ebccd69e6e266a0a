package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Whatever lists say, whole, half, stale, doubled or back and forth, and whatever is out meanwhile: what the
// gateway holds of them is what a plain reading of each list gives, and what is counted is what a look at all of
// them counts.
func TestListsAreKeptWhateverTheySay(t *testing.T) {
	const backends, steps = 40, 3000
	rng := rand.New(rand.NewPCG(5, 6))
	r := newTestGateway(t, testSettings(), testBackends(backends/2)...)
	want := map[BackendID]BackendInfo{}
	for _, info := range testBackends(backends / 2) {
		want[info.ID] = info
	}
	type out struct {
		Send
		try int
	}
	var sent []out
	for step := range steps {
		r.now += 10 * ms
		if rng.IntN(3) == 0 {
			_, actions := r.submit("safe", "wide", 1)
			for _, s := range sendActions(actions) {
				sent = append(sent, out{s, 0})
			}
		}
		if len(sent) > 0 && rng.IntN(4) == 0 {
			i := rng.IntN(len(sent))
			o := sent[i]
			sent = slices.Delete(sent, i, i+1)
			for _, s := range sendActions(r.endAttempt(o.Request, o.Backend, o.try, []Result{Answered, NoConnection, Rejected}[rng.IntN(3)])) {
				sent = append(sent, out{s, o.try + 1})
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
				info.Started = r.now
			}
			list.Backends = append(list.Backends, info)
			want[info.ID] = info
		}
		r.handle(list)
		checkListing(t, r.gateway, want, step)
	}
}

// checkListing compares what the gateway holds with what the lists said last of each backend.
func checkListing(t *testing.T, g *Gateway, want map[BackendID]BackendInfo, step int) {
	t.Helper()
	ready, cold, warm := 0, 0, 0.0
	for b := range g.ranking.All() {
		if info, listed := want[b.ID]; b.State != Gone && (!listed || info.State != b.State) {
			t.Fatalf("step %d: backend %d is %d here, %+v in the lists", step, b.ID, b.State, info)
		}
		if b.State == Gone && b.inFlight == 0 || g.backends[b.ID] != b {
			t.Fatalf("step %d: backend %d is still here", step, b.ID)
		}
		if b.State == Ready {
			ready++
			warm += g.capacityShare(b)
			cold += boolToInt(b.cold)
		}
	}
	listed := 0
	for _, info := range want {
		listed += boolToInt(info.State == Ready)
	}
	if ready != listed || g.ranking.Len()-g.unavailable.Len() != ready || g.ranking.Len() != len(g.backends) {
		t.Fatalf("step %d: %d ready, %d in the lists, %d counted; %d in order of %d", step, ready, listed,
			g.ranking.Len()-g.unavailable.Len(), g.ranking.Len(), len(g.backends))
	}
	colds, sum := 0, float64(ready)
	g.coldBackends.Retain(func(b *trackedBackend) bool {
		if b.State == Ready && g.backends[b.ID] == b {
			sum += g.capacityShare(b) - 1
			colds += boolToInt(b.cold)
		}
		return true
	})
	if colds != cold || sum < warm-1e-9 || sum > warm+1e-9 {
		t.Fatalf("step %d: %d cold, %d kept as such; warmth %v, kept %v", step, cold, colds, warm, sum)
	}
}

// A request costs a look at mostLooked backends however many are listed, and at each that the gateway keeps to where
// these are no more than that.
func TestLooksAreBounded(t *testing.T) {
	looks := func(backends int) (most int) {
		r := newTestGateway(t, testSettings(), testBackends(backends)...)
		r.gateway.sendRate = 1000
		for range 50 {
			r.now += ms
			_, actions := r.submit("safe", "wide", 1)
			s := sendActions(actions)[0]
			looked := 0
			for b := range r.gateway.ranking.All() {
				looked += boolToInt(b.overdueAt == r.now)
			}
			most = max(most, looked)
			r.endAttempt(s.Request, s.Backend, 0, Answered)
		}
		return most
	}
	for _, backends := range []int{1, 40, maxCandidates, 4 * maxCandidates, 20 * maxCandidates} {
		if got, want := looks(backends), min(backends, maxCandidates); got != want {
			t.Errorf("%d backends: %d looked at for a request, want %d", backends, got, want)
		}
	}
}

// Of the backends that a gateway keeps to all are used, also where it looks at a part of them each time.
func TestAllKeptBackendsAreUsed(t *testing.T) {
	const kept, requests = 2 * maxCandidates, 20 * 2 * maxCandidates
	r := newTestGateway(t, testSettings(), testBackends(4*kept)...)
	used := map[BackendID]int{}
	for range requests {
		r.now += second / (kept / 4) // so that known() is kept
		r.gateway.sendRate = kept / 4
		_, actions := r.submit("safe", "wide", 1)
		s := sendActions(actions)[0]
		used[s.Backend]++
		r.endAttempt(s.Request, s.Backend, 0, Answered)
	}
	least := requests
	for _, n := range used {
		least = min(least, n)
	}
	if len(used) != kept || least < requests/kept/3 {
		t.Errorf("%d backends used, the least of them %d times; want %d and %d on average", len(used), least, kept, requests/kept)
	}
}
