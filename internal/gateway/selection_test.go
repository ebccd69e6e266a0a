package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestDrainingAndRemovedBackendsGetNoSends(t *testing.T) {
	backends := testBackends(2)
	for name, list := range map[string]BackendList{
		"draining":             {Kind: ListChanges, Backends: []BackendInfo{{ID: 1, State: Draining}}},
		"gone":                 {Kind: ListChanges, Backends: []BackendInfo{{ID: 1, State: Gone}}},
		"not in the full list": {Kind: ListFull, Backends: backends[1:]},
	} {
		tg := newTestGateway(t, testSettings(), backends...)
		tg.handle(list)
		for i := range 20 {
			_, actions := tg.submit("safe", "large", CustomerID(i))
			if got := sendActions(actions); len(got) != 1 || got[0].Backend != 2 {
				t.Fatalf("%s: got sends %v, want one to backend 2", name, got)
			}
		}
	}
}

// A gateway that gets an answer from each of a hundred backends once a minute cannot learn which are slow. So it uses a
// subset of them whose size depends on its rate of sends.
func TestSubsetSizeFollowsTheSendRate(t *testing.T) {
	for _, test := range []struct {
		sendRate                 float64
		minBackends, maxBackends int
	}{{2, 4, 8}, {1000, 60, 100}} {
		tg := newTestGateway(t, testSettings(), testBackends(100)...)
		tg.gateway.sendRate = test.sendRate
		used := map[BackendID]bool{}
		for i := range 400 {
			id, actions := tg.submit("safe", "large", CustomerID(i))
			for _, send := range sendActions(actions) {
				used[send.Backend] = true
				tg.now += ms
				tg.endAttempt(id, send.Backend, 0, Answered)
			}
		}
		if len(used) < test.minBackends || len(used) > test.maxBackends {
			t.Errorf("%v sends per second: got %d backends used, want %d to %d",
				test.sendRate, len(used), test.minBackends, test.maxBackends)
		}
	}
}

func TestSlowStartLimitsSendsToAColdBackend(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(3)...)
	tg.gateway.sendRate = 30
	tg.handle(BackendList{Kind: ListChanges, Backends: []BackendInfo{{ID: 9, Started: tg.now}}})
	coldSends := 0
	for i := range 60 { // a second at twice the rate
		tg.now += second / 60
		_, actions := tg.submit("safe", "large", CustomerID(i))
		for _, send := range sendActions(actions) {
			if send.Backend == 9 {
				coldSends++
			}
		}
	}
	if coldSends > 4 {
		t.Errorf("got %d sends to a cold backend in its first second, want at most 4: its share is a fifth of 10",
			coldSends)
	}
}

func TestSilentBackendGetsNoMoreSends(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(4)...)
	lastSent := 0
	for i := range 400 {
		tg.now += 20 * ms
		id, actions := tg.submit("safe", "large", CustomerID(i))
		for attempt, send := range sendActions(actions) {
			if send.Backend == 1 {
				lastSent = i
				continue // it never answers
			}
			tg.endAttempt(id, send.Backend, attempt, Answered)
		}
	}
	if lastSent > 150 || tg.gateway.ranking.Len() != 4 {
		t.Errorf("got request %d as the last sent to a silent backend, want none after 150 and the backend kept",
			lastSent)
	}
}

// The overdue answers and the slowness of an idle backend decay, however high they are, so that it is sent attempts
// again.
func TestOverdueAndSlownessDecay(t *testing.T) {
	for _, test := range []struct {
		overdue, slowness        float64
		minRequests, maxRequests int // requests, one every half second, until the backend is sent one
	}{{8, 1, 2, 8}, {1, 8, 2, 30}, {75, 9, 4, 30}} {
		tg := newTestGateway(t, testSettings(), testBackends(2)...)
		backend := tg.gateway.backends[1]
		backend.overdue, backend.slowness, tg.gateway.classes["safe"].meanLatency = test.overdue, test.slowness, 0.1
		n := 0
		for sentTo := BackendID(2); sentTo != 1; n++ {
			if n > test.maxRequests {
				t.Fatalf("overdue %v, slowness %v: got no send to the backend in time, want one",
					test.overdue, test.slowness)
			}
			tg.now += 500 * ms
			id, actions := tg.submit("safe", "large", CustomerID(n))
			sentTo = sendActions(actions)[0].Backend
			tg.endAttempt(id, sentTo, 0, Answered)
		}
		if n < test.minRequests {
			t.Errorf("overdue %v, slowness %v: got a send after %d requests, want it later",
				test.overdue, test.slowness, n)
		}
	}
}

// Most backends have just been replaced, and each of many gateways sends a request to any one of them only every few
// seconds. The cold backends together must get their share from the first seconds on, and no more than they can take.
func TestManyGatewaysUseColdBackends(t *testing.T) {
	const gateways, backends, replaced, intervalMS, length = 40, 20, 12, 200, 4 * second
	settings := testSettings()
	settings.Gateways = gateways
	infos := testBackends(backends)
	sent := [2]int{} // to warm and to cold backends
	for index := range gateways {
		settings.Index = index
		tg := newTestGateway(t, settings, infos...)
		tg.gateway.rng = rand.New(rand.NewPCG(uint64(index), 3))
		tickAt := tg.now
		run := func(length time.Duration, count bool) {
			for end := tg.now + length; tg.now < end; tg.now += intervalMS * ms {
				if tg.now-tickAt >= second {
					tickAt = tg.now
					tg.handle(Timer{})
				}
				id, actions := tg.submit("safe", "large", 1)
				for _, send := range sendActions(actions) {
					if count {
						sent[boolToInt(send.Backend <= replaced)]++
					}
					tg.now += 50 * ms
					tg.endAttempt(id, send.Backend, 0, Answered)
				}
			}
		}
		run(10*second, false)
		restarted := slices.Clone(infos[:replaced])
		for i := range restarted {
			restarted[i].Started = tg.now
		}
		tg.handle(BackendList{Kind: ListChanges, Backends: restarted})
		run(length, true)
	}
	share := float64(sent[1]) / float64(sent[0]+sent[1])
	// In these 4 s, the capacity of a cold backend is at least 20% to 52% of a warm one's: 0.36 on average.
	want := replaced * 0.36 / (replaced*0.36 + backends - replaced)
	t.Logf("got %.2f of the sends at cold backends, their share of the capacity is %.2f", share, want)
	if share < want/2 || share > want*3/2 {
		t.Errorf("got %.2f of the sends at cold backends, want 0.5 to 1.5 times %.2f", share, want)
	}
}
