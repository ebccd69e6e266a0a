package gateway

import (
	"math"
	"slices"
	"testing"
)

func TestAdjustLimit(t *testing.T) {
	adjusted := func(limit, bad, outcomes float64, affected int, sustainable float64) float64 {
		tg := newTestGateway(t, testSettings(), testBackends(3)...)
		g := tg.gateway
		g.concurrencyLimit, g.partitionSize, g.outcomes, g.badOutcomes = limit, [3]float64{0, 0, limit}, outcomes, bad
		g.inUse[sharedPool], g.sendRate = 50, 50 // at this rate of sends, a second has the highest weight, a half
		g.sustainableLimit, g.lateAgeSum = sustainable, sustainable
		for _, backend := range slices.Collect(g.ranking.All())[:affected] {
			backend.lastBadAt = g.now
		}
		g.adjustLimit()
		return g.concurrencyLimit
	}
	inf := math.Inf(1)
	for _, test := range []struct {
		name                 string
		limit, bad, outcomes float64
		affected             int // backends with bad outcomes, of 3
		sustainable, want    float64
	}{
		{"more than 5% bad", inf, 12, 100, 3, 80, 45},
		{"exactly 5% bad", 500, 5, 100, 3, 600, 550},
		{"more than 5% bad, but within chance", 500, 11, 100, 3, 600, 550},
		{"more than 5% bad of many, beyond chance", 500, 73, 1000, 3, 600, 300},
		{"one affected backend of three", 500, 30, 100, 1, 600, 550},
		{"a single bad outcome is too few", 100, 1, 2, 3, 150, 110},
		{"no bad outcomes: raised by 10%", 60, 0, 100, 0, 100, 66},
		{"a decrease never raises the limit", 20, 50, 100, 3, 30, 18},
		{"at least one per backend over all gateways", 0.5, 50, 100, 3, 0, 1.5},
		{"few bad outcomes, each on a different backend", inf, 3, 4, 3, 80, 45},
		{"at once down to the sustainable limit", inf, 50, 100, 3, 40, 40},
		{"the same without overload", inf, 0, 100, 0, 40, 40},
		{"at least half of the sustainable limit", 4, 50, 100, 3, 40, 20},
		{"unbounded until there are answers", inf, 0, 0, 0, 0, inf},
	} {
		if got := adjusted(test.limit, test.bad, test.outcomes, test.affected,
			test.sustainable); math.Abs(got-test.want) > 1e-9 && got != test.want {
			t.Errorf("%s: got limit %v, want %v", test.name, got, test.want)
		}
	}
}

// One of many gateways gets a few answers a second. The attempts in flight that they can sustain are learnt within the
// first seconds. If their mean began at 0 without more weight on the first seconds, a tenth of the requests would be
// rejected after each start.
func TestSustainableLimitFollowsFewAnswersAfterTheStart(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(30)...)
	g := tg.gateway
	const lateAgeSum = 3.0 // of each second's answers
	for elapsed, minShare := range []float64{0.5, 0.75, 0.83, 0.87} {
		g.sends, g.lateAgeSum, g.outcomes = 5, lateAgeSum, 5
		g.onTimer(0)
		if g.sustainableLimit < minShare*lateAgeSum-0.01 || g.sustainableLimit > lateAgeSum {
			t.Errorf("after %d s with lateAgeSum %v: got sustainableLimit %v, want %v of that to all of it",
				elapsed+1, lateAgeSum, g.sustainableLimit, minShare)
		}
	}
}

// A sub-rated attempt counts as the reduced slot that it occupies. When each counted as a whole slot, the limit grew
// by its own decreases in an overload.
func TestSubratedAttemptsDoNotRaiseTheLimit(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(3)...)
	g := tg.gateway
	g.concurrencyLimit, g.partitionSize, g.markedCount, g.outcomes, g.badOutcomes, g.sustainableLimit =
		100, [3]float64{0, 0, 100}, 60, 100, 50, 180
	g.inUse[sharedPool] = 130
	for backend := range g.ranking.All() {
		backend.lastBadAt = g.now
	}
	if g.adjustLimit(); g.concurrencyLimit != 90 {
		t.Errorf("got limit %v, want 90", g.concurrencyLimit)
	}
}

// An attempt that is still in flight after half of its target latency counts as a bad outcome. The client's own timeout
// comes only when an overload has lasted for long.
func TestOverdueAttemptsLowerTheLimit(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(3)...)
	for i := range 30 {
		tg.submit("safe", "large", CustomerID(i))
	}
	tg.now += 1100 * ms
	tg.handle(Timer{Token: 0})
	if math.IsInf(tg.gateway.concurrencyLimit, 1) {
		t.Error("got no limit with 30 attempts in flight for more than half of their target latency, want one")
	}
}

// The limit is lowered before answers are late: attempts in flight that a second's answers cannot sustain are certain
// to be late.
func TestLimitIsLoweredBeforeABurstIsLate(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(3)...)
	for i := range 30 {
		id, actions := tg.submit("safe", "large", CustomerID(i))
		tg.endAttempt(id, sendActions(actions)[0].Backend, 0, Answered)
	}
	for i := range 200 {
		tg.submit("safe", "large", CustomerID(i))
	}
	tg.now += 300 * ms // nothing is late yet
	tg.handle(Timer{Token: 0})
	if tg.gateway.concurrencyLimit > 30 {
		t.Errorf("got limit %v after a second with 30 answers and 200 attempts in flight, want at most 30",
			tg.gateway.concurrencyLimit)
	}
}

func TestLateAgeIsBoundedByTheMinimumLatencyToo(t *testing.T) {
	class := classState{Class: Class{TargetLatency: 4 * second}, minLatency: 0.1}
	if got := class.lateAge(); math.Abs(got-lateLatencyFactor*0.1) > 1e-9 {
		t.Errorf("got a late age of %v s, want %v times the minimum latency of 0.1 s", got, lateLatencyFactor)
	}
	if class.minLatency = 3; class.lateAge() != 2 {
		t.Errorf("got a late age of %v s, want 2 s, half of the target latency", class.lateAge())
	}
}

// In a fleet of hundreds of gateways the limit of each must be able to fall below 1. In several incidents, a lower
// bound of one attempt per gateway kept so many attempts in flight over all gateways that it was an overload by itself,
// which never ended.
func TestLimitFallsBelowOneWithManyGateways(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 600
	tg := newTestGateway(t, settings, testBackends(60)...)
	var actionsByRequest [][]Action // in the order of the requests
	for i := range 90 {             // requests that are not answered; their clients time out after six seconds
		for range 3 {
			_, actions := tg.submit("safe", "large", CustomerID(i))
			actionsByRequest = append(actionsByRequest, actions)
		}
		tg.now += second
		// The clients of the three requests of six rounds ago have timed out.
		for _, actions := range actionsByRequest[max(0, len(actionsByRequest)-21):max(0, len(actionsByRequest)-18)] {
			for _, send := range sendActions(actions) {
				tg.handle(Outcome{Request: send.Request, Backend: send.Backend, Result: TimedOut, Duration: 6 * second,
					Final: true})
			}
		}
		tg.handle(Timer{Token: 0})
	}
	if tg.gateway.concurrencyLimit > 1.5 || tg.gateway.concurrencyLimit < 60.0/600 {
		t.Errorf("got limit %v after 90 s without an answer, want one between 60/600 and 1.5",
			tg.gateway.concurrencyLimit)
	}
}
